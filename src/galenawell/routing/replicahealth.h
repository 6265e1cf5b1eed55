// What one front has observed of one replica. Updated by many requests at once, so every member is atomic.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace Galenawell {

struct LoadReport
{
    // Requests that the server runs and that wait there.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

struct EjectionOptions
{
    std::uint32_t consecutiveFailures = 3;
    std::chrono::milliseconds firstEjection{1000};
    std::chrono::milliseconds longestEjection{60000};
};

struct InFlightLimits
{
    // Places of all priorities together.
    std::uint32_t total = 1;
    // Places of the acquiring priority and the lower ones together. Higher priorities don't count here, or a flood of
    // them would leave a lower priority no place at all.
    std::uint32_t ownAndLower = 1;
};

class ReplicaHealth
{
public:
    ReplicaHealth(EjectionOptions ejection, TimePoint seenFrom);

    // Takes one place for a priority. False if either limit is reached.
    bool acquire(Priority priority, const InFlightLimits &limits);
    // Gives back a place that the same priority took.
    void release(Priority priority);
    std::uint32_t inFlight() const;
    std::uint32_t inFlightAndLower(Priority priority) const;

    void recordSuccess(std::chrono::microseconds sample, TimePoint now);
    // Failures that speak against the replica itself, not those of one silent connection.
    void recordFailure(TimePoint now);
    // The share of recent subrequests that brought a reply, which rises again while nothing is sent.
    double reliability(TimePoint now) const;
    // A refusal speaks against sending more, but not against the replica's health.
    void recordRefusal(TimePoint now);
    void recordLoad(const LoadReport &load, TimePoint now);
    // A subrequest that was given up after this time; without it a replica whose replies are never awaited keeps its
    // good average.
    void recordLatencyAtLeast(std::chrono::microseconds elapsed, TimePoint now);
    // The server refused work without running it; no front-side choice takes the replica before this point.
    void startBackoff(TimePoint until);

    // Cleared when a newer table shows the replica as draining or gone. Queries keep the table they began with; without
    // this they would send new work to a draining server for as long as they run.
    void setAccepting(bool accepts);
    bool accepting() const;

    // A subrequest takes longer than nearly all others: the replica may stand still. Ends with its next reply, or after the
    // time without one.
    void noteOverdue(TimePoint now);
    bool overdue(TimePoint now, Duration lifetime) const;
    // A subrequest took far longer than usual, or its hedge was answered first.
    void noteOutlier();
    // Since the front knows the replica.
    std::uint32_t outliers() const;
    std::uint32_t failedSubrequests() const;
    // Set while fronts together find the replica slow or failing.
    void setImpaired(bool isImpaired);
    bool impaired() const;

    bool ejected(TimePoint now) const;
    TimePoint ejectionEnd() const;
    // True after an ejection until a success; then one subrequest at a time tests the replica.
    bool onProbation() const;
    bool heldOff(TimePoint now) const;
    bool succeededSince(TimePoint point) const;
    // Lower is better: own in-flight and latency first, the reported load less the older it is. A replica without a
    // latency sample is given the fallback.
    double score(TimePoint now, std::chrono::microseconds fallbackLatency) const;
    TimePoint since() const;
    // Zero before the first sample; halves with every few seconds without one, so that a replica that was slow is
    // tried again.
    std::chrono::microseconds averageLatency(TimePoint now) const;

private:
    EjectionOptions options;
    TimePoint firstSeen;
    // Places by priority in one word, so that both limits are checked against one state.
    std::atomic<std::uint64_t> running{0};
    std::atomic<std::uint32_t> failures{0};
    std::atomic<std::uint32_t> ejections{0};
    std::atomic<std::int64_t> ejectedUntil{0};
    // Microseconds; 0 before the first sample.
    std::atomic<std::int64_t> latency{0};
    // Time points are nanoseconds of the monotonic clock; 0 before the first event.
    std::atomic<std::int64_t> latencyAt{0};
    std::atomic<std::int64_t> succeededAt{0};
    std::atomic<std::int64_t> heldOffUntil{0};
    std::atomic<std::int64_t> overdueSince{0};
    std::atomic<std::uint32_t> outlierCount{0};
    std::atomic<std::uint32_t> failureCount{0};
    std::atomic<bool> foundImpaired{false};
    // Moving average of failed or refused subrequests, in millionths, and when it was last updated.
    std::atomic<std::int64_t> failureShare{0};
    std::atomic<std::int64_t> failureShareAt{0};
    std::atomic<bool> acceptsWork{true};
    std::atomic<std::uint32_t> reportedLoad{0};
    std::atomic<std::int64_t> reportedAt{0};

    void addOutcome(bool failed, TimePoint now);
    void addLatency(std::int64_t sample, TimePoint now);
};

} // namespace Galenawell
