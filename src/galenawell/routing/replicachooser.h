// Chooses a replica of one group for one subrequest by the power of two random choices.
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
    // In a group of up to three replicas this is the best of all.
    ThreeChoices,
    // Baseline for the comparison in bench/policy.
    Random,
};

struct ReplicaQuery
{
    // Empty for pool services, whose replicas hold no versions.
    std::optional<Snapshot> snapshot;
    Priority priority = Priority::Standard;
    // Replicas that earlier attempts were sent to; used again only if no other one is left.
    std::vector<std::string> triedAddresses;
    // Tried replicas are never used again.
    bool excludeTried = false;
    // Replicas that can't serve this query.
    std::vector<std::string> excluded;
    // Replicas that aren't preferred get a score penalty for the network distance.
    bool usesPreferredReplicas = false;
    // For hedges: replicas of this data centre are used only if no other untried one is left.
    std::optional<std::string> avoidDataCentre;
    // If false, a replica several times slower than the fastest isn't used, even if the faster ones are at their limit.
    bool allowSlow = true;
    Selection selection = Selection::TwoChoices;
    // Replicas that asked for a pause beyond this time count as unable to serve the query.
    TimePoint latestPauseEnd = TimePoint::max();
    // The subrequest is a hedge or a retry; a limited server gets one only if it has room for more.
    bool isExtra = false;
    // The query was counted as a need of limited servers before.
    bool isRepeated = false;
    // Time for which a replica has a score penalty after an overdue subrequest, unless it replies.
    Duration overduePenaltyDuration{0};
};

// Earliest time after `now` at which a replica that only pauses can be used again; absent if none pauses.
std::optional<TimePoint> earliestPauseEnd(const std::vector<Replica> &group, const ReplicaQuery &query, TimePoint now);

// True if some replica is ready, holds the snapshot and isn't excluded, even if it is at its in-flight limit.
bool hasCandidate(const std::vector<Replica> &group, const ReplicaQuery &query);

// True if some such replica has no limit of its own, or this front may send it a request now.
bool hasRoom(const std::vector<Replica> &group, const ReplicaQuery &query, TimePoint now);

// When one of the replicas that lack room probably has room again; absent if none lacks it.
std::optional<TimePoint> expectedRoom(const std::vector<Replica> &group, const ReplicaQuery &query, TimePoint now);

// Acquires an in-flight slot of the chosen replica, and a request of its limit; the caller must release the slot when the
// subrequest ends. Returns nullptr if every replica is ineligible, ejected, in backoff or at its limit.
const Replica *chooseReplica(const std::vector<Replica> &group,
                             const ServiceOptions &options,
                             const ReplicaQuery &query,
                             RandomSource &random,
                             TimePoint now);

// Releases what chooseReplica() acquired, for a subrequest that isn't sent.
void releaseUnsent(const Replica &replica, Priority priority);

} // namespace Galenawell
