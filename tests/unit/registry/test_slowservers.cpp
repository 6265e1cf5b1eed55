#include "galenawell/registry/slowservers.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

// Reports of several fronts, one each 50 ms, from a time on.
void reportFor(SlowServers &servers, TimePoint from, std::chrono::milliseconds length, int fronts = 5)
{
    for (int step = 0; step * 50ms < length; ++step) {
        servers.report("s", "front-" + std::to_string(step % fronts), from + step * 50ms);
    }
}

} // namespace

// Guards against sound servers, which stand still for a moment now and then, being avoided for seconds.
Test(slowservers, a_pause_does_not_make_a_server_slow)
{
    SlowServers servers({});
    for (int pause = 0; pause < 10; ++pause) {
        const TimePoint from = start + pause * 6s;
        reportFor(servers, from, 250ms);
        for (auto age = 0ms; age < 6s; age += 100ms) {
            cr_assert(servers.list(from + age).empty());
        }
    }
}

// Guards against a slow server costing every front its own time to find out.
Test(slowservers, a_server_that_stays_slow_is_named_within_a_second_and_forgiven_later)
{
    SlowServers servers({});
    reportFor(servers, start, 1s);
    cr_assert(servers.list(start + 1s) == std::vector<std::string>{"s"});
    cr_assert(servers.list(start + 6s).empty());
}

// Guards against one front's own trouble, such as a cut link, speaking for all.
Test(slowservers, one_front_alone_makes_no_server_slow)
{
    SlowServers servers({});
    reportFor(servers, start, 3s, 1);
    cr_assert(servers.list(start + 3s).empty());
}

// Guards against a server that is slow for long taking work again each second.
Test(slowservers, a_server_found_slow_again_soon_is_avoided_for_longer)
{
    SlowServers servers({});
    TimePoint now = start;
    std::chrono::milliseconds avoided{0};
    // It gets work, and is reported, only while it isn't listed.
    for (int step = 0; step < 400; ++step, now += 50ms) {
        if (servers.list(now).empty()) {
            servers.report("s", "front-" + std::to_string(step % 3), now);
        } else {
            avoided += 50ms;
        }
    }
    cr_assert(avoided > 13s, "%ld", static_cast<long>(avoided.count()));
}
