#include "galenawell/claims/claimedexecution.h"
#include "galenawell/claims/crashsuspicions.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using std::chrono::milliseconds;

namespace {

const TimePoint start{std::chrono::hours(1)};
const ClaimDecision granted{.verdict = ClaimVerdict::Granted, .state = ClaimState::Running, .answer = {}};

TimePoint at(int offset)
{
    return start + milliseconds(offset);
}

ClaimedExecution execution()
{
    return ClaimedExecution({.id = "1800000000000-a",
                             .service = "builder",
                             .contentDigest = "d",
                             .owner = {.front = "f1", .incarnation = 1, .attempt = 1},
                             .deadline = at(1000),
                             .wallDeadline = {},
                             .maximumAnswerBytes = 4});
}

bool reports(const ClaimedActions &actions, Execution expected, std::optional<RefusalReason> reason)
{
    return actions.report.has_value() and actions.report->execution == expected and actions.report->reason == reason;
}

CrashEvidence evidence(const std::string &digest, const std::string &address)
{
    return {.digest = digest, .replica = {.service = "s", .group = "g", .address = address}, .replicaIncarnation = 1};
}

} // namespace

// Guards against a request that is refused before its deadline, and against a NotRun that is reported before it is
// committed.
Test(claimedexecution, waits_for_capacity_and_reports_not_run_only_after_the_record)
{
    ClaimedExecution request = execution();
    cr_assert(request.start(at(0)).sendClaim.has_value());
    cr_assert_eq(request.onClaimDecision(granted, at(1)).sendNumber, 1U);
    cr_assert(not request.onSendOutcome(1, SendOutcome::NotRun, "", RetryReason::Draining, at(2)).report.has_value());
    const ClaimedActions again = request.onTimer(at(52));
    cr_assert(again.sendToReplica and again.retry == RetryReason::Draining);
    cr_assert(not request.onSendOutcome(2, SendOutcome::NoCapacity, "", RetryReason::Count, at(53)).sendRecord.has_value());
    const ClaimedActions atDeadline = request.onTimer(at(1000));
    cr_assert(atDeadline.sendRecord->state == ClaimState::NotRun and not atDeadline.report.has_value());
    const ClaimedActions done = request.onRecorded(ClaimState::NotRun, RecordVerdict::Recorded, at(1001));
    cr_assert(reports(done, Execution::NotRun, RefusalReason::DeadlineExceeded) and request.finished());
}

// Guards against a false "not run" if the ledger has already set the claim to Unknown or can't be reached.
Test(claimedexecution, not_run_without_a_commit_is_unknown)
{
    ClaimedExecution closed = execution();
    closed.start(at(0));
    cr_assert(closed.onClaimDecision(granted, at(1000)).sendRecord->state == ClaimState::NotRun);
    const ClaimedActions refused = closed.onRecorded(ClaimState::NotRun, RecordVerdict::Final, at(1001));
    cr_assert(reports(refused, Execution::Unknown, RefusalReason::ClaimUnknown));
    ClaimedExecution unreachable = execution();
    unreachable.start(at(0));
    unreachable.onClaimDecision(granted, at(1000));
    unreachable.onControlFailure(at(1100));
    cr_assert(unreachable.onTimer(at(1300)).sendRecord.has_value());
    cr_assert(unreachable.onClaimDecision(granted, at(1900)).nextTimerAt == at(2000), "a repeated reply must not delay the report");
    cr_assert(reports(unreachable.onTimer(at(2000)), Execution::Unknown, RefusalReason::ClaimUnavailable));
    cr_assert(not unreachable.finished(), "the record must be resent so that the caller can query it");
    cr_assert(not unreachable.onTimer(at(31000)).nextTimerAt.has_value());
    cr_assert(unreachable.finished());
}

// Guards against a retry after the first byte was sent, and against discarding a late answer.
Test(claimedexecution, a_send_with_unknown_outcome_is_not_retried_but_a_late_answer_is_recorded)
{
    ClaimedExecution request = execution();
    request.start(at(0));
    request.onClaimDecision(granted, at(1));
    const ClaimedActions lost = request.onSendOutcome(1, SendOutcome::Unknown, "", RetryReason::Count, at(2));
    cr_assert(lost.sendRecord->state == ClaimState::Unknown and not lost.report.has_value());
    cr_assert(not request.onTimer(at(900)).sendToReplica);
    cr_assert(request.onSendOutcome(1, SendOutcome::NotRun, "", RetryReason::Draining, at(901)).nextTimerAt.has_value());
    cr_assert(request.onSendOutcome(1, SendOutcome::Ran, "a", RetryReason::Count, at(902)).sendRecord->state == ClaimState::Ran);
    cr_assert(not request.onRecorded(ClaimState::Unknown, RecordVerdict::Recorded, at(903)).report.has_value());
    const ClaimedActions done = request.onRecorded(ClaimState::Ran, RecordVerdict::Recorded, at(904));
    cr_assert(reports(done, Execution::Ran, std::nullopt));
    cr_assert_eq(done.report->answer, "a");
}

