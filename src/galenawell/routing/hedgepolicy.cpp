#include "galenawell/routing/hedgepolicy.h"

#include <algorithm>
#include <cmath>

namespace Galenawell {

namespace {

constexpr std::int64_t milliPerToken = 1000;
// The bucket holds what this many subrequests earn.
constexpr std::int64_t rememberedSubrequests = 1000;

// The long delay is exceeded this many times less often: 1 % instead of 5 % of the subrequests.
constexpr double longDelayRarity = 5.0;
// Samples after which the histogram is halved: old latencies fade within a few thousand subrequests.
constexpr std::uint32_t halvingSamples = 4096;
// The quantile is recomputed once in this many samples, since that reads the whole histogram.
constexpr std::uint32_t refreshInterval = 64;

// Buckets: eight per doubling, from 64 us to about 67 s.
constexpr double firstBucketMicroseconds = 64.0;
constexpr double bucketsPerDoubling = 8.0;

std::int64_t milliTokensFor(double percent)
{
    return static_cast<std::int64_t>(std::lround(percent * milliPerToken / 100.0));
}

std::size_t bucketOf(std::chrono::microseconds latency, std::size_t bucketCount)
{
    const double ratio = std::max(1.0, static_cast<double>(latency.count()) / firstBucketMicroseconds);
    const auto index = static_cast<std::size_t>(std::log2(ratio) * bucketsPerDoubling);
    return std::min(index, bucketCount - 1);
}

std::int64_t upperBoundOf(std::size_t bucket)
{
    const double doublings = (static_cast<double>(bucket) + 1.0) / bucketsPerDoubling;
    return static_cast<std::int64_t>(firstBucketMicroseconds * std::exp2(doublings));
}

} // namespace

ExtraLoadBudget::ExtraLoadBudget(double percent)
    : milliTokens(milliTokensFor(percent) * rememberedSubrequests)
    , earnedPerSubrequest(milliTokensFor(percent))
{
}

ExtraLoadBudget::ExtraLoadBudget(double percent, double tokens)
    : milliTokens(0)
    , earnedPerSubrequest(milliTokensFor(percent))
    , milliCapacity(std::llround(tokens * milliPerToken))
{
}

std::int64_t ExtraLoadBudget::capacity() const
{
    if (const std::int64_t fixed = this->milliCapacity.load(std::memory_order_relaxed); fixed > 0) {
        return fixed;
    }
    return this->earnedPerSubrequest.load(std::memory_order_relaxed) * rememberedSubrequests;
}

void ExtraLoadBudget::earn()
{
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

void ExtraLoadBudget::grant(double tokens)
{
    this->milliTokens.fetch_add(std::llround(tokens * milliPerToken), std::memory_order_relaxed);
    this->dropExcess();
}

bool ExtraLoadBudget::spend()
{
    std::int64_t held = this->milliTokens.load(std::memory_order_relaxed);
    while (held >= milliPerToken) {
        if (this->milliTokens.compare_exchange_weak(held, held - milliPerToken, std::memory_order_relaxed)) {
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

void ExtraLoadBudget::setCapacity(double tokens)
{
    this->milliCapacity.store(std::llround(tokens * milliPerToken), std::memory_order_relaxed);
    this->dropExcess();
}

void ExtraLoadBudget::setPercent(double percent)
{
    this->earnedPerSubrequest.store(milliTokensFor(percent), std::memory_order_relaxed);
    this->dropExcess();
}

void ExtraLoadBudget::dropExcess()
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
    const bool due = count % refreshInterval == 0 || count == this->options.minimumSamples;
    if (count >= this->options.minimumSamples && due) {
        this->refreshDelays();
    }
    // Exactly one thread sees this count.
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
    const double longQuantile = 1.0 - (1.0 - this->options.quantile) / longDelayRarity;
    this->cachedDelay.store(this->quantileOf(this->options.quantile), std::memory_order_relaxed);
    this->cachedLongDelay.store(this->quantileOf(longQuantile), std::memory_order_relaxed);
}

std::int64_t HedgePolicy::quantileOf(double quantile) const
{
    std::uint64_t total = 0;
    for (const std::atomic<std::uint32_t> &bucket : this->buckets) {
        total += bucket.load(std::memory_order_relaxed);
    }
    const double wanted = static_cast<double>(total) * quantile;
    std::uint64_t below = 0;
    std::size_t index = 0;
    while (index + 1 < bucketCount) {
        below += this->buckets.at(index).load(std::memory_order_relaxed);
        if (static_cast<double>(below) >= wanted) {
            break;
        }
        ++index;
    }
    return upperBoundOf(index);
}

std::chrono::microseconds HedgePolicy::delay() const
{
    const std::atomic<std::int64_t> &wanted = this->budget.lessThanHalfFull() ? this->cachedLongDelay : this->cachedDelay;
    const std::chrono::microseconds learnt(wanted.load(std::memory_order_relaxed));
    return std::max<std::chrono::microseconds>(learnt, this->options.minimumDelay);
}

bool HedgePolicy::trySpend()
{
    return this->options.enabled && this->budget.spend();
}

void HedgePolicy::earn()
{
    this->budget.earn();
}

bool HedgePolicy::enabled() const
{
    return this->options.enabled;
}

} // namespace Galenawell
