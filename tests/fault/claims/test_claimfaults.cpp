#include "fault/claims/claimworld.h"
#include "fault/claims/faultmatrix.h"

using namespace Galenawell::Testing;

namespace {

using Safeguard = ClaimWorld::Safeguard;

const FaultMatrix<ClaimWorld> cells(100);

} // namespace

// Guards against a second run, a false "not run" and a state that nobody can learn, under each fault at each step.
Test(claimfaults, invariants_hold_under_every_fault_at_every_step)
{
    cells.runAll("claims");
}

// Guards against defences that hold one fault but not several, close together or at once.
Test(claimfaults, invariants_hold_under_several_faults)
{
    for (std::uint64_t seed = 0; seed < 3000; ++seed) {
        ClaimWorld world(seed, ClaimWorld::Step::Any, ClaimWorld::Fault::Any, Safeguard::None);
        world.run();
        cr_assert(world.violations.empty(), "seed %lu: %s", seed, world.violations.begin()->c_str());
    }
}

// Guards against invariants that hold in the simulation whatever the code does.
Test(claimfaults, each_removed_defence_breaks_an_invariant)
{
    cr_expect(cells.violatesInvariantWithout(Safeguard::OneGrant, "more than one run"));
    cr_expect(cells.violatesInvariantWithout(Safeguard::CertainNotRun, "more than one run"));
    cr_expect(cells.violatesInvariantWithout(Safeguard::CommittedNotRun, "a false not run to a caller"));
    cr_expect(cells.violatesInvariantWithout(Safeguard::Watermark, "more than one run"));
    cr_expect(cells.violatesInvariantWithout(Safeguard::OwnerRecords, "a false not run in the ledger"));
    cr_expect(cells.violatesInvariantWithout(Safeguard::SendNumber, "more than one run"));
}
