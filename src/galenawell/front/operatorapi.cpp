#include "galenawell/front/operatorapi.h"

#include "galenawell/core/boundedjson.h"
#include "galenawell/front/registrycodec.h"
#include "galenawell/telemetry/log.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace Galenawell {

namespace {

const Log logger("operator");

constexpr std::chrono::milliseconds statusTimeout{1000};
constexpr std::chrono::milliseconds memberTimeout{5000};
constexpr std::chrono::milliseconds drainTimeout{2000};
// Includes the commit and the wait until a majority of fronts holds the change.
constexpr std::chrono::milliseconds applyTimeout{10000};
constexpr std::uint64_t defaultHistoryLimit = 50;
constexpr std::uint64_t maximumHistoryLimit = 1000;

HttpResponse jsonResponse(unsigned status, const nlohmann::json &document)
{
    return HttpResponse{.status = status, .body = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

HttpResponse errorResponse(unsigned status, const Error &error)
{
    return jsonResponse(status, {{"kind", toString(error.kind)}, {"error", error.detail}, {"remedy", remedyFor(error.kind)}});
}

bool equalTokens(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t numberParameter(const HttpRequest &request, const std::string &name, std::uint64_t fallback)
{
    const auto found = request.parameters.find(name);
    std::uint64_t value = fallback;
    if (found != request.parameters.end()) {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
    }
    return value;
}

std::string_view verdictName(ProposalVerdict verdict)
{
    constexpr std::array<std::string_view, 4> names{"accepted", "already_accepted", "number_taken", "number_out_of_order"};
    return names.at(static_cast<std::size_t>(verdict));
}

HttpResponse conflictResponse(ProposalVerdict verdict, const Wire::ProposeReply &reply, const ConfigurationProposal &proposal)
{
    const bool numberTaken = verdict == ProposalVerdict::NumberTaken;
    const std::string detail = numberTaken
        ? "number " + std::to_string(proposal.number) + " was accepted with digest " + reply.acceptedDigest
        : "number " + std::to_string(proposal.number) + " doesn't follow the newest number " + std::to_string(reply.newestNumber);
    const ErrorKind kind = numberTaken ? ErrorKind::NumberTaken : ErrorKind::NumberOutOfOrder;
    return jsonResponse(409,
                        {{"verdict", verdictName(verdict)},
                         {"newestNumber", reply.newestNumber},
                         {"acceptedDigest", reply.acceptedDigest},
                         {"error", detail},
                         {"remedy", remedyFor(kind)}});
}

} // namespace

OperatorApi::OperatorApi(const ProcessSettings &settings,
                         std::shared_ptr<FrontState> frontState,
                         std::shared_ptr<ControlClient> controlClient,
                         std::shared_ptr<Metrics> frontMetrics,
                         std::shared_ptr<PeerTraffic> peerTraffic,
                         std::map<InstanceName, std::shared_ptr<PeerLink>> links)
    : token(settings.operatorToken)
    , state(std::move(frontState))
    , control(std::move(controlClient))
    , metrics(std::move(frontMetrics))
    , traffic(std::move(peerTraffic))
    , frontLinks(std::move(links))
{
}

const std::vector<OperatorApi::Route> &OperatorApi::routes()
{
    static const std::vector<Route> table{
        {"GET", "/v1/admin/config", &OperatorApi::showConfiguration},
        {"POST", "/v1/admin/config", &OperatorApi::applyConfiguration},
        {"GET", "/v1/admin/config/history", &OperatorApi::showHistory},
        {"GET", "/v1/admin/status", &OperatorApi::showStatus},
        {"GET", "/v1/admin/backends", &OperatorApi::showBackends},
        {"GET", "/v1/admin/entries", &OperatorApi::showEntries},
        {"POST", "/v1/admin/drain", &OperatorApi::drainEntry},
        {"GET", "/v1/admin/members", &OperatorApi::showMembers},
        {"POST", "/v1/admin/members", &OperatorApi::changeMembers},
    };
    return table;
}

HttpResponse OperatorApi::refuse(RefusalReason reason, const std::string &detail)
{
    this->metrics->countRefusal(reason);
    const RefusalText &text = textFor(reason);
    return jsonResponse(text.httpStatus, {{"reason", text.name}, {"error", detail}, {"remedy", text.remedy}});
}

Asio::awaitable<HttpResponse> OperatorApi::handle(HttpRequest request)
{
    if (request.path == "/metrics") {
        co_return this->showMetrics();
    }
    if (request.path == "/healthz") {
        co_return jsonResponse(200, {{"alive", true}});
    }
    if (request.path == "/readyz") {
        const bool ready = this->state->confirmed(MonotonicClock::now()) && !this->state->draining();
        co_return jsonResponse(ready ? 200 : 503, {{"ready", ready}});
    }
    if (!equalTokens(request.bearerToken, this->token)) {
        co_return this->refuse(RefusalReason::Unauthenticated, "the operator token is missing or wrong");
    }
    for (const Route &route : routes()) {
        if (route.method == request.method && route.path == request.path) {
            co_return co_await (this->*route.handler)(std::move(request));
        }
    }
    co_return this->refuse(RefusalReason::UnknownPath, request.method + " " + request.path);
}

HttpResponse OperatorApi::showMetrics()
{
    this->metrics->raiseCounterTo(CounterName::PeerMessages, static_cast<double>(this->traffic->messages));
    this->metrics->raiseCounterTo(CounterName::PeerBytes, static_cast<double>(this->traffic->bytes));
    return HttpResponse{.contentType = "text/plain; version=0.0.4", .body = this->metrics->serialise()};
}

Asio::awaitable<HttpResponse> OperatorApi::showConfiguration(HttpRequest)
{
    const std::shared_ptr<const InstalledView> installed = this->state->installed();
    const ControlView &view = installed->view;
    co_return jsonResponse(200,
                           {{"number", view.configurationNumber},
                            {"digest", view.configurationDigest},
                            {"content", nlohmann::json::parse(view.configurationContent, nullptr, false)},
                            {"revision", view.revision}});
}

Asio::awaitable<Result<Wire::ControlStatusReply>> OperatorApi::leaderStatus(const Wire::ControlStatusRequest &request)
{
    Result<Wire::ControlStatusReply> best = makeError(ErrorKind::NoQuorum, "no control process answered");
    for (const InstanceName &name : this->control->controls()) {
        Result<Wire::ControlStatusReply> reply = co_await this->control->status(name, request, statusTimeout);
        if (!reply) {
            continue;
        }
        const bool leads = reply.value().leader == name;
        if (leads || !best || reply.value().commitIndex > best.value().commitIndex) {
            best = std::move(reply);
        }
        if (leads) {
            break;
        }
    }
    co_return best;
}

Asio::awaitable<HttpResponse> OperatorApi::showHistory(HttpRequest request)
{
    Wire::ControlStatusRequest statusRequest;
    const std::uint64_t limit = std::min(numberParameter(request, "limit", defaultHistoryLimit), maximumHistoryLimit);
    statusRequest.historyLimit = static_cast<std::int32_t>(limit);
    statusRequest.historyFrom = static_cast<std::int64_t>(numberParameter(request, "from", 1));
    Result<Wire::ControlStatusReply> status = co_await this->leaderStatus(statusRequest);
    if (!status) {
        co_return errorResponse(503, status.error());
    }
    nlohmann::json entries = nlohmann::json::array();
    for (const Wire::HistoryEntry &entry : status.value().history) {
        entries.push_back({{"number", entry.number}, {"digest", entry.digest}});
    }
    co_return jsonResponse(200, {{"newest", status.value().newestNumber}, {"entries", std::move(entries)}});
}

Asio::awaitable<HttpResponse> OperatorApi::applyConfiguration(HttpRequest request)
{
    const nlohmann::json document = parseBoundedJsonOrDiscard(request.body);
    if (!document.is_object() || !document.contains("number") || !document.at("number").is_number_unsigned()
        || !document.contains("content")) {
        co_return errorResponse(400, makeError(ErrorKind::MalformedJson, "a change must have /number and /content"));
    }
    const nlohmann::json &content = document.at("content");
    if (const Result<Configuration> parsed = parseConfiguration(content); !parsed) {
        co_return errorResponse(400, parsed.error());
    }
    const ConfigurationProposal proposal{
        .number = document.at("number").get<std::uint64_t>(), .digest = configurationDigest(content), .content = content.dump()};
    if (document.contains("digest") && document.at("digest") != proposal.digest) {
        co_return errorResponse(400, makeError(ErrorKind::InvalidConfiguration, "/digest doesn't match /content"));
    }
    const ControlCommand command = ProposeConfiguration{.proposal = proposal};
    Result<Wire::ProposeReply> reply = co_await this->control->propose(command, true, applyTimeout);
    if (!reply) {
        co_return errorResponse(
            503, makeError(ErrorKind::NoQuorum, "the outcome is unknown: " + reply.error().detail + "; send the same change again"));
    }
    if (reply.value().status == Wire::ProposeStatus::StorageFull) {
        co_return errorResponse(503, makeError(ErrorKind::StorageFull, "the control leader's data folder is full"));
    }
    if (reply.value().status != Wire::ProposeStatus::Done) {
        co_return errorResponse(400, makeError(ErrorKind::InvalidConfiguration, "the control leader rejected this configuration"));
    }
    const auto verdict = static_cast<ProposalVerdict>(reply.value().verdict);
    logger.info("configuration " + std::to_string(proposal.number) + " with digest " + proposal.digest + ": "
                + std::string(verdictName(verdict)));
    if (verdict == ProposalVerdict::NumberTaken || verdict == ProposalVerdict::NumberOutOfOrder) {
        co_return conflictResponse(verdict, reply.value(), proposal);
    }
    if (!reply.value().heldByFronts) {
        co_return errorResponse(
            503,
            makeError(ErrorKind::NoQuorum, "the change is committed, but no majority of fronts holds it yet; send the same change again"));
    }
    co_return jsonResponse(200, {{"verdict", verdictName(verdict)}, {"number", proposal.number}, {"digest", proposal.digest}});
}

Asio::awaitable<HttpResponse> OperatorApi::showStatus(HttpRequest)
{
    const TimePoint now = MonotonicClock::now();
    const std::shared_ptr<const InstalledView> installed = this->state->installed();
    nlohmann::json fronts = nlohmann::json::array();
    for (const PeerFrontStatus &front : this->state->fronts(now)) {
        fronts.push_back({{"instance", front.instance},
                          {"dataCentre", front.dataCentre},
                          {"alive", front.alive},
                          {"draining", front.draining},
                          {"revision", front.revision},
                          {"configurationNumber", front.configurationNumber}});
    }
    nlohmann::json controls = nlohmann::json::array();
    std::string leader;
    std::int64_t term = 0;
    const Wire::ControlStatusRequest noHistory;
    for (const InstanceName &name : this->control->controls()) {
        Result<Wire::ControlStatusReply> reply = co_await this->control->status(name, noHistory, statusTimeout);
        nlohmann::json entry{
            {"instance", name}, {"reachable", reply.has_value()}, {"role", "unknown"}, {"commitIndex", 0}, {"voter", false}};
        if (reply) {
            const Wire::ControlStatusReply &status = reply.value();
            entry["role"] = status.leader == name ? "leader" : "follower";
            entry["commitIndex"] = status.commitIndex;
            for (const Wire::MemberStatus &member : status.members) {
                if (member.id == status.identity) {
                    entry["voter"] = member.voter;
                }
            }
            if (status.term > term && !status.leader.empty()) {
                term = status.term;
                leader = status.leader;
            }
        }
        controls.push_back(std::move(entry));
    }
    const bool confirmed = this->state->confirmed(MonotonicClock::now());
    co_return jsonResponse(200,
                           {{"instance", this->state->instance()},
                            {"ready", confirmed && !this->state->draining()},
                            {"confirmed", confirmed},
                            {"revision", installed->view.revision},
                            {"configurationNumber", installed->view.configurationNumber},
                            {"leader", leader},
                            {"term", term},
                            {"control", std::move(controls)},
                            {"fronts", std::move(fronts)}});
}

Asio::awaitable<HttpResponse> OperatorApi::showBackends(HttpRequest)
{
    const std::shared_ptr<const RoutingTable> table = this->state->table();
    const TimePoint now = MonotonicClock::now();
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[serviceName, service] : table->services) {
        for (const auto &[group, replicas] : service.groups) {
            for (const Replica &replica : replicas) {
                const BackendRecord &record = replica.record;
                list.push_back({{"service", serviceName},
                                {"group", group},
                                {"address", record.key.address},
                                {"dataCentre", record.dataCentre},
                                {"state", toString(record.state)},
                                {"epoch", record.epoch},
                                {"versions", record.versions},
                                {"slots", record.slots},
                                {"connections", record.connections},
                                {"ejected", replica.health->ejected(now)},
                                {"inFlight", replica.health->inFlight()}});
            }
        }
    }
    co_return jsonResponse(200, {{"suspect", this->state->registrySuspect()}, {"backends", std::move(list)}});
}

Asio::awaitable<HttpResponse> OperatorApi::showEntries(HttpRequest request)
{
    const auto found = request.parameters.find("dataCentre");
    const std::string dataCentre = found == request.parameters.end() ? std::string() : found->second;
    const auto cacheDuration = this->state->installed()->configuration.entry.cacheDuration;
    co_return jsonResponse(200, toJson(this->state->usableEntries(dataCentre, MonotonicClock::now()), cacheDuration));
}

Asio::awaitable<HttpResponse> OperatorApi::drainEntry(HttpRequest request)
{
    const nlohmann::json document = parseBoundedJsonOrDiscard(request.body);
    if (!document.is_object() || !document.contains("instance") || !document.at("instance").is_string()) {
        co_return errorResponse(400, makeError(ErrorKind::MalformedJson, "/instance must be the name of an entry instance"));
    }
    const auto instance = document.at("instance").get<std::string>();
    if (instance == this->state->instance()) {
        this->state->setDraining(true);
        co_return jsonResponse(200, nlohmann::json::object());
    }
    const auto found = this->frontLinks.find(instance);
    if (found == this->frontLinks.end()) {
        co_return errorResponse(404, makeError(ErrorKind::NotFound, "no entry instance is named " + instance));
    }
    Wire::Envelope envelope;
    Wire::DrainRequest drain;
    drain.instance = instance;
    envelope.__set_drainRequest(drain);
    Result<Wire::Envelope> reply = co_await found->second->call(std::move(envelope), drainTimeout);
    if (!reply) {
        co_return errorResponse(503, reply.error());
    }
    co_return jsonResponse(200, nlohmann::json::object());
}

Asio::awaitable<HttpResponse> OperatorApi::showMembers(HttpRequest)
{
    const Wire::ControlStatusRequest noHistory;
    Result<Wire::ControlStatusReply> status = co_await this->leaderStatus(noHistory);
    if (!status) {
        co_return errorResponse(503, status.error());
    }
    nlohmann::json members = nlohmann::json::array();
    for (const Wire::MemberStatus &member : status.value().members) {
        members.push_back({{"id", static_cast<std::uint64_t>(member.id)},
                           {"instance", member.instance},
                           {"voter", member.voter},
                           {"matchIndex", member.matchIndex}});
    }
    co_return jsonResponse(200, {{"members", std::move(members)}, {"lastIndex", status.value().lastIndex}});
}

Asio::awaitable<HttpResponse> OperatorApi::changeMembers(HttpRequest request)
{
    static const std::map<std::string, Wire::MemberAction::type> actions{
        {"add", Wire::MemberAction::AddLearner}, {"promote", Wire::MemberAction::Promote}, {"remove", Wire::MemberAction::Remove}};
    const nlohmann::json document = parseBoundedJsonOrDiscard(request.body);
    const std::string action = document.is_object() ? document.value("action", std::string()) : std::string();
    const auto found = actions.find(action);
    const bool hasId = document.is_object() && document.contains("id") && document.at("id").is_number_unsigned();
    if (found == actions.end() || !hasId) {
        co_return errorResponse(400,
                                makeError(ErrorKind::MalformedJson, "a change needs /action (add, promote or remove) and /id (integer)"));
    }
    const auto id = document.at("id").get<std::uint64_t>();
    Wire::MemberChangeRequest change;
    change.action = found->second;
    change.id = static_cast<std::int64_t>(id);
    change.instance = document.value("instance", std::string());
    Result<Wire::MemberChangeReply> reply = co_await this->control->changeMembers(change, memberTimeout);
    if (!reply) {
        co_return errorResponse(503, reply.error());
    }
    if (reply.value().status != Wire::ProposeStatus::Done) {
        co_return errorResponse(409, makeError(ErrorKind::MembershipBusy, reply.value().message));
    }
    co_return jsonResponse(200, nlohmann::json::object());
}

} // namespace Galenawell
