#include "galenawell/front/confirmationtracker.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

ConfirmationTracker trackerOf(std::size_t fronts)
{
    return ConfirmationTracker({.self = "a", .configuredFronts = fronts});
}

} // namespace

// Guards against a starting front that serves before its view is confirmed.
Test(confirmation_tracker, a_view_without_confirmation_is_not_reported)
{
    ConfirmationTracker tracker = trackerOf(1);
    tracker.updateHeldRevision(4);
    cr_assert(!tracker.confirmed(start));
    cr_assert_eq(tracker.reportedRevision(), 0);
}

// Guards against a confirmation that outlasts the limit or counts from the arrival of the reply instead of the request.
Test(confirmation_tracker, a_control_confirmation_expires_at_the_limit_after_the_request)
{
    ConfirmationTracker tracker = trackerOf(3);
    tracker.updateHeldRevision(4);
    tracker.recordControlConfirmation(4, start);
    tracker.recordControlConfirmation(4, start - 1s);
    cr_assert(tracker.confirmed(start + 3s));
    cr_assert(!tracker.confirmed(start + 3s + 1ms));
    cr_assert_eq(tracker.reportedRevision(), 4);
}

// Guards against applying the confirmation of one revision to another.
Test(confirmation_tracker, control_confirms_only_the_held_revision)
{
    ConfirmationTracker tracker = trackerOf(3);
    tracker.recordControlConfirmation(0, start);
    tracker.updateHeldRevision(4);
    tracker.recordControlConfirmation(3, start);
    cr_assert(!tracker.confirmed(start));
    tracker.recordControlConfirmation(4, start);
    tracker.updateHeldRevision(5);
    cr_assert(!tracker.confirmed(start));
}

// Guards against a majority of the reachable fronts instead of the configured ones, and against counting itself twice.
Test(confirmation_tracker, confirmation_by_fronts_needs_a_majority_of_all_configured_fronts)
{
    ConfirmationTracker tracker = trackerOf(4);
    tracker.updateHeldRevision(4);
    tracker.recordControlConfirmation(4, start);
    const TimePoint later = start + 10s;
    tracker.recordFrontRevision("a", 4, later);
    tracker.recordFrontRevision("b", 4, later);
    tracker.recordFrontRevision("c", 0, later);
    cr_assert(!tracker.confirmed(later));
    tracker.recordFrontRevision("c", 3, later);
    cr_assert(tracker.confirmed(later));
    tracker.recordFrontRevision("d", 5, later);
    cr_assert(!tracker.confirmed(later));
}

// Guards against a delayed reply that overwrites the reply to a later request.
Test(confirmation_tracker, a_stale_reply_does_not_replace_a_newer_one)
{
    ConfirmationTracker tracker = trackerOf(3);
    tracker.updateHeldRevision(4);
    tracker.recordFrontRevision("b", 5, start + 1s);
    tracker.recordFrontRevision("b", 4, start);
    tracker.recordFrontRevision("c", 4, start + 1s);
    cr_assert(!tracker.confirmed(start + 1s));
    cr_assert(tracker.frontWithNewerView(start + 1s) == "b");
}

// Guards against endless requests to a failed front for its view although a live front has a newer one too.
Test(confirmation_tracker, a_silent_front_is_not_chosen_as_the_source_of_a_newer_view)
{
    ConfirmationTracker tracker = trackerOf(5);
    tracker.updateHeldRevision(7);
    tracker.recordFrontRevision("b", 9, start);
    tracker.recordFrontRevision("c", 8, start + 10s);
    cr_assert(tracker.frontWithNewerView(start + 10s) == "c");
    cr_assert(tracker.frontWithNewerView(start + 20s) == std::nullopt);
}
