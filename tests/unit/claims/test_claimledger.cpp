#include "galenawell/claims/claimledger.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using std::chrono::milliseconds;

namespace {

const WallTime issued{milliseconds(1'800'000'000'000)};
const ClaimOwner owner{.front = "f1", .incarnation = 1, .attempt = 1};
const ClaimOwner other{.front = "f2", .incarnation = 1, .attempt = 1};
const RequestId id = "1800000000000-a1";

ClaimVerdict claim(ClaimLedger &ledger, const RequestId &claimed, const ClaimOwner &by, const std::string &digest = "d1")
{
    Claim request;
    request.id = claimed;
    request.contentDigest = digest;
    request.owner = by;
    request.deadline = issued + milliseconds(1000);
    return ledger.claim(request, issued).verdict;
}

} // namespace

// Guards against two runs of one id, and against an outcome that changes after it was reported to a caller.
Test(claimledger, only_one_attempt_is_granted_and_final_states_do_not_change)
{
    ClaimLedger ledger;
    cr_assert(claim(ledger, id, owner) == ClaimVerdict::Granted);
    cr_assert(claim(ledger, id, owner) == ClaimVerdict::Granted, "a resent claim is the same attempt");
    cr_assert(claim(ledger, id, other) == ClaimVerdict::Existing);
    cr_assert(claim(ledger, id, other, "d2") == ClaimVerdict::ContentDiffers);
    cr_assert(ledger.record(id, other, ClaimState::Ran, "x") == RecordVerdict::NotOwner);
    cr_assert_eq(ledger.closeOverdue(issued + milliseconds(6000), claimGrace), 0U);
    cr_assert_eq(ledger.closeOverdue(issued + milliseconds(6001), claimGrace), 1U);
    cr_assert(claim(ledger, id, owner) == ClaimVerdict::Existing, "an overdue claim must not be granted again");
    cr_assert(ledger.record(id, owner, ClaimState::NotRun, "") == RecordVerdict::Final);
    cr_assert(ledger.record(id, owner, ClaimState::Ran, "x") == RecordVerdict::Recorded);
    cr_assert(ledger.record(id, owner, ClaimState::Ran, "x") == RecordVerdict::AlreadyRecorded);
    cr_assert(ledger.record(id, owner, ClaimState::Unknown, "") == RecordVerdict::Final);
}

// Guards against an id that runs again after its claim was removed.
Test(claimledger, expired_ids_are_never_granted)
{
    ClaimLedger ledger;
    claim(ledger, id, owner);
    claim(ledger, "1800000000001-b", owner);
    ledger.advanceWatermark(issued);
    ledger.advanceWatermark(issued - milliseconds(1));
    cr_assert_eq(ledger.size(), 1U);
    cr_assert(claim(ledger, id, owner) == ClaimVerdict::Expired);
    cr_assert(ledger.record(id, owner, ClaimState::Ran, "x") == RecordVerdict::NotFound);
}

// Guards against ids without a valid issue time, which would never expire.
Test(claimledger, malformed_ids_and_ids_from_the_future_are_refused)
{
    for (const std::string text : {"", "a", "1800000000000", "1800000000000-", "180000000000-a", "+800000000000-a", "1800000000000-a b"}) {
        cr_assert(not issueTimeOf(text).has_value());
    }
    cr_assert(not issueTimeOf("1800000000000-" + std::string(maximumRandomPart + 1, 'a')).has_value());
    ClaimLedger ledger;
    cr_assert(claim(ledger, "1800003600000-a", owner) == ClaimVerdict::Granted);
    cr_assert(claim(ledger, "1800003600001-a", owner) == ClaimVerdict::MalformedId);
}
