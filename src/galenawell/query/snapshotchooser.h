// Chooses the snapshot that a query reads in all groups.
#pragma once

#include "galenawell/routing/routingtable.h"

#include <optional>

namespace Galenawell {

struct ChosenSnapshot
{
    Snapshot snapshot;
    // The recorded map of the snapshot's epoch; points into the service table.
    const PartitionMap *map = nullptr;
    // Groups with a ready replica at the snapshot.
    std::size_t readyGroups = 0;
};

// The newest (epoch, version) at which every group of the recorded map has a ready replica. If there is none, the one
// with the most ready groups, and the newest of these. nullopt if the service has no recorded map.
std::optional<ChosenSnapshot> chooseSnapshot(const ServiceTable &service);

} // namespace Galenawell
