#include "galenawell/routing/sendinterval.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

Duration penaltyAt(Duration interval)
{
    SendInterval sends;
    for (int index = 0; index < 50; ++index) {
        sends.recordSend(start + index * interval);
    }
    return overduePenaltyDuration(sends.mean());
}

} // namespace

// Guards against the penalty of a stalled replica ending before a front that sends rarely sends its next subrequest.
Test(sendinterval, the_overdue_penalty_lasts_for_two_sends_of_a_front_that_sends_rarely)
{
    cr_assert(penaltyAt(600ms) > 1100ms);
    cr_assert(penaltyAt(600ms) < 1300ms);
}

// Guards against a busy front avoiding a replica for seconds after a short stall, and against a front that sends rarely
// avoiding one without end.
Test(sendinterval, the_overdue_penalty_has_a_minimum_and_a_maximum)
{
    cr_assert(penaltyAt(5ms) == 400ms);
    cr_assert(penaltyAt(1min) == 2s);
    cr_assert(overduePenaltyDuration(SendInterval().mean()) == 400ms);
}
