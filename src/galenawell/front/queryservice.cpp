#include "galenawell/front/queryservice.h"

#include "galenawell/core/boundedjson.h"
#include "galenawell/front/claimedrun.h"
#include "galenawell/telemetry/log.h"

#include <array>
#include <random>

namespace Galenawell {

namespace {

const Log logger("query");

constexpr std::size_t maximumIdBytes = 128;
constexpr std::chrono::milliseconds statusTimeout{3000};
// Reserved within the deadline for merging and sending the answer.
constexpr std::chrono::milliseconds answerReserve{2};
constexpr std::array<std::string_view, 8>
    queryFields{"id", "caller", "service", "priority", "deadlineMs", "idempotent", "partialAllowed", "body"};

Error fieldError(const std::string &field, const std::string &allowed)
{
    return makeError(ErrorKind::MalformedJson, "/" + field + " must be " + allowed);
}

Status checkFields(const nlohmann::json &document)
{
    for (const auto &[key, value] : document.items()) {
        if (std::find(queryFields.begin(), queryFields.end(), key) == queryFields.end()) {
            return makeError(ErrorKind::MalformedJson, "/" + key + " isn't a field of a query");
        }
    }
    return boost::outcome_v2::success();
}

Result<std::string> readString(const nlohmann::json &document, const std::string &field, bool required)
{
    const auto found = document.find(field);
    if (found == document.end() && !required) {
        return std::string();
    }
    if (found == document.end() || !found->is_string() || (required && found->get_ref<const std::string &>().empty())
        || found->get_ref<const std::string &>().size() > maximumIdBytes) {
        return fieldError(field, "a string of 1 to " + std::to_string(maximumIdBytes) + " bytes");
    }
    return found->get<std::string>();
}

Result<bool> readFlag(const nlohmann::json &document, const std::string &field, bool fallback)
{
    const auto found = document.find(field);
    if (found == document.end()) {
        return fallback;
    }
    if (!found->is_boolean()) {
        return fieldError(field, "true or false");
    }
    return found->get<bool>();
}

ContentDigest digestOf(const QueryRequest &query)
{
    return digestOfContent({query.service, query.body.dump()});
}

HttpResponse jsonResponse(unsigned status, const nlohmann::json &document)
{
    return HttpResponse{.status = status, .body = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

RefusalReason reasonFor(ClaimState claimState)
{
    switch (claimState) {
    case ClaimState::Running:
        return RefusalReason::ClaimRunning;
    case ClaimState::NotRun:
        return RefusalReason::ClaimNotRun;
    default:
        return RefusalReason::ClaimUnknown;
    }
}

Execution executionFor(ClaimState claimState)
{
    switch (claimState) {
    case ClaimState::Running:
        return Execution::Running;
    case ClaimState::NotRun:
        return Execution::NotRun;
    case ClaimState::Ran:
        return Execution::Ran;
    default:
        return Execution::Unknown;
    }
}

nlohmann::json answerDocument(const RequestId &id, const std::string &answer)
{
    nlohmann::json document = nlohmann::json::parse(answer, nullptr, false);
    if (!document.is_object()) {
        document = nlohmann::json::object();
    }
    document["id"] = id;
    document["execution"] = toString(Execution::Ran);
    return document;
}

} // namespace

Result<QueryRequest> parseQuery(const std::string &text)
{
    const nlohmann::json document = parseBoundedJsonOrDiscard(text);
    if (!document.is_object()) {
        return makeError(ErrorKind::MalformedJson, "a query must be a JSON object");
    }
    BOOST_OUTCOME_TRY(checkFields(document));
    QueryRequest query;
    BOOST_OUTCOME_TRY(query.id, readString(document, "id", true));
    BOOST_OUTCOME_TRY(query.caller, readString(document, "caller", false));
    BOOST_OUTCOME_TRY(query.service, readString(document, "service", true));
    BOOST_OUTCOME_TRY(query.idempotent, readFlag(document, "idempotent", true));
    BOOST_OUTCOME_TRY(query.partialAllowed, readFlag(document, "partialAllowed", false));
    if (document.contains("priority")) {
        BOOST_OUTCOME_TRY(const std::string name, readString(document, "priority", true));
        const std::optional<Priority> priority = priorityFromString(name);
        if (!priority) {
            return fieldError("priority", "one of urgent, standard, bulk");
        }
        query.priority = *priority;
    }
    if (document.contains("deadlineMs")) {
        if (!document.at("deadlineMs").is_number_unsigned() || document.at("deadlineMs").get<std::uint64_t>() == 0) {
            return fieldError("deadlineMs", "a positive integer");
        }
        query.deadline = std::chrono::milliseconds(document.at("deadlineMs").get<std::uint32_t>());
    }
    query.body = document.value("body", nlohmann::json::object());
    return query;
}

QueryService::QueryService(Asio::any_io_executor ioExecutor,
                           std::shared_ptr<FrontState> frontState,
                           std::shared_ptr<ControlClient> controlClient,
                           std::shared_ptr<Metrics> frontMetrics,
                           EvidenceSharer evidenceSharer)
    : executor(std::move(ioExecutor))
    , state(std::move(frontState))
    , control(std::move(controlClient))
    , metrics(std::move(frontMetrics))
    , shareEvidence(std::move(evidenceSharer))
    , client(this->executor)
    , seedCounter(std::random_device{}())
{
}

void QueryService::refuseNewRequests()
{
    this->refusing = true;
}

std::size_t QueryService::inFlight() const
{
    return this->activeQueries;
}

std::uint64_t QueryService::nextSeed()
{
    return this->seedCounter.fetch_add(1);
}

HttpResponse QueryService::refuse(const RequestId &id, Execution execution, RefusalReason reason, const std::string &detail)
{
    return this->refuseWith(nlohmann::json::object(), id, execution, reason, detail);
}

HttpResponse
QueryService::refuseWith(nlohmann::json document, const RequestId &id, Execution execution, RefusalReason reason, const std::string &detail)
{
    this->metrics->countRefusal(reason);
    const RefusalText &text = textFor(reason);
    document["execution"] = toString(execution);
    document["reason"] = text.name;
    document["remedy"] = text.remedy;
    if (!id.empty()) {
        document["id"] = id;
    }
    if (!detail.empty()) {
        document["detail"] = detail;
    }
    return jsonResponse(text.httpStatus, document);
}

Asio::awaitable<HttpResponse> QueryService::handle(HttpRequest request)
{
    static constexpr std::string_view requestsPath = "/v1/requests/";
    if (request.method == "GET" && request.path == "/v1/entries") {
        co_return this->entries(request);
    }
    if (request.method == "POST" && request.path == "/v1/query") {
        ++this->activeQueries;
        HttpResponse response = co_await this->handleQuery(request);
        --this->activeQueries;
        co_return response;
    }
    if (request.method == "GET" && request.path.starts_with(requestsPath)) {
        const RequestId id = request.path.substr(requestsPath.size());
        co_return co_await this->requestStatus(id);
    }
    co_return this->refuse("", Execution::NotRun, RefusalReason::UnknownPath, request.method + " " + request.path);
}

HttpResponse QueryService::entries(const HttpRequest &request)
{
    const auto found = request.parameters.find("dataCentre");
    const std::string dataCentre = found == request.parameters.end() ? std::string() : found->second;
    const auto cacheDuration = this->state->installed()->configuration.entry.cacheDuration;
    return jsonResponse(200, toJson(this->state->usableEntries(dataCentre, MonotonicClock::now()), cacheDuration));
}

std::optional<HttpResponse> QueryService::refusalBeforeStart(const QueryRequest &query)
{
    // An earlier attempt of a non-idempotent request may have run; only the ledger has its state.
    const Execution execution = query.idempotent ? Execution::NotRun : Execution::Unknown;
    const TimePoint now = MonotonicClock::now();
    const bool unconfirmed = !this->state->confirmed(now);
    if (!this->refusing && !unconfirmed) {
        return std::nullopt;
    }
    std::string alternative;
    for (const Entry &entry : this->state->usableEntries("", now)) {
        if (entry.instance != this->state->instance()) {
            alternative = "use entry instance " + entry.instance + " at " + entry.address;
            break;
        }
    }
    return this->refuse(query.id, execution, unconfirmed ? RefusalReason::Unconfirmed : RefusalReason::ShuttingDown, alternative);
}

Asio::awaitable<HttpResponse> QueryService::handleQuery(const HttpRequest &request)
{
    this->metrics->count(CounterName::QueriesReceived);
    Result<QueryRequest> parsed = parseQuery(request.body);
    if (!parsed) {
        co_return this->refuse("", Execution::NotRun, RefusalReason::MalformedRequest, parsed.error().detail);
    }
    const QueryRequest &query = parsed.value();
    const Execution executionIfRefused = query.idempotent ? Execution::NotRun : Execution::Unknown;
    if (std::optional<HttpResponse> refusal = this->refusalBeforeStart(query)) {
        co_return std::move(*refusal);
    }
    const std::shared_ptr<const RoutingTable> table = this->state->table();
    const ServiceTable *service = table->findService(query.service);
    if (service == nullptr) {
        co_return this->refuse(query.id, executionIfRefused, RefusalReason::UnknownService, "service " + query.service);
    }
    if (this->state->suspicionOf(digestOf(query), MonotonicClock::now()) == Suspicion::Quarantined) {
        co_return this->refuse(query.id, executionIfRefused, RefusalReason::Quarantined, "");
    }
    if (query.idempotent) {
        co_return co_await this->runQuery(query, *service, table);
    }
    if (service->options.kind != ServiceKind::Pool) {
        co_return this->refuse(
            query.id, executionIfRefused, RefusalReason::MalformedRequest, "/idempotent must be true for a sharded service");
    }
    co_return co_await this->runClaimed(query, service->options);
}

std::shared_ptr<AdmissionGate> QueryService::gateFor(const ServiceOptions &options)
{
    const std::shared_ptr<const InstalledView> view = this->state->installed();
    const std::lock_guard lock(this->gatesMutex);
    if (view->view.revision > this->gatesRevision) {
        this->gatesRevision = view->view.revision;
        for (auto &[name, gate] : this->gates) {
            if (const ServiceOptions *found = view->configuration.findService(name)) {
                gate->reconfigure(found->admission);
            }
        }
    }
    std::shared_ptr<AdmissionGate> &gate = this->gates[options.name];
    if (gate == nullptr) {
        gate = std::make_shared<AdmissionGate>(this->executor, options.admission);
    }
    return gate;
}

Asio::awaitable<HttpResponse>
QueryService::runQuery(const QueryRequest &query, const ServiceTable &service, std::shared_ptr<const RoutingTable> table)
{
    const TimePoint receivedAt = MonotonicClock::now();
    const auto timeLimit = std::min(query.deadline.value_or(service.options.defaultDeadline), service.options.maximumDeadline);
    const TimePoint deadline = receivedAt + std::max(timeLimit - answerReserve, std::chrono::milliseconds(1));
    const std::shared_ptr<AdmissionGate> gate = this->gateFor(service.options);
    const AdmissionResult admission = co_await gate->acquire(query.priority, query.caller, deadline);
    if (admission.refusal) {
        nlohmann::json extra{{"retryAfterMs", admission.refusal->retryAfter.count()}};
        HttpResponse response = this->refuseWith(std::move(extra), query.id, Execution::NotRun, admission.refusal->reason, "");
        response.retryAfter = admission.refusal->retryAfter;
        co_return response;
    }
    const TimePoint startedAt = MonotonicClock::now();
    ScatterRunOptions options{
        .scatter
        = ScatterOptions{.requestId = query.id, .priority = query.priority, .deadline = deadline, .partialAllowed = query.partialAllowed},
        .service = query.service,
        .body = query.body,
        .digest = digestOf(query),
        .seed = this->nextSeed()};
    const ContentDigest digest = options.digest;
    auto run
        = std::make_shared<ScatterRun>(std::move(options), table, service, *this->state, this->client, *this->metrics, this->shareEvidence);
    const ScatterOutcome outcome = co_await run->run();
    const TimePoint endedAt = MonotonicClock::now();
    gate->release(admission.ticket, std::chrono::duration_cast<std::chrono::microseconds>(endedAt - startedAt), outcome.answer.has_value());
    if (outcome.answer) {
        this->state->clearSuspicion(digest);
    }
    this->metrics->observeLatency(query.priority, std::chrono::duration_cast<std::chrono::microseconds>(endedAt - receivedAt));
    co_return this->answerFor(query, service, outcome);
}

HttpResponse QueryService::answerFor(const QueryRequest &query, const ServiceTable &service, const ScatterOutcome &outcome)
{
    if (!outcome.answer) {
        const RefusalReason reason = outcome.refusal.value_or(RefusalReason::NoReplica);
        nlohmann::json extra;
        extra["coverage"]
            = {{"total", outcome.coverage.total}, {"answered", outcome.coverage.answered}, {"missing", outcome.coverage.missing}};
        return this->refuseWith(std::move(extra), query.id, outcome.execution, reason, "");
    }
    const Answer &answer = *outcome.answer;
    this->metrics->count(answer.coverage.complete() ? CounterName::AnswersComplete : CounterName::AnswersPartial);
    nlohmann::json document = toJson(answer);
    if (service.options.kind == ServiceKind::Pool) {
        document.erase("snapshot");
    }
    document["id"] = query.id;
    document["execution"] = toString(Execution::Ran);
    return jsonResponse(200, document);
}

Asio::awaitable<HttpResponse> QueryService::runClaimed(const QueryRequest &query, const ServiceOptions &service)
{
    const TimePoint receivedAt = MonotonicClock::now();
    const auto timeLimit = std::min(query.deadline.value_or(service.defaultDeadline), service.maximumDeadline);
    ClaimedRunOptions options;
    options.execution = ClaimedExecutionOptions{.id = query.id,
                                                .service = query.service,
                                                .contentDigest = digestOf(query),
                                                .owner = ClaimOwner{.front = this->state->instance(),
                                                                    .incarnation = this->state->incarnation(),
                                                                    .attempt = this->attemptCounter.fetch_add(1)},
                                                .deadline = receivedAt + timeLimit,
                                                .wallDeadline = wallNow() + timeLimit};
    options.priority = query.priority;
    options.caller = query.caller;
    options.body = query.body;
    options.execution.maximumAnswerBytes = this->state->installed()->configuration.claims.maximumAnswerBytes;
    options.seed = this->nextSeed();
    auto run = std::make_shared<ClaimedRun>(
        std::move(options), *this->state, this->client, *this->control, this->gateFor(service), *this->metrics, this->shareEvidence);
    const ClaimedReport report = co_await run->run();
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(MonotonicClock::now() - receivedAt);
    this->metrics->observeLatency(query.priority, latency);
    if (report.execution == Execution::Ran) {
        this->metrics->count(CounterName::AnswersComplete);
        co_return jsonResponse(200, answerDocument(query.id, report.answer));
    }
    logger.info("request " + query.id + " finished with execution " + std::string(toString(report.execution)));
    co_return this->refuse(query.id, report.execution, report.reason.value_or(RefusalReason::ClaimUnavailable), "");
}

Asio::awaitable<HttpResponse> QueryService::requestStatus(const RequestId &id)
{
    Result<Wire::ProposeReply> reply = co_await this->control->queryClaim(id, statusTimeout);
    if (!reply || reply.value().status != Wire::ProposeStatus::Done) {
        co_return this->refuse(id, Execution::Unknown, RefusalReason::ClaimUnavailable, reply ? "" : reply.error().detail);
    }
    if (!reply.value().__isset.claimState) {
        const bool expired = reply.value().__isset.verdict && static_cast<ClaimVerdict>(reply.value().verdict) == ClaimVerdict::Expired;
        co_return this->refuse(id, Execution::Unknown, expired ? RefusalReason::ClaimExpired : RefusalReason::NotFound, "");
    }
    const auto claimState = static_cast<ClaimState>(reply.value().claimState);
    if (claimState == ClaimState::Ran) {
        co_return jsonResponse(200, answerDocument(id, reply.value().answer));
    }
    // Not counted in the refusal metrics, because a status isn't a refusal.
    const RefusalText &text = textFor(reasonFor(claimState));
    co_return jsonResponse(200,
                           {{"id", id}, {"execution", toString(executionFor(claimState))}, {"reason", text.name}, {"remedy", text.remedy}});
}

} // namespace Galenawell
