// HTTP API for callers: the entry list, queries, and the status of earlier non-idempotent requests.
#pragma once

#include "galenawell/front/admissiongate.h"
#include "galenawell/front/controlclient.h"
#include "galenawell/front/frontstate.h"
#include "galenawell/front/scatterrun.h"
#include "galenawell/transport/backendclient.h"
#include "galenawell/transport/httpserver.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace Galenawell {

struct QueryRequest
{
    RequestId id;
    std::string caller;
    std::string service;
    Priority priority = Priority::Standard;
    // Absent: the default of the service.
    std::optional<std::chrono::milliseconds> deadline;
    bool idempotent = true;
    bool partialAllowed = false;
    nlohmann::json body;
};

// An error names the invalid field and its allowed values.
Result<QueryRequest> parseQuery(const std::string &text);

class QueryService : public std::enable_shared_from_this<QueryService>
{
public:
    QueryService(Asio::any_io_executor executor,
                 std::shared_ptr<FrontState> state,
                 std::shared_ptr<ControlClient> control,
                 std::shared_ptr<Metrics> metrics,
                 EvidenceSharer shareEvidence);

    Asio::awaitable<HttpResponse> handle(HttpRequest request);
    HttpResponse refuse(const RequestId &id, Execution execution, RefusalReason reason, const std::string &detail);

    // Refuses all later requests as not run, with the address of another entry.
    void refuseNewRequests();
    std::size_t inFlight() const;

private:
    // A refusal whose document has further fields, such as the coverage.
    HttpResponse
    refuseWith(nlohmann::json document, const RequestId &id, Execution execution, RefusalReason reason, const std::string &detail);
    Asio::awaitable<HttpResponse> handleQuery(const HttpRequest &request);
    Asio::awaitable<HttpResponse>
    runQuery(const QueryRequest &query, const ServiceTable &service, std::shared_ptr<const RoutingTable> table);
    Asio::awaitable<HttpResponse> runClaimed(const QueryRequest &query, const ServiceOptions &service);
    Asio::awaitable<HttpResponse> requestStatus(const RequestId &id);
    HttpResponse entries(const HttpRequest &request);
    HttpResponse answerFor(const QueryRequest &query, const ServiceTable &service, const ScatterOutcome &outcome);
    // Present if this front is unconfirmed or shutting down.
    std::optional<HttpResponse> refusalBeforeStart(const QueryRequest &query);
    std::shared_ptr<AdmissionGate> gateFor(const ServiceOptions &options);
    std::uint64_t nextSeed();

    Asio::any_io_executor executor;
    std::shared_ptr<FrontState> state;
    std::shared_ptr<ControlClient> control;
    std::shared_ptr<Metrics> metrics;
    EvidenceSharer shareEvidence;
    BackendClient client;
    std::atomic<bool> refusing{false};
    std::atomic<std::size_t> activeQueries{0};
    std::atomic<std::uint64_t> seedCounter;
    std::atomic<std::uint64_t> attemptCounter{1};
    std::mutex gatesMutex;
    std::map<std::string, std::shared_ptr<AdmissionGate>> gates;
    // Revision that the options of the gates were taken from.
    std::uint64_t gatesRevision = 0;
};

} // namespace Galenawell
