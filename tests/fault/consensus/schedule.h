// Steps of a cluster, faults that are injected during them, and schedules of both.
#pragma once

#include "fault/consensus/raftcluster.h"

#include <string>
#include <vector>

namespace Galenawell::Testing {

#if defined(__SANITIZE_ADDRESS__)
// Unoptimised code under the sanitizers runs about thirty times slower.
inline constexpr unsigned seedDivisor = 10;
#else
inline constexpr unsigned seedDivisor = 1;
#endif

// A step or a fault; RaftCluster::heal() undoes what it leaves behind.
struct Action
{
    std::string name;
    void (*run)(RaftCluster &cluster, RandomSource &random);
    // Establishes the state in which the step begins; no fault is injected during it.
    void (*prepare)(RaftCluster &cluster, RandomSource &random) = nullptr;
};

const std::vector<Action> &steps();
const std::vector<Action> &faults();

struct Outcome
{
    std::string violation;
    // Whether enough disks are left for the cluster to make progress.
    bool quorumRecoverable = true;
};

// Runs the step under load, injects the faults at random times in it, heals, and checks every invariant.
Outcome runSchedule(const ClusterOptions &options, const Action &step, const std::vector<Action> &faults);

// Runs a random sequence of steps and faults.
Outcome runRandomSchedule(const ClusterOptions &options, unsigned rounds);

} // namespace Galenawell::Testing
