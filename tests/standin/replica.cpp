#include "replica.h"

#include "galenawell/core/clock.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <cmath>

namespace Galenawell::StandIn {

namespace {

using Clock = MonotonicClock;

constexpr std::chrono::seconds drainGracePeriod{2};
// Interval at which a stalled request checks whether the replica and the connection still are stalled.
constexpr std::chrono::milliseconds stallPollInterval{10};
// Keeps the accept loop from spinning when descriptors run out.
constexpr std::chrono::milliseconds acceptErrorPause{20};
// For subrequests without a deadline.
constexpr std::uint64_t defaultDeadlineMilliseconds = 10'000;

std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
}

HttpResponse refuseMalformed(const std::string &detail)
{
    return makeResponse(Http::status::bad_request, {{"error", "malformed_request"}, {"detail", detail}});
}

} // namespace

Replica::Session::Session(Tcp::socket accepted)
    : socket(std::move(accepted))
{
}

Replica::SlotRequest::SlotRequest(Replica &replica, const Asio::any_io_executor &executor)
    : owner(replica)
    , timer(executor)
{
}

Replica::SlotRequest::~SlotRequest()
{
    if (this->granted) {
        this->owner.releaseSlot();
    } else {
        this->owner.waiting.remove(this);
    }
}

Replica::CountedRun::CountedRun(RunCounter &runCounter, std::string id)
    : counter(runCounter)
    , requestId(std::move(id))
{
    this->counter.started(this->requestId);
}

Replica::CountedRun::~CountedRun()
{
    if (this->completed) {
        this->counter.completed(this->requestId);
    } else {
        this->counter.abandoned(this->requestId);
    }
}

Replica::Replica(Asio::io_context &ioContext,
                 ReplicaIdentity identity,
                 const ServiceSettings &serviceSettings,
                 const Settings &settings,
                 RunCounter &runCounter)
    : context(ioContext)
    , self(std::move(identity))
    , service(serviceSettings)
    , fronts(settings.fronts)
    , endpoint(Asio::ip::make_address(settings.ip), self.port)
    , runs(runCounter)
    , dataset(serviceSettings.keys)
    , acceptor(ioContext)
    , random(settings.seed * 1'000'003 + self.ordinal)
    , versions(serviceSettings.versions.begin(), serviceSettings.versions.end())
    , epoch(serviceSettings.epoch)
    , announceStream(ioContext)
    , announceTimer(ioContext)
{
    if (this->self.straggler) {
        this->serviceTimeFactor = serviceSettings.stragglerFactor;
    }
    if (serviceSettings.kind == ServiceKind::Sharded) {
        this->range = rangeOfGroup(this->self.groupIndex, serviceSettings.groups, this->epoch);
    }
}

void Replica::start()
{
    this->incarnation = newIncarnation();
    this->listen();
    Asio::co_spawn(
        this->context,
        [replica = this->shared_from_this()]() -> Asio::awaitable<void> { co_await replica->announceRepeatedly(); },
        Asio::detached);
}

void Replica::listen()
{
    this->acceptor.open(this->endpoint.protocol());
    this->acceptor.set_option(Tcp::acceptor::reuse_address(true));
    this->acceptor.bind(this->endpoint);
    this->acceptor.listen();
    // A restart after a crash uses the same port, also if the system chose it.
    this->endpoint = this->acceptor.local_endpoint();
    this->self.port = this->endpoint.port();
    this->startedAt = Clock::now();
    Asio::co_spawn(
        this->context,
        [replica = this->shared_from_this()]() -> Asio::awaitable<void> { co_await replica->acceptConnections(); },
        Asio::detached);
}

Asio::awaitable<void> Replica::acceptConnections()
{
    while (true) {
        auto [error, socket] = co_await this->acceptor.async_accept(useTuple);
        if (!this->acceptor.is_open()) {
            co_return;
        }
        if (error) {
            co_await sleepFor(acceptErrorPause);
            continue;
        }
        ++this->statistics.connections;
        if (this->sessions.size() >= this->service.connections) {
            ++this->statistics.connectionsRefused;
            continue;
        }
        socket.set_option(Tcp::no_delay(true), error);
        auto session = std::make_shared<Session>(std::move(socket));
        this->sessions.insert(session);
        Asio::co_spawn(
            this->context,
            [replica = this->shared_from_this(), session]() -> Asio::awaitable<void> {
                co_await replica->serveConnection(session);
                replica->sessions.erase(session);
            },
            Asio::detached);
    }
}

