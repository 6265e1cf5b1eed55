// Which replicas of a service a front uses first. With a few homes instead of all replicas it keeps few connections, and uses
// them often enough to keep them open.
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

// Marks the replicas of the front's data centre. Where there are none, as many as other data centres have, chosen so that
// the fronts spread over all of them and keep theirs when others come or go.
void markPreferredReplicas(std::vector<Replica> &replicas, const FrontLocation &front);

// Fronts that have one replica as a home, if all fronts have as many homes as this one.
std::size_t frontsPerPreferredReplica(const std::vector<Replica> &replicas, std::size_t fronts);

} // namespace Galenawell
