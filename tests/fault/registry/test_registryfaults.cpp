#include "fault/claims/faultmatrix.h"
#include "fault/registry/registrysimulation.h"

using namespace Galenawell::Testing;

namespace {

using Safeguard = RegistrySimulation::Safeguard;

const FaultMatrix<RegistrySimulation> matrix(20);

} // namespace

// Guards against routing to draining or dead servers, losing all servers at once, and fronts that don't converge.
Test(registryfaults, invariants_hold_under_every_fault_at_every_step)
{
    matrix.runAll("registry");
}

// Guards against invariants that hold in the simulation whatever the code does.
Test(registryfaults, disabling_any_safeguard_violates_an_invariant)
{
    cr_expect(matrix.violatesInvariantWithout(Safeguard::Lease, "dead server kept"));
    cr_expect(matrix.violatesInvariantWithout(Safeguard::Acknowledgement, "fronts don't agree on the servers"));
    cr_expect(matrix.violatesInvariantWithout(Safeguard::SequenceOrder, "drain unknown after 2 s"));
    cr_expect(matrix.violatesInvariantWithout(Safeguard::OriginIncarnation, "fronts don't agree on the servers"));
    cr_expect(matrix.violatesInvariantWithout(Safeguard::MassExpiry, "set lost by a mass lapse"));
}
