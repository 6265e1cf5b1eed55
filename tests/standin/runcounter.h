// Counts the runs of each request id over all replicas, so that tests can check that a request ran at most once.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Galenawell::StandIn {

class RunCounter
{
public:
    void started(const std::string &requestId);
    void completed(const std::string &requestId);
    // The connection closed, or the server failed, before the run ended.
    void abandoned(const std::string &requestId);

    nlohmann::json describe() const;

private:
    struct Runs
    {
        std::uint64_t started = 0;
        std::uint64_t completed = 0;
        std::uint64_t abandoned = 0;
    };

    Runs *findOrCreate(const std::string &requestId);

    std::map<std::string, Runs> runs;
    // Events that weren't counted because the number of request ids had reached its limit.
    std::uint64_t uncounted = 0;
};

} // namespace Galenawell::StandIn
