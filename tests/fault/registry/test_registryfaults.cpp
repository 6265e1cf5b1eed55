#include "fault/claims/faultcells.h"
#include "fault/registry/registryworld.h"

using namespace Galenawell::Testing;

namespace {

using Removed = RegistryWorld::Removed;

const FaultCells<RegistryWorld> cells(20);

} // namespace

// Guards against routing to draining or dead servers, losing all servers at once, and fronts that don't converge.
Test(registryfaults, checks_hold_under_every_fault_at_every_step)
{
    cells.cover("registry");
}

// Guards against checks that pass whatever the code does.
Test(registryfaults, each_disabled_safeguard_breaks_a_check)
{
    cr_expect(cells.isBrokenWithout(Removed::Lease, "dead server kept"));
    cr_expect(cells.isBrokenWithout(Removed::Gap, "fronts don't agree on the servers"));
    cr_expect(cells.isBrokenWithout(Removed::Order, "drain unknown after 2 s"));
    cr_expect(cells.isBrokenWithout(Removed::OriginIncarnation, "fronts don't agree on the servers"));
    cr_expect(cells.isBrokenWithout(Removed::MassLapse, "set lost by a mass lapse"));
}
