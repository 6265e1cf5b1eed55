#include "galenawell/routing/preferredreplicas.h"

#include <algorithm>
#include <set>
#include <utility>
#include <xxhash.h>

namespace Galenawell {

namespace {

// A front's preference for a replica: the same in each table, and independent of the other replicas.
std::uint64_t preference(const FrontLocation &front, const Replica &replica)
{
    const std::string pair = front.instance + "\n" + replica.record.key.address;
    return XXH3_64bits(pair.data(), pair.size());
}

std::size_t homesOf(const std::vector<Replica> &replicas)
{
    return static_cast<std::size_t>(std::ranges::count_if(replicas, &Replica::preferred));
}

} // namespace

void markPreferredReplicas(std::vector<Replica> &replicas, const FrontLocation &front)
{
    std::set<std::string> dataCentres;
    for (Replica &replica : replicas) {
        replica.preferred = replica.record.dataCentre == front.dataCentre;
        dataCentres.insert(replica.record.dataCentre);
    }
    if (replicas.empty() || dataCentres.contains(front.dataCentre)) {
        return;
    }
    std::vector<std::pair<std::uint64_t, Replica *>> preferred;
    preferred.reserve(replicas.size());
    for (Replica &replica : replicas) {
        preferred.emplace_back(preference(front, replica), &replica);
    }
    const std::size_t homes = (replicas.size() + dataCentres.size() - 1) / dataCentres.size();
    std::ranges::partial_sort(preferred, preferred.begin() + static_cast<std::ptrdiff_t>(homes), std::greater<>());
    for (std::size_t index = 0; index < homes; ++index) {
        preferred[index].second->preferred = true;
    }
}

std::size_t frontsPerPreferredReplica(const std::vector<Replica> &replicas, std::size_t fronts)
{
    const std::size_t count = std::max<std::size_t>(replicas.size(), 1);
    return std::max<std::size_t>(1, (fronts * homesOf(replicas) + count - 1) / count);
}

} // namespace Galenawell
