#include "galenawell/front/drainpolicy.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));
constexpr std::chrono::milliseconds grace{6000};

} // namespace

// Guards against answers and an exit that come after the process is killed.
Test(drainpolicy, everything_ends_before_the_process_is_killed)
{
    for (const std::chrono::milliseconds period : {500ms, 1000ms, 3000ms, 6000ms, 60000ms}) {
        const DrainPolicy policy(start, period);
        cr_assert(start < policy.acceptUntil());
        cr_assert(policy.acceptUntil() < policy.answerUntil());
        cr_assert(policy.answerUntil() < policy.exitAt());
        cr_assert(policy.exitAt() < start + period);
    }
}

// Guards against requests that are started although they can't be answered before the process ends.
Test(drainpolicy, a_started_request_ends_before_answers_must_be_out)
{
    const DrainPolicy policy(start, grace);
    for (const bool idempotent : {false, true}) {
        for (std::chrono::milliseconds at = 0ms; at <= grace; at += 50ms) {
            for (const std::chrono::milliseconds limit : {100ms, 1000ms, 5000ms, 20000ms}) {
                const TimePoint now = start + at;
                const DrainingRequest request{.idempotent = idempotent, .latencyObjective = 300ms, .deadline = now + limit};
                const std::optional<TimePoint> deadline = policy.deadlineFor(request, now);
                if (deadline) {
                    cr_assert(*deadline <= policy.answerUntil() && *deadline <= request.deadline);
                    cr_assert(*deadline == request.deadline || *deadline >= now + (idempotent ? 250ms : 600ms));
                }
            }
        }
    }
}

// Guards against refusing requests that have time enough.
Test(drainpolicy, requests_with_time_enough_are_served)
{
    const DrainPolicy policy(start, grace);
    const DrainingRequest brief{.idempotent = false, .latencyObjective = 5000ms, .deadline = start + 5000ms};
    cr_assert(policy.deadlineFor(brief, start) == brief.deadline);
    const DrainingRequest longer{.idempotent = true, .latencyObjective = 200ms, .deadline = start + 8000ms};
    cr_assert(policy.deadlineFor(longer, start + 3000ms) == policy.answerUntil());
}
