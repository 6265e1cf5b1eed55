#include "fault/consensus/schedule.h"
#include "fault/faultlog.h"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr unsigned seeds = 60 / seedDivisor;
constexpr unsigned lossesPerSeed = 6;
// Time after its return within which an instance is ready for the next loss.
constexpr auto catchUpTime = 4000ms;
constexpr auto changeTimeout = 5000ms;

// The leader half of the time.
InstanceName pickTarget(RaftCluster &cluster, RandomSource &random)
{
    const Instance *leader = cluster.leader();
    const std::vector<InstanceName> names = cluster.names();
    return leader != nullptr && random.below(2) == 0 ? leader->name : names[random.below(names.size())];
}

std::chrono::milliseconds randomTime(RandomSource &random, std::size_t below)
{
    return std::chrono::milliseconds(random.below(below));
}

// One instance loses its disk and returns, or is paused. Returns at the end of its time to catch up.
void disturbOne(RaftCluster &cluster, RandomSource &random)
{
    const InstanceName target = pickTarget(cluster, random);
    if (random.below(4) == 0) {
        cluster.at(target).frozen = true;
        cluster.run(randomTime(random, 20000));
        cluster.at(target).frozen = false;
    } else {
        cluster.loseDisk(target);
        cluster.run(randomTime(random, 3500));
        cluster.restart(target);
    }
    cluster.run(catchUpTime + randomTime(random, 1000));
}

std::string describeViolation(unsigned seed)
{
    const std::size_t spares = seed % 3;
    RaftCluster cluster(ClusterOptions{.voters = 3, .seed = seed, .tick = 2ms, .voterManager = VoterManagerOptions{.targetVoterCount = 3}});
    RandomSource random(seed);
    cluster.commitOne(10s);
    for (std::size_t index = 0; index < spares; ++index) {
        cluster.addInstance("spare" + std::to_string(index));
    }
    cluster.run(randomTime(random, 40000));
    for (unsigned loss = 1; loss <= lossesPerSeed && cluster.violation.empty(); ++loss) {
        disturbOne(cluster, random);
        if (!cluster.commitOne(changeTimeout) && cluster.violation.empty()) {
            return "no change is acknowledged after loss " + std::to_string(loss);
        }
        cluster.read();
        if (random.below(3) == 0) {
            cluster.run(randomTime(random, 20000));
        }
    }
    cluster.run(catchUpTime);
    cluster.checkConverged();
    return cluster.violation;
}

// More seeds by hand: GALENAWELL_LOSS_SEEDS=5000.
unsigned seedCount()
{
    const char *text = std::getenv("GALENAWELL_LOSS_SEEDS");
    return text == nullptr ? seeds : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

} // namespace

// Guards against a leader that removes a joining learner, or keeps a lost identity as a voter, so that the next lost disk
// ends the majority although each loss alone is tolerated.
Test(disklosses, each_loss_of_a_disk_is_borne_once_the_earlier_one_has_caught_up)
{
    const unsigned count = seedCount();
    for (unsigned seed = 1; seed <= count; ++seed) {
        const std::string violation = describeViolation(seed);
        cr_assert(violation.empty(), "seed %u: %s", seed, violation.c_str());
    }
    recordFaultCell("consensus", "disks lost in turn", "membership change", count);
}
