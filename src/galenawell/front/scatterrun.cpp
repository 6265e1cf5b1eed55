#include "galenawell/front/scatterrun.h"

namespace Galenawell {

SubrequestFailure failureFor(const ExchangeResult &result)
{
    SubrequestFailure failure;
    failure.countsAsReplicaFailure = !result.connectionAtFault;
    failure.connection = result.connection;
    failure.freshConnection = result.connected;
    failure.elapsed = result.latency;
    switch (result.status) {
    case ExchangeStatus::NotSent:
        failure.reason = RetryReason::ConnectionRefused;
        break;
    case ExchangeStatus::TimedOut:
        failure.reason = RetryReason::Timeout;
        break;
    case ExchangeStatus::TooLarge:
        failure.reason = RetryReason::ReplyTooLarge;
        break;
    case ExchangeStatus::InvalidReply:
        failure.reason = RetryReason::InvalidReply;
        break;
    default:
        failure.reason = RetryReason::ConnectionLost;
        break;
    }
    return failure;
}

ScatterRun::ScatterRun(ScatterRunOptions runOptions,
                       std::shared_ptr<const RoutingTable> table,
                       const ServiceTable &service,
                       FrontState &frontState,
                       BackendClient &backendClient,
                       Metrics &frontMetrics,
                       EvidenceSharer evidenceSharer)
    : options(std::move(runOptions))
    , state(frontState)
    , client(backendClient)
    , metrics(frontMetrics)
    , shareEvidence(std::move(evidenceSharer))
    , scatter(this->options.scatter, std::move(table), service, frontState.policiesFor(service.options), this->options.seed)
{
}

Asio::awaitable<ScatterOutcome> ScatterRun::run()
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
    this->metrics.count(CounterName::Subrequests, static_cast<double>(this->scatter.subrequestsSent()));
    this->metrics.count(CounterName::HedgedSubrequests, static_cast<double>(this->scatter.hedgesSent()));
    co_return std::move(*this->outcome);
}

void ScatterRun::perform(ScatterActions actions)
{
    for (const RetryReason reason : actions.retries) {
        this->metrics.countRetry(reason);
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
    if (actions.nextTimerAt) {
        this->timer->expires_at(*actions.nextTimerAt);
    }
    if (actions.outcome) {
        this->finish(std::move(*actions.outcome));
    }
}

void ScatterRun::finish(ScatterOutcome result)
{
    if (this->outcome) {
        return;
    }
    this->outcome = std::move(result);
    for (auto &[id, handle] : this->inFlight) {
        handle->cancel();
    }
    this->inFlight.clear();
    this->timer->cancel();
}

void ScatterRun::startSubrequest(const SubrequestSend &send)
{
    auto handle = std::make_shared<ExchangeHandle>();
    this->inFlight.emplace(send.subrequestId, handle);
    const BackendRecord &record = send.replica->record;
    Asio::co_spawn(
        this->strand,
        [self = this->shared_from_this(), send, key = record.key, incarnation = record.incarnation, handle] {
            return self->exchange(send, key, incarnation, handle);
        },
        Asio::detached);
}

Asio::awaitable<void>
ScatterRun::exchange(SubrequestSend send, ReplicaKey replica, Incarnation incarnation, std::shared_ptr<ExchangeHandle> handle)
{
    const TimePoint now = MonotonicClock::now();
    const bool suspect = this->state.suspicionOf(this->options.digest, now) != Suspicion::None;
    if (suspect && !this->state.reserveForSuspect(replica, this->options.digest)) {
        this->inFlight.erase(send.subrequestId);
        this->perform(this->scatter.onFailure(send.subrequestId,
                                              SubrequestFailure{.reason = RetryReason::Overloaded, .countsAsReplicaFailure = false},
                                              MonotonicClock::now()));
        co_return;
    }
    const SubrequestFields fields{.requestId = this->options.scatter.requestId,
                                  .subrequestId = this->state.nextSubrequestNumber(),
                                  .service = this->options.service,
                                  .group = send.group,
                                  .snapshot = send.snapshot,
                                  .deadline = std::max(std::chrono::milliseconds(1), toMilliseconds(send.expiry - now)),
                                  .body = this->options.body};
    ExchangeRequest request{
        .address = replica.address, .target = "/v1/subrequest", .body = encodeSubrequest(fields), .expiry = send.expiry};
    std::optional<ParsedReply> reply;
    request.id = std::to_string(fields.subrequestId);
    request.readId = [&reply](const ExchangeResult &read) {
        Result<ParsedReply> parsed = parseReply(read.httpStatus, read.body);
        reply = parsed ? std::optional(std::move(parsed).value()) : std::nullopt;
        return reply ? std::to_string(reply->subrequestId) : std::string();
    };
    const ExchangeResult result = co_await this->client.exchange(std::move(request), handle);
    this->metrics.count(CounterName::SkippedReplies, result.skippedReplies);
    if (suspect) {
        this->state.releaseSuspect(replica, this->options.digest);
    }
    this->inFlight.erase(send.subrequestId);
    if (result.status == ExchangeStatus::Cancelled) {
        co_return;
    }
    const bool crashed = result.status == ExchangeStatus::Lost && !result.connectionAtFault;
    if (crashed && co_await this->recordCrash(replica, incarnation)) {
        co_return;
    }
    if (!this->outcome) {
        this->handleResult(send.subrequestId, result, std::move(reply));
    }
}

Asio::awaitable<bool> ScatterRun::recordCrash(const ReplicaKey &replica, Incarnation incarnation)
{
    const CrashEvidence evidence{.digest = this->options.digest, .replica = replica, .replicaIncarnation = incarnation};
    this->state.addEvidence(evidence, MonotonicClock::now());
    // The other fronts must have the evidence before the content runs on a second replica of the group.
    co_await this->shareEvidence();
    if (this->state.suspicionOf(this->options.digest, MonotonicClock::now()) != Suspicion::Quarantined) {
        co_return false;
    }
    if (!this->outcome) {
        this->perform(this->scatter.cancel(MonotonicClock::now()));
        ScatterOutcome quarantined;
        quarantined.refusal = RefusalReason::Quarantined;
        this->outcome.reset();
        this->finish(std::move(quarantined));
    }
    co_return true;
}

void ScatterRun::handleResult(std::uint64_t subrequestId, const ExchangeResult &result, std::optional<ParsedReply> reply)
{
    const TimePoint now = MonotonicClock::now();
    if (result.status != ExchangeStatus::Completed || !reply) {
        this->perform(this->scatter.onFailure(subrequestId, failureFor(result), now));
        return;
    }
    if (reply->refusal) {
        this->perform(
            this->scatter.onFailure(subrequestId, SubrequestFailure{.reason = *reply->refusal, .countsAsReplicaFailure = false}, now));
        return;
    }
    reply->subreply->subrequestId = subrequestId;
    this->perform(this->scatter.onReply(std::move(*reply->subreply), result.latency, reply->load, now));
}

} // namespace Galenawell
