#include "galenawell/front/routedrun.h"

#include "galenawell/front/limitevent.h"
#include "galenawell/front/scatterrun.h"

#include <algorithm>
#include <utility>

namespace Galenawell {

namespace {

// After this time the subrequest is retried on another server; handshakes take a few milliseconds.
constexpr std::chrono::milliseconds connectTimeout{250};

} // namespace

RoutedRun::RoutedRun(RoutedRunOptions runOptions, RoutedRunContext runContext)
    : options(std::move(runOptions))
    , context(std::move(runContext))
    , scatter(this->limitedScatterOptions(), this->options.table, *this->options.service, this->options.policies, this->options.seed)
{
}

ScatterOptions RoutedRun::limitedScatterOptions()
{
    ScatterOptions scatterOptions = this->options.scatter;
    scatterOptions.crashesServersOf = [this](const std::string &group) {
        return this->context.crashes->suspectCount() > 0 && this->context.crashes->isSuspect(this->digestFor(group));
    };
    return scatterOptions;
}

ContentDigest RoutedRun::digestFor(const std::string &group)
{
    if (this->contentDigest.empty()) {
        const RoutedRequest &request = *this->options.request;
        this->contentDigest = digestOfContent({request.host, request.method, request.target, request.content->body});
    }
    return digestOfContent({group, this->contentDigest});
}

Asio::awaitable<ScatterOutcome> RoutedRun::run()
{
    const auto self = this->shared_from_this();
    this->strand = co_await Asio::this_coro::executor;
    this->timer.emplace(this->strand, TimePoint::max());
    this->perform(this->scatter.start(MonotonicClock::now()));
    while (!this->outcome) {
        auto [error] = co_await this->timer->async_wait(awaitResult);
        if (!error && !this->outcome) {
            this->timer->expires_at(TimePoint::max());
            this->perform(this->scatter.onTimer(MonotonicClock::now()));
        }
    }
    this->context.metrics->count(CounterName::Subrequests, static_cast<double>(this->scatter.subrequestsSent()));
    this->context.metrics->count(CounterName::HedgedSubrequests, static_cast<double>(this->scatter.hedgesSent()));
    co_return std::move(*this->outcome);
}

void RoutedRun::cancel()
{
    if (this->outcome) {
        return;
    }
    this->perform(this->scatter.cancel(MonotonicClock::now()));
    ScatterOutcome cancelled;
    cancelled.refusal = RefusalReason::CallerLeft;
    this->finish(std::move(cancelled));
}

void RoutedRun::expire()
{
    if (!this->outcome) {
        this->perform(this->scatter.expire(MonotonicClock::now()));
    }
}

const std::string &RoutedRun::target() const
{
    return this->options.target;
}

std::uint64_t RoutedRun::sends() const
{
    return this->scatter.subrequestsSent();
}

std::uint64_t RoutedRun::hedges() const
{
    return this->scatter.hedgesSent();
}

void RoutedRun::perform(ScatterActions actions)
{
    for (const RetryReason reason : actions.retries) {
        this->context.metrics->countRetry(reason);
    }
    for (const std::string &group : actions.withheld) {
        this->context.metrics->count(CounterName::WithheldRetries);
        if (this->context.events->shouldLog(EventKind::Attempt)) {
            this->context.events->write(EventKind::Attempt,
                                        Event("retry_withheld").text("request", this->options.request->id).text("group", group));
        }
    }
    for (const std::uint64_t id : actions.cancel) {
        const auto found = this->inFlight.find(id);
        if (found != this->inFlight.end()) {
            found->second->cancel();
            this->inFlight.erase(found);
        }
    }
    for (const SubrequestSend &send : actions.send) {
        this->startSubrequest(send);
    }
    if (actions.nextTimerAt && this->timer) {
        this->timer->expires_at(*actions.nextTimerAt);
    }
    if (actions.outcome) {
        this->finish(std::move(*actions.outcome));
    }
}

void RoutedRun::finish(ScatterOutcome result)
{
    if (this->outcome) {
        return;
    }
    this->outcome = std::move(result);
    for (auto &[id, handle] : this->inFlight) {
        handle->cancel();
    }
    this->inFlight.clear();
    if (this->timer) {
        this->timer->cancel();
    }
}

void RoutedRun::startSubrequest(const SubrequestSend &send)
{
    auto handle = std::make_shared<ExchangeHandle>();
    this->inFlight.emplace(send.subrequestId, handle);
    Asio::co_spawn(
        this->strand, [self = this->shared_from_this(), send, handle] { return self->exchange(send, handle); }, Asio::detached);
}

Asio::awaitable<void> RoutedRun::exchange(SubrequestSend send, std::shared_ptr<ExchangeHandle> handle)
{
    // The replica belongs to the table, which this run keeps alive.
    const std::chrono::milliseconds timeLeft = std::max(std::chrono::milliseconds(1), toMilliseconds(send.expiry - MonotonicClock::now()));
    ExchangeRequest request = this->context.codec->encodeSubrequest(*this->options.request, send.replica->record, timeLeft);
    request.expiry = send.expiry;
    request.connectTimeout = connectTimeout;
    request.history = this->connections;
    request.minimumIdle = send.replica->idlePolicy.minimumIdle;
    request.surplusIdleTimeout = send.replica->idlePolicy.surplusIdleTimeout;
    const TimePoint sentAt = MonotonicClock::now();
    ExchangeResult result = co_await this->context.client->exchange(std::move(request), handle);
    this->inFlight.erase(send.subrequestId);
    this->noteSkippedReplies(send, result);
    this->noteExchange(send, result, sentAt);
    if (result.status == ExchangeStatus::Completed) {
        const std::chrono::microseconds latency = result.latency;
        ServerReply reply = this->context.codec->decodeReply(*this->options.request, std::move(result));
        this->noteServerState(send, reply.state);
        this->noteServerLimit(send, reply.state, sentAt);
        if (reply.failure == RetryReason::WrongServer) {
            this->noteCrashes(send, this->context.crashes->onServerEnded(send.replica->record.key.address, MonotonicClock::now()));
        } else if (this->accepts(reply) && this->context.crashes->active()) {
            this->context.crashes->onSuccess(this->digestFor(send.group), MonotonicClock::now());
        }
        if (!this->outcome) {
            this->handleReply(send, std::move(reply), latency);
        }
    } else if (result.status != ExchangeStatus::Cancelled && !this->outcome) {
        this->handleFailure(send, failureFor(result));
    }
}

void RoutedRun::noteSkippedReplies(const SubrequestSend &send, const ExchangeResult &result)
{
    if (result.skippedReplies == 0) {
        return;
    }
    this->context.metrics->count(CounterName::SkippedReplies, result.skippedReplies);
    if (this->context.events->shouldLog(EventKind::Attempt)) {
        this->context.events->write(EventKind::Attempt,
                                    Event("replies_skipped")
                                        .text("request", this->options.request->id)
                                        .text("server", send.replica->record.key.address)
                                        .number("connection", static_cast<std::int64_t>(result.connection))
                                        .number("count", result.skippedReplies));
    }
}

void RoutedRun::noteExchange(const SubrequestSend &send, const ExchangeResult &result, TimePoint sentAt)
{
    const BackendRecord &server = send.replica->record;
    const TimePoint now = MonotonicClock::now();
    if (result.refused) {
        this->noteCrashes(send, this->context.crashes->onServerEnded(server.key.address, now));
    }
    const bool mayHaveRun = result.status == ExchangeStatus::Lost || result.status == ExchangeStatus::TimedOut;
    // A server that shuts down closes its connections.
    if (mayHaveRun && server.state == BackendState::Ready && send.replica->health->accepting() && !send.replica->health->leaving()) {
        this->context.crashes->onLost(
            {.digest = this->digestFor(send.group), .replica = server.key, .replicaIncarnation = server.incarnation}, now);
    }
    if (result.status == ExchangeStatus::Completed && this->context.crashes->active()) {
        this->context.crashes->onReply(server.key, server.incarnation, sentAt);
    }
}

void RoutedRun::noteCrashes(const SubrequestSend &send, std::size_t count)
{
    if (count == 0) {
        return;
    }
    this->context.metrics->count(CounterName::CrashEvidence, static_cast<double>(count));
    this->context.events->write(EventKind::State,
                                Event("crash_evidence")
                                    .text("server", send.replica->record.key.address)
                                    .text("identity", send.replica->record.identity)
                                    .number("requests", static_cast<std::int64_t>(count)));
}

void RoutedRun::noteServerState(const SubrequestSend &send, const ServerState &state)
{
    if (!state.leaving && !state.pause && !state.pauseIsInvalid) {
        return;
    }
    RandomSource random(this->options.seed + send.subrequestId);
    const bool leaves = applyServerState(state, *send.replica->health, random, MonotonicClock::now());
    this->context.metrics->count(CounterName::LeavingReplies, state.leaving ? 1 : 0);
    this->context.metrics->count(CounterName::ServerPauses, state.pause ? 1 : 0);
    this->context.metrics->count(CounterName::InvalidPauses, state.pauseIsInvalid ? 1 : 0);
    const bool changes = leaves || state.pause || state.pauseIsInvalid;
    if (changes && this->context.events->shouldLog(EventKind::Attempt)) {
        this->context.events->write(EventKind::Attempt,
                                    Event("server_state")
                                        .text("request", this->options.request->id)
                                        .text("server", send.replica->record.key.address)
                                        .text("identity", send.replica->record.identity)
                                        .flag("leaving", state.leaving)
                                        .flag("invalid_pause", state.pauseIsInvalid)
                                        .milliseconds("pause", state.pause.value_or(std::chrono::milliseconds(0))));
    }
}

void RoutedRun::noteServerLimit(const SubrequestSend &send, const ServerState &state, TimePoint sentAt)
{
    const BackendRecord &record = send.replica->record;
    const RequestAllowance &allowance = *send.replica->allowance;
    this->context.metrics->count(CounterName::LimitReplies, state.limit && state.statesLimit ? 1 : 0);
    this->context.metrics->count(CounterName::InvalidLimits, state.limitIsInvalid ? 1 : 0);
    const ServerRun server{.address = record.key.address, .incarnation = record.incarnation};
    const std::optional<RequestRate> before = allowance.limit().rate;
    const bool changed = state.statesLimit && this->context.limits->onReply(server, state.limit, sentAt, MonotonicClock::now());
    if (!changed && !(state.limitIsInvalid && send.replica->allowance->noteInvalidLimit())) {
        return;
    }
    this->context.events->write(EventKind::State,
                                limitEvent({.server = server, .limit = allowance.limit()})
                                    .text("request", this->options.request->id)
                                    .text("identity", record.identity)
                                    .flag("invalid", state.limitIsInvalid));
    if (changed && isLargeChange(before, allowance.limit().rate)) {
        this->context.onLargeLimitChange();
    }
}

bool RoutedRun::accepts(const ServerReply &reply) const
{
    if (!reply.failure) {
        return true;
    }
    // The failure is the final reply to a request that isn't idempotent.
    const bool forwarded = !this->options.route->isScatterGather();
    return forwarded && !this->options.scatter.idempotent && reply.forwardable && *reply.failure == RetryReason::ServerFailed;
}

void RoutedRun::handleReply(const SubrequestSend &send, ServerReply reply, std::chrono::microseconds latency)
{
    const TimePoint now = MonotonicClock::now();
    if (!this->accepts(reply)) {
        if (reply.load) {
            send.replica->health->recordLoad(*reply.load, now);
        }
        this->handleFailure(send,
                            SubrequestFailure{.reason = *reply.failure,
                                              .countsAsReplicaFailure = *reply.failure != RetryReason::Overloaded,
                                              .connection = reply.connection,
                                              .freshConnection = reply.freshConnection,
                                              .elapsed = latency});
        return;
    }
    Subreply subreply{.subrequestId = send.subrequestId};
    subreply.proof = reply.proof;
    if (this->options.route->isScatterGather()) {
        subreply.records = std::move(reply.body);
    } else {
        subreply.forwarded = std::make_shared<const ForwardedReply>(ForwardedReply{.status = reply.status,
                                                                                   .headers = std::move(reply.headers),
                                                                                   .body = std::move(reply.body),
                                                                                   .reservation = std::move(reply.reservation)});
    }
    this->perform(this->scatter.onReply(std::move(subreply), latency, reply.load.value_or(LoadReport{}), now));
}

void RoutedRun::handleFailure(const SubrequestSend &send, const SubrequestFailure &failure)
{
    if (this->context.events->shouldLog(EventKind::Attempt)) {
        this->context.events->write(EventKind::Attempt,
                                    Event("attempt_failed")
                                        .text("request", this->options.request->id)
                                        .text("group", send.group)
                                        .text("server", send.replica->record.key.address)
                                        .text("reason", toString(failure.reason))
                                        .flag("hedge", send.hedge)
                                        .number("connection", static_cast<std::int64_t>(failure.connection))
                                        .flag("fresh_connection", failure.freshConnection)
                                        .milliseconds("after", failure.elapsed)
                                        .milliseconds("time_left", send.expiry - MonotonicClock::now()));
    }
    this->perform(this->scatter.onFailure(send.subrequestId, failure, MonotonicClock::now()));
}

} // namespace Galenawell
