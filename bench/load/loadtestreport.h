// Counts and latencies of one run, by priority.
#pragma once

#include "galenawell/core/identifiers.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Galenawell::Load {

enum class OutcomeKind : std::uint8_t {
    Complete,
    Partial,
    Refused,
    // No usable reply.
    Failed,
    // A reply that doesn't fit the request or is inconsistent.
    Wrong,
};

struct RequestOutcome
{
    OutcomeKind kind = OutcomeKind::Failed;
    // Reason of the refusal, failure or violation.
    std::string reason;
};

class LoadTestReport
{
public:
    void countSent(Priority priority);
    // Counts a request that the open loop dropped at its in-flight limit.
    void countUnsent(Priority priority);
    void record(Priority priority, const RequestOutcome &outcome, std::chrono::microseconds latency);

    // Wrong replies over all priorities.
    std::uint64_t wrong() const;

    nlohmann::json toJson(std::chrono::duration<double> elapsed) const;
    std::string formatTable(std::chrono::duration<double> elapsed) const;

private:
    struct Counts
    {
        std::uint64_t sent = 0;
        std::uint64_t unsent = 0;
        std::uint64_t complete = 0;
        std::uint64_t partial = 0;
        std::map<std::string, std::uint64_t> refused;
        std::map<std::string, std::uint64_t> failed;
        std::map<std::string, std::uint64_t> wrong;
        // Of complete and partial answers.
        std::vector<std::chrono::microseconds> latencies;
    };

    static nlohmann::json toJson(const Counts &counts, std::chrono::duration<double> elapsed);

    std::array<Counts, priorityCount> priorities;
};

} // namespace Galenawell::Load
