// Picks a replica of one group for one subrequest: two random choices among the eligible ones.
#pragma once

#include "galenawell/core/randomsource.h"
#include "galenawell/routing/routingtable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Galenawell {

enum class Selection : std::uint8_t {
    TwoChoices,
    // The best of three random ones, which in a small group is the best of all.
    ThreeChoices,
    // The baseline of bench/policy.
    Random,
};

struct ReplicaQuery
{
    // Absent for pool services, whose replicas hold no versions.
    std::optional<Snapshot> snapshot;
    Priority priority = Priority::Standard;
    // Replicas that this subrequest was sent to before; used again only if nothing else is left.
    std::vector<std::string> tried;
    // True: never a tried one.
    bool excludeTried = false;
    // Replicas that can't serve this query at all.
    std::vector<std::string> excluded;
    // Replicas that aren't homes are taken only if they are better by the cost of the way.
    bool usesPreferredReplicas = false;
    // Hedges prefer a data centre other than this.
    std::optional<std::string> avoidDataCentre;
    // False: no replica that is several times slower than the fastest, even if the faster ones have no free place.
    bool allowSlow = true;
    Selection selection = Selection::TwoChoices;
    // How long a replica counts as worse after a subrequest that was overdue and had no reply since.
    Duration overduePenaltyDuration{0};
};

// True if some replica is ready, holds the snapshot and isn't excluded, whether or not it has a free place now.
bool hasCandidate(const std::vector<Replica> &group, const ReplicaQuery &query);

// The chosen replica has one place taken; its health must be released when the subrequest ends. nullptr if every
// eligible replica is full, ejected beyond the limit, draining, or not ready.
const Replica *chooseReplica(const std::vector<Replica> &group,
                             const ServiceOptions &options,
                             const ReplicaQuery &query,
                             RandomSource &random,
                             TimePoint now);

} // namespace Galenawell
