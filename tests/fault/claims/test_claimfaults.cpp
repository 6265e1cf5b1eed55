#include "fault/claims/claimsimulation.h"
#include "fault/claims/faultmatrix.h"

using namespace Galenawell::Testing;

namespace {

using Safeguard = ClaimSimulation::Safeguard;

const FaultMatrix<ClaimSimulation> matrix(100);

} // namespace

// Guards against a second run, a false "not run" and a claim that stays in state Running, under each fault at each step.
Test(claimfaults, invariants_hold_under_every_fault_at_every_step)
{
    matrix.runAll("claims");
}

// Guards against safeguards that withstand one fault but not several in a row or at once.
Test(claimfaults, invariants_hold_under_several_faults)
{
    for (std::uint64_t seed = 0; seed < 3000; ++seed) {
        ClaimSimulation simulation(seed, ClaimSimulation::Step::Any, ClaimSimulation::Fault::Any, Safeguard::None);
        simulation.run();
        cr_assert(simulation.violations.empty(), "seed %lu: %s", seed, simulation.violations.begin()->c_str());
    }
}

// Guards against invariants that hold in the simulation whatever the code does.
Test(claimfaults, disabling_any_safeguard_violates_an_invariant)
{
    cr_expect(matrix.violatesInvariantWithout(Safeguard::OneGrant, "more than one run"));
    cr_expect(matrix.violatesInvariantWithout(Safeguard::CertainNotRun, "more than one run"));
    cr_expect(matrix.violatesInvariantWithout(Safeguard::CommittedNotRun, "a false not run to a caller"));
    cr_expect(matrix.violatesInvariantWithout(Safeguard::Watermark, "more than one run"));
    cr_expect(matrix.violatesInvariantWithout(Safeguard::OwnerRecords, "a false not run in the ledger"));
    cr_expect(matrix.violatesInvariantWithout(Safeguard::SendNumber, "more than one run"));
}
