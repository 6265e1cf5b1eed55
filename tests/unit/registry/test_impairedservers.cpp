#include "galenawell/registry/impairedservers.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

// Reports a slow server every 50 ms, from the fronts in turn.
void reportFor(ImpairedServers &servers, TimePoint from, std::chrono::milliseconds length, int fronts = 5)
{
    for (int step = 0; step * 50ms < length; ++step) {
        servers.report({.address = "s", .impairment = Impairment::Slow, .front = "front-" + std::to_string(step % fronts)},
                       from + step * 50ms);
    }
}

} // namespace

// Guards against avoiding healthy servers for seconds after one of their usual pauses.
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

// Guards against each front having to detect a slow server by itself.
Test(impairedservers, a_server_that_stays_slow_is_listed_within_a_second_and_unlisted_later)
{
    ImpairedServers servers({});
    reportFor(servers, start, 1s);
    cr_assert(servers.list(start + 1s) == std::vector<std::string>{"s"});
    cr_assert(servers.list(start + 6s).empty());
}

// Guards against a failure local to one front, such as a broken link, making all fronts avoid a server.
Test(impairedservers, reports_of_a_single_front_list_no_server)
{
    ImpairedServers servers({});
    reportFor(servers, start, 3s, 1);
    cr_assert(servers.list(start + 3s).empty());
}

// Guards against a server that stays slow getting work again each second.
Test(impairedservers, a_server_detected_again_soon_is_listed_for_longer)
{
    ImpairedServers servers({});
    TimePoint now = start;
    std::chrono::milliseconds listedTime{0};
    // The server gets work, and is reported, only while it isn't listed.
    for (int step = 0; step < 400; ++step, now += 50ms) {
        if (servers.list(now).empty()) {
            servers.report({.address = "s", .impairment = Impairment::Slow, .front = "front-" + std::to_string(step % 3)}, now);
        } else {
            listedTime += 50ms;
        }
    }
    cr_assert(listedTime > 13s, "%ld", static_cast<long>(listedTime.count()));
}

// Guards against each of many fronts losing answers before it avoids a server that fails many subrequests.
Test(impairedservers, a_server_that_fails_for_many_fronts_is_named_at_once)
{
    ImpairedServers servers({});
    for (int front = 0; front < 5; ++front) {
        servers.report({.address = "s", .impairment = Impairment::Failing, .front = "front-" + std::to_string(front)},
                       start + front * 60ms);
    }
    cr_assert(servers.list(start + 300ms) == std::vector<std::string>{"s"});
}

// Guards against moving work away from a server that fails only a small share of its subrequests.
Test(impairedservers, a_server_that_fails_few_of_its_subrequests_is_not_listed)
{
    ImpairedServers servers({});
    // 7 fronts in 3 data centres with 16 requests a second each; every report contains the failures of 10 %.
    for (int report = 0; report < 300; ++report) {
        const TimePoint now = start + report * 70ms;
        const std::string front = std::to_string(report % 7);
        servers.recordScatters("dc-" + std::to_string(report % 3), 8, now);
        if (report % 2 == 0) {
            servers.report({.address = "s", .impairment = Impairment::Failing, .front = front, .subrequests = 1}, now);
        }
        // The first buckets contain too little traffic.
        cr_assert(report < 10 || servers.list(now).empty());
    }
}

// Guards against computing the share of slow subrequests from too few buckets while a server of many fronts pauses.
Test(impairedservers, a_pause_under_heavy_traffic_lists_no_server)
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
