// Simulates callers, two fronts, a replicated control state and backend servers around one request id, and injects one
// fault at one step, or many at any step. Network delays, server behaviour and the fault's details come from the seed.
#pragma once

#include "fault/claims/faultmatrix.h"
#include "galenawell/claims/claimedexecution.h"
#include "galenawell/control/controlstate.h"

#include <array>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Galenawell::Testing {

class ClaimSimulation : public FaultSimulation
{
public:
    enum class Step { Claim, Grant, Send, Run, Record, Answer, Status, Expire, Any };
    enum class Fault { FrontKill, LeaderChange, LostReply, Duplicate, Reorder, Freeze, ResendElsewhere, Any };

    static constexpr std::array stepNames{"claim", "grant", "send", "run", "record", "answer", "status", "expire"};
    static constexpr std::array faultNames{"front kill",
                                           "control leader change",
                                           "lost message",
                                           "duplicate",
                                           "reorder",
                                           "freeze of the owner",
                                           "resend through another front"};

    // Safeguard that the simulation disables, to show that the invariants detect its absence.
    enum class Safeguard { None, OneGrant, CertainNotRun, CommittedNotRun, Watermark, OwnerRecords, SendNumber };

    ClaimSimulation(std::uint64_t seed, Step faultStep, Fault faultKind, Safeguard disabledSafeguard)
        : FaultSimulation(seed, static_cast<std::size_t>(faultStep))
        , step(faultStep)
        , fault(faultKind)
        , disabled(disabledSafeguard)
    {
    }

    void run()
    {
        this->submit(0);
        // The caller retries at the other front, and again after the id has expired.
        this->at(milliseconds(500 + this->random.below(4000)), [this] { this->submit(1); });
        this->at(milliseconds(63000), [this] { this->submit(1); });
        for (int tick = 0; tick < 150; ++tick) {
            this->at(milliseconds(tick * 500), [this] { this->advanceTime(); });
            this->at(milliseconds(tick * 300 + 100), [this] { this->queryStatus(); });
        }
        this->at(milliseconds(55000), [this] { this->checkRecorded(); });
        this->runUntil(std::chrono::hours(1));
        this->checkReports();
    }

private:
    struct Attempt
    {
        std::size_t front;
        ClaimedExecution execution;
        unsigned timer = 0;
        std::size_t sends = 0;
        std::vector<ClaimedReport> reports;
    };

    WallTime wallTime(TimePoint time) const
    {
        return this->issued + toMilliseconds(time - this->start);
    }

    // One message over the network.
    void sendMessage(Step at, std::function<void()> deliver)
    {
        const std::size_t delay = 1 + this->random.below(5);
        if (this->step == Step::Any && this->random.below(10) == 0) {
            return this->inject(static_cast<Fault>(this->random.below(faultNames.size())), delay, std::move(deliver));
        }
        if (!this->shouldInject(static_cast<std::size_t>(at))) {
            return this->after(delay, std::move(deliver));
        }
        this->inject(this->fault, delay, std::move(deliver));
    }

    void inject(Fault kind, std::size_t delay, std::function<void()> deliver)
    {
        switch (kind) {
        case Fault::LostReply:
            return;
        case Fault::Duplicate:
            this->after(delay + this->random.below(500), deliver);
            break;
        case Fault::Reorder:
            delay += this->random.below(3000);
            break;
        case Fault::FrontKill:
            this->fronts[0].alive = false;
            break;
        case Fault::Freeze:
            this->fronts[0].frozenUntil = this->now + milliseconds(this->random.below(12000));
            break;
        case Fault::LeaderChange:
            this->controlDownUntil = this->now + milliseconds(200 + this->random.below(3000));
            this->control = ControlState::restore(this->control.serialise()).value();
            break;
        default:
            this->submit(1);
        }
        this->after(delay, std::move(deliver));
    }

    ControlResult apply(const ControlCommand &command)
    {
        ControlResult result = this->control.apply(decodeControlCommand(encodeControlCommand(command)).value(), ++this->index);
        if (ClaimDecision *decision = std::get_if<ClaimDecision>(&result)) {
            const bool existing = this->disabled == Safeguard::OneGrant && decision->verdict == ClaimVerdict::Existing;
            const bool expired = this->disabled == Safeguard::Watermark && decision->verdict == ClaimVerdict::Expired;
            decision->verdict = existing || expired ? ClaimVerdict::Granted : decision->verdict;
        }
        return result;
    }

