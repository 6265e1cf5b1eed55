// The immutable picture of replicas that requests route by. Replaced as a whole through an RcuCell; the health objects
// live on from one table to the next.
#pragma once

#include "galenawell/configuration/configuration.h"
#include "galenawell/core/identifiers.h"
#include "galenawell/registry/backendregistry.h"
#include "galenawell/registry/partitionmap.h"
#include "galenawell/routing/replicahealth.h"
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
    // Places of this front on the replica: connections and requests in flight.
    std::uint32_t inFlightLimit = 1;
    // Used first while the other replicas are no better by the cost of the way.
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
    // Latencies and budgets by group name, where groups don't share those of the service.
    std::map<std::string, std::shared_ptr<ServicePolicies>> groupPolicies;
    // Groups of a query that has no recorded map: each is answered whole by any of its replicas.
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

// Places of one front on a replica with `limit` places: limit / (live fronts + 1), at least 1, so that a front that
// joins finds room.
std::uint32_t connectionShare(std::uint32_t limit, std::size_t liveFronts);

// Number of live fronts to compute shares by: a larger number counts at once, a smaller one only after it was stable.
class LiveFrontCount
{
public:
    explicit LiveFrontCount(std::chrono::milliseconds stableTime);

    std::size_t update(std::size_t observed, TimePoint now);

private:
    std::chrono::milliseconds stableFor;
    std::size_t effective = 1;
    std::size_t candidate = 1;
    TimePoint candidateSince;
};

} // namespace Galenawell
