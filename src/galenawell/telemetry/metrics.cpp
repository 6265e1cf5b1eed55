#include "galenawell/telemetry/metrics.h"

#include <prometheus/text_serializer.h>
#include <string_view>

namespace Galenawell {

namespace {

struct MetricDescription
{
    std::string_view name;
    std::string_view help;
};

// In the order of CounterName.
constexpr std::array<MetricDescription, static_cast<std::size_t>(CounterName::Count)> counterDescriptions{{
    {"galenawell_queries_received_total", "Queries received from callers"},
    {"galenawell_answers_complete_total", "Answers with complete coverage"},
    {"galenawell_answers_partial_total", "Answers with partial coverage, which the caller allowed"},
    {"galenawell_subrequests_total", "Subrequests sent to backend servers"},
    {"galenawell_hedged_subrequests_total", "Subrequests sent as hedges"},
    {"galenawell_late_replies_total", "Replies discarded because their subrequest had ended"},
    {"galenawell_announcements_total", "Announcements received from backend servers"},
    {"galenawell_invalid_announcements_total", "Announcements refused because they can't be read"},
    {"galenawell_claims_sent_total", "Claims sent to the control leader"},
    {"galenawell_crash_evidence_total", "Connections to backend servers that ended while a request ran"},
    {"galenawell_views_applied_total", "Control views put into force"},
    {"galenawell_views_rejected_total", "Control views or patches that couldn't be read"},
    {"galenawell_late_view_requests_total", "Control views requested from another control process because the source was late"},
    {"galenawell_storage_reopened_total", "Times the log's storage was opened again after a failed write or sync"},
    {"galenawell_leaving_replies_total", "Replies in which a backend server says that it leaves"},
    {"galenawell_server_pauses_total", "Refusals in which a backend server asks for a pause"},
    {"galenawell_invalid_pauses_total", "Refusals whose pause can't be used or is cut to the longest one"},
    {"galenawell_limit_replies_total", "Replies in which a backend server states a limit on the requests of all fronts together"},
    {"galenawell_invalid_limits_total", "Replies whose limit can't be read"},
    {"galenawell_granted_requests_total",
     "Requests to limited backend servers that control processes granted to this front, or this one to fronts"},
    {"galenawell_turned_away_by_limits_total", "Subrequests not sent to the server that would be chosen, because of its limit"},
    {"galenawell_ended_requests_total", "Incomplete requests and unread answers that were ended to make room in memory"},
    {"galenawell_withheld_retries_total", "Retries and hedges not sent because the request has crashed several backend servers"},
    {"galenawell_skipped_replies_total", "Copies of the reply to the request before, skipped ahead of the reply to a request"},
    {"galenawell_superseded_records_total", "Records of backend servers received after their announced shutdown"},
    {"galenawell_peer_messages_total", "Messages sent to other galenawell processes"},
    {"galenawell_peer_bytes_total", "Bytes sent to other galenawell processes"},
}};

// In the order of GaugeName.
constexpr std::array<MetricDescription, static_cast<std::size_t>(GaugeName::Count)> gaugeDescriptions{{
    {"galenawell_confirmed", "1 if the control view is confirmed as the newest"},
    {"galenawell_revision", "Revision of the control view in force"},
    {"galenawell_configuration_number", "Number of the configuration in force"},
    {"galenawell_backend_servers", "Known backend servers"},
    {"galenawell_live_fronts", "Fronts with a recent heartbeat, this one included"},
    {"galenawell_sharing_fronts", "Fronts that limits and budgets are divided among"},
    {"galenawell_registry_suspect", "1 while many leases have lapsed at once and the last known set is kept"},
    {"galenawell_is_leader", "1 on the control leader"},
    {"galenawell_commit_index", "Newest committed log index"},
    {"galenawell_log_bytes", "Bytes of the control log and snapshot on disk"},
    {"galenawell_storage_available", "1 while the log's storage takes writes"},
    {"galenawell_suspect_contents", "Contents of requests that have crashed several backend servers"},
    {"galenawell_limited_servers", "Backend servers with a known limit on the requests of all fronts together"},
    {"galenawell_granted_requests_left", "Granted requests to limited backend servers that this front may still send"},
    {"galenawell_request_memory_bytes", "Memory held by the requests of all listeners"},
    {"galenawell_claims", "Claims in the ledger"},
}};

const prometheus::Histogram::BucketBoundaries viewDelayBuckets{0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 3, 4, 5, 8};
const prometheus::Histogram::BucketBoundaries latencyBuckets{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

} // namespace

Metrics::Metrics(const std::string &instance)
    : registry(std::make_shared<prometheus::Registry>())
{
    const prometheus::Labels commonLabels{{"instance", instance}};
    auto &refusalFamily = prometheus::BuildCounter()
                              .Name("galenawell_refusals_total")
                              .Help("Requests refused, by reason")
                              .Labels(commonLabels)
                              .Register(*this->registry);
    for (std::size_t index = 0; index < refusalReasonCount; ++index) {
        this->refusals.at(index) = &refusalFamily.Add({{"reason", std::string(toString(static_cast<RefusalReason>(index)))}});
    }
    auto &retryFamily = prometheus::BuildCounter()
                            .Name("galenawell_retries_total")
                            .Help("Subrequests sent again, by reason")
                            .Labels(commonLabels)
                            .Register(*this->registry);
    for (std::size_t index = 0; index < retryReasonCount; ++index) {
        this->retries.at(index) = &retryFamily.Add({{"reason", std::string(toString(static_cast<RetryReason>(index)))}});
    }
    for (std::size_t index = 0; index < counterDescriptions.size(); ++index) {
        auto &family = prometheus::BuildCounter()
                           .Name(std::string(counterDescriptions.at(index).name))
                           .Help(std::string(counterDescriptions.at(index).help))
                           .Labels(commonLabels)
                           .Register(*this->registry);
        this->counters.at(index) = &family.Add({});
    }
    for (std::size_t index = 0; index < gaugeDescriptions.size(); ++index) {
        auto &family = prometheus::BuildGauge()
                           .Name(std::string(gaugeDescriptions.at(index).name))
                           .Help(std::string(gaugeDescriptions.at(index).help))
                           .Labels(commonLabels)
                           .Register(*this->registry);
        this->gauges.at(index) = &family.Add({});
    }
    auto &latencyFamily = prometheus::BuildHistogram()
                              .Name("galenawell_query_seconds")
                              .Help("Time from a query's arrival to its answer, by priority")
                              .Labels(commonLabels)
                              .Register(*this->registry);
    for (std::size_t index = 0; index < priorityCount; ++index) {
        this->latencies.at(index) = &latencyFamily.Add({{"priority", std::string(toString(static_cast<Priority>(index)))}}, latencyBuckets);
    }
    this->viewDelay = &prometheus::BuildHistogram()
                           .Name("galenawell_view_delay_seconds")
                           .Help("Time from the first report of a newer control view to its installation")
                           .Labels(commonLabels)
                           .Register(*this->registry)
                           .Add({}, viewDelayBuckets);
}

void Metrics::countRefusal(RefusalReason reason)
{
    this->refusals.at(static_cast<std::size_t>(reason))->Increment();
}

void Metrics::countRetry(RetryReason reason)
{
    this->retries.at(static_cast<std::size_t>(reason))->Increment();
}

void Metrics::count(CounterName name, double amount)
{
    this->counters.at(static_cast<std::size_t>(name))->Increment(amount);
}

void Metrics::raiseCounterTo(CounterName name, double total)
{
    prometheus::Counter *counter = this->counters.at(static_cast<std::size_t>(name));
    counter->Increment(std::max(0.0, total - counter->Value()));
}

void Metrics::set(GaugeName name, double value)
{
    this->gauges.at(static_cast<std::size_t>(name))->Set(value);
}

void Metrics::observeLatency(Priority priority, std::chrono::microseconds latency)
{
    this->latencies.at(static_cast<std::size_t>(priority))->Observe(std::chrono::duration<double>(latency).count());
}

void Metrics::observeViewDelay(std::chrono::microseconds delay)
{
    this->viewDelay->Observe(std::chrono::duration<double>(delay).count());
}

std::string Metrics::serialise() const
{
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

} // namespace Galenawell
