#include "galenawell/routing/replicahealth.h"

#include <algorithm>
#include <cmath>

namespace Galenawell {

namespace {

// A new sample has the weight 1/8 in the moving average.
constexpr std::int64_t latencyDivisor = 8;
// The average latency decays without samples, so that a replica that is avoided for its latency is tried again.
constexpr std::chrono::seconds latencyHalfLife{5};
// Age at which a reported load is no longer used.
constexpr std::chrono::milliseconds loadReportLifetime{1000};
// A new report counts half as much as this front's own requests, since it may be inaccurate and includes some of them.
constexpr double reportedLoadWeight = 0.5;
constexpr std::uint32_t maximumEjectionDoublings = 16;

constexpr double millionths = 1e6;
// A new outcome has the weight 1/12 in the moving average of failures.
constexpr double failureShareDivisor = 12.0;
// The share of failures decays, so that a replica that is avoided for its failures is tried again.
constexpr std::chrono::milliseconds failureShareHalfLife{2500};
constexpr double minimumReliability = 0.1;

std::int64_t toNanoseconds(std::chrono::milliseconds duration)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(duration).count();
}

std::int64_t toTicks(TimePoint point)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(point.time_since_epoch()).count();
}

TimePoint fromTicks(std::int64_t ticks)
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(ticks)));
}

// Bits of the word for the slots of one priority.
constexpr unsigned slotBits = 20;
constexpr std::uint64_t slotMask = (1U << slotBits) - 1;

std::uint64_t oneSlot(Priority priority)
{
    return std::uint64_t{1} << (static_cast<unsigned>(priority) * slotBits);
}

// Slots of a priority and the lower ones.
std::uint32_t slotsAtOrBelow(std::uint64_t word, Priority priority)
{
    std::uint64_t slots = 0;
    for (std::size_t index = static_cast<std::size_t>(priority); index < priorityCount; ++index) {
        slots += (word >> (index * slotBits)) & slotMask;
    }
    return static_cast<std::uint32_t>(slots);
}

// Atomic maximum.
void raiseTo(std::atomic<std::int64_t> &value, std::int64_t candidate)
{
    std::int64_t current = value.load(std::memory_order_relaxed);
    while (current < candidate && !value.compare_exchange_weak(current, candidate, std::memory_order_relaxed)) {
    }
}

} // namespace

ReplicaHealth::ReplicaHealth(EjectionOptions ejection, TimePoint firstSeenTime)
    : options(ejection)
    , firstSeen(firstSeenTime)
{
}