    void submit(std::size_t front)
    {
        ClaimedExecutionOptions options;
        options.id = this->id;
        options.owner = {.front = std::to_string(front), .incarnation = 1, .attempt = this->attempts.size()};
        options.deadline = this->now + milliseconds(2000);
        options.wallDeadline = this->wallTime(options.deadline);
        this->attempts.emplace_back(new Attempt{front, ClaimedExecution(options), 0, 0, {}});
        const std::size_t attempt = this->attempts.size() - 1;
        this->deliverToFront(attempt, [this](ClaimedExecution &execution) { return execution.start(this->now); });
    }

    void deliverToFront(std::size_t attempt, const std::function<ClaimedActions(ClaimedExecution &)> &event)
    {
        this->runInProcess(this->fronts[this->attempts[attempt]->front],
                           [this, attempt, event] { this->perform(attempt, event(this->attempts[attempt]->execution)); });
    }

    void perform(std::size_t attempt, const ClaimedActions &actions)
    {
        if (actions.report.has_value()) {
            this->attempts[attempt]->reports.push_back(*actions.report);
            this->recordWithoutOwnership(*actions.report);
        }
        if (actions.sendClaim.has_value()) {
            this->sendToControl(
                attempt, Step::Claim, Step::Grant, ClaimRequest{*actions.sendClaim}, [this](auto &execution, const auto &result) {
                    return execution.onClaimDecision(std::get<ClaimDecision>(result), this->now);
                });
        }
        if (actions.sendRecord.has_value()) {
            const ClaimState state = actions.sendRecord->state;
            const ClaimOwner owner{.front = std::to_string(this->attempts[attempt]->front), .incarnation = 1, .attempt = attempt};
            const RecordOutcome record{.id = this->id, .owner = owner, .state = state, .answer = actions.sendRecord->answer};
            this->sendToControl(attempt, Step::Record, Step::Answer, record, [this, state](auto &execution, const auto &result) {
                return execution.onRecorded(state, std::get<RecordVerdict>(result), this->now);
            });
        }
        if (actions.sendToReplica) {
            const std::size_t behaviour = this->random.below(8);
            const std::size_t number = actions.sendNumber;
            this->attempts[attempt]->sends = number;
            this->sendMessage(Step::Send, [this, attempt, number, behaviour] { this->runOnReplica(attempt, number, behaviour); });
        }
        const unsigned timer = ++this->attempts[attempt]->timer;
        if (actions.nextTimerAt.has_value()) {
            this->events.emplace(std::max(*actions.nextTimerAt, this->now), [this, attempt, timer] { this->fireTimer(attempt, timer); });
        }
    }

    void fireTimer(std::size_t attempt, unsigned timer)
    {
        this->runInProcess(this->fronts[this->attempts[attempt]->front], [this, attempt, timer] {
            if (timer == this->attempts[attempt]->timer) {
                this->perform(attempt, this->attempts[attempt]->execution.onTimer(this->now));
            }
        });
    }

    // Without the owner check, a front that finds a running claim could record it as not run.
    void recordWithoutOwnership(const ClaimedReport &report)
    {
        const Claim *claim = this->control.claims().find(this->id);
        if (this->disabled == Safeguard::OwnerRecords && report.reason == RefusalReason::ClaimRunning && claim != nullptr) {
            this->apply(RecordOutcome{.id = this->id, .owner = claim->owner, .state = ClaimState::NotRun, .answer = {}});
        }
    }

    template<typename Handler>
    void sendToControl(std::size_t attempt, Step request, Step answer, const ControlCommand &command, Handler onResult)
    {
        this->sendMessage(request, [this, attempt, answer, command, onResult] {
            if (this->now < this->controlDownUntil) {
                // A deposed leader may lose the command, or it may be committed, now or later.
                const std::size_t outcomeAtOldLeader = this->random.below(3);
                if (outcomeAtOldLeader != 0) {
                    this->after((outcomeAtOldLeader - 1) * this->random.below(3000), [this, command] { this->apply(command); });
                }
                const auto failed = [this](ClaimedExecution &execution) { return execution.onControlFailure(this->now); };
                return this->after(50, [this, attempt, failed] { this->deliverToFront(attempt, failed); });
            }
            const ControlResult result = this->apply(command);
            this->sendMessage(answer, [this, attempt, onResult, result] {
                this->deliverToFront(attempt, [onResult, result](ClaimedExecution &execution) { return onResult(execution, result); });
            });
        });
    }