Asio::awaitable<void> Replica::serveConnection(SessionPointer session)
{
    using namespace Asio::experimental::awaitable_operators;
    co_await sleepFor(this->service.connectDelay);
    boost::beast::flat_buffer buffer;
    while (session->socket.is_open()) {
        HttpRequestParser parser;
        limitParser(parser);
        const auto [readError, bytesRead] = co_await Http::async_read(session->socket, buffer, parser, useTuple);
        if (readError) {
            break;
        }
        auto outcome = co_await (this->answer(parser.get(), session) || this->waitUntilClosed(session));
        if (outcome.index() == 1) {
            ++this->statistics.cancellations;
            break;
        }
        std::optional<HttpResponse> &response = std::get<0>(outcome);
        if (!response || !session->socket.is_open()) {
            break;
        }
        response->keep_alive(parser.get().keep_alive());
        response->prepare_payload();
        const auto [writeError, bytesWritten] = co_await Http::async_write(session->socket, *response, useTuple);
        if (writeError || !parser.get().keep_alive()) {
            break;
        }
    }
    boost::system::error_code ignored;
    session->socket.close(ignored);
}

Asio::awaitable<void> Replica::waitUntilClosed(SessionPointer session)
{
    const auto [error] = co_await session->socket.async_wait(Tcp::socket::wait_read, useTuple);
    boost::system::error_code ignored;
    if (!error && session->socket.available(ignored) > 0) {
        // With a pipelined request unread, a close can't be detected; that request is served after this one.
        co_await sleepFor(std::chrono::hours(24));
    }
}

Asio::awaitable<void> Replica::waitWhileStalled(SessionPointer session)
{
    while (this->frozen || session->unresponsive) {
        co_await sleepFor(stallPollInterval);
    }
}

Asio::awaitable<std::optional<HttpResponse>> Replica::answer(const HttpRequest &request, SessionPointer session)
{
    co_await this->waitWhileStalled(session);
    std::optional<HttpResponse> response;
    if (request.target() != "/v1/subrequest" || request.method() != Http::verb::post) {
        response = makeResponse(Http::status::not_found, {{"error", "unknown_path"}});
    } else {
        const Json subrequest = Json::parse(request.body(), nullptr, false);
        if (!subrequest.is_object()) {
            response = refuseMalformed("the body isn't a JSON object");
        } else {
            response = co_await this->answerSubrequest(subrequest);
        }
    }
    co_await this->waitWhileStalled(session);
    co_return response;
}

Asio::awaitable<std::optional<HttpResponse>> Replica::answerSubrequest(const Json &subrequest)
{
    std::optional<std::string> malformed;
    try {
        ++this->statistics.subrequests;
        if (this->drainingSince && Clock::now() - *this->drainingSince > drainGracePeriod) {
            ++this->statistics.lateAfterDrain;
        }
        const std::string refusal = this->refusalFor(subrequest);
        if (!refusal.empty()) {
            co_return this->refuse(subrequest, refusal);
        }
        co_return co_await this->run(subrequest);
    } catch (const Json::exception &exception) {
        malformed = exception.what();
    }
    co_return refuseMalformed(*malformed);
}

Asio::awaitable<std::optional<HttpResponse>> Replica::run(const Json &subrequest)
{
    const std::uint64_t initialIncarnation = this->incarnation;
    const std::string requestId = subrequest.at("requestId").get<std::string>();
    const auto deadline = Clock::now() + std::chrono::milliseconds(subrequest.value("deadlineMs", defaultDeadlineMilliseconds));
    // Builds the reply first, so that a malformed body is refused before it takes a slot.
    HttpResponse prepared = this->reply(subrequest);
    if (prepared.result() != Http::status::ok) {
        co_return prepared;
    }

    SlotRequest slotRequest(*this, co_await Asio::this_coro::executor);
    if (!co_await this->acquireSlot(slotRequest, deadline)) {
        co_return this->refuse(subrequest, "overloaded");
    }
    if (this->incarnation != initialIncarnation || this->down) {
        co_return std::nullopt;
    }
    CountedRun countedRun(this->runs, requestId);
    if (!this->crashText.empty() && subrequest.at("body").dump().find(this->crashText) != std::string::npos) {
        this->crash();
        co_return std::nullopt;
    }
    const auto end = Clock::now() + this->drawServiceTime();
    co_await sleepFor(std::min(end, deadline) - Clock::now());
    if (this->incarnation != initialIncarnation || this->down) {
        co_return std::nullopt;
    }
    if (end > deadline) {
        ++this->statistics.deadlinesExceeded;
        co_return makeResponse(Http::status::gateway_timeout,
                               {{"subrequestId", subrequest.at("subrequestId")}, {"error", "deadline_exceeded"}, {"execution", "unknown"}});
    }
    countedRun.completed = true;
    ++this->statistics.replies;
    co_return this->reply(subrequest);
}

