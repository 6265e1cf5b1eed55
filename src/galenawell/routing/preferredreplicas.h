// Selects the replicas of a service that a front uses first. A front with a few preferred replicas needs few connections and
// uses each often enough to keep it open.
#pragma once

#include "galenawell/routing/routingtable.h"

#include <string>
#include <vector>

namespace Galenawell {

struct FrontLocation
{
    InstanceName instance;
    std::string dataCentre;
};

// Marks the replicas of the front's data centre. If there are none, marks as many as a data centre has on average by
// rendezvous hashing, which spreads the fronts over all replicas and changes few preferences when replicas come or go.
void markPreferredReplicas(std::vector<Replica> &replicas, const FrontLocation &front);

// Number of fronts per preferred replica, if every front has as many preferred replicas as this one.
std::size_t frontsPerPreferredReplica(const std::vector<Replica> &replicas, std::size_t fronts);

} // namespace Galenawell
