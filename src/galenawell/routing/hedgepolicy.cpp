#include "galenawell/routing/hedgepolicy.h"

#include <algorithm>
#include <cmath>

namespace Galenawell {

namespace {

constexpr std::int64_t milliTokensPerToken = 1000;
// Capacity without a fixed one: the tokens that this many subrequests earn.
constexpr std::int64_t capacityInSubrequests = 1000;

// The long delay is exceeded this many times less often, for example by 1 % instead of 5 % of the subrequests.
constexpr double longDelayTailDivisor = 5.0;
// The histogram is halved at this count, so that old latencies lose their weight within a few thousand subrequests.
constexpr std::uint32_t halvingSamples = 4096;
// Samples between two computations of the quantiles, each of which reads the whole histogram.
constexpr std::uint32_t refreshSamples = 64;

// Longest time that one refill counts. A front without traffic must not collect tokens: those that carry the traffic share
// the whole allowance.
constexpr std::chrono::seconds maximumRefillTime{1};
// A budget that wasn't used for this long loses its tokens, as its front may since have stopped counting as one that carries
// traffic.
constexpr std::chrono::seconds idleTime{5};

// The buckets cover 64 us to about 67 s.
constexpr double histogramMinimumMicroseconds = 64.0;
constexpr double bucketsPerDoubling = 8.0;

std::int64_t toMilliTokens(double percent)
{
    return static_cast<std::int64_t>(std::lround(percent * milliTokensPerToken / 100.0));
}

std::size_t bucketOf(std::chrono::microseconds latency, std::size_t bucketCount)
{
    const double ratio = std::max(1.0, static_cast<double>(latency.count()) / histogramMinimumMicroseconds);
    const auto index = static_cast<std::size_t>(std::log2(ratio) * bucketsPerDoubling);
    return std::min(index, bucketCount - 1);
}

std::int64_t toTicks(TimePoint point)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(point.time_since_epoch()).count();
}

std::int64_t upperBoundOf(std::size_t bucket)
{
    const double doublings = (static_cast<double>(bucket) + 1.0) / bucketsPerDoubling;
    return static_cast<std::int64_t>(histogramMinimumMicroseconds * std::exp2(doublings));
}

} // namespace

ExtraLoadBudget::ExtraLoadBudget(double percent)
    : milliTokens(toMilliTokens(percent) * capacityInSubrequests)
    , earnedPerSubrequest(toMilliTokens(percent))
{
}

ExtraLoadBudget::ExtraLoadBudget(double percent, double tokens)
    : milliTokens(0)
    , earnedPerSubrequest(toMilliTokens(percent))
    , milliCapacity(std::llround(tokens * milliTokensPerToken))
{
}

std::int64_t ExtraLoadBudget::capacity() const
{
    if (const std::int64_t fixed = this->milliCapacity.load(std::memory_order_relaxed); fixed > 0) {
        return fixed;
    }
    return this->earnedPerSubrequest.load(std::memory_order_relaxed) * capacityInSubrequests;
}

void ExtraLoadBudget::refill(TimePoint now)
{
    const std::int64_t rate = this->milliRefillPerSecond.load(std::memory_order_relaxed);
    if (rate == 0) {
        return;
    }
    const std::int64_t nowTicks = toTicks(now);
    std::int64_t previous = this->refilledAt.load(std::memory_order_relaxed);
    const std::chrono::nanoseconds unused(nowTicks - previous);
    const std::int64_t added = std::chrono::nanoseconds(std::min<std::chrono::nanoseconds>(unused, maximumRefillTime)).count() * rate
        / std::chrono::nanoseconds(std::chrono::seconds(1)).count();
    // Short times add up until they are worth a thousandth of a token. Of several concurrent callers only one refills.
    if (added <= 0 || !this->refilledAt.compare_exchange_strong(previous, nowTicks, std::memory_order_relaxed)) {
        return;
    }
    if (unused > idleTime) {
        this->milliTokens.store(0, std::memory_order_relaxed);
    }
    this->milliTokens.fetch_add(added, std::memory_order_relaxed);
    this->clampToCapacity();
}

void ExtraLoadBudget::earn(TimePoint now)
{
    this->refill(now);
    const std::int64_t limit = this->capacity();
    const std::int64_t earned = this->earnedPerSubrequest.load(std::memory_order_relaxed);
    std::int64_t held = this->milliTokens.load(std::memory_order_relaxed);
    while (held < limit) {
        const std::int64_t next = std::min(limit, held + earned);
        if (this->milliTokens.compare_exchange_weak(held, next, std::memory_order_relaxed)) {
            return;
        }
    }
}

void ExtraLoadBudget::grant(double tokens, TimePoint now)
{
    this->refilledAt.store(toTicks(now), std::memory_order_relaxed);
    this->milliTokens.fetch_add(std::llround(tokens * milliTokensPerToken), std::memory_order_relaxed);
    this->clampToCapacity();
}

