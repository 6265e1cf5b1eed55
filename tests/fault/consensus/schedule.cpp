#include "fault/consensus/schedule.h"

#include <array>

namespace Galenawell::Testing {

namespace {

using namespace std::chrono_literals;

InstanceName anyInstance(RaftCluster &cluster, RandomSource &random)
{
    const std::vector<InstanceName> names = cluster.names();
    return names[random.below(names.size())];
}

// The leader half of the time, since most faults have the largest effect there.
InstanceName pickTarget(RaftCluster &cluster, RandomSource &random)
{
    Instance *leader = cluster.leader();
    if (leader != nullptr && random.below(2) == 0) {
        return leader->name;
    }
    return anyInstance(cluster, random);
}

void runLoad(RaftCluster &cluster, RandomSource &random, std::chrono::milliseconds duration)
{
    for (auto passed = 0ms; passed < duration; passed += 50ms) {
        if (random.below(2) == 0) {
            cluster.propose("load");
        }
        cluster.read();
        cluster.run(50ms);
    }
}

// Steps.

void commit(RaftCluster &cluster, RandomSource &random)
{
    runLoad(cluster, random, 300ms);
}

void restart(RaftCluster &cluster, RandomSource &random)
{
    const InstanceName name = pickTarget(cluster, random);
    cluster.kill(name);
    runLoad(cluster, random, std::chrono::milliseconds(random.below(1500)));
    cluster.restart(name);
}

void snapshot(RaftCluster &cluster, RandomSource &random)
{
    const InstanceName stopped = anyInstance(cluster, random);
    cluster.kill(stopped);
    for (int entry = 0; entry < 30; ++entry) {
        cluster.propose("a-payload-that-makes-the-state-larger-than-a-chunk-");
        cluster.run(20ms);
    }
    for (const InstanceName &name : cluster.names()) {
        cluster.forceSnapshot(name);
    }
    cluster.restart(stopped);
}

void diskLoss(RaftCluster &cluster, RandomSource &random)
{
    const InstanceName name = pickTarget(cluster, random);
    cluster.membershipChangesEnabled = false;
    cluster.loseDisk(name);
    runLoad(cluster, random, std::chrono::milliseconds(random.below(500)));
    cluster.restart(name);
}

void prepareRepair(RaftCluster &cluster, RandomSource &random)
{
    diskLoss(cluster, random);
    runLoad(cluster, random, 1500ms);
}

void repair(RaftCluster &cluster, RandomSource &random)
{
    cluster.membershipChangesEnabled = true;
    runLoad(cluster, random, 500ms);
}

void leaderChange(RaftCluster &cluster, RandomSource &random)
{
    Instance *leader = cluster.leader();
    if (leader == nullptr) {
        return;
    }
    leader->frozen = true;
    runLoad(cluster, random, 1500ms);
    leader->frozen = false;
}

void membershipChange(RaftCluster &cluster, RandomSource &random)
{
    cluster.addInstance("new");
    runLoad(cluster, random, std::chrono::milliseconds(random.below(1000)));
    cluster.retire(anyInstance(cluster, random));
}

// Faults.

void killProcess(RaftCluster &cluster, RandomSource &random)
{
    const InstanceName name = pickTarget(cluster, random);
    if (random.below(2) == 0) {
        cluster.schedule(std::chrono::milliseconds(random.below(1000)), [&cluster, name] { cluster.restart(name); });
    }
    switch (random.below(3)) {
    case 0:
        cluster.kill(name);
        break;
    case 1:
        cluster.at(name).crash = Instance::CrashPoint::BeforeStore;
        break;
    default:
        cluster.at(name).crash = Instance::CrashPoint::AfterStore;
        break;
    }
}

void loseDisk(RaftCluster &cluster, RandomSource &random)
{
    const InstanceName name = pickTarget(cluster, random);
    cluster.loseDisk(name);
    cluster.restart(name);
}

void oneWayCut(RaftCluster &cluster, RandomSource &random)
{
    const bool outgoing = random.below(2) == 0;
    const std::vector<InstanceName> targets{pickTarget(cluster, random)};
    if (outgoing) {
        cluster.cut(targets, cluster.names(), false);
    } else {
        cluster.cut(cluster.names(), targets, false);
    }
}

void twoWayCut(RaftCluster &cluster, RandomSource &random)
{
    cluster.cut({pickTarget(cluster, random)}, cluster.names());
}

void freeze(RaftCluster &cluster, RandomSource &random)
{
    cluster.at(pickTarget(cluster, random)).frozen = true;
}

void duplicate(RaftCluster &cluster, RandomSource &)
{
    cluster.duplicateProbability = 0.4;
}

void reorder(RaftCluster &cluster, RandomSource &)
{
    cluster.reorderProbability = 0.4;
}

void loseReplies(RaftCluster &cluster, RandomSource &)
{
    cluster.lostReplyProbability = 0.5;
}

// After healing, the cluster must make progress and every running instance must apply every acknowledged command.
void checkRecovery(RaftCluster &cluster, Outcome &outcome)
{
    cluster.heal();
    cluster.membershipChangesEnabled = true;
    outcome.quorumRecoverable = cluster.quorumRecoverable();
    if (outcome.quorumRecoverable && !cluster.commitOne(60s) && cluster.violation.empty()) {
        cluster.violation = "no progress after healing";
    }
    cluster.run(10s);
    if (outcome.quorumRecoverable) {
        cluster.checkConverged();
    }
    outcome.violation = cluster.violation;
}

} // namespace

const std::vector<Action> &steps()
{
    static const std::vector<Action> all{
        {"commit", commit},
        {"restart", restart},
        {"snapshot", snapshot},
        {"disk loss", diskLoss},
        {"repair", repair, prepareRepair},
        {"leader change", leaderChange},
        {"membership change", membershipChange},
    };
    return all;
}

const std::vector<Action> &faults()
{
    static const std::vector<Action> all{
        {"kill", killProcess},
        {"lost disk", loseDisk},
        {"one-way cut", oneWayCut},
        {"two-way cut", twoWayCut},
        {"freeze", freeze},
        {"duplicate", duplicate},
        {"reorder", reorder},
        {"lost reply", loseReplies},
    };
    return all;
}

Outcome runSchedule(const ClusterOptions &options, const Action &step, const std::vector<Action> &injected)
{
    RaftCluster cluster(options);
    RandomSource random(options.seed);
    Outcome outcome;
    cluster.commitOne(10s);
    runLoad(cluster, random, 300ms);
    if (step.prepare != nullptr) {
        step.prepare(cluster, random);
    }
    // The step calls run() itself, so the faults are scheduled to be injected during those calls.
    for (const Action &fault : injected) {
        // Steps take from a few message delays to an election timeout and more.
        constexpr std::array<std::size_t, 3> maximumDelays{100, 400, 1600};
        const auto delay = std::chrono::milliseconds(random.below(maximumDelays[random.below(maximumDelays.size())]));
        cluster.schedule(delay, [&cluster, &random, fault] { fault.run(cluster, random); });
    }
    step.run(cluster, random);
    runLoad(cluster, random, 2500ms);
    checkRecovery(cluster, outcome);
    return outcome;
}

Outcome runRandomSchedule(const ClusterOptions &options, unsigned rounds)
{
    RaftCluster cluster(options);
    RandomSource random(options.seed);
    Outcome outcome;
    cluster.commitOne(10s);
    for (unsigned round = 0; round < rounds && cluster.violation.empty(); ++round) {
        for (std::size_t count = 1 + random.below(3); count > 0; --count) {
            const Action &fault = faults()[random.below(faults().size())];
            cluster.schedule(std::chrono::milliseconds(random.below(1000)), [&cluster, &random, fault] { fault.run(cluster, random); });
        }
        // Excludes the membership change, the last step, since the instance that it adds stays.
        const Action &step = steps()[random.below(steps().size() - 1)];
        if (step.prepare != nullptr) {
            step.prepare(cluster, random);
        }
        step.run(cluster, random);
        runLoad(cluster, random, 500ms);
        if (random.below(3) == 0) {
            cluster.heal();
            cluster.membershipChangesEnabled = true;
            runLoad(cluster, random, 3s);
        }
        if (!cluster.quorumRecoverable()) {
            break;
        }
    }
    checkRecovery(cluster, outcome);
    return outcome;
}

} // namespace Galenawell::Testing
