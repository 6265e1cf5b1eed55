// What one front has observed of one replica. Requests update it concurrently, so every member is atomic.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace Galenawell {

struct LoadReport
{
    // Requests that run on the server, and that wait there.
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
    // Requests of all priorities together.
    std::uint32_t total = 1;
    // Requests of the acquiring priority and the lower ones together. Higher priorities don't count here; otherwise a
    // flood of them would shut out the lower ones.
    std::uint32_t ownAndLower = 1;
};

class ReplicaHealth
{
public:
    ReplicaHealth(EjectionOptions ejection, TimePoint firstSeenTime);

    // Acquires an in-flight slot. False if either limit is reached.
    bool acquire(Priority priority, const InFlightLimits &limits);
    // Releases a slot that was acquired with the same priority.
    void release(Priority priority);
    std::uint32_t inFlight() const;
    std::uint32_t inFlightAndLower(Priority priority) const;

    void recordSuccess(std::chrono::microseconds sample, TimePoint now);
    // Only for failures of the replica itself, not of a single unresponsive connection.
    void recordFailure(TimePoint now);
    // Moving average of the success rate; it recovers while nothing is sent.
    double reliability(TimePoint now) const;
    // A refusal lowers the reliability, but isn't a failure that leads to an ejection.
    void recordRefusal(TimePoint now);
    void recordLoad(const LoadReport &load, TimePoint now);
    // Records a subrequest that was abandoned after this time; otherwise a replica whose replies always come too late
    // would keep a low average latency.
    void recordLatencyAtLeast(std::chrono::microseconds elapsed, TimePoint now);
    // The server refused work without running it; the replica isn't chosen before this time.
    void startBackoff(TimePoint until);

    // False once a newer table shows the replica as draining or removed. Running queries keep their old table and would
    // otherwise go on sending to a draining server.
    void setAccepting(bool accepts);
    bool accepting() const;

    // The server said that it leaves. Never reset: a later run of the server has a health object of its own.
    void setLeaving();
    bool leaving() const;
    // The server asked for a pause until this time. An earlier end than a known one is ignored.
    void pauseUntil(TimePoint end);
    // TimePoint() if it never asked for one.
    TimePoint pauseEnd() const;

    // A subrequest takes longer than nearly all others, so the replica may be stalled. Cleared by its next reply, or after
    // the lifetime without one.
    void noteOverdue(TimePoint now);
    bool overdue(TimePoint now, Duration lifetime) const;
    // A subrequest took far longer than usual, or its hedge was answered first.
    void noteOutlier();
    // Counted since the front first saw the replica.
    std::uint32_t outliers() const;
    std::uint32_t failedSubrequests() const;
    // Set while the observations of all fronts show the replica as slow or failing.
    void setImpaired(bool isImpaired);
    bool impaired() const;

    bool ejected(TimePoint now) const;
    TimePoint ejectionEnd() const;
    // True after an ejection until a success: one subrequest at a time probes the replica.
    bool halfOpen() const;
    bool inBackoff(TimePoint now) const;
    bool succeededSince(TimePoint point) const;
    // Lower is better. Combines the front's own requests in flight, latency and failures with the reported load, which
    // loses weight with age. The fallback is used if there is no latency sample.
    double score(TimePoint now, std::chrono::microseconds fallbackLatency) const;
    TimePoint firstSeenAt() const;
    // Zero before the first sample. Decays while there are no samples, so that a slow replica is tried again.
    std::chrono::microseconds averageLatency(TimePoint now) const;

private:
    EjectionOptions options;
    TimePoint firstSeen;
    // Slots by priority in one word, so that both limits are checked atomically.
    std::atomic<std::uint64_t> slotsInUse{0};
    std::atomic<std::uint32_t> failures{0};
    std::atomic<std::uint32_t> ejections{0};
    std::atomic<std::int64_t> ejectedUntil{0};
    // Microseconds; 0 before the first sample.
    std::atomic<std::int64_t> latency{0};
    // Time points are nanoseconds of the monotonic clock; 0 before the first event.
    std::atomic<std::int64_t> latencyAt{0};
    std::atomic<std::int64_t> succeededAt{0};
    std::atomic<std::int64_t> backoffUntil{0};
    std::atomic<std::int64_t> overdueSince{0};
    std::atomic<std::uint32_t> outlierCount{0};
    std::atomic<std::uint32_t> failureCount{0};
    std::atomic<bool> foundImpaired{false};
    // Moving average of failed or refused subrequests, in millionths, and the time of its last update.
    std::atomic<std::int64_t> failureShare{0};
    std::atomic<std::int64_t> failureShareAt{0};
    std::atomic<bool> acceptsWork{true};
    std::atomic<bool> isLeaving{false};
    std::atomic<std::int64_t> pausedUntil{0};
    std::atomic<std::uint32_t> reportedLoad{0};
    std::atomic<std::int64_t> reportedAt{0};

    void updateFailureShare(bool failed, TimePoint now);
    void updateLatency(std::int64_t sample, TimePoint now);
};

} // namespace Galenawell
