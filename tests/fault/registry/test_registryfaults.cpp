#include "fault/claims/faultmatrix.h"
#include "fault/registry/registrysimulation.h"

using namespace Galenawell::Testing;

namespace {

using Safeguard = RegistrySimulation::Safeguard;

const FaultMatrix<RegistrySimulation> cells(20);

} // namespace

// Guards against routing to draining or dead servers, losing all servers at once, and fronts that don't converge.
Test(registryfaults, checks_hold_under_every_fault_at_every_step)
{
    cells.runAll("registry");
}

// Guards against checks that pass whatever the code does.
Test(registryfaults, each_disabled_safeguard_breaks_a_check)
{
    cr_expect(cells.violatesInvariantWithout(Safeguard::Lease, "dead server kept"));
    cr_expect(cells.violatesInvariantWithout(Safeguard::Gap, "fronts don't agree on the servers"));
    cr_expect(cells.violatesInvariantWithout(Safeguard::Order, "drain unknown after 2 s"));
    cr_expect(cells.violatesInvariantWithout(Safeguard::OriginIncarnation, "fronts don't agree on the servers"));
    cr_expect(cells.violatesInvariantWithout(Safeguard::MassLapse, "set lost by a mass lapse"));
}
