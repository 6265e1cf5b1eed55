#include "galenawell/front/routedrun.h"

#include "galenawell/front/scatterrun.h"

#include <algorithm>
#include <utility>

namespace Galenawell {

namespace {

// A server that doesn't take a connection within this time is left for another; handshakes take a few milliseconds.
constexpr std::chrono::milliseconds connectTimeout{250};

} // namespace

RoutedRun::RoutedRun(RoutedRunOptions runOptions, RoutedRunServices runServices)
    : options(std::move(runOptions))
    , services(runServices)
    , scatter(this->options.scatter, this->options.table, *this->options.service, this->options.policies, this->options.seed)
{
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
    this->services.metrics->count(CounterName::Subrequests, static_cast<double>(this->scatter.subrequestsSent()));
    this->services.metrics->count(CounterName::HedgedSubrequests, static_cast<double>(this->scatter.hedgesSent()));
    co_return std::move(*this->outcome);
}

void RoutedRun::abandon()
{
    if (this->outcome) {
        return;
    }
    this->perform(this->scatter.cancel(MonotonicClock::now()));
    ScatterOutcome left;
    left.refusal = RefusalReason::CallerLeft;
    this->finish(std::move(left));
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
        this->services.metrics->countRetry(reason);
    }
    for (const std::uint64_t id : actions.cancel) {
        const auto found = this->running.find(id);
        if (found != this->running.end()) {
            found->second->cancel();
            this->running.erase(found);
        }
    }
    for (const SubrequestSend &send : actions.send) {
        this->begin(send);
    }
    if (actions.wakeAt && this->timer) {
        this->timer->expires_at(*actions.wakeAt);
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
    for (auto &[id, handle] : this->running) {
        handle->cancel();
    }
    this->running.clear();
    if (this->timer) {
        this->timer->cancel();
    }
}

void RoutedRun::begin(const SubrequestSend &send)
{
    auto handle = std::make_shared<ExchangeHandle>();
    this->running.emplace(send.subrequestId, handle);
    Asio::co_spawn(
        this->strand, [self = this->shared_from_this(), send, handle] { return self->exchange(send, handle); }, Asio::detached);
}

Asio::awaitable<void> RoutedRun::exchange(SubrequestSend send, std::shared_ptr<ExchangeHandle> handle)
{
    // The table, and with it the replica, lives as long as this run.
    const std::chrono::milliseconds timeLeft = std::max(std::chrono::milliseconds(1), toMilliseconds(send.expiry - MonotonicClock::now()));
    ExchangeRequest request = this->services.codec->encodeSubrequest(*this->options.request, send.replica->record, timeLeft);
    request.expiry = send.expiry;
    request.connectTimeout = connectTimeout;
    request.minimumIdle = send.replica->idlePolicy.minimumIdle;
    request.surplusIdleTimeout = send.replica->idlePolicy.surplusIdleTimeout;
    ExchangeResult result = co_await this->services.client->exchange(std::move(request), handle);
    this->running.erase(send.subrequestId);
    if (result.status != ExchangeStatus::Cancelled && !this->outcome) {
        this->handleResult(send, std::move(result));
    }
}

void RoutedRun::handleResult(const SubrequestSend &send, ExchangeResult result)
{
    if (result.status != ExchangeStatus::Completed) {
        this->fail(send, failureFor(result));
        return;
    }
    const std::chrono::microseconds latency = result.latency;
    this->handleReply(send, this->services.codec->decodeReply(*this->options.request, std::move(result)), latency);
}

bool RoutedRun::accepts(const ServerReply &reply) const
{
    if (!reply.failure) {
        return true;
    }
    // What may not run again has its one reply, good or bad.
    const bool forwarded = !this->options.route->isScatterGather();
    return forwarded && !this->options.scatter.idempotent && reply.genuine && *reply.failure == RetryReason::ServerFailed;
}

void RoutedRun::handleReply(const SubrequestSend &send, ServerReply reply, std::chrono::microseconds latency)
{
    const TimePoint now = MonotonicClock::now();
    if (!this->accepts(reply)) {
        if (reply.load) {
            send.replica->health->recordLoad(*reply.load, now);
        }
        this->fail(send,
                   SubrequestFailure{.reason = *reply.failure,
                                     .countsAsReplicaFailure = *reply.failure != RetryReason::Overloaded,
                                     .freshConnection = reply.freshConnection,
                                     .elapsed = latency});
        return;
    }
    Subreply subreply{.subrequestId = send.subrequestId};
    subreply.proof = reply.proof;
    if (this->options.route->isScatterGather()) {
        subreply.records = std::move(reply.body);
    } else {
        subreply.forwarded = std::make_shared<const ForwardedReply>(
            ForwardedReply{.status = reply.status, .headers = std::move(reply.headers), .body = std::move(reply.body)});
    }
    this->perform(this->scatter.onReply(std::move(subreply), latency, reply.load.value_or(LoadReport{}), now));
}

void RoutedRun::fail(const SubrequestSend &send, const SubrequestFailure &failure)
{
    if (this->services.events->shouldLog(EventKind::Attempt)) {
        this->services.events->write(EventKind::Attempt,
                                     Event("attempt_failed")
                                         .text("request", this->options.request->id)
                                         .text("group", send.group)
                                         .text("server", send.replica->record.key.address)
                                         .text("reason", toString(failure.reason))
                                         .flag("hedge", send.hedge)
                                         .flag("fresh_connection", failure.freshConnection)
                                         .milliseconds("after", failure.elapsed)
                                         .milliseconds("time_left", send.expiry - MonotonicClock::now()));
    }
    this->perform(this->scatter.onFailure(send.subrequestId, failure, MonotonicClock::now()));
}

} // namespace Galenawell
