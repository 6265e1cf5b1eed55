#include "galenawell/control/controlstate.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <tuple>

using namespace Galenawell;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t base = 1'800'000'000'000;

// Reference implementation: searches an unordered list and keeps expired claims.
struct ReferenceLedger
{
    std::vector<Claim> claims;
    std::int64_t watermark = 0;
    std::int64_t time = 0;

    static std::int64_t issuedAt(const RequestId &id)
    {
        return std::stoll(id.substr(0, id.find('-')));
    }

    Claim *find(const RequestId &id)
    {
        for (Claim &claim : this->claims) {
            if (claim.id == id && issuedAt(id) > this->watermark) {
                return &claim;
            }
        }
        return nullptr;
    }

    std::pair<ClaimVerdict, ClaimState> claim(const Claim &request)
    {
        if (issuedAt(request.id) <= this->watermark) {
            return {ClaimVerdict::Expired, ClaimState::Unknown};
        }
        if (const Claim *found = this->find(request.id)) {
            if (found->contentDigest != request.contentDigest) {
                return {ClaimVerdict::ContentDiffers, found->state};
            }
            const bool resent = found->owner == request.owner && found->state == ClaimState::Running;
            return {resent ? ClaimVerdict::Granted : ClaimVerdict::Existing, found->state};
        }
        this->claims.push_back(request);
        return {ClaimVerdict::Granted, ClaimState::Running};
    }

    RecordVerdict record(const RecordOutcome &outcome)
    {
        Claim *found = this->find(outcome.id);
        if (found == nullptr) {
            return RecordVerdict::NotFound;
        }
        if (found->owner != outcome.owner) {
            return RecordVerdict::NotOwner;
        }
        if (found->state == outcome.state && found->answer == outcome.answer) {
            return RecordVerdict::AlreadyRecorded;
        }
        const bool running = found->state == ClaimState::Running;
        const bool lateRun = found->state == ClaimState::Unknown && outcome.state == ClaimState::Ran;
        if (!running && !lateRun) {
            return RecordVerdict::Final;
        }
        found->state = outcome.state;
        found->answer = outcome.answer;
        return RecordVerdict::Recorded;
    }

    void advance(const AdvanceTime &command)
    {
        this->time = std::max(this->time, command.now.time_since_epoch().count());
        for (Claim &claim : this->claims) {
            const bool overdue = claim.deadline.time_since_epoch().count() + 5000 < this->time;
            claim.state = claim.state == ClaimState::Running && overdue ? ClaimState::Unknown : claim.state;
        }
        this->watermark = std::max(this->watermark, std::min(command.watermark.time_since_epoch().count(), this->time));
    }
};

using Operation = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

Claim claimOf(std::uint8_t a, std::uint8_t b)
{
    Claim claim;
    claim.id = std::to_string(base + a % 6 * 1000) + "-r";
    claim.service = "s";
    claim.contentDigest = b % 8 == 0 ? "other" : "digest";
    claim.owner = {.front = "f", .incarnation = b % 2U, .attempt = 1};
    claim.deadline = WallTime(milliseconds(base + b % 8 * 1000));
    return claim;
}

void compare(const std::vector<Operation> &operations)
{
    ControlState state;
    ReferenceLedger reference;
    std::uint64_t index = 0;
    for (const auto &[kind, a, b] : operations) {
        ++index;
        if (kind % 4 == 0) {
            const auto decision = std::get<ClaimDecision>(state.apply(ClaimRequest{claimOf(a, b)}, index));
            RC_ASSERT(std::pair(decision.verdict, decision.state) == reference.claim(claimOf(a, b)));
        } else if (kind % 4 == 1) {
            const ClaimState outcome = static_cast<ClaimState>(1 + b / 4 % 3);
            const RecordOutcome command{claimOf(a, b).id, claimOf(a, b).owner, outcome, outcome == ClaimState::Ran ? "x" : ""};
            RC_ASSERT(std::get<RecordVerdict>(state.apply(command, index)) == reference.record(command));
        } else if (kind % 4 == 2) {
            // Whole seconds, so that times often equal a deadline, the end of a grace period or an issue time.
            const WallTime now(milliseconds(base + a % 16 * 1000));
            const AdvanceTime command{.now = now, .watermark = now - milliseconds(b % 16 * 1000)};
            state.apply(command, index);
            reference.advance(command);
        } else {
            state = ControlState::restore(state.serialise()).value();
        }
        std::map<RequestId, Claim> live;
        for (const Claim &claim : reference.claims) {
            if (reference.find(claim.id) != nullptr) {
                live.emplace(claim.id, claim);
            }
        }
        RC_ASSERT(state.claims().claims() == live);
    }
}

} // namespace

// Guards against indexes or expiry that lose, keep or change a claim, also after a snapshot was restored.
Test(claimledgermodel, the_ledger_agrees_with_a_plain_list)
{
    cr_assert(rc::check([] { compare(*rc::gen::resize(200, rc::gen::arbitrary<std::vector<Operation>>())); }));
}
