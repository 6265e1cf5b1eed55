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

// Guards against callers being sent across data centres while fronts of their own have room.
Test(frontdirectory, fronts_of_the_callers_data_centre_go_first)
{
    FrontDirectory directory({});
    directory.report(front("a1", "a"), start);
    directory.report(front("a2", "a"), start);
    directory.report(front("b1", "b"), start);
    cr_assert(directory.entryAddresses("a", start) == (std::vector<std::string>{"a1:80", "a2:80"}));
    // One front alone would leave its callers nowhere to turn.
    cr_assert(directory.entryAddresses("b", start).size() == 3);
    cr_assert(directory.entryAddresses("elsewhere", start).size() == 3);
}

// Guards against callers being sent to fronts that stop, that died, or that have no configuration yet.
Test(frontdirectory, only_fronts_that_take_requests_and_were_heard_lately_are_named)
{
    FrontDirectory directory({});
    directory.report(front("a1", "a"), start);
    directory.report(front("a2", "a"), start);
    cr_assert(directory.report(front("a2", "a", false), start + 1s));
    directory.report(front("a3", "a"), start + 1s);
    cr_assert(directory.entryAddresses("a", start + 1s) == (std::vector<std::string>{"a1:80", "a3:80"}));
    cr_assert(directory.entryAddresses("a", start + 2s) == (std::vector<std::string>{"a3:80"}));
    cr_assert(!directory.anyHeard(start + 10s));
}

// Guards against a report that was under way while the front restarted.
Test(frontdirectory, a_report_of_an_earlier_run_changes_nothing)
{
    FrontDirectory directory({});
    FrontReport later = front("a1", "a");
    later.incarnation = 2;
    directory.report(later, start);
    cr_assert(!directory.report(front("a1", "a", false), start));
    cr_assert(directory.entryAddresses("a", start).size() == 1);
    // Told, a front that restarted with its clock behind can go beyond it.
    cr_assert_eq(directory.newestRunOf("a1"), 2);
}

// Guards against shares of limits that shrink to nothing, or count fronts that are gone.
Test(frontdirectory, fronts_count_for_shares_for_a_while_and_never_less_than_one)
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
