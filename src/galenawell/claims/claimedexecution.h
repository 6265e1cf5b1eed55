// State machine of one non-idempotent request at a front: claims the id, sends to one replica at a time, records the
// outcome in the ledger and reports it.
#pragma once

#include "galenawell/claims/claimledger.h"
#include "galenawell/core/clock.h"
#include "galenawell/core/reasons.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Galenawell {

struct ClaimedExecutionOptions
{
    RequestId id;
    std::string service;
    std::string contentDigest;
    ClaimOwner owner;
    TimePoint deadline;
    WallTime wallDeadline;
    // Delay before the claim or the record is sent to the control leader again after a failure.
    std::chrono::milliseconds controlRetryDelay{200};
    // Time without a reply after which the claim or the record is sent again, as the reply may be lost.
    std::chrono::milliseconds controlTimeout{1000};
    // Delay before another replica is tried if the request didn't run.
    std::chrono::milliseconds replicaRetryDelay{50};
    // How long the report waits after the deadline for a NotRun to be committed.
    std::chrono::milliseconds reportGrace{1000};
    // How long after the deadline the record is sent again, also after the report.
    std::chrono::milliseconds recordRetryTime{30000};
    // A longer answer is returned to the caller but not recorded.
    std::size_t maximumAnswerBytes = std::size_t{64} * 1024;
};

// How one send to a replica ended.
enum class SendOutcome : std::uint8_t {
    Ran,
    // Connection refused before the first byte, or the server stated that it didn't run the request.
    NotRun,
    // The connection was lost, or the time ran out, after the first byte.
    Unknown,
    // No replica had capacity; nothing was sent.
    NoCapacity,
};

struct ClaimedReport
{
    Execution execution = Execution::Unknown;
    // Present unless the request ran.
    std::optional<RefusalReason> reason;
    std::string answer;
};

struct ClaimedActions
{
    std::optional<Claim> sendClaim;
    // Send to a replica other than the last one; its outcome is passed to onSendOutcome with `sendNumber`.
    bool sendToReplica = false;
    std::uint64_t sendNumber = 0;
    struct Record
    {
        ClaimState state = ClaimState::Unknown;
        std::string answer;
    };
    std::optional<Record> sendRecord;
    // Set at most once, possibly before the record is committed; see ClaimedExecution::finished.
    std::optional<ClaimedReport> report;
    // When to call onTimer; replaces the earlier value. Present until the execution is finished.
    std::optional<TimePoint> nextTimerAt;
    // Why this send is a retry.
    std::optional<RetryReason> retry;
};

class ClaimedExecution
{
public:
    explicit ClaimedExecution(ClaimedExecutionOptions options);

    ClaimedActions start(TimePoint now);
    ClaimedActions onClaimDecision(const ClaimDecision &decision, TimePoint now);
    // `reason` is used only for NotRun. Outcomes of earlier sends are ignored.
    ClaimedActions
    onSendOutcome(std::uint64_t sendNumber, SendOutcome outcome, const std::string &answer, RetryReason reason, TimePoint now);
    // `state` is that of the record to which the verdict replies.
    ClaimedActions onRecorded(ClaimState state, RecordVerdict verdict, TimePoint now);
    // The control leader can't be reached or lost leadership; the claim or the record is sent again unchanged.
    ClaimedActions onControlFailure(TimePoint now);
    ClaimedActions onTimer(TimePoint now);

    // True once nothing remains to be reported, sent or recorded.
    bool finished() const;

private:
    enum class Step : std::uint8_t {
        Claiming,
        Sending,
        WaitingForReplica,
        Recording,
        Done,
    };

    ClaimedActions sendClaim(TimePoint now);
    ClaimedActions onGranted(TimePoint now);
    // At the deadline: records NotRun, or Unknown if the request may have run.
    ClaimedActions giveUp(TimePoint now);
    ClaimedActions sendToReplica();
    ClaimedActions waitForReplica(TimePoint now);
    ClaimedActions startRecord(ClaimState state, const std::string &answer, TimePoint now);
    ClaimedActions continueRecord(TimePoint now);
    ClaimedActions finish(const ClaimedReport &report);
    void sendRecord(ClaimedActions &actions, TimePoint now);
    void report(ClaimedActions &actions, const ClaimedReport &report);
    void reportAtDeadline(ClaimedActions &actions, TimePoint now);
    std::optional<TimePoint> nextTimerAt() const;
    ClaimedActions keepWaiting() const;
    // The report that holds even if the pending record is never committed.
    ClaimedReport reportWithoutRecord() const;
    // Only a committed NotRun may be reported, so it has reportGrace beyond the deadline.
    TimePoint reportDeadline() const;

    ClaimedExecutionOptions options;
    Step step = Step::Claiming;
    // True from a send until its outcome is NotRun or NoCapacity. While true, NotRun is never recorded.
    bool mayHaveRun = false;
    bool reported = false;
    std::uint64_t lastSendNumber = 0;
    std::optional<RetryReason> retryReason;
    // Present in step Recording. Changes only from Unknown to Ran.
    std::optional<ClaimedActions::Record> pendingRecord;
    // Kept even if it is too long to record.
    std::string answer;
    // When the current step retries or times out. The deadline is checked separately.
    std::optional<TimePoint> timerAt;
};

} // namespace Galenawell