bool ReplicaHealth::acquire(Priority priority, const InFlightLimits &limits)
{
    std::uint64_t taken = this->slotsInUse.load(std::memory_order_relaxed);
    while (slotsAtOrBelow(taken, Priority::Urgent) < limits.total && slotsAtOrBelow(taken, priority) < limits.ownAndLower) {
        if (this->slotsInUse.compare_exchange_weak(taken, taken + oneSlot(priority), std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

void ReplicaHealth::release(Priority priority)
{
    this->slotsInUse.fetch_sub(oneSlot(priority), std::memory_order_relaxed);
}

std::uint32_t ReplicaHealth::inFlight() const
{
    return this->inFlightAndLower(Priority::Urgent);
}

std::uint32_t ReplicaHealth::inFlightAndLower(Priority priority) const
{
    return slotsAtOrBelow(this->slotsInUse.load(std::memory_order_relaxed), priority);
}

void ReplicaHealth::recordSuccess(std::chrono::microseconds sample, TimePoint now)
{
    this->failures.store(0, std::memory_order_relaxed);
    this->overdueSince.store(0, std::memory_order_relaxed);
    raiseTo(this->succeededAt, toTicks(now));
    this->updateFailureShare(false, now);
    this->updateLatency(sample.count(), now);
}

void ReplicaHealth::recordFailure(TimePoint now)
{
    this->updateFailureShare(true, now);
    const std::int64_t ticks = toTicks(now);
    this->failureCount.fetch_add(1, std::memory_order_relaxed);
    std::int64_t until = this->ejectedUntil.load(std::memory_order_relaxed);
    if (ticks < until) {
        // Failures of requests that were sent before the ejection must not prolong it.
        return;
    }
    const std::uint32_t counted = this->failures.fetch_add(1, std::memory_order_relaxed) + 1;
    if (counted < this->options.consecutiveFailures) {
        return;
    }
    const std::int64_t longest = std::chrono::nanoseconds(this->options.longestEjection).count();
    if (until == 0 || ticks - until > longest) {
        this->ejections.store(0, std::memory_order_relaxed);
    }
    const std::uint32_t shift = std::min(this->ejections.load(std::memory_order_relaxed), maximumEjectionDoublings);
    const std::int64_t duration = std::min(longest, std::chrono::nanoseconds(this->options.firstEjection).count() << shift);
    // Of several concurrent failures only one counts as an ejection.
    if (this->ejectedUntil.compare_exchange_strong(until, ticks + duration, std::memory_order_relaxed)) {
        this->ejections.fetch_add(1, std::memory_order_relaxed);
        // A single failure after the ejection ejects again.
        this->failures.store(this->options.consecutiveFailures - 1, std::memory_order_relaxed);
    }
}

void ReplicaHealth::recordRefusal(TimePoint now)
{
    this->updateFailureShare(true, now);
}

double ReplicaHealth::reliability(TimePoint now) const
{
    const std::int64_t age = toTicks(now) - this->failureShareAt.load(std::memory_order_relaxed);
    const double halfLives = static_cast<double>(std::max<std::int64_t>(age, 0)) / static_cast<double>(toNanoseconds(failureShareHalfLife));
    const double share = static_cast<double>(this->failureShare.load(std::memory_order_relaxed)) / millionths;
    return 1.0 - share * std::exp2(-halfLives);
}

void ReplicaHealth::updateFailureShare(bool failed, TimePoint now)
{
    const double share = 1.0 - this->reliability(now);
    const double next = share + ((failed ? 1.0 : 0.0) - share) / failureShareDivisor;
    this->failureShare.store(static_cast<std::int64_t>(next * millionths), std::memory_order_relaxed);
    this->failureShareAt.store(toTicks(now), std::memory_order_relaxed);
}

void ReplicaHealth::recordLoad(const LoadReport &load, TimePoint now)
{
    this->reportedLoad.store(load.running + load.waiting, std::memory_order_relaxed);
    this->reportedAt.store(toTicks(now), std::memory_order_relaxed);
}

void ReplicaHealth::recordLatencyAtLeast(std::chrono::microseconds elapsed, TimePoint now)
{
    if (elapsed > this->averageLatency(now)) {
        this->updateLatency(elapsed.count(), now);
    }
}

void ReplicaHealth::startBackoff(TimePoint until)
{
    raiseTo(this->backoffUntil, toTicks(until));
}

void ReplicaHealth::noteOverdue(TimePoint now)
{
    this->overdueSince.store(toTicks(now), std::memory_order_relaxed);
}

void ReplicaHealth::noteOutlier()
{
    this->outlierCount.fetch_add(1, std::memory_order_relaxed);
}

std::uint32_t ReplicaHealth::outliers() const
{
    return this->outlierCount.load(std::memory_order_relaxed);
}

std::uint32_t ReplicaHealth::failedSubrequests() const
{
    return this->failureCount.load(std::memory_order_relaxed);
}

void ReplicaHealth::setImpaired(bool isImpaired)
{
    this->foundImpaired.store(isImpaired, std::memory_order_relaxed);
}

bool ReplicaHealth::impaired() const
{
    return this->foundImpaired.load(std::memory_order_relaxed);
}

bool ReplicaHealth::overdue(TimePoint now, Duration lifetime) const
{
    const std::int64_t since = this->overdueSince.load(std::memory_order_relaxed);
    return since != 0 && fromTicks(since) + lifetime > now;
}

void ReplicaHealth::setAccepting(bool accepts)
{
    this->acceptsWork.store(accepts, std::memory_order_relaxed);
}

bool ReplicaHealth::accepting() const
{
    return this->acceptsWork.load(std::memory_order_relaxed);
}

void ReplicaHealth::setLeaving()
{
    this->isLeaving.store(true, std::memory_order_relaxed);
}

bool ReplicaHealth::leaving() const
{
    return this->isLeaving.load(std::memory_order_relaxed);
}

void ReplicaHealth::pauseUntil(TimePoint end)
{
    raiseTo(this->pausedUntil, toTicks(end));
}

TimePoint ReplicaHealth::pauseEnd() const
{
    return fromTicks(this->pausedUntil.load(std::memory_order_relaxed));
}

bool ReplicaHealth::ejected(TimePoint now) const
{
    return toTicks(now) < this->ejectedUntil.load(std::memory_order_relaxed);
}

TimePoint ReplicaHealth::ejectionEnd() const
{
    return fromTicks(this->ejectedUntil.load(std::memory_order_relaxed));
}

bool ReplicaHealth::halfOpen() const
{
    const bool wasEjected = this->ejectedUntil.load(std::memory_order_relaxed) != 0;
    return wasEjected && this->failures.load(std::memory_order_relaxed) + 1 >= this->options.consecutiveFailures;
}

bool ReplicaHealth::inBackoff(TimePoint now) const
{
    return toTicks(now) < this->backoffUntil.load(std::memory_order_relaxed);
}

bool ReplicaHealth::succeededSince(TimePoint point) const
{
    const std::int64_t at = this->succeededAt.load(std::memory_order_relaxed);
    return at != 0 && at >= toTicks(point);
}

double ReplicaHealth::score(TimePoint now, std::chrono::microseconds fallbackLatency) const
{
    const std::chrono::microseconds average = this->averageLatency(now);
    const std::chrono::microseconds expected = average.count() > 0 ? average : fallbackLatency;
    const std::int64_t reportAge = toTicks(now) - this->reportedAt.load(std::memory_order_relaxed);
    const double lifetime = std::chrono::duration<double, std::nano>(loadReportLifetime).count();
    const double freshness = std::clamp(1.0 - static_cast<double>(reportAge) / lifetime, 0.0, 1.0);
    const double reported = reportedLoadWeight * freshness * this->reportedLoad.load(std::memory_order_relaxed);
    const double load = 1.0 + this->inFlight() + reported;
    const double recentFailures = 1.0 + this->failures.load(std::memory_order_relaxed);
    // Squared, since a failed subrequest costs its own time and a retry from the limited budget.
    const double reliable = std::max(minimumReliability, this->reliability(now));
    return load * recentFailures * static_cast<double>(std::max<std::int64_t>(expected.count(), 1)) / (reliable * reliable);
}

TimePoint ReplicaHealth::firstSeenAt() const
{
    return this->firstSeen;
}

std::chrono::microseconds ReplicaHealth::averageLatency(TimePoint now) const
{
    const std::int64_t average = this->latency.load(std::memory_order_relaxed);
    const std::int64_t age = toTicks(now) - this->latencyAt.load(std::memory_order_relaxed);
    if (average == 0 || age <= 0) {
        return std::chrono::microseconds(average);
    }
    const double halfLives = static_cast<double>(age) / std::chrono::duration<double, std::nano>(latencyHalfLife).count();
    const double decayed = static_cast<double>(average) * std::exp2(-halfLives);
    return std::chrono::microseconds(std::max<std::int64_t>(1, static_cast<std::int64_t>(decayed)));
}

void ReplicaHealth::updateLatency(std::int64_t sample, TimePoint now)
{
    // A concurrent update may lose one sample, which is acceptable for an average.
    const std::int64_t average = this->averageLatency(now).count();
    const std::int64_t next = average == 0 ? sample : average + (sample - average) / latencyDivisor;
    this->latency.store(std::max<std::int64_t>(next, 1), std::memory_order_relaxed);
    this->latencyAt.store(toTicks(now), std::memory_order_relaxed);
}

} // namespace Galenawell
