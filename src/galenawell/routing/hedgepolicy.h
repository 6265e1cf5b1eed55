// When to send a second subrequest for a slow one, and how many of them the system may add. Shared by all requests of a
// service in one front; all members are atomic.
#pragma once

#include "galenawell/configuration/configuration.h"
#include "galenawell/core/clock.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>

namespace Galenawell {

// Earns a fraction of a token for each subrequest and spends one for each extra one.
class ExtraLoadBudget
{
public:
    explicit ExtraLoadBudget(double percent);
    // Holds up to the given number of tokens and begins empty, so that a process that restarts adds nothing.
    ExtraLoadBudget(double percent, double tokens);
    // Adds tokens, up to the capacity.
    void grant(double tokens);

    void earn();
    bool spend();
    bool lessThanHalfFull() const;
    void setPercent(double percent);
    void setCapacity(double tokens);
    // Takes over what another budget holds, up to the own capacity.
    void copyStateFrom(const ExtraLoadBudget &previous);

private:
    // Thousandths of a token, bounded, so that a quiet hour doesn't pay for a burst.
    std::atomic<std::int64_t> milliTokens;
    std::atomic<std::int64_t> earnedPerSubrequest;
    // 0: what a fixed number of subrequests earns.
    std::atomic<std::int64_t> milliCapacity{0};

    std::int64_t capacity() const;
    void dropExcess();
};

class HedgePolicy
{
public:
    explicit HedgePolicy(const HedgeOptions &hedgeOptions);

    // Latency of a reply, from its own send. Subrequests that were given up don't count: with them, a share of stragglers
    // above the quantile's complement would raise the delay until nothing is hedged, although there is budget.
    void recordLatency(std::chrono::microseconds latency);
    // Delay after which a subrequest may be hedged; the learnt quantile, at least the minimum delay. A higher quantile
    // while the budget is less than half full: the rest is kept for stragglers, or the normal tail would use it up.
    std::chrono::microseconds delay() const;
    // True if a hedge may be sent now; takes it from the budget.
    bool trySpend();
    // Called once per first subrequest.
    void earn();
    bool enabled() const;
    // Takes over what another policy has learnt and what its budget holds, for a change of options. Without this every
    // change of configuration would bring back the delay of an unlearnt service and a full budget. Called before other
    // threads use this policy.
    void copyStateFrom(const HedgePolicy &previous);

private:
    static constexpr std::size_t bucketCount = 160;

    HedgeOptions options;
    ExtraLoadBudget budget;
    // Logarithmic latency histogram that is halved regularly, so that it follows changes.
    std::array<std::atomic<std::uint32_t>, bucketCount> buckets{};
    std::atomic<std::uint32_t> samples{0};
    // Microseconds.
    std::atomic<std::int64_t> cachedDelay;
    std::atomic<std::int64_t> cachedLongDelay;

    void halveBuckets();
    void refreshDelays();
    std::int64_t quantileOf(double quantile) const;
};

} // namespace Galenawell
