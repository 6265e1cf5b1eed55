#include "galenawell/routing/sendinterval.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

Duration doubtAt(Duration interval)
{
    SendInterval sends;
    for (int index = 0; index < 50; ++index) {
        sends.recordSend(start + index * interval);
    }
    return overduePenaltyDuration(sends.mean());
}

} // namespace

// Guards against a front that sends a replica one subrequest in a while forgetting its trouble before the next.
Test(sendinterval, doubt_lasts_for_a_few_sends_of_a_front_that_sends_rarely)
{
    cr_assert(doubtAt(600ms) > 1100ms);
    cr_assert(doubtAt(600ms) < 1300ms);
}

// Guards against a busy front avoiding for seconds a replica that stood still for a moment, and against a quiet front
// avoiding one for ever.
Test(sendinterval, doubt_is_bounded_both_ways)
{
    cr_assert(doubtAt(5ms) == 400ms);
    cr_assert(doubtAt(1min) == 2s);
    cr_assert(overduePenaltyDuration(SendInterval().mean()) == 400ms);
}
