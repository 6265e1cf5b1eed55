#include "galenawell/admission/admissionqueue.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint begin{1h};

AdmissionOptions narrowOptions(std::size_t concurrency)
{
    AdmissionOptions options;
    options.minimumConcurrency = 1;
    options.maximumConcurrency = concurrency;
    options.queueLength = 4;
    options.concurrencyPercent = {100, 100, 100};
    return options;
}

AdmissionQueue fixedQueue(const AdmissionOptions &options)
{
    return AdmissionQueue(options, begin, LimitAlgorithm::Fixed);
}

AdmissionRequest request(Ticket ticket, Priority priority, const std::string &caller = "a", Duration deadline = 10s)
{
    return {.ticket = ticket, .priority = priority, .caller = caller, .deadline = begin + deadline};
}

} // namespace

// Guards against a request that starts before a waiting one of higher priority.
Test(admission_queue, a_freed_slot_goes_to_the_highest_waiting_priority)
{
    AdmissionQueue queue = fixedQueue(narrowOptions(1));
    cr_assert_eq(queue.submit(request(1, Priority::Bulk), begin).start.size(), 1);
    queue.submit(request(2, Priority::Bulk), begin);
    queue.submit(request(3, Priority::Urgent), begin);
    const AdmissionActions actions = queue.finish(1, 1ms, true, begin + 1ms);
    cr_assert_eq(actions.start, std::vector<Ticket>{3});
}

// Guards against bulk requests that take every slot, so that an urgent request waits for one of them to end.
Test(admission_queue, lower_priorities_together_leave_slots_for_urgent_requests)
{
    AdmissionOptions options = narrowOptions(10);
    options.concurrencyPercent = {100, 80, 50};
    options.queueLength = 100;
    AdmissionQueue queue = fixedQueue(options);
    for (Ticket ticket = 1; ticket <= 20; ++ticket) {
        queue.submit(request(ticket, Priority::Bulk), begin);
    }
    cr_assert_eq(queue.running(), 5);
    for (Ticket ticket = 21; ticket <= 40; ++ticket) {
        queue.submit(request(ticket, Priority::Standard), begin);
    }
    cr_assert_eq(queue.running(), 8);
    cr_assert_eq(queue.submit(request(41, Priority::Urgent), begin).start.size(), 1);
}

// Guards against one caller that fills the queue and shuts out the others.
Test(admission_queue, a_full_queue_displaces_the_newest_request_of_the_largest_caller)
{
    AdmissionQueue queue = fixedQueue(narrowOptions(1));
    queue.submit(request(1, Priority::Standard), begin);
    for (Ticket ticket = 2; ticket <= 5; ++ticket) {
        queue.submit(request(ticket, Priority::Standard, "flooder"), begin);
    }
    const AdmissionActions actions = queue.submit(request(6, Priority::Standard, "other"), begin);
    cr_assert_eq(actions.refuse.size(), 1);
    cr_assert_eq(actions.refuse[0].ticket, 5);
    cr_assert(actions.refuse[0].reason == RefusalReason::QueueFull);
    cr_assert_gt(actions.refuse[0].retryAfter.count(), 0);
    const AdmissionActions own = queue.submit(request(7, Priority::Standard, "flooder"), begin);
    cr_assert_eq(own.refuse.at(0).ticket, 7);
    cr_assert_eq(queue.waiting(Priority::Standard), 4);
}

// Guards against the start of a request that can't finish before its deadline.
Test(admission_queue, a_request_that_cannot_finish_before_its_deadline_is_refused_at_once)
{
    AdmissionQueue queue = fixedQueue(narrowOptions(1));
    queue.submit(request(1, Priority::Standard), begin);
    queue.submit(request(2, Priority::Standard), begin);
    queue.finish(1, 100ms, true, begin + 100ms);
    const AdmissionActions actions = queue.submit(request(3, Priority::Standard, "a", 150ms), begin + 100ms);
    cr_assert_eq(actions.refuse.size(), 1);
    cr_assert(actions.refuse[0].reason == RefusalReason::DeadlineTooShort);
}

// Guards against a waiting request that isn't refused after its deadline, and against a missing timer for it.
Test(admission_queue, a_waiting_request_is_refused_at_the_returned_wake_up_time)
{
    AdmissionQueue queue = fixedQueue(narrowOptions(1));
    queue.submit(request(1, Priority::Standard), begin);
    const AdmissionActions waiting = queue.submit(request(2, Priority::Standard, "a", 500ms), begin);
    cr_assert(waiting.nextTimerAt.has_value());
    cr_assert_eq(queue.expire(*waiting.nextTimerAt - 1ms).refuse.size(), 0);
    cr_assert_eq(queue.expire(*waiting.nextTimerAt).refuse.size(), 1);
    cr_assert_eq(queue.waiting(Priority::Standard), 0);
}

// Guards against an estimate from a slow period that refuses every later request: with nothing running, it is never updated.
Test(admission_queue, an_idle_queue_starts_one_request_despite_the_estimate)
{
    AdmissionQueue queue = fixedQueue(narrowOptions(4));
    queue.submit(request(1, Priority::Standard), begin);
    queue.finish(1, 5s, true, begin + 5s);
    const AdmissionActions first = queue.submit(request(2, Priority::Standard, "a", 6s), begin + 5s);
    const AdmissionActions second = queue.submit(request(3, Priority::Standard, "a", 6s), begin + 5s);
    cr_assert_eq(first.start.size(), 1);
    cr_assert_eq(second.refuse.size(), 1);
}

// Guards against a withdrawn request that starts later, and against a running one that is reported as withdrawn.
Test(admission_queue, only_a_waiting_request_can_be_withdrawn)
{
    AdmissionQueue queue = fixedQueue(narrowOptions(1));
    queue.submit(request(1, Priority::Standard), begin);
    queue.submit(request(2, Priority::Standard), begin);
    cr_assert_not(queue.withdraw(1));
    cr_assert(queue.withdraw(2));
    cr_assert_not(queue.withdraw(2));
    cr_assert_eq(queue.finish(1, 1ms, true, begin + 1ms).start.size(), 0);
}

// Guards against a request that is counted twice when its end is reported twice.
Test(admission_queue, the_end_of_an_unknown_request_changes_nothing)
{
    AdmissionQueue queue = fixedQueue(narrowOptions(2));
    queue.submit(request(1, Priority::Standard), begin);
    queue.finish(7, 1ms, true, begin);
    cr_assert_eq(queue.running(), 1);
    queue.finish(1, 1ms, true, begin);
    queue.finish(1, 1ms, true, begin);
    cr_assert_eq(queue.running(), 0);
}
