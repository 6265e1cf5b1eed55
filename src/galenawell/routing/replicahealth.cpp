#include "galenawell/routing/replicahealth.h"

#include <algorithm>
#include <cmath>

namespace Galenawell {

namespace {

// Weight of a new sample in the moving average: 1/8.
constexpr std::int64_t averageDivisor = 8;
// An average without samples halves in this time, so that a replica that is avoided for its latency is tried again.
constexpr std::chrono::seconds averageHalfLife{5};
// A reported load says nothing about the present after this time.
constexpr std::chrono::milliseconds reportLifetime{1000};
// A fresh report counts half as much as this front's own requests, since it may be wrong and contains some of them.
constexpr double reportWeight = 0.5;
constexpr std::uint32_t longestEjectionShift = 16;

constexpr double millionths = 1e6;
// Weight of a new outcome in the share of failures: 1/12.
constexpr double outcomeDivisor = 12.0;
// A replica that is avoided for its failures is tried again: its share of failures halves in this time.
constexpr std::chrono::milliseconds failureHalfLife{2500};
constexpr double leastReliability = 0.1;

std::int64_t halfLifeOf(std::chrono::milliseconds halfLife)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(halfLife).count();
}

std::int64_t toTicks(TimePoint point)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(point.time_since_epoch()).count();
}

TimePoint fromTicks(std::int64_t ticks)
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(ticks)));
}

// Each priority's places take this many bits of the word.
constexpr unsigned placeBits = 20;
constexpr std::uint64_t placeMask = (1U << placeBits) - 1;

std::uint64_t onePlace(Priority priority)
{
    return std::uint64_t{1} << (static_cast<unsigned>(priority) * placeBits);
}

// Places of a priority and the lower ones.
std::uint32_t placesFrom(std::uint64_t word, Priority priority)
{
    std::uint64_t places = 0;
    for (std::size_t index = static_cast<std::size_t>(priority); index < priorityCount; ++index) {
        places += (word >> (index * placeBits)) & placeMask;
    }
    return static_cast<std::uint32_t>(places);
}

// Raises the value; a concurrent larger value stays.
void raise(std::atomic<std::int64_t> &value, std::int64_t candidate)
{
    std::int64_t current = value.load(std::memory_order_relaxed);
    while (current < candidate && !value.compare_exchange_weak(current, candidate, std::memory_order_relaxed)) {
    }
}

} // namespace

ReplicaHealth::ReplicaHealth(EjectionOptions ejection, TimePoint seenFrom)
    : options(ejection)
    , firstSeen(seenFrom)
{
}

