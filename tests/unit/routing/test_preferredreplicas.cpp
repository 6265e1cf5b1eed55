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

std::set<std::string> homesOf(std::vector<Replica> replicas, const FrontLocation &front)
{
    markPreferredReplicas(replicas, front);
    std::set<std::string> homes;
    for (const Replica &replica : replicas) {
        if (replica.preferred) {
            homes.insert(replica.record.key.address);
        }
    }
    return homes;
}

} // namespace

// Guards against work going to another data centre while the own one has a replica.
Test(homereplicas, replicas_of_the_own_data_centre_are_the_homes)
{
    cr_assert(homesOf(replicasIn({"a", "b", "a"}), {.instance = "f", .dataCentre = "a"})
              == (std::set<std::string>{"10.0.0.0:80", "10.0.0.2:80"}));
}

// Guards against a front of a data centre without replicas that spreads over all of them, on a new connection each time,
// and against all such fronts choosing the same.
Test(homereplicas, fronts_of_other_data_centres_spread_over_one_home_each)
{
    const std::vector<Replica> replicas = replicasIn({"a", "b", "c"});
    std::map<std::string, int> uses;
    for (int index = 0; index < 300; ++index) {
        const std::set<std::string> homes = homesOf(replicas, {.instance = "front-" + std::to_string(index), .dataCentre = "d"});
        cr_assert_eq(homes.size(), 1);
        ++uses[*homes.begin()];
    }
    cr_assert_eq(uses.size(), 3);
    for (const auto &[address, count] : uses) {
        cr_assert(count > 70, "%s is the home of %d fronts", address.c_str(), count);
    }
}

// Guards against fronts giving up their connections when another replica comes or goes.
Test(homereplicas, a_home_stays_one_when_other_replicas_leave)
{
    std::vector<Replica> replicas = replicasIn({"a", "b", "c"});
    const FrontLocation front{.instance = "front-7", .dataCentre = "d"};
    const std::string home = *homesOf(replicas, front).begin();
    const auto other = std::ranges::find_if(replicas, [&home](const Replica &replica) { return replica.record.key.address != home; });
    replicas.erase(other);
    cr_assert(homesOf(replicas, front).contains(home));
}
