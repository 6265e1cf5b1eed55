#include "galenawell/front/entrydirectory.h"

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

EntryDirectory threeEntries()
{
    return EntryDirectory({{.instance = "a", .dataCentre = "east", .address = "127.0.0.1:1"},
                           {.instance = "b", .dataCentre = "west", .address = "127.0.0.1:2"},
                           {.instance = "c", .dataCentre = "west", .address = "127.0.0.1:3"}},
                          3s);
}

const EntryState usableState{.confirmed = true, .lastContact = start};

} // namespace

// Guards against directing callers to an entry that is draining, unconfirmed, silent or without any heartbeat yet.
Test(entry_directory, only_usable_entries_are_listed)
{
    EntryDirectory directory = threeEntries();
    cr_assert(directory.usable("east", start).empty());
    directory.update("a", {.draining = true, .confirmed = true, .lastContact = start});
    directory.update("b", {.confirmed = false, .lastContact = start});
    directory.update("c", usableState);
    directory.update("unconfigured", usableState);
    cr_assert_eq(directory.usable("east", start + 3s).size(), 1);
    cr_assert_eq(directory.usable("east", start + 3s).front().instance, "c");
    cr_assert(directory.usable("east", start + 3s + 1ms).empty());
}

// Guards against a count of live fronts that includes silent or unconfigured ones, or excludes draining ones.
Test(entry_directory, configured_fronts_with_a_recent_heartbeat_are_live)
{
    EntryDirectory directory = threeEntries();
    directory.update("a", {.draining = true, .lastContact = start});
    directory.update("b", {.lastContact = start - 10s});
    directory.update("unconfigured", usableState);
    cr_assert_eq(directory.aliveCount(start), 1);
}

// Guards against directing callers to another data centre although an entry in their own is usable.
Test(entry_directory, entries_of_the_callers_data_centre_come_first_with_more_weight)
{
    EntryDirectory directory = threeEntries();
    for (const Entry &entry : directory.configured()) {
        directory.update(entry.instance, usableState);
    }
    const std::vector<Entry> west = directory.usable("west", start);
    cr_assert_eq(west.size(), 3);
    cr_assert_eq(west[0].instance, "b");
    cr_assert_eq(west[2].instance, "a");
    cr_assert_gt(west[1].weight, west[2].weight);
    const nlohmann::json document = toJson(west, 10s);
    cr_assert_eq(document.at("keepMs").get<int>(), 10'000);
    cr_assert_eq(document.at("entries").at(0).at("address").get<std::string>(), "127.0.0.1:2");
}
