#include "galenawell/front/frontprocess.h"

#include "galenawell/control/controlprocess.h"
#include "galenawell/core/boundedjson.h"
#include "galenawell/core/incarnation.h"
#include "galenawell/front/registrycodec.h"
#include "galenawell/telemetry/log.h"

#include <nlohmann/json.hpp>

namespace Galenawell {

namespace {

const Log logger("front");

constexpr std::chrono::milliseconds heartbeatInterval{300};
constexpr std::chrono::milliseconds heartbeatTimeout{1000};
constexpr std::chrono::milliseconds pollInterval{250};
// A longer timeout than the log's quorum timeout would block the loop; the other control processes are polled meanwhile.
constexpr std::chrono::milliseconds pollTimeout{1000};
constexpr std::chrono::milliseconds tickInterval{50};
constexpr std::chrono::milliseconds partitionMapInterval{300};
constexpr std::chrono::milliseconds partitionMapTimeout{2000};
constexpr std::chrono::milliseconds catchUpInterval{200};
constexpr std::chrono::milliseconds evidenceTimeout{300};
constexpr std::chrono::milliseconds shutdownPollInterval{20};
// After the last answer, the listener stays open for this long: callers that send their next request are told that it hasn't
// run, instead of finding the connection closed.
constexpr std::chrono::milliseconds refusalPeriod{500};

} // namespace

FrontProcess::FrontProcess(Asio::any_io_executor ioExecutor, ProcessSettings processSettings)
    : executor(std::move(ioExecutor))
    , settings(std::move(processSettings))
    , metrics(std::make_shared<Metrics>(this->settings.instance))
    , traffic(std::make_shared<PeerTraffic>())
    , frontLinks(makeLinks(this->executor, this->settings, ProcessRole::Front, this->traffic))
    , control(std::make_shared<ControlClient>(makeLinks(this->executor, this->settings, ProcessRole::Control, this->traffic)))
    , state(std::make_shared<FrontState>(this->settings, newIncarnation(), this->metrics))
{
}

Status FrontProcess::start()
{
    const std::weak_ptr<FrontProcess> weak = this->weak_from_this();
    this->queryService
        = std::make_shared<QueryService>(this->executor, this->state, this->control, this->metrics, [weak]() -> Asio::awaitable<void> {
              if (const auto self = weak.lock()) {
                  co_await self->shareEvidence();
              }
          });
    this->operatorApi
        = std::make_shared<OperatorApi>(this->settings, this->state, this->control, this->metrics, this->traffic, this->frontLinks);
    this->state->onChange([weak] {
        if (const auto self = weak.lock()) {
            self->wakeHeartbeats();
        }
    });
    this->startServers();
    this->startLoops();
    return boost::outcome_v2::success();
}

void FrontProcess::startServers()
{
    const auto self = this->shared_from_this();
    const auto refuseCaller = [self](RefusalReason reason, const std::string &detail) {
        return self->queryService->refuse("", Execution::NotRun, reason, detail);
    };
    const auto memory = std::make_shared<RequestMemory>(this->settings.requestMemoryBytes);
    const auto options = [self, memory](const Tcp::endpoint &address) {
        return HttpServerOptions{.address = address, .maximumConnections = self->settings.maximumConnections, .memory = memory};
    };
    this->callerServer = std::make_shared<HttpServer>(
        this->executor,
        options(*this->settings.callerAddress),
        [self](HttpRequest request) { return self->queryService->handle(std::move(request)); },
        refuseCaller);
    this->backendServer = std::make_shared<HttpServer>(
        this->executor,
        options(*this->settings.backendAddress),
        [self](HttpRequest request) { return self->handleBackend(std::move(request)); },
        refuseCaller);
    this->operatorServer = std::make_shared<HttpServer>(
        this->executor,
        options(this->settings.operatorAddress),
        [self](HttpRequest request) { return self->operatorApi->handle(std::move(request)); },
        [self](RefusalReason reason, const std::string &detail) { return self->operatorApi->refuse(reason, detail); });
    this->peerServer = std::make_shared<PeerServer>(
        this->executor,
        this->settings.peerAddress,
        peerIdentity(this->settings),
        [self](InstanceName peer, Wire::Envelope request) { return self->handleCall(std::move(peer), std::move(request)); },
        this->traffic);
    this->callerServer->start();
    this->backendServer->start();
    this->operatorServer->start();
    this->peerServer->start();
}

void FrontProcess::startLoops()
{
    const auto self = this->shared_from_this();
    for (const auto &[name, link] : this->frontLinks) {
        this->heartbeats[name] = std::make_shared<HeartbeatLoop>(this->executor);
    }
    for (const auto &[name, link] : this->frontLinks) {
        const std::shared_ptr<HeartbeatLoop> loop = this->heartbeats.at(name);
        Asio::co_spawn(
            loop->strand, [self, link = link, loop] { return self->heartbeatLoop(link, loop); }, Asio::detached);
    }
    for (const InstanceName &name : this->control->controls()) {
        Asio::co_spawn(
            Asio::make_strand(this->executor), [self, name] { return self->pollLoop(name); }, Asio::detached);
    }
    Asio::co_spawn(
        Asio::make_strand(this->executor), [self] { return self->tickLoop(); }, Asio::detached);
    Asio::co_spawn(
        Asio::make_strand(this->executor), [self] { return self->partitionMapLoop(); }, Asio::detached);
    Asio::co_spawn(
        Asio::make_strand(this->executor), [self] { return self->catchUpLoop(); }, Asio::detached);
}

Asio::awaitable<void> FrontProcess::pause(std::chrono::milliseconds duration)
{
    Asio::steady_timer timer(co_await Asio::this_coro::executor, duration);
    co_await timer.async_wait(awaitResult);
}

void FrontProcess::wakeHeartbeats()
{
    for (const auto &[name, loop] : this->heartbeats) {
        Asio::post(loop->strand, [loop = loop] {
            loop->sendAgain = true;
            loop->timer.cancel();
        });
    }
}

Asio::awaitable<void> FrontProcess::heartbeatLoop(std::shared_ptr<PeerLink> link, std::shared_ptr<HeartbeatLoop> loop)
{
    while (!this->stopping) {
        loop->sendAgain = false;
        const TimePoint requestedAt = MonotonicClock::now();
        Wire::Envelope request;
        request.__set_frontHeartbeat(this->state->heartbeatFor(link->peerInstance()));
        Result<Wire::Envelope> reply = co_await link->call(std::move(request), heartbeatTimeout);
        if (reply && reply.value().__isset.frontHeartbeatReply) {
            this->state->onHeartbeatReply(link->peerInstance(), reply.value().frontHeartbeatReply, requestedAt);
        }
        if (!loop->sendAgain) {
            loop->timer.expires_after(heartbeatInterval);
            co_await loop->timer.async_wait(awaitResult);
        }
    }
}

Wire::ControlPoll FrontProcess::makePoll()
{
    const std::shared_ptr<const InstalledView> installed = this->state->installed();
    Wire::ControlPoll poll;
    poll.instance = this->settings.instance;
    poll.incarnation = static_cast<std::int64_t>(this->state->incarnation());
    poll.draining = this->state->draining();
    poll.revision = static_cast<std::int64_t>(installed->view.revision);
    poll.configurationNumber = static_cast<std::int64_t>(installed->view.configurationNumber);
    return poll;
}

void FrontProcess::installFrom(const Wire::ControlPollReply &reply, TimePoint requestedAt)
{
    if (reply.__isset.view) {
        Result<ControlView> view = decodeControlView(reply.view);
        if (!view) {
            logger.error("cannot decode a control view: " + view.error().message());
            return;
        }
        if (Status status = this->state->installView(view.value()); !status) {
            logger.error("cannot install a control view: " + status.error().message());
            return;
        }
    }
    if (reply.confirmed) {
        this->state->recordControlConfirmation(static_cast<std::uint64_t>(reply.revision), requestedAt);
    }
}

Asio::awaitable<void> FrontProcess::pollLoop(InstanceName controlInstance)
{
    while (!this->stopping) {
        const std::uint64_t previousRevision = this->state->installed()->view.revision;
        const TimePoint requestedAt = MonotonicClock::now();
        const Wire::ControlPoll request = this->makePoll();
        Result<Wire::ControlPollReply> reply = co_await this->control->poll(controlInstance, request, pollTimeout);
        if (reply) {
            if (reply.value().confirmed) {
                this->control->updateLeaderHint(controlInstance);
            }
            this->installFrom(reply.value(), requestedAt);
        }
        // Reports a newer view without delay, because the operator request waits until a majority of fronts holds it.
        if (this->state->installed()->view.revision == previousRevision) {
            co_await this->pause(pollInterval);
        }
    }
}

Asio::awaitable<void> FrontProcess::tickLoop()
{
    while (!this->stopping) {
        this->state->tick(MonotonicClock::now());
        co_await this->pause(tickInterval);
    }
}

Asio::awaitable<void> FrontProcess::partitionMapLoop()
{
    while (!this->stopping) {
        if (this->state->confirmed(MonotonicClock::now())) {
            for (const PartitionMap &map : this->state->mapsToRecord()) {
                const ControlCommand command = RecordPartitionMap{.map = map};
                Result<Wire::ProposeReply> reply = co_await this->control->propose(command, false, partitionMapTimeout);
                if (reply && reply.value().__isset.verdict && reply.value().verdict == 1) {
                    logger.info("recorded the partition map of " + map.service + " for epoch " + std::to_string(map.epoch));
                }
            }
        }
        co_await this->pause(partitionMapInterval);
    }
}

Asio::awaitable<void> FrontProcess::catchUpLoop()
{
    while (!this->stopping) {
        co_await this->pause(catchUpInterval);
        const std::optional<InstanceName> front = this->state->frontWithNewerView();
        if (!front || !this->frontLinks.contains(*front)) {
            continue;
        }
        Wire::Envelope request;
        request.__set_controlPoll(this->makePoll());
        Result<Wire::Envelope> reply = co_await this->frontLinks.at(*front)->call(std::move(request), heartbeatTimeout);
        if (reply && reply.value().__isset.controlPollReply) {
            this->installFrom(reply.value().controlPollReply, MonotonicClock::now());
        }
    }
}

Asio::awaitable<void> FrontProcess::shareEvidence()
{
    const auto self = this->shared_from_this();
    struct Pending
    {
        explicit Pending(const Asio::any_io_executor &timerExecutor)
            : timer(timerExecutor, evidenceTimeout)
        {
        }

        Asio::steady_timer timer;
        std::atomic<std::size_t> remaining{0};
    };
    const Asio::any_io_executor callingExecutor = co_await Asio::this_coro::executor;
    auto pending = std::make_shared<Pending>(callingExecutor);
    for (const PeerFrontStatus &front : this->state->fronts(MonotonicClock::now())) {
        const auto link = this->frontLinks.find(front.instance);
        if (!front.alive || link == this->frontLinks.end()) {
            continue;
        }
        ++pending->remaining;
        Asio::co_spawn(
            callingExecutor,
            [self, link = link->second, pending]() -> Asio::awaitable<void> {
                const TimePoint requestedAt = MonotonicClock::now();
                Wire::Envelope request;
                request.__set_frontHeartbeat(self->state->heartbeatFor(link->peerInstance()));
                Result<Wire::Envelope> reply = co_await link->call(std::move(request), evidenceTimeout);
                if (reply && reply.value().__isset.frontHeartbeatReply) {
                    self->state->onHeartbeatReply(link->peerInstance(), reply.value().frontHeartbeatReply, requestedAt);
                }
                if (--pending->remaining == 0) {
                    pending->timer.cancel();
                }
            },
            Asio::detached);
    }
    if (pending->remaining > 0) {
        co_await pending->timer.async_wait(awaitResult);
    }
}

Asio::awaitable<Wire::Envelope> FrontProcess::handleCall(InstanceName, Wire::Envelope request)
{
    Wire::Envelope reply;
    if (request.__isset.frontHeartbeat) {
        reply.__set_frontHeartbeatReply(this->state->onHeartbeat(request.frontHeartbeat, MonotonicClock::now()));
    } else if (request.__isset.controlPoll) {
        const std::shared_ptr<const InstalledView> installed = this->state->installed();
        Wire::ControlPollReply poll;
        poll.confirmed = false;
        poll.term = 0;
        poll.revision = static_cast<std::int64_t>(installed->view.revision);
        if (poll.revision > request.controlPoll.revision) {
            poll.__set_view(encodeControlView(installed->view));
        }
        reply.__set_controlPollReply(poll);
    } else if (request.__isset.drainRequest) {
        this->state->setDraining(true);
        reply.__set_acknowledgement(Wire::Empty());
    } else {
        reply.__set_acknowledgement(Wire::Empty());
    }
    co_return reply;
}

Asio::awaitable<HttpResponse> FrontProcess::handleBackend(HttpRequest request)
{
    if (request.method != "POST" || request.path != "/v1/announce") {
        co_return this->queryService->refuse("", Execution::NotRun, RefusalReason::UnknownPath, request.method + " " + request.path);
    }
    this->metrics->count(CounterName::Announcements);
    if (this->stopping || this->state->draining()) {
        // Makes the server announce itself to another front before the records of this front expire there.
        co_return this->queryService->refuse("", Execution::NotRun, RefusalReason::ShuttingDown, "announce to another front");
    }
    Result<BackendRecord> record = parseAnnouncement(parseBoundedJsonOrDiscard(request.body));
    if (!record) {
        co_return this->queryService->refuse("", Execution::NotRun, RefusalReason::MalformedRequest, record.error().detail);
    }
    Result<bool> announced = this->state->announce(record.value(), MonotonicClock::now());
    if (!announced) {
        co_return this->queryService->refuse("", Execution::NotRun, RefusalReason::MalformedRequest, announced.error().detail);
    }
    co_return HttpResponse{.body = nlohmann::json{{"leaseMs", backendLease.count()}}.dump()};
}

Asio::awaitable<void> FrontProcess::shutdown()
{
    const auto cacheDuration = this->state->installed()->configuration.entry.cacheDuration;
    logger.info("draining: removed from the entry list, requests are accepted for another " + std::to_string(cacheDuration.count())
                + " ms");
    this->state->setDraining(true);
    co_await this->pause(cacheDuration);
    this->queryService->refuseNewRequests();
    while (this->queryService->inFlight() > 0) {
        co_await this->pause(shutdownPollInterval);
    }
    co_await this->pause(refusalPeriod);
    this->callerServer->stop();
    while (this->callerServer->inFlight() > 0) {
        co_await this->pause(shutdownPollInterval);
    }
    this->stopping = true;
    this->backendServer->stop();
    this->operatorServer->stop();
    this->peerServer->stop();
    for (const auto &[name, link] : this->frontLinks) {
        link->close();
    }
    logger.info("all requests are completed, the process exits");
}

} // namespace Galenawell
