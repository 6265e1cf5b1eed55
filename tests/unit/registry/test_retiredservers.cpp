#include "galenawell/registry/retiredservers.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

} // namespace

// Guards against using a retired server again because its announcements continue for a while.
Test(retiredservers, a_retired_incarnation_stays_retired_and_a_later_one_does_not)
{
    RetiredServers retired(60s);
    retired.add("i-1", 100, start);
    cr_assert(retired.contains("i-1", 100, start + 59s));
    cr_assert(retired.contains("i-1", 99, start));
    cr_assert(!retired.contains("i-1", 101, start));
    cr_assert(!retired.contains("i-2", 100, start));
    cr_assert(!retired.contains("i-1", 100, start + 60s));
    retired.expire(start + 60s);
    cr_assert(!retired.contains("i-1", 1, start));
}
