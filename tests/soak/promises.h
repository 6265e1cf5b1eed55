// The promises that the soak checks, from what callers, backend servers and the operator see.
#pragma once

#include "process/platform/platforminstallation.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Galenawell::Testing {

class Promises
{
public:
    Promises(std::size_t shards, std::string shardPrefix);

    // An answer to a merged request.
    void onMerged(const std::string &requestId, const Reply &reply);
    // An answer to a request that must run at most once; `runs` is counted when the soak ends.
    void onSingle(const std::string &requestId, const Reply &reply);
    void onRun(const std::string &requestId, std::size_t runs);

    void onAcknowledged(std::uint64_t version);
    // A configuration that was read; `newestAtAsking` was acknowledged before the question.
    void onRead(std::uint64_t newestAtAsking, const Reply &reply);
    std::uint64_t newestAcknowledged() const;

    void violate(const std::string &sentence);
    std::vector<std::string> violations() const;
    std::string summary() const;

private:
    std::size_t shards;
    std::string prefix;
    mutable std::mutex mutex;
    std::vector<std::string> broken;
    std::set<std::string> promisedNotRun;
    std::uint64_t acknowledged = 0;
    std::map<std::string, std::size_t> counts;
};

} // namespace Galenawell::Testing
