#include "galenawell/control/frontdirectory.h"

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
