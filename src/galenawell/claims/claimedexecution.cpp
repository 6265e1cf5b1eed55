#include "galenawell/claims/claimedexecution.h"

#include <algorithm>
#include <utility>

namespace Galenawell {

namespace {

ClaimedReport refusedReport(Execution execution, RefusalReason reason)
{
    return {.execution = execution, .reason = reason, .answer = {}};
}

ClaimedReport ranReport(const std::string &answer)
{
    return {.execution = Execution::Ran, .reason = std::nullopt, .answer = answer};
}

ClaimedReport reportExisting(const ClaimDecision &decision)
{
    switch (decision.state) {
    case ClaimState::Running:
        return refusedReport(Execution::Running, RefusalReason::ClaimRunning);
    case ClaimState::Ran:
        return ranReport(decision.answer);
    case ClaimState::NotRun:
        return refusedReport(Execution::NotRun, RefusalReason::ClaimNotRun);
    case ClaimState::Unknown:
        break;
    }
    return refusedReport(Execution::Unknown, RefusalReason::ClaimUnknown);
}

// An earlier attempt under the same id may have run, so a refusal by the ledger is never reported as NotRun.
ClaimedReport reportLedgerRefusal(ClaimVerdict verdict)
{
    switch (verdict) {
    case ClaimVerdict::ContentDiffers:
        return refusedReport(Execution::Unknown, RefusalReason::ClaimContentDiffers);
    case ClaimVerdict::Expired:
        return refusedReport(Execution::Unknown, RefusalReason::ClaimExpired);
    default:
        return refusedReport(Execution::Unknown, RefusalReason::ClaimIdMalformed);
    }
}

bool isRecorded(RecordVerdict verdict)
{
    return verdict == RecordVerdict::Recorded || verdict == RecordVerdict::AlreadyRecorded;
}

} // namespace

ClaimedExecution::ClaimedExecution(ClaimedExecutionOptions newOptions)
    : options(std::move(newOptions))
{
}

ClaimedActions ClaimedExecution::start(TimePoint now)
{
    if (now >= this->options.deadline) {
        return this->finish(refusedReport(Execution::Unknown, RefusalReason::DeadlineExceeded));
    }
    return this->sendClaim(now);
}

ClaimedActions ClaimedExecution::sendClaim(TimePoint now)
{
    this->timerAt = std::min<TimePoint>(now + this->options.controlTimeout, this->options.deadline);
    ClaimedActions actions;
    actions.sendClaim = Claim{.id = this->options.id,
                              .service = this->options.service,
                              .contentDigest = this->options.contentDigest,
                              .owner = this->options.owner,
                              .deadline = this->options.wallDeadline,
                              .state = ClaimState::Running,
                              .answer = {}};
    actions.nextTimerAt = this->timerAt;
    return actions;
}

ClaimedActions ClaimedExecution::onClaimDecision(const ClaimDecision &decision, TimePoint now)
{
    if (this->step != Step::Claiming) {
        return this->keepWaiting();
    }
    if (decision.verdict == ClaimVerdict::Granted) {
        return this->onGranted(now);
    }
    if (decision.verdict == ClaimVerdict::Existing) {
        return this->finish(reportExisting(decision));
    }
    return this->finish(reportLedgerRefusal(decision.verdict));
}

ClaimedActions ClaimedExecution::onGranted(TimePoint now)
{
    // The process may have been suspended while the reply was in transit.
    if (now >= this->options.deadline) {
        return this->giveUp(now);
    }
    return this->sendToReplica();
}

ClaimedActions ClaimedExecution::giveUp(TimePoint now)
{
    return this->startRecord(this->mayHaveRun ? ClaimState::Unknown : ClaimState::NotRun, {}, now);
}

ClaimedActions ClaimedExecution::sendToReplica()
{
    this->step = Step::Sending;
    this->mayHaveRun = true;
    ++this->lastSendNumber;
    this->timerAt = this->options.deadline;
    ClaimedActions actions;
    actions.sendToReplica = true;
    actions.sendNumber = this->lastSendNumber;
    actions.retry = std::exchange(this->retryReason, std::nullopt);
    actions.nextTimerAt = this->timerAt;
    return actions;
}

ClaimedActions ClaimedExecution::waitForReplica(TimePoint now)
{
    this->mayHaveRun = false;
    if (now >= this->options.deadline) {
        return this->giveUp(now);
    }
    this->step = Step::WaitingForReplica;
    this->timerAt = std::min<TimePoint>(now + this->options.replicaRetryDelay, this->options.deadline);
    ClaimedActions actions;
    actions.nextTimerAt = this->timerAt;
    return actions;
}

ClaimedActions ClaimedExecution::onSendOutcome(std::uint64_t sendNumber,
                                               SendOutcome outcome,
                                               const std::string &newAnswer,
                                               RetryReason reason,
                                               TimePoint now)
{
    const bool isLateAnswer
        = this->step == Step::Recording && this->pendingRecord->state == ClaimState::Unknown && outcome == SendOutcome::Ran;
    if (sendNumber != this->lastSendNumber || (this->step != Step::Sending && !isLateAnswer)) {
        return this->keepWaiting();
    }
    switch (outcome) {
    case SendOutcome::Ran:
        return this->startRecord(ClaimState::Ran, newAnswer, now);
    case SendOutcome::NotRun:
        this->retryReason = reason;
        return this->waitForReplica(now);
    case SendOutcome::NoCapacity:
        return this->waitForReplica(now);
    case SendOutcome::Unknown:
        break;
    }
    return this->startRecord(ClaimState::Unknown, {}, now);
}

ClaimedActions ClaimedExecution::startRecord(ClaimState state, const std::string &newAnswer, TimePoint now)
{
    this->step = Step::Recording;
    this->answer = newAnswer;
    const bool isRecordable = newAnswer.size() <= this->options.maximumAnswerBytes;
    this->pendingRecord = ClaimedActions::Record{.state = state, .answer = isRecordable ? newAnswer : std::string()};
    ClaimedActions actions;
    this->sendRecord(actions, now);
    this->reportAtDeadline(actions, now);
    actions.nextTimerAt = this->nextTimerAt();
    return actions;
}

ClaimedActions ClaimedExecution::continueRecord(TimePoint now)
{
    ClaimedActions actions;
    this->reportAtDeadline(actions, now);
    if (now >= this->options.deadline + this->options.recordRetryTime) {
        this->step = Step::Done;
        this->timerAt.reset();
    } else if (now >= *this->timerAt) {
        this->sendRecord(actions, now);
    }
    actions.nextTimerAt = this->nextTimerAt();
    return actions;
}

void ClaimedExecution::sendRecord(ClaimedActions &actions, TimePoint now)
{
    actions.sendRecord = this->pendingRecord;
    this->timerAt = now + this->options.controlTimeout;
}

void ClaimedExecution::reportAtDeadline(ClaimedActions &actions, TimePoint now)
{
    if (!this->reported && now >= this->reportDeadline()) {
        this->report(actions, this->reportWithoutRecord());
    }
}

std::optional<TimePoint> ClaimedExecution::nextTimerAt() const
{
    const bool awaitsReport = this->step == Step::Recording && !this->reported;
    return awaitsReport ? std::min(*this->timerAt, this->reportDeadline()) : this->timerAt;
}

ClaimedActions ClaimedExecution::keepWaiting() const
{
    ClaimedActions actions;
    actions.nextTimerAt = this->nextTimerAt();
    return actions;
}

ClaimedActions ClaimedExecution::onRecorded(ClaimState state, RecordVerdict verdict, TimePoint)
{
    if (this->step != Step::Recording || state != this->pendingRecord->state) {
        return this->keepWaiting();
    }
    if (this->reported) {
        this->step = Step::Done;
        this->timerAt.reset();
        return this->keepWaiting();
    }
    if (state != ClaimState::NotRun) {
        return this->finish(this->reportWithoutRecord());
    }
    if (isRecorded(verdict)) {
        return this->finish(refusedReport(Execution::NotRun, RefusalReason::DeadlineExceeded));
    }
    return this->finish(refusedReport(Execution::Unknown, RefusalReason::ClaimUnknown));
}

ClaimedActions ClaimedExecution::onControlFailure(TimePoint now)
{
    if (this->step == Step::Claiming) {
        this->timerAt = std::min<TimePoint>(now + this->options.controlRetryDelay, this->options.deadline);
    }
    if (this->step == Step::Recording) {
        this->timerAt = now + this->options.controlRetryDelay;
    }
    return this->keepWaiting();
}

ClaimedActions ClaimedExecution::onTimer(TimePoint now)
{
    if (this->step == Step::Recording) {
        return this->continueRecord(now);
    }
    if (!this->timerAt.has_value() || now < *this->timerAt) {
        return this->keepWaiting();
    }
    const bool pastDeadline = now >= this->options.deadline;
    if (this->step == Step::Claiming) {
        return pastDeadline ? this->finish(refusedReport(Execution::Unknown, RefusalReason::ClaimUnavailable)) : this->sendClaim(now);
    }
    return pastDeadline ? this->giveUp(now) : this->sendToReplica();
}

ClaimedActions ClaimedExecution::finish(const ClaimedReport &finalReport)
{
    ClaimedActions actions;
    this->report(actions, finalReport);
    this->step = Step::Done;
    this->timerAt.reset();
    return actions;
}

void ClaimedExecution::report(ClaimedActions &actions, const ClaimedReport &newReport)
{
    this->reported = true;
    actions.report = newReport;
}

ClaimedReport ClaimedExecution::reportWithoutRecord() const
{
    switch (this->pendingRecord->state) {
    case ClaimState::Ran:
        return ranReport(this->answer);
    case ClaimState::NotRun:
        return refusedReport(Execution::Unknown, RefusalReason::ClaimUnavailable);
    default:
        return refusedReport(Execution::Unknown, RefusalReason::ClaimUnknown);
    }
}

TimePoint ClaimedExecution::reportDeadline() const
{
    const bool needsCommit = this->pendingRecord->state == ClaimState::NotRun;
    return needsCommit ? TimePoint(this->options.deadline + this->options.reportGrace) : this->options.deadline;
}

bool ClaimedExecution::finished() const
{
    return this->step == Step::Done;
}

} // namespace Galenawell
