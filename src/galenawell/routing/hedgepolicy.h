// Decides when a slow subrequest is hedged and bounds the extra load. One front shares the state between all requests of a
// service, so all members are atomic.
#pragma once

#include "galenawell/configuration/configuration.h"
#include "galenawell/core/clock.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>

namespace Galenawell {

// A front's part of the extra load that is allowed besides the percentage of the requests.
struct ExtraLoadAllowance
{
    // Bounds a burst.
    double capacity = 1.0;
    double refillPerSecond = 0.0;
};

// Token bucket for hedges and retries: each first subrequest earns a fraction of a token, each extra one spends a token.
// With an allowance it is also refilled by time, so in any window it spends at most the percentage of the subrequests, the
// capacity, and the refill of the window.
class ExtraLoadBudget
{
public:
    explicit ExtraLoadBudget(double percent);
    // With a fixed capacity. Begins empty, so that a restarted process adds no load.
    ExtraLoadBudget(double percent, double tokens);
    // Adds tokens, up to the capacity.
    void grant(double tokens, TimePoint now);

    void earn(TimePoint now);
    bool spend(TimePoint now);
    bool lessThanHalfFull() const;
    void setPercent(double percent);
    void setAllowance(const ExtraLoadAllowance &allowance);
    // Copies the tokens, up to this budget's capacity.
    void copyStateFrom(const ExtraLoadBudget &previous);

private:
    // Bounded by the capacity, so that an idle period doesn't allow a burst.
    std::atomic<std::int64_t> milliTokens;
    std::atomic<std::int64_t> earnedPerSubrequest;
    // 0: the tokens that a fixed number of subrequests earns.
    std::atomic<std::int64_t> milliCapacity{0};
    std::atomic<std::int64_t> milliRefillPerSecond{0};
    // Nanoseconds of the monotonic clock; 0 before the first refill or grant.
    std::atomic<std::int64_t> refilledAt{0};

    void refill(TimePoint now);
    std::int64_t capacity() const;
    void clampToCapacity();
};

class HedgePolicy
{
public:
    explicit HedgePolicy(const HedgeOptions &hedgeOptions);

    // Time from send to reply. Abandoned subrequests aren't recorded: if the share of stragglers exceeded one minus the
    // quantile, they would raise the delay until nothing is hedged although there is budget.
    void recordLatency(std::chrono::microseconds latency);
    // Delay after which a subrequest may be hedged: the measured quantile, at least the minimum delay. A higher quantile
    // while the budget is less than half full, so that hedges of the normal tail leave budget for stragglers.
    std::chrono::microseconds delay() const;
    // The same with the state of another budget.
    std::chrono::microseconds delay(const ExtraLoadBudget &spentBudget) const;
    // The delay while the budget is less than half full.
    std::chrono::microseconds longDelay() const;
    // Takes a token for one hedge. False if there is none or hedging is disabled.
    bool trySpend(TimePoint now);
    // To be called once per first subrequest.
    void earn(TimePoint now);
    bool enabled() const;
    // Copies the histogram and the tokens of the policy that this one replaces; otherwise each change of configuration
    // would reset the delay and refill the budget. To be called before other threads use this policy.
    void copyStateFrom(const HedgePolicy &previous);

private:
    static constexpr std::size_t bucketCount = 160;

    HedgeOptions options;
    ExtraLoadBudget budget;
    // Logarithmic latency histogram, halved regularly so that it follows changes.
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
