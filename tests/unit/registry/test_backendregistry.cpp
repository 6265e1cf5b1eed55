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

// Guards against routing to a dead server.
Test(registry, a_lease_that_is_not_renewed_expires)
{
    BackendRegistry registry = registryOf("f1");
    cr_assert(registry.announce(server("a", 1), start).value());
    cr_assert(not registry.announce(server("a", 1, 2), start + milliseconds(1000)).value());
    cr_assert(not registry.expire(start + milliseconds(4000)));
    cr_assert(registry.expire(start + milliseconds(4001)));
    cr_assert(registry.visible().empty());
}

// Guards against a delayed announcement that reverts a drain or restores a stopped or expired server.
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

// Guards against an empty registry when the front rather than its servers was unreachable, and against a suspect state that
// never ends.
Test(registry, a_mass_expiry_keeps_the_set_until_most_leases_are_renewed)
{
    BackendRegistry registry = registryOf("f1");
    for (unsigned number = 0; number < 10; ++number) {
        cr_assert(registry.announce(server("a", number), start + milliseconds(number * 100)).has_value());
    }
    // The first expiries count as single failures and are restored once more than half of the leases are gone.
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

// Guards against peers that miss a change or apply an incremental update after a gap.
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

// Guards against peers that drop the servers of a restarted front before these have announced themselves elsewhere.
Test(registry, servers_of_a_restarted_origin_stay_until_its_earlier_run_expires)
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

// Guards against a partition map with a group without a ready server, or with groups of several epochs.
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

// Guards against a partition map with a gap or an overlap, for which coverage would be wrong.
Test(registry, ranges_with_a_gap_or_an_overlap_are_rejected)
{
    cr_assert(coversKeySpaceOnce({{"m", ""}, {"", "m"}}));
    cr_assert(not coversKeySpaceOnce({}));
    cr_assert(not coversKeySpaceOnce({{"", "m"}, {"n", ""}}));
    cr_assert(not coversKeySpaceOnce({{"", "n"}, {"m", ""}}));
    cr_assert(not coversKeySpaceOnce({{"", ""}, {"", ""}}));
    cr_assert(not coversKeySpaceOnce({{"", "m"}, {"m", ""}, {"m", ""}}));
    cr_assert(not coversKeySpaceOnce({{"", "m"}, {"m", "p"}}));
    const PartitionMap duplicateGroup{.service = "desk", .epoch = 1, .groups = {{"a", {"", "m"}}, {"a", {"m", ""}}}};
    cr_assert(duplicateGroup.check().has_error());
}

// Guards against an origin that restarts with its clock set back, and whose changes its peers ignore as those of an earlier
// run.
Test(registry, updates_of_an_origin_with_its_clock_set_back_apply_after_it_raises_its_incarnation)
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

namespace {

BackendRecord identifiedServer(unsigned number, BackendState state = BackendState::Ready, std::uint64_t sequence = 1)
{
    BackendRecord record = server("a", number, sequence, state);
    record.identity = "i-" + std::to_string(number);
    return record;
}

void replicate(const BackendRegistry &origin, const std::string &name, BackendRegistry &peer, TimePoint now)
{
    cr_assert(peer.applyUpdate(origin.updateSince(peer.appliedThrough(name, 1)), now));
}

} // namespace

// Guards against a restarted process that announces the servers of its recovery file as if they had just renewed their leases.
Test(registry, a_remembered_server_ends_after_one_lease_and_is_no_sign_of_a_mass_expiry)
{
    BackendRegistry registry = registryOf("c1");
    for (unsigned number = 0; number < 10; ++number) {
        registry.remember(identifiedServer(number), start);
    }
    cr_assert_eq(registry.visible().size(), 10U);
    cr_assert(registry.announce(identifiedServer(0, BackendState::Ready, 2), start + milliseconds(1000)).has_value());
    for (int time = 0; time <= 3001; time += 100) {
        registry.expire(start + milliseconds(time));
    }
    cr_assert_eq(registry.visible().size(), 10U);
    cr_assert(registry.expire(start + milliseconds(3001)));
    cr_assert(!registry.suspect());
    cr_assert_eq(registry.visible().size(), 1U);
}

// Guards against requests to a server that has left, which a process returns with that didn't hear of the leave.
Test(registry, older_knowledge_does_not_bring_back_a_server_that_has_left)
{
    BackendRegistry returning = registryOf("c1");
    returning.remember(identifiedServer(1), start);
    returning.remember(identifiedServer(2), start);
    BackendRegistry holder = registryOf("c2");
    cr_assert(holder.announce(identifiedServer(1, BackendState::Stopped, 9), start).has_value());
    BackendRegistry front = registryOf("f1");
    replicate(holder, "c2", front, start);
    // The holder drops the record after one lease, and the returning process is heard later.
    for (int time = 0; time <= 7000; time += 500) {
        holder.expire(start + milliseconds(time));
        replicate(holder, "c2", front, start + milliseconds(time));
        front.expire(start + milliseconds(time));
    }
    const TimePoint later = start + milliseconds(7000);
    replicate(returning, "c1", front, later);
    cr_assert(front.visible().size() == 1 && front.visible().front().identity == "i-2");
    cr_assert_eq(front.supersededRecords(), 1U);
    // A front that starts now learns it with the full update of the holder.
    BackendRegistry started = registryOf("f2");
    replicate(returning, "c1", started, later);
    replicate(holder, "c2", started, later);
    cr_assert(started.visible().size() == 1 && started.visible().front().identity == "i-2");
    // Its next run is another server.
    BackendRecord next = identifiedServer(1);
    next.incarnation = 2;
    cr_assert(holder.announce(next, later).has_value());
    replicate(holder, "c2", front, later);
    cr_assert_eq(front.visible().size(), 2U);
}

// Guards against a delayed announcement of a server that has left, at a process that learned of the leave from another.
Test(registry, a_late_announcement_of_a_server_that_has_left_is_refused_everywhere)
{
    BackendRegistry holder = registryOf("c1");
    BackendRegistry other = registryOf("c2");
    cr_assert(holder.announce(identifiedServer(1, BackendState::Draining, 5), start).has_value());
    replicate(holder, "c1", other, start);
    other.expire(start + milliseconds(3001));
    cr_assert(other.visible().empty());
    cr_assert(other.announce(identifiedServer(1, BackendState::Ready, 4), start + milliseconds(3002)).has_error());
    cr_assert(other.announce(identifiedServer(1, BackendState::Draining, 6), start + milliseconds(3002)).has_value());
}

// Guards against a process that was paused, takes all its servers for failed at once and keeps them for good.
Test(registry, leases_of_before_a_pause_end_after_one_more_lease)
{
    BackendRegistry registry = registryOf("c1");
    for (unsigned number = 0; number < 10; ++number) {
        cr_assert(registry.announce(identifiedServer(number), start).has_value());
    }
    registry.expire(start + milliseconds(100));
    const TimePoint resumed = start + milliseconds(20000);
    registry.expire(resumed);
    cr_assert(!registry.suspect());
    cr_assert_eq(registry.visible().size(), 10U);
    for (unsigned number = 0; number < 4; ++number) {
        cr_assert(registry.announce(identifiedServer(number, BackendState::Ready, 2), resumed + milliseconds(1000)).has_value());
    }
    for (int time = 100; time <= 3100; time += 100) {
        registry.expire(resumed + milliseconds(time));
    }
    cr_assert_eq(registry.visible().size(), 4U);
}

// Guards against a mass expiry that is seen although most servers announce themselves to another process.
Test(registry, servers_that_moved_to_another_origin_are_alive)
{
    BackendRegistry registry = registryOf("c1");
    BackendRegistry other = registryOf("c2");
    for (unsigned number = 0; number < 10; ++number) {
        cr_assert(registry.announce(identifiedServer(number), start).has_value());
    }
    for (unsigned number = 0; number < 7; ++number) {
        cr_assert(other.announce(identifiedServer(number, BackendState::Ready, 2), start + milliseconds(1000)).has_value());
    }
    for (int time = 0; time <= 8000; time += 100) {
        const TimePoint now = start + milliseconds(time);
        replicate(other, "c2", registry, now);
        registry.expire(now);
        cr_assert(!registry.suspect());
    }
    cr_assert_eq(registry.visible().size(), 7U);
}

// Guards against servers that are kept for good after all of them have really failed.
Test(registry, a_mass_expiry_ends_after_its_limit)
{
    BackendRegistry registry({.self = "c1", .incarnation = 1, .massExpiryLimit = std::chrono::seconds(60)});
    for (unsigned number = 0; number < 10; ++number) {
        cr_assert(registry.announce(identifiedServer(number), start).has_value());
    }
    for (int time = 0; time <= 60000; time += 500) {
        registry.expire(start + milliseconds(time));
        cr_assert_eq(registry.visible().size(), 10U);
    }
    for (int time = 60500; time <= 70000; time += 500) {
        registry.expire(start + milliseconds(time));
    }
    cr_assert(registry.visible().empty() && !registry.suspect());
}

// Guards against another writer whose entries fill the memory of a process, and against servers that lose their leases to it.
Test(registry, the_number_of_leases_is_bounded_and_known_servers_keep_theirs)
{
    BackendRegistry registry({.self = "c1", .incarnation = 1, .maximumLeases = 1000});
    cr_assert(registry.announce(identifiedServer(1), start).has_value());
    for (unsigned number = 2; number < 100'000; ++number) {
        const Result<bool> announced = registry.announce(identifiedServer(number), start);
        cr_assert(announced.has_value() == (number <= 1000));
        cr_assert(announced.has_value() || announced.error().kind == ErrorKind::RegistryFull);
    }
    cr_assert(registry.announce(identifiedServer(1, BackendState::Ready, 2), start + milliseconds(2000)).has_value());
    cr_assert(registry.announce(identifiedServer(200'000, BackendState::Stopped), start).has_value(), "a leave is never refused");
    cr_assert_leq(registry.visible().size(), 1000U);
}
