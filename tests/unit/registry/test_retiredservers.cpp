#include "galenawell/registry/backendregistry.h"
#include "galenawell/registry/retiredservers.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

BackendRecord server(const std::string &identity, Incarnation incarnation, BackendState state)
{
    BackendRecord record;
    record.key = {.service = "desk", .group = "", .address = "127.0.0.1:1"};
    record.identity = identity;
    record.incarnation = incarnation;
    record.state = state;
    return record;
}

bool isRetired(const RetiredServers &retired, const std::string &identity, Incarnation incarnation)
{
    return retired.latestStateOf(server(identity, incarnation, BackendState::Ready)) == BackendState::Stopped;
}

} // namespace

// Guards against using a retired server again because its announcements continue for a while.
Test(retiredservers, a_retired_incarnation_stays_retired_and_a_later_one_does_not)
{
    RetiredServers retired({.retention = 60s});
    retired.note(server("i-1", 100, BackendState::Stopped), start);
    retired.expire(start + 59s);
    cr_assert(isRetired(retired, "i-1", 100));
    cr_assert(isRetired(retired, "i-1", 99));
    cr_assert(!isRetired(retired, "i-1", 101));
    cr_assert(!isRetired(retired, "i-2", 100));
    retired.expire(start + 60s);
    cr_assert(!isRetired(retired, "i-1", 100));
    cr_assert(!isRetired(retired, "i-1", 1));
}

// Guards against a late announcement that makes a draining server ready again.
Test(retiredservers, a_draining_server_only_goes_on_to_stopped)
{
    RetiredServers retired;
    retired.note(server("i-1", 5, BackendState::Ready), start);
    cr_assert(!retired.supersedes(server("i-1", 5, BackendState::Ready)));
    retired.note(server("i-1", 5, BackendState::Draining), start);
    cr_assert(retired.latestStateOf(server("i-1", 5, BackendState::Ready)) == BackendState::Draining);
    cr_assert(!retired.supersedes(server("i-1", 5, BackendState::Draining))
              && !retired.supersedes(server("i-1", 5, BackendState::Stopped)));
    retired.note(server("i-1", 5, BackendState::Stopped), start);
    retired.note(server("i-1", 5, BackendState::Draining), start);
    cr_assert(retired.supersedes(server("i-1", 5, BackendState::Draining)));
}

// Guards against an entry of another writer, under the identity of a server in use, that retires this server.
Test(retiredservers, a_record_of_another_service_or_address_retires_nobody_else)
{
    RetiredServers retired;
    BackendRecord stray = server("i-1", 1'000'000, BackendState::Stopped);
    stray.key.service = "unknown";
    retired.note(stray, start);
    cr_assert(!retired.supersedes(server("i-1", 5, BackendState::Ready)));
}

// Guards against entries that processes pass to each other in circles, so that they never end, and against unbounded memory.
Test(retiredservers, entries_passed_on_keep_their_end_and_are_bounded)
{
    RetiredServers first({.retention = 60s, .maximumEntries = 100});
    RetiredServers second({.retention = 60s, .maximumEntries = 100});
    first.note(server("i-1", 5, BackendState::Stopped), start);
    for (auto age = 0s; age < 120s; age += 1s) {
        for (const RetiredServer &entry : first.all(start + age)) {
            second.add(entry, start + age);
        }
        for (const RetiredServer &entry : second.all(start + age)) {
            first.add(entry, start + age);
        }
        first.expire(start + age);
        second.expire(start + age);
        cr_assert(first.all(start + age).size() == (age < 60s ? 1U : 0U));
    }
    for (unsigned index = 0; index < 1000; ++index) {
        first.note(server("i-" + std::to_string(index), 5, BackendState::Stopped), start + std::chrono::milliseconds(index));
    }
    cr_assert(first.all(start + 1s).size() == 100 && isRetired(first, "i-999", 5));
}

// Guards against a leave that ends the earlier run of a server, at another address, in place of the one that leaves.
Test(retiredservers, a_leave_concerns_the_latest_run_of_an_identity)
{
    BackendRecord earlier = server("i-1", 5, BackendState::Ready);
    BackendRecord later = server("i-1", 6, BackendState::Ready);
    later.key.address = "127.0.0.1:2";
    cr_assert(latestRunOf("i-1", {earlier, later})->key.address == "127.0.0.1:2");
    cr_assert(latestRunOf("i-1", {later, earlier})->key.address == "127.0.0.1:2");
    cr_assert(!latestRunOf("i-2", {earlier, later}).has_value());
}
