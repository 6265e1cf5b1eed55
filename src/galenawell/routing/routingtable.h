// The immutable table that requests are routed by. It is replaced as a whole through an RcuCell; successive tables share the
// health objects of the replicas.
#pragma once

#include "galenawell/configuration/configuration.h"
#include "galenawell/core/identifiers.h"
#include "galenawell/registry/backendregistry.h"
#include "galenawell/registry/partitionmap.h"
#include "galenawell/routing/replicahealth.h"
#include "galenawell/routing/requestallowance.h"
#include "galenawell/routing/serverconnections.h"

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Galenawell {

struct Replica
{
    BackendRecord record;
    std::shared_ptr<ReplicaHealth> health;
    // Null if servers of this installation state no limits.
    std::shared_ptr<RequestAllowance> allowance{};
    // Limit of this front's requests in flight, and so of its connections.
    std::uint32_t inFlightLimit = 1;
    // Used first, unless another replica is better by more than the penalty for the network distance.
    bool preferred = false;
    IdleConnectionPolicy idlePolicy{.minimumIdle = std::numeric_limits<std::size_t>::max(), .surplusIdleTimeout = std::chrono::hours(1)};
};

struct ServicePolicies;

struct ServiceTable
{
    ServiceOptions options;
    // Recorded maps, newest epoch first. Empty for pool services.
    std::vector<PartitionMap> maps;
    // Replicas by group name; a pool service has one group with an empty name.
    std::map<std::string, std::vector<Replica>> groups;
    // Latencies and budgets by group name, for groups that have their own instead of those of the service.
    std::map<std::string, std::shared_ptr<ServicePolicies>> groupPolicies;
    // Groups of a service without a recorded map: any replica of a group can answer for the whole group.
    std::optional<PartitionMap> fixedGroups;
};

struct RoutingTable
{
    // Revision of the control view that this table was built from.
    std::uint64_t revision = 0;
    std::string dataCentre;
    std::map<std::string, ServiceTable> services;

    const ServiceTable *findService(const std::string &name) const;
};

// In-flight limit of one front at a replica that accepts `limit` connections: limit / (live fronts + 1), at least 1. The
// extra share is for a front that joins.
std::uint32_t connectionShare(std::uint32_t limit, std::size_t liveFronts);

// Number of live fronts that connection shares are computed from. A larger number takes effect at once, a smaller one only
// after it was stable.
class LiveFrontCount
{
public:
    explicit LiveFrontCount(std::chrono::milliseconds requiredStability);

    std::size_t update(std::size_t observed, TimePoint now);

private:
    std::chrono::milliseconds stabilityPeriod;
    std::size_t effective = 1;
    std::size_t candidate = 1;
    TimePoint candidateSince;
};

} // namespace Galenawell
