#include "galenawell/query/snapshotchooser.h"

#include <algorithm>
#include <vector>

namespace Galenawell {

namespace {

struct VersionCount
{
    std::uint64_t version = 0;
    std::size_t groups = 0;
    // Index of the last group counted, so that two replicas of one group count once.
    std::size_t lastGroup = 0;
};

void countVersion(std::vector<VersionCount> &counts, std::uint64_t version, std::size_t group)
{
    // Replicas hold two or three versions, so a linear search is fastest.
    for (VersionCount &count : counts) {
        if (count.version != version) {
            continue;
        }
        if (count.lastGroup != group) {
            count.lastGroup = group;
            ++count.groups;
        }
        return;
    }
    counts.push_back({.version = version, .groups = 1, .lastGroup = group});
}

std::vector<VersionCount> countReadyGroups(const ServiceTable &service, const PartitionMap &map)
{
    std::vector<VersionCount> counts;
    for (std::size_t index = 0; index < map.groups.size(); ++index) {
        const auto found = service.groups.find(map.groups[index].name);
        if (found == service.groups.end()) {
            continue;
        }
        for (const Replica &replica : found->second) {
            if (replica.record.state != BackendState::Ready || replica.record.epoch != map.epoch) {
                continue;
            }
            for (const std::uint64_t version : replica.record.versions) {
                countVersion(counts, version, index);
            }
        }
    }
    return counts;
}

// Orders by completeness, then by the number of ready groups, then by age; newer is better.
bool better(const ChosenSnapshot &left, const ChosenSnapshot &right)
{
    const bool leftComplete = left.readyGroups == left.map->groups.size();
    const bool rightComplete = right.readyGroups == right.map->groups.size();
    if (leftComplete != rightComplete) {
        return leftComplete;
    }
    if (!leftComplete && left.readyGroups != right.readyGroups) {
        return left.readyGroups > right.readyGroups;
    }
    return left.snapshot > right.snapshot;
}

} // namespace

std::optional<ChosenSnapshot> chooseSnapshot(const ServiceTable &service)
{
    std::optional<ChosenSnapshot> best;
    for (const PartitionMap &map : service.maps) {
        if (map.groups.empty()) {
            continue;
        }
        if (!best) {
            // Result if no group has a ready replica.
            best = ChosenSnapshot{.snapshot = {.epoch = map.epoch, .version = 0}, .map = &map, .readyGroups = 0};
        }
        for (const VersionCount &count : countReadyGroups(service, map)) {
            const ChosenSnapshot candidate{
                .snapshot = {.epoch = map.epoch, .version = count.version},
                .map = &map,
                .readyGroups = count.groups,
            };
            if (better(candidate, *best)) {
                best = candidate;
            }
        }
    }
    return best;
}

} // namespace Galenawell
