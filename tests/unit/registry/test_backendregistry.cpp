#include "galenawell/registry/backendregistry.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using std::chrono::milliseconds;

namespace {

const TimePoint start{std::chrono::hours(1)};

BackendRecord server(const std::string &group, unsigned number, std::uint64_t sequence = 1, BackendState state = BackendState::Ready)
{
    BackendRecord record;
    record.key = {.service = "desk", .group = group, .address = "127.0.0.1:" + std::to_string(number)};
    record.incarnation = 1;
    record.sequence = sequence;
    record.state = state;
    record.epoch = 1;
    record.range = group == "a" ? KeyRange{"", "m"} : KeyRange{"m", ""};
    return record;
}

BackendRegistry registryOf(const std::string &name, std::size_t changeLogCapacity = 4096)
{
    return BackendRegistry({.self = name, .incarnation = 1, .changeLogCapacity = changeLogCapacity});
}

} // namespace

// Guards against a server that stays routable after it died.
Test(registry, a_lease_that_is_not_renewed_expires)
{
    BackendRegistry registry = registryOf("f1");
    cr_assert(registry.announce(server("a", 1), start).value());
    cr_assert(not registry.announce(server("a", 1, 2), start + milliseconds(1000)).value());
    cr_assert(not registry.expire(start + milliseconds(4000)));
    cr_assert(registry.expire(start + milliseconds(4001)));
    cr_assert(registry.visible().empty());
}

// Guards against a delayed announcement that undoes a drain, or brings back a server that stopped or expired.
Test(registry, an_outdated_announcement_is_refused)
{
    BackendRegistry registry = registryOf("f1");
    cr_assert(registry.announce(server("a", 1, 5, BackendState::Draining), start).has_value());
    cr_assert(registry.announce(server("a", 1, 4), start).has_error());
    cr_assert(registry.announce(server("a", 1, 5), start).has_error());
    cr_assert(not registry.announce(server("a", 1, 5, BackendState::Draining), start).value());
    cr_assert(registry.announce(server("a", 1, 6, BackendState::Stopped), start).value());
    cr_assert(registry.visible().empty());
    registry.expire(start + milliseconds(3001));
    cr_assert(registry.announce(server("a", 2, 5), start).has_value());
    registry.expire(start + milliseconds(6002));
    cr_assert(registry.announce(server("a", 2, 4), start + milliseconds(6003)).has_error());
}

// Guards against an empty set when this front, not its servers, was unreachable; and against a suspicion that never ends.
Test(registry, a_mass_lapse_keeps_the_set_until_most_leases_are_renewed)
{
    BackendRegistry registry = registryOf("f1");
    for (unsigned number = 0; number < 10; ++number) {
        cr_assert(registry.announce(server("a", number), start + milliseconds(number * 100)).has_value());
    }
    // The first lapses look like ordinary failures and are put back once more than half are gone.
    for (unsigned step = 0; step <= 20; ++step) {
        registry.expire(start + milliseconds(3001 + step * 100));
    }
    cr_assert(registry.suspect());
    cr_assert_eq(registry.visible().size(), 10U);
    const TimePoint later = start + milliseconds(20000);
    for (unsigned number = 0; number < 6; ++number) {
        cr_assert(registry.announce(server("a", number, 2), later).has_value());
    }
    cr_assert(not registry.expire(later));
    cr_assert(not registry.suspect());
    for (unsigned number = 0; number < 6; ++number) {
        cr_assert(registry.announce(server("a", number, 3), later + milliseconds(2000)).has_value());
    }
    cr_assert(registry.expire(later + milliseconds(3001)));
    cr_assert_eq(registry.visible().size(), 6U);
}

// Guards against peers that miss a change, or apply an incremental update over a gap.
Test(registry, a_gap_is_found_and_a_lagging_peer_gets_the_full_set)
{
    BackendRegistry origin = registryOf("f1", 4);
    BackendRegistry peer = registryOf("f2");
    for (unsigned number = 0; number < 3; ++number) {
        cr_assert(origin.announce(server("a", number), start).has_value());
    }
    RegistryUpdate late = origin.updateSince(2);
    cr_assert(not late.full);
    cr_assert(not peer.applyUpdate(late, start));
    cr_assert(peer.applyUpdate(origin.updateSince(peer.appliedThrough("f1", 1)), start));
    cr_assert_eq(peer.visible().size(), 3U);
    for (unsigned number = 3; number < 9; ++number) {
        cr_assert(origin.announce(server("a", number), start).has_value());
    }
    cr_assert(origin.updateSince(3).full);
    cr_assert(not origin.updateSince(6).full);
    cr_assert(peer.applyUpdate(origin.updateSince(3), start));
    cr_assert_eq(peer.visible().size(), 9U);
}

