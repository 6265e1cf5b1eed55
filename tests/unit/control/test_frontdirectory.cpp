#include "galenawell/control/frontdirectory.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

FrontReport front(const std::string &name, const std::string &dataCentre, bool accepting = true)
{
    return {.instance = name, .incarnation = 1, .callerAddress = name + ":80", .dataCentre = dataCentre, .accepting = accepting};
}

} // namespace

// Guards against callers being sent to another data centre while their own has several accepting fronts.
Test(frontdirectory, fronts_of_the_callers_data_centre_are_preferred)
{
    FrontDirectory directory({});
    directory.report(front("a1", "a"), start);
    directory.report(front("a2", "a"), start);
    directory.report(front("b1", "b"), start);
    cr_assert(directory.entryAddresses("a", start) == (std::vector<std::string>{"a1:80", "a2:80"}));
    // A single front would leave its callers no alternative if it fails.
    cr_assert(directory.entryAddresses("b", start).size() == 3);
    cr_assert(directory.entryAddresses("elsewhere", start).size() == 3);
}

// Guards against callers being sent to fronts that are stopping, have crashed or have no configuration yet.
Test(frontdirectory, only_accepting_fronts_with_a_recent_report_are_listed)
{
    FrontDirectory directory({});
    directory.report(front("a1", "a"), start);
    directory.report(front("a2", "a"), start);
    cr_assert(directory.report(front("a2", "a", false), start + 1s));
    directory.report(front("a3", "a"), start + 1s);
    cr_assert(directory.entryAddresses("a", start + 1s) == (std::vector<std::string>{"a1:80", "a3:80"}));
    cr_assert(directory.entryAddresses("a", start + 2s) == (std::vector<std::string>{"a3:80"}));
    cr_assert(!directory.hasRecentReport(start + 10s));
}

// Guards against a report that was in flight while the front restarted.
Test(frontdirectory, a_report_of_an_older_incarnation_is_ignored)
{
    FrontDirectory directory({});
    FrontReport later = front("a1", "a");
    later.incarnation = 2;
    directory.report(later, start);
    cr_assert(!directory.report(front("a1", "a", false), start));
    cr_assert(directory.entryAddresses("a", start).size() == 1);
    // Lets a front that restarted with its clock set back choose a higher incarnation.
    cr_assert_eq(directory.newestIncarnation("a1"), 2);
}

// Guards against dividing limits by zero fronts or by fronts that are gone.
Test(frontdirectory, silent_fronts_count_until_a_timeout_and_the_count_is_at_least_one)
{
    FrontDirectory directory({});
    cr_assert(directory.liveCount(start) == 1);
    directory.report(front("a1", "a", false), start);
    directory.report(front("a2", "a"), start);
    cr_assert(directory.liveCount(start + 3s) == 2);
    cr_assert(directory.liveCount(start + 5s) == 1);
    directory.expire(start + 1min);
    cr_assert(directory.entryAddresses("a", start).empty());
}

namespace {

// A control process and the fronts of two data centres.
struct Fleet
{
    explicit Fleet(std::size_t fronts)
    {
        for (std::size_t index = 0; index < fronts; ++index) {
            this->reports.push_back(front("a" + std::to_string(index), "a"));
            this->reports.push_back(front("b" + std::to_string(index), "b"));
        }
    }

    // All fronts report several times a second.
    void run(FrontDirectory &directory, TimePoint from, Duration duration) const
    {
        for (TimePoint now = from; now < from + duration; now += 250ms) {
            for (const FrontReport &report : this->reports) {
                directory.report(report, now);
            }
            directory.updateEntries(now);
        }
    }

    void setLoopDelay(std::chrono::microseconds delay)
    {
        for (FrontReport &report : this->reports) {
            report.loopDelay = delay;
        }
    }

    std::vector<FrontReport> reports;
};

} // namespace

// Guards against requests spread over so many fronts that none of them learns the state of a server or keeps connections.
Test(frontdirectory, callers_of_a_large_fleet_get_few_fronts_the_same_from_every_control_process)
{
    const Fleet fleet(40);
    FrontDirectory first({.startedAt = start});
    FrontDirectory second({.startedAt = start});
    fleet.run(first, start, 12s);
    fleet.run(second, start + 100ms, 12s);
    const TimePoint now = start + 12s;
    cr_assert_eq(first.entryAddresses("a", now).size(), 10);
    cr_assert(first.entryAddresses("a", now) == second.entryAddresses("a", now));
    cr_assert_eq(first.entryCount(now).value(), 20);
    const auto entries = std::ranges::count_if(fleet.reports, [&](const FrontReport &report) { return first.isEntry(report.instance); });
    cr_assert_eq(entries, 20);
}

