#include "galenawell/registry/impairedservers.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

// Reports of several fronts, one each 50 ms, from a time on.
void reportFor(ImpairedServers &servers, TimePoint from, std::chrono::milliseconds length, int fronts = 5)
{
    for (int step = 0; step * 50ms < length; ++step) {
        servers.report({.address = "s", .impairment = Impairment::Slow, .front = "front-" + std::to_string(step % fronts)},
                       from + step * 50ms);
    }
}

} // namespace

// Guards against sound servers, which stand still for a moment now and then, being avoided for seconds.
Test(impairedservers, a_pause_does_not_make_a_server_slow)
{
    ImpairedServers servers({});
    for (int pause = 0; pause < 10; ++pause) {
        const TimePoint from = start + pause * 6s;
        reportFor(servers, from, 250ms);
        for (auto age = 0ms; age < 6s; age += 100ms) {
            cr_assert(servers.list(from + age).empty());
        }
    }
}

// Guards against a slow server costing every front its own time to find out.
Test(impairedservers, a_server_that_stays_slow_is_named_within_a_second_and_forgiven_later)
{
    ImpairedServers servers({});
    reportFor(servers, start, 1s);
    cr_assert(servers.list(start + 1s) == std::vector<std::string>{"s"});
    cr_assert(servers.list(start + 6s).empty());
}

// Guards against one front's own trouble, such as a cut link, speaking for all.
Test(impairedservers, one_front_alone_makes_no_server_slow)
{
    ImpairedServers servers({});
    reportFor(servers, start, 3s, 1);
    cr_assert(servers.list(start + 3s).empty());
}

// Guards against a server that is slow for long taking work again each second.
Test(impairedservers, a_server_found_slow_again_soon_is_avoided_for_longer)
{
    ImpairedServers servers({});
    TimePoint now = start;
    std::chrono::milliseconds avoided{0};
    // It gets work, and is reported, only while it isn't listed.
    for (int step = 0; step < 400; ++step, now += 50ms) {
        if (servers.list(now).empty()) {
            servers.report({.address = "s", .impairment = Impairment::Slow, .front = "front-" + std::to_string(step % 3)}, now);
        } else {
            avoided += 50ms;
        }
    }
    cr_assert(avoided > 13s, "%ld", static_cast<long>(avoided.count()));
}

// Guards against each of many fronts losing answers of its own before it avoids a server that loses much of its work.
Test(impairedservers, a_server_that_fails_for_many_fronts_is_named_at_once)
{
    ImpairedServers servers({});
    for (int front = 0; front < 5; ++front) {
        servers.report({.address = "s", .impairment = Impairment::Failing, .front = "front-" + std::to_string(front)},
                       start + front * 60ms);
    }
    cr_assert(servers.list(start + 300ms) == std::vector<std::string>{"s"});
}

// Guards against a few failures in a hundred counting as a failing server, which would move work to the others for nothing.
Test(impairedservers, a_server_that_fails_little_of_its_work_is_not_named)
{
    ImpairedServers servers({});
    // Of 7 fronts in 3 data centres with 16 requests a second each, every report contains the failures of 10 %.
    for (int report = 0; report < 300; ++report) {
        const TimePoint now = start + report * 70ms;
        const std::string front = std::to_string(report % 7);
        servers.recordScatters("dc-" + std::to_string(report % 3), 8, now);
        if (report % 2 == 0) {
            servers.report({.address = "s", .impairment = Impairment::Failing, .front = front, .subrequests = 1}, now);
        }
        // The first spans know too little of the traffic.
        cr_assert(report < 10 || servers.list(now).empty());
    }
}

// Guards against the share of slow work being taken from too few spans while a server of many fronts pauses.
Test(impairedservers, a_pause_under_heavy_traffic_names_no_server)
{
    ImpairedServers servers({});
    for (int step = 0; step < 600; ++step) {
        const TimePoint now = start + step * 20ms;
        servers.recordScatters("dc-" + std::to_string(step % 3), 2, now);
        const auto sincePause = (step * 20ms) % 6s;
        if (sincePause >= 3s && sincePause < 3250ms) {
            servers.report({.address = "s", .impairment = Impairment::Slow, .front = std::to_string(step % 23)}, now);
        }
        cr_assert(servers.list(now).empty());
    }
}