// Guards against a restarted front that makes the others forget its servers before these have announced elsewhere.
Test(registry, servers_of_a_restarted_holder_stay_until_its_earlier_run_is_silent_for_a_lease)
{
    BackendRegistry origin = registryOf("f1");
    BackendRegistry peer = registryOf("f2");
    cr_assert(origin.announce(server("a", 1), start).has_value());
    cr_assert(peer.applyUpdate(origin.updateSince(0), start));
    peer.renewOrigin("f1", 2, start + milliseconds(500));
    peer.renewOrigin("f1", 1, start + milliseconds(2900));
    cr_assert_eq(peer.visible().size(), 1U);
    cr_assert(peer.expire(start + milliseconds(3001)), "a delayed message of the earlier run must not renew it");
    cr_assert(peer.visible().empty());
}

// Guards against a map that is proposed before each group can be read, or that mixes epochs.
Test(registry, a_map_is_complete_when_each_range_has_a_ready_server)
{
    BackendRegistry registry = registryOf("f1");
    cr_assert(registry.announce(server("a", 1), start).has_value());
    cr_assert(registry.announce(server("b", 2, 1, BackendState::Starting), start).has_value());
    cr_assert(not registry.completeMap("desk").has_value());
    cr_assert(registry.announce(server("b", 2, 2), start).has_value());
    BackendRecord next = server("a", 3);
    next.epoch = 2;
    cr_assert(registry.announce(next, start).has_value());
    const std::optional<PartitionMap> map = registry.completeMap("desk");
    cr_assert(map.has_value());
    cr_assert_eq(map->epoch, 1U);
    cr_assert_eq(map->groups.size(), 2U);
}

// Guards against a recorded map with a hole or an overlap, under which coverage would be wrong.
Test(registry, ranges_tile_only_without_gap_and_overlap)
{
    cr_assert(rangesTile({{"m", ""}, {"", "m"}}));
    cr_assert(not rangesTile({}));
    cr_assert(not rangesTile({{"", "m"}, {"n", ""}}));
    cr_assert(not rangesTile({{"", "n"}, {"m", ""}}));
    cr_assert(not rangesTile({{"", ""}, {"", ""}}));
    cr_assert(not rangesTile({{"", "m"}, {"m", ""}, {"m", ""}}));
    cr_assert(not rangesTile({{"", "m"}, {"m", "p"}}));
    const PartitionMap twice{.service = "desk", .epoch = 1, .groups = {{"a", {"", "m"}}, {"a", {"m", ""}}}};
    cr_assert(twice.check().has_error());
}

// Guards against a origin that restarts while its clock is behind, and whose changes all others ignore as those of an
// earlier run.
Test(registry, a_holder_with_a_clock_set_back_is_followed_once_it_outruns_what_is_known)
{
    BackendRegistry before({.self = "f1", .incarnation = 900});
    cr_assert(before.announce(server("a", 1), start).value());
    BackendRegistry peer = registryOf("f2");
    cr_assert(peer.applyUpdate(before.updateSince(0), start));

    BackendRegistry restarted({.self = "f1", .incarnation = 400});
    cr_assert(restarted.announce(server("a", 1, 2, BackendState::Draining), start).value());
    cr_assert(peer.applyUpdate(restarted.updateSince(0), start));
    cr_assert(peer.visible().front().state == BackendState::Ready);

    cr_assert(restarted.raiseIncarnationAbove(peer.replicationPosition("f1").first));
    cr_assert(not restarted.raiseIncarnationAbove(peer.replicationPosition("f1").first));
    cr_assert(peer.applyUpdate(restarted.updateSince(0), start));
    cr_assert(peer.visible().front().state == BackendState::Draining);
}
