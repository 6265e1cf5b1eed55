#include "galenawell/routing/preferredreplicas.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <set>

using namespace Galenawell;

namespace {

std::vector<Replica> replicasIn(const std::vector<std::string> &dataCentres)
{
    std::vector<Replica> replicas;
    for (const std::string &dataCentre : dataCentres) {
        Replica replica;
        replica.record.key.address = "10.0.0." + std::to_string(replicas.size()) + ":80";
        replica.record.dataCentre = dataCentre;
        replicas.push_back(replica);
    }
    return replicas;
}

std::set<std::string> preferredBy(std::vector<Replica> replicas, const FrontLocation &front)
{
    markPreferredReplicas(replicas, front);
    std::set<std::string> preferred;
    for (const Replica &replica : replicas) {
        if (replica.preferred) {
            preferred.insert(replica.record.key.address);
        }
    }
    return preferred;
}

} // namespace

// Guards against subrequests to another data centre although the front's own one has a replica.
Test(preferredreplicas, replicas_in_the_data_centre_of_the_front_are_preferred)
{
    cr_assert(preferredBy(replicasIn({"a", "b", "a"}), {.instance = "f", .dataCentre = "a"})
              == (std::set<std::string>{"10.0.0.0:80", "10.0.0.2:80"}));
}

// Guards against a front in a data centre without replicas using all of them, each on a new connection, and against all
// such fronts preferring the same one.
Test(preferredreplicas, fronts_in_other_data_centres_prefer_one_replica_each_evenly)
{
    const std::vector<Replica> replicas = replicasIn({"a", "b", "c"});
    std::map<std::string, int> frontsByReplica;
    for (int index = 0; index < 300; ++index) {
        const std::set<std::string> preferred = preferredBy(replicas, {.instance = "front-" + std::to_string(index), .dataCentre = "d"});
        cr_assert_eq(preferred.size(), 1);
        ++frontsByReplica[*preferred.begin()];
    }
    cr_assert_eq(frontsByReplica.size(), 3);
    for (const auto &[address, count] : frontsByReplica) {
        cr_assert(count > 70, "%d fronts prefer %s", count, address.c_str());
    }
}

// Guards against fronts dropping their connections when another replica is added or removed.
Test(preferredreplicas, a_preferred_replica_stays_preferred_when_another_is_removed)
{
    std::vector<Replica> replicas = replicasIn({"a", "b", "c"});
    const FrontLocation front{.instance = "front-7", .dataCentre = "d"};
    const std::string preferred = *preferredBy(replicas, front).begin();
    const auto other
        = std::ranges::find_if(replicas, [&preferred](const Replica &replica) { return replica.record.key.address != preferred; });
    replicas.erase(other);
    cr_assert(preferredBy(replicas, front).contains(preferred));
}
