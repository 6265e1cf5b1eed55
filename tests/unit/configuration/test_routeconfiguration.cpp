#include "galenawell/configuration/routeconfiguration.h"

#include <criterion/criterion.h>

using namespace Galenawell;

namespace {

Route routeTo(const std::string &host, const std::string &prefix, const std::string &service)
{
    return Route{.name = host + prefix, .host = host, .pathPrefix = prefix, .services = {WeightedService{.service = service}}};
}

std::vector<RoutedService> twoServices()
{
    return {RoutedService{.name = "a", .connectionLimit = 3}, RoutedService{.name = "b", .connectionLimit = 3}};
}

Result<RouteConfiguration> planOf(std::vector<Route> routes)
{
    return RouteConfiguration::make(7, std::move(routes), twoServices(), CallerLimits{});
}

void expectRefused(const Route &route, const std::string &reason)
{
    const Result<RouteConfiguration> plan = planOf({route});
    cr_assert(!plan.has_value(), "%s", reason.c_str());
    cr_assert(plan.error().kind == ErrorKind::InvalidConfiguration);
    cr_assert(plan.error().detail.find(reason) != std::string::npos, "%s", plan.error().detail.c_str());
}

} // namespace

// Guards against requests for a more special path going to the general route's service.
Test(routeplan, the_longest_prefix_of_the_host_wins)
{
    const RouteConfiguration plan
        = planOf({routeTo("h", "/x/", "a"), routeTo("h", "/x/y/", "b"), routeTo("other", "/x/y/z/", "a")}).value();
    cr_assert(plan.find("h", "/x/1")->services.front().service == "a");
    cr_assert(plan.find("h", "/x/y/1")->services.front().service == "b");
    cr_assert(plan.find("h", "/x/y")->services.front().service == "a");
    cr_assert(plan.find("h", "/z/") == nullptr);
    cr_assert(plan.find("nobody", "/x/") == nullptr);
}

// Guards against a plan in force that can't be served, or that is served in two ways.
Test(routeplan, invalid_routes_are_refused_with_their_name)
{
    expectRefused(routeTo("h", "/x/", "unknown"), "unknown service 'unknown'");
    expectRefused(routeTo("h", "x/", "a"), "path prefix");
    expectRefused(routeTo("h", "/x", "a"), "path prefix");
    expectRefused(routeTo("", "/x/", "a"), "needs a host");
    Route noTime = routeTo("h", "/x/", "a");
    noTime.timeout = std::chrono::milliseconds(0);
    expectRefused(noTime, "timeout above 0");
    Route noWeight = routeTo("h", "/x/", "a");
    noWeight.services = {{.service = "a", .weight = 0}, {.service = "b", .weight = 0}};
    expectRefused(noWeight, "add up to 0");
    Route negative = routeTo("h", "/x/", "a");
    negative.services = {{.service = "a", .weight = 2}, {.service = "b", .weight = -1}};
    expectRefused(negative, "below 0");
    Route twice = routeTo("h", "/x/", "a");
    twice.services.clear();
    twice.groups = {"a", "a"};
    expectRefused(twice, "twice");
    Route nowhere = routeTo("h", "/x/", "a");
    nowhere.services.clear();
    expectRefused(nowhere, "either services or groups");
    cr_assert(!planOf({routeTo("h", "/x/", "a"), routeTo("h", "/x/", "b")}).has_value());
}

// Guards against an answer with one group too few, by the binary rounding of shares such as 0.7 of 10.
Test(routeplan, the_least_share_becomes_a_whole_number_of_groups)
{
    Route route;
    for (int index = 0; index < 10; ++index) {
        route.groups.push_back("g" + std::to_string(index));
    }
    const auto least = [&route](double share) {
        route.minimumGroupShare = share;
        return route.minimumGroups();
    };
    cr_assert(least(0.7) == 7);
    cr_assert(least(0.75) == 8);
    cr_assert(least(0.89) == 9);
    cr_assert(least(1.0) == 10);
    cr_assert(least(0.0) == 1);
}
