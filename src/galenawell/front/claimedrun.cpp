#include "galenawell/front/claimedrun.h"

#include "galenawell/front/subrequestcodec.h"
#include "galenawell/routing/replicachooser.h"

namespace Galenawell {

namespace {

constexpr std::chrono::milliseconds controlTimeout{2000};

ClaimDecision decisionFrom(const Wire::ProposeReply &reply)
{
    ClaimDecision decision;
    decision.verdict = static_cast<ClaimVerdict>(reply.verdict);
    decision.state = static_cast<ClaimState>(reply.claimState);
    decision.answer = reply.answer;
    return decision;
}

} // namespace

ClaimedRun::ClaimedRun(ClaimedRunOptions runOptions,
                       FrontState &frontState,
                       BackendClient &backendClient,
                       ControlClient &controlClient,
                       std::shared_ptr<AdmissionGate> admissionGate,
                       Metrics &frontMetrics,
                       EvidenceSharer evidenceSharer)
    : options(std::move(runOptions))
    , state(frontState)
    , client(backendClient)
    , control(controlClient)
    , gate(std::move(admissionGate))
    , metrics(frontMetrics)
    , shareEvidence(std::move(evidenceSharer))
    , execution(this->options.execution)
    , random(this->options.seed)
{
}

Asio::awaitable<ClaimedReport> ClaimedRun::run()
{
    const auto self = this->shared_from_this();
    ClaimedActions actions = this->execution.start(MonotonicClock::now());
    while (!actions.report) {
        actions = co_await this->perform(actions);
    }
    const ClaimedReport report = *actions.report;
    if (!this->execution.finished()) {
        // Retries the record in the background until the ledger has stored it; the caller does not wait for that.
        const Asio::any_io_executor executor = co_await Asio::this_coro::executor;
        Asio::co_spawn(
            executor, [self, actions] { return self->finishRecording(actions); }, Asio::detached);
    }
    co_return report;
}

Asio::awaitable<void> ClaimedRun::finishRecording(ClaimedActions actions)
{
    while (!this->execution.finished()) {
        actions = co_await this->perform(actions);
    }
}

Asio::awaitable<ClaimedActions> ClaimedRun::perform(const ClaimedActions &actions)
{
    if (actions.retry) {
        this->metrics.countRetry(*actions.retry);
    }
    if (actions.sendClaim) {
        co_return co_await this->claim(*actions.sendClaim);
    }
    if (actions.sendToReplica) {
        SendResult result = co_await this->send();
        co_return this->execution.onSendOutcome(actions.sendNumber, result.outcome, result.answer, result.reason, MonotonicClock::now());
    }
    if (actions.sendRecord) {
        co_return co_await this->record(*actions.sendRecord);
    }
    Asio::steady_timer timer(co_await Asio::this_coro::executor, actions.nextTimerAt.value_or(MonotonicClock::now()));
    co_await timer.async_wait(awaitResult);
    co_return this->execution.onTimer(MonotonicClock::now());
}

Asio::awaitable<ClaimedActions> ClaimedRun::claim(const Claim &claimToSend)
{
    this->metrics.count(CounterName::ClaimsSent);
    const ControlCommand command = ClaimRequest{.claim = claimToSend};
    Result<Wire::ProposeReply> reply = co_await this->control.propose(command, false, controlTimeout);
    if (!reply || reply.value().status != Wire::ProposeStatus::Done) {
        co_return this->execution.onControlFailure(MonotonicClock::now());
    }
    co_return this->execution.onClaimDecision(decisionFrom(reply.value()), MonotonicClock::now());
}

Asio::awaitable<ClaimedActions> ClaimedRun::record(const ClaimedActions::Record &recordToSend)
{
    const ControlCommand command = RecordOutcome{.id = this->options.execution.id,
                                                 .owner = this->options.execution.owner,
                                                 .state = recordToSend.state,
                                                 .answer = recordToSend.answer};
    Result<Wire::ProposeReply> reply = co_await this->control.propose(command, false, controlTimeout);
    if (!reply || reply.value().status != Wire::ProposeStatus::Done) {
        co_return this->execution.onControlFailure(MonotonicClock::now());
    }
    co_return this->execution.onRecorded(recordToSend.state, static_cast<RecordVerdict>(reply.value().verdict), MonotonicClock::now());
}

Asio::awaitable<ClaimedRun::SendResult> ClaimedRun::send()
{
    const AdmissionResult admission
        = co_await this->gate->acquire(this->options.priority, this->options.caller, this->options.execution.deadline);
    if (admission.refusal) {
        co_return SendResult{};
    }
    const TimePoint startedAt = MonotonicClock::now();
    // Keeps the replica and its health object alive until the send ends.
    const std::shared_ptr<const RoutingTable> table = this->state.table();
    const ServiceTable *service = table->findService(this->options.execution.service);
    const Replica *replica = nullptr;
    if (service != nullptr && service->groups.contains("")) {
        ReplicaQuery query{.priority = this->options.priority, .triedAddresses = this->triedAddresses};
        replica = chooseReplica(service->groups.at(""), service->options, query, this->random, startedAt);
    }
    SendResult result;
    if (replica != nullptr) {
        result = co_await this->sendTo(*replica);
        replica->health->release(this->options.priority);
    }
    const auto serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(MonotonicClock::now() - startedAt);
    this->gate->release(admission.ticket, serviceTime, result.outcome == SendOutcome::Ran);
    co_return result;
}

Asio::awaitable<ClaimedRun::SendResult> ClaimedRun::sendTo(const Replica &replica)
{
    this->triedAddresses.push_back(replica.record.key.address);
    const TimePoint now = MonotonicClock::now();
    const SubrequestFields fields{.requestId = this->options.execution.id,
                                  .subrequestId = 1,
                                  .service = this->options.execution.service,
                                  .group = "",
                                  .snapshot = {},
                                  .deadline
                                  = std::max(std::chrono::milliseconds(1), toMilliseconds(this->options.execution.deadline - now)),
                                  .body = this->options.body};
    ExchangeRequest request{.address = replica.record.key.address,
                            .target = "/v1/subrequest",
                            .body = encodeSubrequest(fields),
                            .expiry = this->options.execution.deadline,
                            .freshConnection = true};
    this->metrics.count(CounterName::Subrequests);
    auto handle = std::make_shared<ExchangeHandle>();
    const ExchangeResult result = co_await this->client.exchange(std::move(request), std::move(handle));
    const TimePoint endedAt = MonotonicClock::now();
    if (result.status == ExchangeStatus::NotSent) {
        replica.health->recordFailure(endedAt);
        co_return SendResult{.outcome = SendOutcome::NotRun, .reason = RetryReason::ConnectionRefused};
    }
    if (result.status == ExchangeStatus::Lost) {
        replica.health->recordFailure(endedAt);
        const CrashEvidence evidence{.digest = this->options.execution.contentDigest,
                                     .replica = replica.record.key,
                                     .replicaIncarnation = replica.record.incarnation};
        this->state.addEvidence(evidence, endedAt);
        co_await this->shareEvidence();
    }
    if (result.status == ExchangeStatus::InvalidReply) {
        replica.health->recordFailure(endedAt);
        co_return SendResult{.outcome = SendOutcome::Unknown, .reason = RetryReason::InvalidReply};
    }
    if (result.status != ExchangeStatus::Completed) {
        co_return SendResult{.outcome = SendOutcome::Unknown, .reason = RetryReason::ConnectionLost};
    }
    Result<ParsedReply> parsed = parseReply(result.httpStatus, result.body, 1);
    if (!parsed) {
        co_return SendResult{.outcome = SendOutcome::Unknown, .reason = RetryReason::InvalidReply};
    }
    replica.health->recordLoad(parsed.value().load, endedAt);
    if (parsed.value().refusal) {
        co_return SendResult{.outcome = SendOutcome::NotRun, .reason = *parsed.value().refusal};
    }
    replica.health->recordSuccess(result.latency, endedAt);
    nlohmann::json rows = nlohmann::json::array();
    for (const Row &row : parsed.value().subreply->rows) {
        rows.push_back({{"key", row.key}, {"value", row.value}});
    }
    co_return SendResult{.outcome = SendOutcome::Ran, .answer = nlohmann::json{{"rows", std::move(rows)}}.dump()};
}

} // namespace Galenawell
