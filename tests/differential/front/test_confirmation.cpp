// Checks the invariant of ConfirmationTracker with random faults: a confirmed front never holds a revision older than the
// newest one that a majority of the fronts held more than the limit ago.
#include "fault/front/frontsimulation.h"
#include "galenawell/core/randomsource.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

namespace {

std::string violationOf(std::uint64_t seed, bool skipsConfirmation)
{
    constexpr unsigned events = 150;
    RandomSource random(seed);
    FrontSimulation simulation(2 + random.below(6), skipsConfirmation);
    const std::uint64_t longestDelay = 1 + random.below(2500);
    simulation.delay = [&] { return std::chrono::milliseconds(random.below(4) == 0 ? random.below(longestDelay) : 0); };
    for (unsigned event = 0; event < events && simulation.violation.empty(); ++event) {
        const std::size_t index = random.below(simulation.fronts.size());
        FrontSimulation::Front &front = simulation.fronts[index];
        switch (random.below(8)) {
        case 0:
        case 1:
            simulation.commit();
            break;
        case 2:
            simulation.restart(index);
            break;
        case 3:
            front.partitioned = !front.partitioned;
            break;
        case 4:
            front.partitionedFromControl = !front.partitionedFromControl;
            break;
        case 5:
            front.frozen = !front.frozen;
            break;
        case 6:
            simulation.controlUp = !simulation.controlUp;
            break;
        default:
            simulation.run(4s);
            break;
        }
        simulation.run(std::chrono::milliseconds(100 * random.below(8)));
    }
    return simulation.violation;
}

} // namespace

// Guards against a front that serves a superseded configuration after commits, restarts, delays and network partitions.
Test(confirmation_differential, a_confirmed_front_never_holds_a_superseded_revision)
{
    const bool passed = rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const std::string violation = violationOf(seed, false);
        if (!violation.empty()) {
            RC_FAIL(violation);
        }
    });
    cr_assert(passed);
}

// Verifies that the check detects restarted fronts that count towards the majority before their view is confirmed.
Test(confirmation_differential, the_check_detects_a_restarted_front_that_counts_without_confirmation)
{
    constexpr std::uint64_t seeds = 400;
    unsigned found = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        found += violationOf(seed, true).empty() ? 0 : 1;
    }
    cr_assert_gt(found, 0);
}