// Guards against small installations that lose entries.
Test(frontdirectory, all_fronts_of_a_small_data_centre_are_entries)
{
    const Fleet fleet(8);
    FrontDirectory directory({.startedAt = start});
    fleet.run(directory, start, 1s);
    cr_assert_eq(directory.entryAddresses("a", start + 1s).size(), 8);
}

// Guards against callers without a front after all have started, because the last update saw none of them accepting.
Test(frontdirectory, fronts_that_begin_to_accept_are_listed_before_the_next_update)
{
    FrontDirectory directory({.startedAt = start});
    directory.report(front("a1", "a", false), start);
    directory.report(front("b1", "b", false), start);
    directory.updateEntries(start);
    directory.report(front("a1", "a"), start + 10ms);
    directory.report(front("b1", "b"), start + 10ms);
    cr_assert_eq(directory.entryAddresses("a", start + 10ms).size(), 2);
}

// Guards against callers that wait for the processors of a few fronts while most have nothing to do, and against a set that
// swings with the load.
Test(frontdirectory, the_entries_grow_while_they_are_busy_and_shrink_slowly)
{
    Fleet fleet(40);
    FrontDirectory directory({.startedAt = start});
    fleet.run(directory, start, 5s);
    fleet.setLoopDelay(12ms);
    fleet.run(directory, start + 5s, 1750ms);
    cr_assert_eq(directory.entryAddresses("a", start + 6750ms).size(), 15);
    fleet.run(directory, start + 6750ms, 10750ms);
    cr_assert_eq(directory.entryAddresses("a", start + 17500ms).size(), 40);
    fleet.setLoopDelay(0ms);
    fleet.run(directory, start + 17500ms, 5s);
    // A quarter of the surplus at a time.
    cr_assert_eq(directory.entryAddresses("a", start + 22500ms).size(), 32);
    fleet.run(directory, start + 22500ms, 5min);
    cr_assert_eq(directory.entryAddresses("a", start + 322500ms).size(), 10);
}

// Guards against callers without a front after most fronts are killed at once, and against limits divided among too few
// fronts while the set changes.
Test(frontdirectory, standby_fronts_replace_entries_that_are_killed_or_drained)
{
    Fleet fleet(40);
    FrontDirectory directory({.startedAt = start});
    fleet.run(directory, start, 15s);
    const TimePoint killed = start + 15s;
    const std::vector<std::string> before = directory.entryAddresses("a", killed);
    std::erase_if(fleet.reports,
                  [&](const FrontReport &report) { return std::ranges::find(before, report.callerAddress) != before.end(); });
    fleet.run(directory, killed, 1750ms);
    const std::vector<std::string> after = directory.entryAddresses("a", killed + 1750ms);
    cr_assert_geq(after.size(), 8);
    cr_assert(std::ranges::none_of(after, [&](const std::string &address) { return std::ranges::find(before, address) != before.end(); }));
    // The former entries may still have callers.
    cr_assert_geq(directory.entryCount(killed + 1750ms).value(), 28);
    std::ranges::find(fleet.reports, after.front(), &FrontReport::callerAddress)->accepting = false;
    fleet.run(directory, killed + 1750ms, 250ms);
    const std::vector<std::string> drained = directory.entryAddresses("a", killed + 2s);
    cr_assert_eq(drained.size(), after.size());
    cr_assert(std::ranges::find(drained, after.front()) == drained.end());
}

// Guards against limits divided among the few fronts that a restarted control process has heard of.
Test(frontdirectory, the_number_of_entries_is_unknown_until_all_fronts_have_had_time_to_report)
{
    const Fleet fleet(40);
    FrontDirectory directory({.startedAt = start});
    fleet.run(directory, start, 9s);
    cr_assert(!directory.entryCount(start + 9s).has_value());
    cr_assert(directory.entryCount(start + 10s).has_value());
}