// Guards against a lost claim reply that leaves the request unsent, and a caller that waits beyond the deadline.
Test(claimedexecution, a_claim_without_reply_is_resent_until_the_deadline)
{
    ClaimedExecution request = execution();
    const ClaimOwner owner = request.start(at(0)).sendClaim->owner;
    cr_assert(request.onControlFailure(at(100)).nextTimerAt == at(300));
    cr_assert(request.onTimer(at(300)).sendClaim->owner == owner);
    cr_assert(reports(request.onTimer(at(1000)), Execution::Unknown, RefusalReason::ClaimUnavailable));
    cr_assert(not request.onClaimDecision(granted, at(1001)).sendToReplica);
}

// Guards against a long answer that isn't returned to the caller, or that is stored in the ledger.
Test(claimedexecution, a_long_answer_is_reported_but_not_recorded)
{
    ClaimedExecution request = execution();
    request.start(at(0));
    request.onClaimDecision(granted, at(1));
    const ClaimedActions record = request.onSendOutcome(1, SendOutcome::Ran, "12345", RetryReason::Count, at(2));
    cr_assert(record.sendRecord->state == ClaimState::Ran and record.sendRecord->answer.empty());
    const ClaimedActions atDeadline = request.onTimer(at(1000));
    cr_assert(reports(atDeadline, Execution::Ran, std::nullopt));
    cr_assert_eq(atDeadline.report->answer, "12345");
}

// Guards against running an id again, and against reporting the state of an earlier execution wrongly.
Test(claimedexecution, an_existing_claim_is_reported_in_its_current_state)
{
    const auto answerTo = [](const ClaimDecision &decision) {
        ClaimedExecution request = execution();
        request.start(at(0));
        return request.onClaimDecision(decision, at(1));
    };
    const auto existing = [](ClaimState state, const std::string &answer = "") {
        return ClaimDecision{.verdict = ClaimVerdict::Existing, .state = state, .answer = answer};
    };
    cr_assert(reports(answerTo(existing(ClaimState::Running)), Execution::Running, RefusalReason::ClaimRunning));
    cr_assert(reports(answerTo(existing(ClaimState::NotRun)), Execution::NotRun, RefusalReason::ClaimNotRun));
    cr_assert(reports(answerTo(existing(ClaimState::Unknown)), Execution::Unknown, RefusalReason::ClaimUnknown));
    cr_assert_eq(answerTo(existing(ClaimState::Ran, "x")).report->answer, "x");
    const ClaimDecision expired{.verdict = ClaimVerdict::Expired, .state = ClaimState::Unknown, .answer = {}};
    cr_assert(reports(answerTo(expired), Execution::Unknown, RefusalReason::ClaimExpired));
}

// Guards against a request that crashes one server after another, and against a quarantine that never ends.
Test(crashsuspicions, two_pieces_of_evidence_quarantine_for_the_configured_time)
{
    CrashSuspicions suspicions({.quarantine = milliseconds(1000), .suspectTime = milliseconds(100), .maximumEntries = 2});
    cr_assert(suspicions.add(evidence("p", "a:1"), at(0)));
    cr_assert(not suspicions.add(evidence("p", "a:1"), at(50)), "one crash reported by two fronts must count once");
    cr_assert(suspicions.check("p", at(99)) == Suspicion::Suspect);
    cr_assert(suspicions.check("p", at(100)) == Suspicion::None);
    suspicions.add(evidence("p", "a:2"), at(99));
    suspicions.clear("p");
    cr_assert(suspicions.check("p", at(1098)) == Suspicion::Quarantined);
    cr_assert(suspicions.check("p", at(1099)) == Suspicion::None);
    suspicions.add(evidence("q", "a:1"), at(100));
    suspicions.add(evidence("r", "a:1"), at(101));
    cr_assert_eq(suspicions.all().size(), 3U, "q must be evicted, as it isn't quarantined");
    suspicions.clear("r");
    cr_assert(suspicions.check("r", at(101)) == Suspicion::None);
}

// Guards against one crash that counts as evidence against two suspect requests.
Test(crashsuspicions, a_replica_runs_one_suspect_at_a_time)
{
    CrashSuspicions suspicions({});
    const ReplicaKey replica = evidence("p", "a:1").replica;
    cr_assert(suspicions.reserve(replica, "p"));
    cr_assert(not suspicions.reserve(replica, "q"));
    suspicions.release(replica, "q");
    cr_assert(not suspicions.reserve(replica, "q"));
    suspicions.release(replica, "p");
    cr_assert(suspicions.reserve(replica, "q"));
}