Asio::awaitable<bool> Replica::acquireSlot(SlotRequest &slotRequest, Clock::time_point deadline)
{
    if (this->running < this->service.slots) {
        ++this->running;
        slotRequest.granted = true;
        co_return true;
    }
    if (this->waiting.size() >= this->service.queueLength) {
        co_return false;
    }
    this->waiting.push_back(&slotRequest);
    slotRequest.timer.expires_at(deadline);
    // Ends early when the slot is granted or when the connection closes; the latter throws at the next suspension.
    co_await slotRequest.timer.async_wait(useTuple);
    const Asio::cancellation_state cancellation = co_await Asio::this_coro::cancellation_state;
    if (cancellation.cancelled() != Asio::cancellation_type::none) {
        throw boost::system::system_error(Asio::error::operation_aborted);
    }
    co_return slotRequest.granted;
}

void Replica::releaseSlot()
{
    --this->running;
    if (this->waiting.empty()) {
        return;
    }
    SlotRequest *next = this->waiting.front();
    this->waiting.pop_front();
    ++this->running;
    next->granted = true;
    next->timer.cancel();
}

std::string Replica::refusalFor(const Json &subrequest) const
{
    if (Clock::now() < this->startedAt + this->service.startingTime) {
        return "starting";
    }
    if (this->drainingSince) {
        return "draining";
    }
    if (Clock::now() < this->sheddingUntil) {
        return "overloaded";
    }
    if (this->service.kind == ServiceKind::Pool) {
        return {};
    }
    const auto version = subrequest.at("version").get<std::uint64_t>();
    const bool holdsVersion = subrequest.at("epoch").get<std::uint64_t>() == this->epoch && this->versions.contains(version);
    const bool isOwnGroup = subrequest.at("service").get<std::string>() == this->service.name
        && subrequest.at("group").get<std::string>() == this->self.group;
    return holdsVersion && isOwnGroup ? std::string() : "wrong_version";
}

HttpResponse Replica::refuse(const Json &subrequest, const std::string &refusal)
{
    ++this->statistics.refusals[refusal];
    return makeResponse(Http::status::service_unavailable,
                        {{"subrequestId", subrequest.at("subrequestId")}, {"refusal", refusal}, {"execution", "not_run"}});
}

HttpResponse Replica::reply(const Json &subrequest)
{
    Json json{
        {"subrequestId", subrequest.at("subrequestId")},
        {"epoch", subrequest.value("epoch", std::uint64_t{0})},
        {"version", subrequest.value("version", std::uint64_t{0})},
        {"group", this->self.group},
        {"rangeBegin", this->range.begin},
        {"rangeEnd", this->range.end},
        {"rows", Json::array()},
        {"load", this->load()},
    };
    const Json &body = subrequest.at("body");
    if (this->service.kind == ServiceKind::Pool) {
        const auto document = body.at("document").get<std::string>();
        json["rows"].push_back({{"key", document}, {"value", {{"text", "Text of " + document + " in " + this->service.name}}}});
        return makeResponse(Http::status::ok, json);
    }
    const auto version = subrequest.at("version").get<std::uint64_t>();
    const std::string prefix = body.value("prefix", "");
    const auto kind = body.at("kind").get<std::string>();
    if (kind == "aggregate") {
        json["aggregates"] = this->dataset.aggregates(this->range, version, prefix);
    } else if (kind == "rows") {
        json["rows"] = this->dataset.rows(this->range, version, prefix, body.value("limit", this->service.keys));
    } else {
        return refuseMalformed("/body/kind is " + kind + "; allowed are rows and aggregate");
    }
    return makeResponse(Http::status::ok, json);
}

