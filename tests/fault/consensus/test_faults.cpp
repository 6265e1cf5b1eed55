#include "fault/consensus/schedule.h"
#include "fault/faultlog.h"
#include "unit/consensus/temporaryfolder.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace Galenawell::Testing;

namespace {

constexpr unsigned seedsPerCell = 40 / seedDivisor;

const Action &stepNamed(const std::string &name)
{
    for (const Action &step : steps()) {
        if (step.name == name) {
            return step;
        }
    }
    std::abort();
}

void checkCell(const Action &step, const std::vector<Action> &injected, const std::string &name)
{
    unsigned runsWithQuorum = 0;
    for (unsigned seed = 1; seed <= seedsPerCell; ++seed) {
        const ClusterOptions options{.voters = seed % 2 == 0 ? 3U : 5U, .seed = seed};
        const Outcome outcome = runSchedule(options, step, injected);
        cr_assert(outcome.violation.empty(), "%s during %s, seed %u: %s", name.c_str(), step.name.c_str(), seed, outcome.violation.c_str());
        runsWithQuorum += outcome.quorumRecoverable ? 1 : 0;
    }
    // Runs that lose a majority of the disks show safety only; the others show progress as well.
    cr_assert_geq(runsWithQuorum, seedsPerCell / 4, "%s during %s: %u", name.c_str(), step.name.c_str(), runsWithQuorum);
    recordFaultCell("consensus", name, step.name, seedsPerCell);
}

void checkStep(const std::string &name)
{
    for (const Action &fault : faults()) {
        checkCell(stepNamed(name), {fault}, fault.name);
    }
}

} // namespace

// Each guards against an acknowledged entry that is lost, a committed entry that changes, two leaders in a term, a read
// that misses an acknowledged write, and a cluster that makes no progress after the fault has passed.
Test(faults, during_a_commit)
{
    checkStep("commit");
}

Test(faults, during_a_restart)
{
    checkStep("restart");
}

Test(faults, during_a_snapshot)
{
    checkStep("snapshot");
}

Test(faults, during_a_disk_loss)
{
    checkStep("disk loss");
}

Test(faults, during_a_repair)
{
    checkStep("repair");
}

Test(faults, during_a_leader_change)
{
    checkStep("leader change");
}

Test(faults, during_a_membership_change)
{
    checkStep("membership change");
}

// Guards against a member replacement that is safe under a single fault only.
Test(faults, pairs_during_a_repair)
{
    for (std::size_t first = 0; first < faults().size(); ++first) {
        for (std::size_t second = first; second < faults().size(); ++second) {
            const std::string name = faults()[first].name + " and " + faults()[second].name;
            checkCell(stepNamed("repair"), {faults()[first], faults()[second]}, name);
        }
    }
}

// Guards against a LogStorage that behaves unlike the disk in memory of the other runs.
Test(faults, on_real_files)
{
    for (const Action &step : steps()) {
        const TemporaryFolder folder;
        const Outcome outcome = runSchedule({.seed = 2, .folder = folder.path}, step, {faults().front()});
        cr_assert(outcome.violation.empty(), "%s: %s", step.name.c_str(), outcome.violation.c_str());
    }
}
