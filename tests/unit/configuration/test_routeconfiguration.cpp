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

Result<RouteConfiguration> configurationOf(std::vector<Route> routes)
{
    return RouteConfiguration::make(7, std::move(routes), twoServices(), CallerLimits{});
}

void expectRefused(const Route &route, const std::string &reason)
{
    const Result<RouteConfiguration> configuration = configurationOf({route});
    cr_assert(!configuration.has_value(), "%s", reason.c_str());
    cr_assert(configuration.error().kind == ErrorKind::InvalidConfiguration);
    cr_assert(configuration.error().detail.find(reason) != std::string::npos, "%s", configuration.error().detail.c_str());
}

} // namespace

// Guards against requests for a more specific path going to the service of a more general route.
Test(routeconfiguration, the_longest_prefix_of_the_host_wins)
{
    const RouteConfiguration configuration
        = configurationOf({routeTo("h", "/x/", "a"), routeTo("h", "/x/y/", "b"), routeTo("other", "/x/y/z/", "a")}).value();
    cr_assert(configuration.find("h", "/x/1")->services.front().service == "a");
    cr_assert(configuration.find("h", "/x/y/1")->services.front().service == "b");
    cr_assert(configuration.find("h", "/x/y")->services.front().service == "a");
    cr_assert(configuration.find("h", "/z/") == nullptr);
    cr_assert(configuration.find("nobody", "/x/") == nullptr);
}

// Guards against accepting routes that can't be served or are ambiguous.
Test(routeconfiguration, invalid_routes_are_refused_with_their_name)
{
    expectRefused(routeTo("h", "/x/", "unknown"), "unknown service 'unknown'");
    expectRefused(routeTo("h", "x/", "a"), "path prefix");
    expectRefused(routeTo("h", "/x", "a"), "path prefix");
    expectRefused(routeTo("", "/x/", "a"), "needs a host");
    Route noTimeout = routeTo("h", "/x/", "a");
    noTimeout.timeout = std::chrono::milliseconds(0);
    expectRefused(noTimeout, "timeout above 0");
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
    Route noTarget = routeTo("h", "/x/", "a");
    noTarget.services.clear();
    expectRefused(noTarget, "either services or groups");
    cr_assert(!configurationOf({routeTo("h", "/x/", "a"), routeTo("h", "/x/", "b")}).has_value());
}

// Guards against requiring one group too many or too few because of the binary rounding of shares such as 0.7 of 10.
Test(routeconfiguration, the_minimum_share_is_rounded_up_to_whole_groups)
{
    Route route;
    for (int index = 0; index < 10; ++index) {
        route.groups.push_back("g" + std::to_string(index));
    }
    const auto minimum = [&route](double share) {
        route.minimumGroupShare = share;
        return route.minimumGroups();
    };
    cr_assert(minimum(0.7) == 7);
    cr_assert(minimum(0.75) == 8);
    cr_assert(minimum(0.89) == 9);
    cr_assert(minimum(1.0) == 10);
    cr_assert(minimum(0.0) == 1);
}
