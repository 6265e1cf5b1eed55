// Injects each fault at each step of the lifecycle of a front, from its start to its shutdown.
#include "fault/faultlog.h"
#include "fault/front/frontsimulation.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t frontCount = 5;
// Front 0 is the observed one.
constexpr std::size_t observed = 0;

struct Fault
{
    std::string name;
    std::function<void(FrontSimulation &)> begin;
    std::function<void(FrontSimulation &)> end;
    // Whether the observed front is confirmed 4 s after the start of the fault.
    bool confirmedDuringFault = false;
};

void noRecovery(FrontSimulation &)
{
}

void restartAll(FrontSimulation &simulation)
{
    for (std::size_t index = 0; index < frontCount; ++index) {
        simulation.restart(index);
    }
}

const std::vector<Fault> &faults()
{
    static const std::vector<Fault> all{
        {"control majority lost",
         [](FrontSimulation &simulation) { simulation.controlUp = false; },
         [](FrontSimulation &simulation) { simulation.controlUp = true; },
         true},
        {"front isolated",
         [](FrontSimulation &simulation) { simulation.fronts[observed].partitioned = true; },
         [](FrontSimulation &simulation) { simulation.fronts[observed].partitioned = false; },
         false},
        {"front frozen",
         [](FrontSimulation &simulation) { simulation.fronts[observed].frozen = true; },
         [](FrontSimulation &simulation) { simulation.fronts[observed].frozen = false; },
         false},
        {"restart of one front", [](FrontSimulation &simulation) { simulation.restart(observed); }, noRecovery, true},
        {"restart of all fronts", restartAll, noRecovery, true},
        // Replies that took longer than the limit must not confirm a view.
        {"stale heartbeat reply",
         [](FrontSimulation &simulation) { simulation.delay = [] { return 3500ms; }; },
         [](FrontSimulation &simulation) { simulation.delay = [] { return 0ms; }; },
         false},
    };
    return all;
}

struct Step
{
    std::string name;
    // Advances the simulation to the step; the fault begins immediately afterwards.
    std::function<void(FrontSimulation &)> advance;
    bool confirmedBefore = true;
};

const std::vector<Step> &steps()
{
    static const std::vector<Step> all{
        {"start", [](FrontSimulation &simulation) { simulation.restart(observed); }, false},
        {"hold view",
         [](FrontSimulation &simulation) {
             simulation.commit();
             simulation.tick();
         }},
        {"confirm by control", [](FrontSimulation &simulation) { simulation.tick(); }},
        {"confirm by fronts",
         [](FrontSimulation &simulation) {
             simulation.fronts[observed].partitionedFromControl = true;
             simulation.run(4s);
         }},
        {"serve", [](FrontSimulation &simulation) { simulation.run(5s); }},
        // A front that shuts down serves late callers first; its end must not affect the confirmation of the others.
        {"shut down",
         [](FrontSimulation &simulation) {
             simulation.run(1s);
             simulation.fronts[frontCount - 1].partitioned = true;
         }},
    };
    return all;
}

void checkCombination(const Fault &fault, const Step &step)
{
    FrontSimulation simulation(frontCount, false);
    simulation.run(1s);
    cr_assert_eq(simulation.confirmedCount(), frontCount);
    step.advance(simulation);
    const char *stepName = step.name.c_str();
    if (step.confirmedBefore) {
        cr_assert(simulation.confirmed(observed), "%s", stepName);
    }
    fault.begin(simulation);
    simulation.commit();
    simulation.run(4s);
    cr_assert_eq(simulation.confirmed(observed), fault.confirmedDuringFault, "%s, %s", fault.name.c_str(), stepName);
    fault.end(simulation);
    simulation.run(5s);
    cr_assert(simulation.confirmed(observed), "%s, %s: not confirmed after the fault", fault.name.c_str(), stepName);
    cr_assert(simulation.violation.empty(), "%s", simulation.violation.c_str());
    recordFaultCell("confirmation", fault.name, step.name, 1);
}

} // namespace

// Guards against a front that serves while unconfirmed, stops while confirmed, or stays unconfirmed after a fault.
Test(confirmation_fault, each_fault_at_each_step)
{
    for (const Step &step : steps()) {
        for (const Fault &fault : faults()) {
            checkCombination(fault, step);
        }
    }
}

// Guards against restarted fronts that confirm each other's old views while control is unreachable.
Test(confirmation_fault, after_a_restart_of_all_fronts_only_control_confirms)
{
    FrontSimulation simulation(frontCount, false);
    simulation.run(1s);
    simulation.controlUp = false;
    restartAll(simulation);
    simulation.run(20s);
    cr_assert_eq(simulation.confirmedCount(), 0);
    simulation.controlUp = true;
    simulation.run(1s);
    cr_assert_eq(simulation.confirmedCount(), frontCount);
    recordFaultCell("confirmation", "restart of all fronts and control majority lost", "start", 1);
}
