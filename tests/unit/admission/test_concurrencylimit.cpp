#include "galenawell/admission/concurrencylimit.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

// Reports completed requests to the limit, one per millisecond.
class CompletionFeeder
{
public:
    explicit CompletionFeeder(ConcurrencyLimitOptions options)
        : limit(options, TimePoint(1h))
    {
    }

    void feed(unsigned requests, std::chrono::microseconds serviceTime, bool succeeded = true, bool requestsWaiting = true)
    {
        for (unsigned number = 0; number < requests; ++number) {
            this->now += 1ms;
            this->limit.record(
                {.serviceTime = serviceTime, .succeeded = succeeded, .running = this->limit.current(), .requestsWaiting = requestsWaiting},
                this->now);
        }
    }

    ConcurrencyLimit limit;

private:
    TimePoint now{1h};
};

} // namespace

// Guards against a limit that stays low while requests wait for it and the servers are fast.
Test(concurrency_limit, grows_to_its_maximum_while_requests_wait_at_steady_latency)
{
    CompletionFeeder feeder({.minimum = 2, .maximum = 24, .initial = 16});
    feeder.feed(5000, 5ms);
    cr_assert_eq(feeder.limit.current(), 24);
}

// Guards against a limit that grows while unused and then admits a burst of untested size.
Test(concurrency_limit, does_not_grow_while_no_request_waits)
{
    CompletionFeeder feeder({.minimum = 2, .maximum = 24, .initial = 16});
    feeder.feed(5000, 5ms, true, false);
    cr_assert_eq(feeder.limit.current(), 16);
}

// Guards against a limit that ignores queueing in the backend servers. Above 10, latency is proportional to the limit.
Test(concurrency_limit, settles_near_the_point_where_latency_starts_to_rise)
{
    CompletionFeeder feeder({.minimum = 2, .maximum = 200, .initial = 8});
    std::size_t highest = 0;
    for (unsigned step = 0; step < 200; ++step) {
        const std::size_t current = feeder.limit.current();
        highest = std::max(highest, current);
        feeder.feed(128, std::chrono::microseconds(5000 * std::max<std::size_t>(current, 10) / 10));
    }
    cr_assert_leq(highest, 18);
    cr_assert_geq(feeder.limit.current(), 8);
}

// Guards against a limit that falls to its minimum because the servers became slower without queueing.
Test(concurrency_limit, accepts_a_higher_latency_that_a_lower_limit_does_not_improve)
{
    CompletionFeeder feeder({.minimum = 2, .maximum = 64, .initial = 32});
    feeder.feed(1000, 5ms);
    const std::size_t before = feeder.limit.current();
    feeder.feed(2000, 20ms);
    cr_assert_geq(feeder.limit.current(), before);
}

// Guards against a limit that stays high while the servers fail all requests, and against one that doesn't recover.
Test(concurrency_limit, falls_to_its_minimum_while_all_requests_fail_and_recovers)
{
    CompletionFeeder feeder({.minimum = 2, .maximum = 32, .initial = 32});
    feeder.feed(1000, 5ms);
    feeder.feed(4000, 1ms, false);
    cr_assert_eq(feeder.limit.current(), 2);
    cr_assert_eq(feeder.limit.expectedServiceTime().count(), 5000);
    feeder.feed(8000, 5ms);
    cr_assert_eq(feeder.limit.current(), 32);
}

// Guards against a limit outside its bounds after a reconfiguration, also with a minimum above the maximum.
Test(concurrency_limit, stays_within_changed_bounds)
{
    CompletionFeeder feeder({.minimum = 2, .maximum = 64, .initial = 32});
    feeder.limit.setBounds(2, 8);
    cr_assert_eq(feeder.limit.current(), 8);
    feeder.limit.setBounds(12, 64);
    cr_assert_eq(feeder.limit.current(), 12);
    feeder.limit.setBounds(20, 10);
    cr_assert_eq(feeder.limit.current(), 20);
    feeder.limit.setBounds(0, 0);
    cr_assert_eq(feeder.limit.current(), 1);
}