bool ExtraLoadBudget::spend(TimePoint now)
{
    this->refill(now);
    std::int64_t held = this->milliTokens.load(std::memory_order_relaxed);
    while (held >= milliTokensPerToken) {
        if (this->milliTokens.compare_exchange_weak(held, held - milliTokensPerToken, std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

void ExtraLoadBudget::copyStateFrom(const ExtraLoadBudget &previous)
{
    const std::int64_t held = previous.milliTokens.load(std::memory_order_relaxed);
    this->milliTokens.store(std::min(held, this->capacity()), std::memory_order_relaxed);
}

bool ExtraLoadBudget::lessThanHalfFull() const
{
    return this->milliTokens.load(std::memory_order_relaxed) * 2 < this->capacity();
}

void ExtraLoadBudget::setAllowance(const ExtraLoadAllowance &allowance)
{
    this->milliCapacity.store(std::llround(allowance.capacity * milliTokensPerToken), std::memory_order_relaxed);
    this->milliRefillPerSecond.store(std::llround(allowance.refillPerSecond * milliTokensPerToken), std::memory_order_relaxed);
    this->clampToCapacity();
}

void ExtraLoadBudget::setPercent(double percent)
{
    this->earnedPerSubrequest.store(toMilliTokens(percent), std::memory_order_relaxed);
    this->clampToCapacity();
}

void ExtraLoadBudget::clampToCapacity()
{
    const std::int64_t limit = this->capacity();
    std::int64_t held = this->milliTokens.load(std::memory_order_relaxed);
    while (held > limit && !this->milliTokens.compare_exchange_weak(held, limit, std::memory_order_relaxed)) {
    }
}

HedgePolicy::HedgePolicy(const HedgeOptions &hedgeOptions)
    : options(hedgeOptions)
    , budget(hedgeOptions.budgetPercent)
    , cachedDelay(std::chrono::microseconds(hedgeOptions.initialDelay).count())
    , cachedLongDelay(std::chrono::microseconds(hedgeOptions.initialDelay).count())
{
}

void HedgePolicy::copyStateFrom(const HedgePolicy &previous)
{
    this->budget.copyStateFrom(previous.budget);
    for (std::size_t index = 0; index < bucketCount; ++index) {
        this->buckets.at(index).store(previous.buckets.at(index).load(std::memory_order_relaxed), std::memory_order_relaxed);
    }
    const std::uint32_t count = previous.samples.load(std::memory_order_relaxed);
    this->samples.store(count, std::memory_order_relaxed);
    if (count >= this->options.minimumSamples) {
        this->refreshDelays();
    }
}

void HedgePolicy::recordLatency(std::chrono::microseconds latency)
{
    this->buckets.at(bucketOf(latency, bucketCount)).fetch_add(1, std::memory_order_relaxed);
    const std::uint32_t count = this->samples.fetch_add(1, std::memory_order_relaxed) + 1;
    const bool due = count % refreshSamples == 0 || count == this->options.minimumSamples;
    if (count >= this->options.minimumSamples && due) {
        this->refreshDelays();
    }
    // Only one thread gets this count from fetch_add.
    if (count == halvingSamples) {
        this->halveBuckets();
    }
}

void HedgePolicy::halveBuckets()
{
    for (std::atomic<std::uint32_t> &bucket : this->buckets) {
        bucket.fetch_sub(bucket.load(std::memory_order_relaxed) / 2, std::memory_order_relaxed);
    }
    this->samples.fetch_sub(halvingSamples / 2, std::memory_order_relaxed);
}

void HedgePolicy::refreshDelays()
{
    const double longQuantile = 1.0 - (1.0 - this->options.quantile) / longDelayTailDivisor;
    this->cachedDelay.store(this->quantileOf(this->options.quantile), std::memory_order_relaxed);
    this->cachedLongDelay.store(this->quantileOf(longQuantile), std::memory_order_relaxed);
}

std::int64_t HedgePolicy::quantileOf(double quantile) const
{
    std::uint64_t total = 0;
    for (const std::atomic<std::uint32_t> &bucket : this->buckets) {
        total += bucket.load(std::memory_order_relaxed);
    }
    const double rank = static_cast<double>(total) * quantile;
    std::uint64_t below = 0;
    std::size_t index = 0;
    while (index + 1 < bucketCount) {
        below += this->buckets.at(index).load(std::memory_order_relaxed);
        if (static_cast<double>(below) >= rank) {
            break;
        }
        ++index;
    }
    return upperBoundOf(index);
}

std::chrono::microseconds HedgePolicy::delay() const
{
    return this->delay(this->budget);
}

std::chrono::microseconds HedgePolicy::delay(const ExtraLoadBudget &spentBudget) const
{
    if (spentBudget.lessThanHalfFull()) {
        return this->longDelay();
    }
    const std::chrono::microseconds measured(this->cachedDelay.load(std::memory_order_relaxed));
    return std::max<std::chrono::microseconds>(measured, this->options.minimumDelay);
}

std::chrono::microseconds HedgePolicy::longDelay() const
{
    const std::chrono::microseconds measured(this->cachedLongDelay.load(std::memory_order_relaxed));
    return std::max<std::chrono::microseconds>(measured, this->options.minimumDelay);
}

bool HedgePolicy::trySpend(TimePoint now)
{
    return this->options.enabled && this->budget.spend(now);
}

void HedgePolicy::earn(TimePoint now)
{
    this->budget.earn(now);
}

bool HedgePolicy::enabled() const
{
    return this->options.enabled;
}

} // namespace Galenawell