    // TCP delivers a request once, so a second copy of it is modelled as a second copy of the server's refusal.
    void runOnReplica(std::size_t attempt, std::size_t number, std::size_t behaviour)
    {
        const bool isDuplicate = !this->served.insert({attempt, number}).second;
        if (behaviour < 3) {
            return this->replyFromReplica(attempt, number, behaviour == 0 ? SendOutcome::NoCapacity : SendOutcome::NotRun);
        }
        if (isDuplicate) {
            return;
        }
        this->after(this->random.below(behaviour == 3 ? 4000 : 300), [this, attempt, number, behaviour] {
            this->runs += behaviour == 4 ? 0 : 1;
            this->replyFromReplica(attempt, number, behaviour <= 5 && behaviour != 3 ? SendOutcome::Unknown : SendOutcome::Ran);
        });
    }

    void replyFromReplica(std::size_t attempt, std::size_t number, SendOutcome outcome)
    {
        if (this->disabled == Safeguard::CertainNotRun && outcome == SendOutcome::Unknown) {
            outcome = SendOutcome::NotRun;
        }
        this->sendMessage(Step::Run, [this, attempt, number, outcome] {
            this->deliverToFront(attempt, [this, attempt, number, outcome](ClaimedExecution &execution) {
                const std::size_t current = this->disabled == Safeguard::SendNumber ? this->attempts[attempt]->sends : number;
                return execution.onSendOutcome(current, outcome, "answer", RetryReason::Overloaded, this->now);
            });
        });
    }

    void advanceTime()
    {
        const AdvanceTime command{.now = this->wallTime(this->now), .watermark = this->wallTime(this->now) - milliseconds(60000)};
        this->sendMessage(Step::Expire, [this, command] {
            if (this->now >= this->controlDownUntil) {
                this->apply(command);
            }
        });
    }

    void queryStatus()
    {
        this->sendMessage(Step::Status, [this] {
            const Claim *claim = this->control.claims().find(this->id);
            if (claim == nullptr || this->now < this->controlDownUntil) {
                return;
            }
            this->recordIfViolated(this->final.has_value() && *this->final != claim->state, "a final state changed");
            if (claim->state == ClaimState::Ran || claim->state == ClaimState::NotRun) {
                this->final = claim->state;
            }
        });
    }

    void checkRecorded()
    {
        const Claim *claim = this->control.claims().find(this->id);
        this->recordIfViolated(this->runs > 0 && claim == nullptr, "a run without a claim");
        if (claim == nullptr) {
            return;
        }
        this->recordIfViolated(claim->state == ClaimState::Running, "a state that nobody can learn");
        this->recordIfViolated(claim->state == ClaimState::NotRun && this->runs > 0, "a false not run in the ledger");
        this->recordIfViolated(claim->state == ClaimState::Ran && this->runs != 1, "a false run in the ledger");
    }

    void checkReports()
    {
        this->recordIfViolated(this->runs > 1, "more than one run");
        for (const auto &attempt : this->attempts) {
            this->recordIfViolated(this->fronts[attempt->front].alive && attempt->reports.size() != 1, "not exactly one report");
            this->recordIfViolated(this->fronts[attempt->front].alive && !attempt->execution.finished(), "an execution without end");
            for (const ClaimedReport &report : attempt->reports) {
                const bool uncommitted = this->disabled == Safeguard::CommittedNotRun && report.reason == RefusalReason::ClaimUnavailable;
                const bool notRun = report.execution == Execution::NotRun || uncommitted;
                this->recordIfViolated(notRun && this->runs > 0, "a false not run to a caller");
                this->recordIfViolated(report.execution == Execution::Ran && this->runs != 1, "a false run to a caller");
            }
        }
    }

    const WallTime issued{milliseconds(1'800'000'000'000)};
    const RequestId id = "1800000000000-a";
    Step step;
    Fault fault;
    Safeguard disabled;
    ControlState control;
    std::uint64_t index = 0;
    TimePoint controlDownUntil{};
    std::array<Process, 2> fronts;
    std::vector<std::unique_ptr<Attempt>> attempts;
    std::set<std::pair<std::size_t, std::size_t>> served;
    std::size_t runs = 0;
    std::optional<ClaimState> final;
};

} // namespace Galenawell::Testing
