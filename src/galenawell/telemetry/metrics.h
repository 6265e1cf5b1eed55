// Metrics in the Prometheus text format. Refusals and retries have one counter per reason.
#pragma once

#include "galenawell/core/reasons.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace Galenawell {

enum class CounterName : std::uint8_t {
    QueriesReceived,
    AnswersComplete,
    AnswersPartial,
    Subrequests,
    HedgedSubrequests,
    LateReplies,
    Announcements,
    InvalidAnnouncements,
    ClaimsSent,
    CrashEvidence,
    ViewsApplied,
    ViewsRejected,
    LateViewRequests,
    StorageReopened,
    LeavingReplies,
    ServerPauses,
    InvalidPauses,
    LimitReplies,
    InvalidLimits,
    GrantedRequests,
    TurnedAwayByLimits,
    EndedRequests,
    WithheldRetries,
    SkippedReplies,
    SupersededRecords,
    PeerMessages,
    PeerBytes,
    Count,
};

enum class GaugeName : std::uint8_t {
    Confirmed,
    Revision,
    ConfigurationNumber,
    BackendServers,
    LiveFronts,
    SharingFronts,
    RegistrySuspect,
    IsLeader,
    CommitIndex,
    LogBytes,
    StorageAvailable,
    SuspectContents,
    LimitedServers,
    GrantedRequestsLeft,
    RequestMemory,
    Claims,
    Count,
};

class Metrics
{
public:
    explicit Metrics(const std::string &instance);

    void countRefusal(RefusalReason reason);
    void countRetry(RetryReason reason);
    void count(CounterName name, double amount = 1);
    // Raises a counter to a total that is kept elsewhere.
    void raiseCounterTo(CounterName name, double total);
    void set(GaugeName name, double value);
    void observeLatency(Priority priority, std::chrono::microseconds latency);
    // Time from the first report of a newer control view to its installation.
    void observeViewDelay(std::chrono::microseconds delay);

    std::string serialise() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    std::array<prometheus::Counter *, refusalReasonCount> refusals{};
    std::array<prometheus::Counter *, retryReasonCount> retries{};
    std::array<prometheus::Counter *, static_cast<std::size_t>(CounterName::Count)> counters{};
    std::array<prometheus::Gauge *, static_cast<std::size_t>(GaugeName::Count)> gauges{};
    std::array<prometheus::Histogram *, priorityCount> latencies{};
    prometheus::Histogram *viewDelay = nullptr;
};

} // namespace Galenawell
