#include "galenawell/front/trafficsplits.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace Galenawell;

namespace {

Route makeRoute(std::vector<WeightedService> services)
{
    return Route{.name = "split", .host = "h", .pathPrefix = "/", .services = std::move(services)};
}

// Between 2 and 4 services, some of weight 0, of different scales.
std::vector<WeightedService> drawServices()
{
    std::vector<WeightedService> services;
    const int count = *rc::gen::inRange(2, 5);
    const int scale = *rc::gen::element(1, 10, 1000);
    for (int index = 0; index < count; ++index) {
        services.push_back({.service = "s" + std::to_string(index), .weight = static_cast<double>(scale * *rc::gen::inRange(0, 4))});
    }
    services[static_cast<std::size_t>(*rc::gen::inRange(0, count))].weight = scale;
    return services;
}

} // namespace

// Guards against a service that gets requests for the weight it had in an older configuration.
Test(trafficsplits, a_service_whose_weight_falls_to_zero_is_not_chosen_again)
{
    for (int requests = 1; requests <= 8; ++requests) {
        TrafficSplits splits(1);
        const Route before = makeRoute({{.service = "old", .weight = 100}, {.service = "new", .weight = 300}});
        for (int index = 0; index < requests; ++index) {
            splits.choose(before);
        }
        const Route after = makeRoute({{.service = "old", .weight = 0}, {.service = "new", .weight = 1}});
        for (int index = 0; index < 10; ++index) {
            cr_assert(splits.choose(after) == "new");
        }
    }
}

// Guards against shares that follow the weights of an older configuration, whatever changes came before.
Test(trafficsplits, shares_follow_the_current_weights_after_any_changes)
{
    cr_assert(rc::check([] {
        TrafficSplits splits(*rc::gen::arbitrary<std::uint64_t>());
        const int changes = *rc::gen::inRange(1, 6);
        for (int change = 0; change < changes; ++change) {
            const Route route = makeRoute(drawServices());
            double total = 0;
            for (const WeightedService &service : route.services) {
                total += service.weight;
            }
            std::map<std::string, int> chosen;
            const int requests = *rc::gen::inRange(1, 60);
            for (int request = 1; request <= requests; ++request) {
                ++chosen[splits.choose(route)];
                for (const WeightedService &service : route.services) {
                    const double due = request * service.weight / total;
                    RC_ASSERT(service.weight > 0 || chosen[service.service] == 0);
                    RC_ASSERT(std::abs(chosen[service.service] - due) <= static_cast<double>(route.services.size()));
                }
            }
        }
    }));
}

// Guards against many fronts that all send their first request after a change to the same service.
Test(trafficsplits, the_first_requests_of_many_fronts_follow_the_weights)
{
    constexpr int fronts = 1000;
    const Route route = makeRoute({{.service = "a", .weight = 3}, {.service = "b", .weight = 1}, {.service = "c", .weight = 0}});
    std::map<std::string, int> chosen;
    for (int front = 0; front < fronts; ++front) {
        ++chosen[TrafficSplits(static_cast<std::uint64_t>(front)).choose(route)];
    }
    cr_assert(chosen["a"] > 650 && chosen["a"] < 850);
    cr_assert_eq(chosen["c"], 0);
}

// Guards against a split that starts anew with each configuration although its weights stay, so that its shares are left to
// chance while configurations follow one another closely.
Test(trafficsplits, an_unchanged_split_continues)
{
    TrafficSplits splits(7);
    const Route route = makeRoute({{.service = "a", .weight = 1}, {.service = "b", .weight = 1}});
    int difference = 0;
    for (std::uint64_t number = 1; number <= 100; ++number) {
        const Result<RouteConfiguration> next = RouteConfiguration::make(number, {route}, {{.name = "a"}, {.name = "b"}}, CallerLimits{});
        cr_assert(next.has_value());
        splits.retain(next.value());
        difference += splits.choose(route) == "a" ? 1 : -1;
        cr_assert(std::abs(difference) <= 1);
    }
}