Clock::duration Replica::drawServiceTime()
{
    boost::random::lognormal_distribution<double> distribution(std::log(this->service.medianServiceMilliseconds),
                                                               this->service.serviceTimeSigma);
    const std::chrono::duration<double, std::milli> drawn(distribution(this->random) * this->serviceTimeFactor);
    return std::chrono::duration_cast<Clock::duration>(drawn);
}

std::string Replica::stateName() const
{
    if (this->drainingSince) {
        return "draining";
    }
    return Clock::now() < this->startedAt + this->service.startingTime ? "starting" : "ready";
}

Json Replica::load() const
{
    return {{"running", this->running}, {"waiting", this->waiting.size()}};
}

void Replica::crash()
{
    ++this->statistics.crashes;
    this->down = true;
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    for (const SessionPointer &session : this->sessions) {
        session->socket.close(ignored);
    }
    this->announceStream.close();
    Asio::co_spawn(
        this->context,
        [replica = this->shared_from_this()]() -> Asio::awaitable<void> { co_await replica->restartAfterCrash(); },
        Asio::detached);
}

Asio::awaitable<void> Replica::restartAfterCrash()
{
    co_await sleepFor(this->crashDownTime);
    this->incarnation = std::max(this->incarnation + 1, newIncarnation());
    this->sequence = 0;
    this->drainingSince.reset();
    this->listen();
    this->down = false;
    this->announceNow();
}

void Replica::drain()
{
    if (!this->drainingSince) {
        this->drainingSince = Clock::now();
    }
    this->announceNow();
}

void Replica::undrain()
{
    this->drainingSince.reset();
    this->announceNow();
}

void Replica::shedLoad(std::chrono::milliseconds duration)
{
    this->sheddingUntil = Clock::now() + duration;
}

void Replica::setFrozen(bool nowFrozen)
{
    this->frozen = nowFrozen;
}

void Replica::silenceConnections()
{
    for (const SessionPointer &session : this->sessions) {
        session->unresponsive = true;
    }
}

void Replica::crashOn(const std::string &text, std::chrono::milliseconds downTime)
{
    this->crashText = text;
    this->crashDownTime = downTime;
}

void Replica::switchVersions(const std::vector<std::uint64_t> &add, const std::vector<std::uint64_t> &remove)
{
    this->versions.insert(add.begin(), add.end());
    for (const std::uint64_t version : remove) {
        this->versions.erase(version);
    }
    this->announceNow();
}

void Replica::repartition(std::uint64_t newEpoch)
{
    if (this->service.kind == ServiceKind::Pool) {
        return;
    }
    this->epoch = newEpoch;
    this->range = rangeOfGroup(this->self.groupIndex, this->service.groups, newEpoch);
    this->announceNow();
}

void Replica::stopAnnouncing(bool stopped)
{
    this->announcing = !stopped;
    this->announceNow();
}

void Replica::setServiceTimeFactor(double factor)
{
    this->serviceTimeFactor = factor;
}

const ReplicaIdentity &Replica::identity() const
{
    return this->self;
}

const std::string &Replica::serviceName() const
{
    return this->service.name;
}

Json Replica::describe() const
{
    const ReplicaStatistics &counts = this->statistics;
    return {
        {"service", this->service.name},
        {"group", this->self.group},
        {"index", this->self.index},
        {"address", this->endpoint.address().to_string() + ":" + std::to_string(this->self.port)},
        {"dataCentre", this->self.dataCentre},
        {"state", this->down ? "down" : this->stateName()},
        {"incarnation", this->incarnation},
        {"epoch", this->epoch},
        {"versions", this->versions},
        {"running", this->running},
        {"waiting", this->waiting.size()},
        {"openConnections", this->sessions.size()},
        {"subrequests", counts.subrequests},
        {"replies", counts.replies},
        {"refusals", counts.refusals},
        {"cancellations", counts.cancellations},
        {"deadlinesExceeded", counts.deadlinesExceeded},
        {"lateAfterDrain", counts.lateAfterDrain},
        {"connections", counts.connections},
        {"connectionsRefused", counts.connectionsRefused},
        {"crashes", counts.crashes},
        {"announcements", counts.announcements},
        {"announcementFailures", counts.announcementFailures},
    };
}

} // namespace Galenawell::StandIn
