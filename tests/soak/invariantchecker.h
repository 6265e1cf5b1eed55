// Checks the invariants of the soak on what callers, backend servers and the operator observe.
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

class InvariantChecker
{
public:
    InvariantChecker(std::size_t shards, std::string shardPrefix);

    // A reply to a request that is fanned out to all shards.
    void onMergedReply(const std::string &requestId, const Reply &reply);
    // A reply to a request that must run at most once, and the number of its runs at the end of the soak.
    void onAtMostOnceReply(const std::string &requestId, const Reply &reply);
    void onRunCount(const std::string &requestId, std::size_t runs);

    void onConfigurationAcknowledged(std::uint64_t version);
    // A reply to a read of the configuration; `newestBeforeRead` was acknowledged before the read was sent.
    void onConfigurationRead(std::uint64_t newestBeforeRead, const Reply &reply);
    std::uint64_t newestAcknowledged() const;

    void addViolation(const std::string &description);
    std::vector<std::string> violations() const;
    std::string summary() const;

private:
    std::size_t shards;
    std::string prefix;
    mutable std::mutex mutex;
    std::vector<std::string> foundViolations;
    std::set<std::string> reportedNotRun;
    std::uint64_t acknowledged = 0;
    std::map<std::string, std::size_t> counts;
};

} // namespace Galenawell::Testing