bool ReplicaHealth::acquire(Priority priority, const InFlightLimits &limits)
{
    std::uint64_t taken = this->running.load(std::memory_order_relaxed);
    while (placesFrom(taken, Priority::Urgent) < limits.total && placesFrom(taken, priority) < limits.ownAndLower) {
        if (this->running.compare_exchange_weak(taken, taken + onePlace(priority), std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

void ReplicaHealth::release(Priority priority)
{
    this->running.fetch_sub(onePlace(priority), std::memory_order_relaxed);
}

std::uint32_t ReplicaHealth::inFlight() const
{
    return this->inFlightAndLower(Priority::Urgent);
}

std::uint32_t ReplicaHealth::inFlightAndLower(Priority priority) const
{
    return placesFrom(this->running.load(std::memory_order_relaxed), priority);
}

void ReplicaHealth::recordSuccess(std::chrono::microseconds sample, TimePoint now)
{
    this->failures.store(0, std::memory_order_relaxed);
    this->overdueSince.store(0, std::memory_order_relaxed);
    raise(this->succeededAt, toTicks(now));
    this->addOutcome(false, now);
    this->addLatency(sample.count(), now);
}

void ReplicaHealth::recordFailure(TimePoint now)
{
    this->addOutcome(true, now);
    const std::int64_t ticks = toTicks(now);
    this->failureCount.fetch_add(1, std::memory_order_relaxed);
    std::int64_t until = this->ejectedUntil.load(std::memory_order_relaxed);
    if (ticks < until) {
        // Requests sent before the ejection fail after it; they must not prolong it.
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
    const std::uint32_t shift = std::min(this->ejections.load(std::memory_order_relaxed), longestEjectionShift);
    const std::int64_t duration = std::min(longest, std::chrono::nanoseconds(this->options.firstEjection).count() << shift);
    // Only the thread that moves the end of the ejection counts it.
    if (this->ejectedUntil.compare_exchange_strong(until, ticks + duration, std::memory_order_relaxed)) {
        this->ejections.fetch_add(1, std::memory_order_relaxed);
        // One more failure after the ejection ejects again.
        this->failures.store(this->options.consecutiveFailures - 1, std::memory_order_relaxed);
    }
}

void ReplicaHealth::recordRefusal(TimePoint now)
{
    this->addOutcome(true, now);
}

double ReplicaHealth::reliability(TimePoint now) const
{
    const std::int64_t age = toTicks(now) - this->failureShareAt.load(std::memory_order_relaxed);
    const double halfLives = static_cast<double>(std::max<std::int64_t>(age, 0)) / static_cast<double>(halfLifeOf(failureHalfLife));
    const double share = static_cast<double>(this->failureShare.load(std::memory_order_relaxed)) / millionths;
    return 1.0 - share * std::exp2(-halfLives);
}

void ReplicaHealth::addOutcome(bool failed, TimePoint now)
{
    const double share = 1.0 - this->reliability(now);
    const double next = share + ((failed ? 1.0 : 0.0) - share) / outcomeDivisor;
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
        this->addLatency(elapsed.count(), now);
    }
}

void ReplicaHealth::startBackoff(TimePoint until)
{
    raise(this->heldOffUntil, toTicks(until));
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

bool ReplicaHealth::ejected(TimePoint now) const
{
    return toTicks(now) < this->ejectedUntil.load(std::memory_order_relaxed);
}

TimePoint ReplicaHealth::ejectionEnd() const
{
    return fromTicks(this->ejectedUntil.load(std::memory_order_relaxed));
}

bool ReplicaHealth::onProbation() const
{
    const bool wasEjected = this->ejectedUntil.load(std::memory_order_relaxed) != 0;
    return wasEjected && this->failures.load(std::memory_order_relaxed) + 1 >= this->options.consecutiveFailures;
}

bool ReplicaHealth::heldOff(TimePoint now) const
{
    return toTicks(now) < this->heldOffUntil.load(std::memory_order_relaxed);
}

bool ReplicaHealth::succeededSince(TimePoint point) const
{
    const std::int64_t at = this->succeededAt.load(std::memory_order_relaxed);
    return at != 0 && at >= toTicks(point);
}

double ReplicaHealth::score(TimePoint now, std::chrono::microseconds fallbackLatency) const
{
    const std::chrono::microseconds average = this->averageLatency(now);
    const std::chrono::microseconds known = average.count() > 0 ? average : fallbackLatency;
    const std::int64_t reportAge = toTicks(now) - this->reportedAt.load(std::memory_order_relaxed);
    const double lifetime = std::chrono::duration<double, std::nano>(reportLifetime).count();
    const double freshness = std::clamp(1.0 - static_cast<double>(reportAge) / lifetime, 0.0, 1.0);
    const double reported = reportWeight * freshness * this->reportedLoad.load(std::memory_order_relaxed);
    const double places = 1.0 + this->inFlight() + reported;
    const double recentFailures = 1.0 + this->failures.load(std::memory_order_relaxed);
    // A failed subrequest costs its own time and a retry of the little budget that there is, hence the square.
    const double reliable = std::max(leastReliability, this->reliability(now));
    return places * recentFailures * static_cast<double>(std::max<std::int64_t>(known.count(), 1)) / (reliable * reliable);
}

TimePoint ReplicaHealth::since() const
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
    const double halfLives = static_cast<double>(age) / std::chrono::duration<double, std::nano>(averageHalfLife).count();
    const double decayed = static_cast<double>(average) * std::exp2(-halfLives);
    return std::chrono::microseconds(std::max<std::int64_t>(1, static_cast<std::int64_t>(decayed)));
}

void ReplicaHealth::addLatency(std::int64_t sample, TimePoint now)
{
    // Two threads at once may lose one sample of the two; the average needs no more.
    const std::int64_t average = this->averageLatency(now).count();
    const std::int64_t next = average == 0 ? sample : average + (sample - average) / averageDivisor;
    this->latency.store(std::max<std::int64_t>(next, 1), std::memory_order_relaxed);
    this->latencyAt.store(toTicks(now), std::memory_order_relaxed);
}

} // namespace Galenawell
