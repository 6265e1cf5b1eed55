#include "galenawell/configuration/routeconfiguration.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Galenawell {

namespace {

Error invalid(const std::string &message)
{
    return makeError(ErrorKind::InvalidConfiguration, message);
}

// Absorbs binary rounding, so that a share of 0.7 of ten groups requires 7 of them and not 8.
constexpr double shareRoundingTolerance = 1e-9;

} // namespace

bool Route::isScatterGather() const
{
    return !this->groups.empty();
}

std::size_t Route::minimumGroups() const
{
    const double minimum = std::ceil(this->minimumGroupShare * static_cast<double>(this->groups.size()) - shareRoundingTolerance);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::max(0.0, minimum)));
}

Priority Route::priority() const
{
    return static_cast<Priority>(std::min<unsigned>(this->rank, static_cast<unsigned>(Priority::Bulk)));
}

Result<RouteConfiguration>
RouteConfiguration::make(std::uint64_t number, std::vector<Route> routes, std::vector<RoutedService> services, CallerLimits limits)
{
    RouteConfiguration configuration;
    configuration.configurationNumber = number;
    configuration.allRoutes = std::move(routes);
    configuration.callerLimits = limits;
    for (RoutedService &service : services) {
        const std::string name = service.name;
        if (name.empty() || !configuration.allServices.emplace(name, std::move(service)).second) {
            return invalid("service '" + name + "' is listed twice or has no name");
        }
    }
    BOOST_OUTCOME_TRY(configuration.check());
    for (std::size_t index = 0; index < configuration.allRoutes.size(); ++index) {
        configuration.routesByHost[configuration.allRoutes[index].host].push_back(index);
    }
    for (auto &[host, indexes] : configuration.routesByHost) {
        std::ranges::stable_sort(
            indexes, std::greater<>(), [&configuration](std::size_t index) { return configuration.allRoutes[index].pathPrefix.size(); });
    }
    return configuration;
}

Status RouteConfiguration::check() const
{
    std::set<std::pair<std::string, std::string>> prefixes;
    for (const Route &route : this->allRoutes) {
        BOOST_OUTCOME_TRY(this->check(route));
        if (!prefixes.emplace(route.host, route.pathPrefix).second) {
            return invalid("route '" + route.name + "' has the host and prefix of another route");
        }
    }
    return boost::outcome_v2::success();
}

Status RouteConfiguration::check(const Route &route) const
{
    const std::string subject = "route '" + route.name + "' ";
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' || route.pathPrefix.back() != '/') {
        return invalid(subject + "needs a path prefix that begins and ends with a slash");
    }
    if (route.host.empty()) {
        return invalid(subject + "needs a host");
    }
    if (route.timeout.count() <= 0) {
        return invalid(subject + "needs a timeout above 0 ms");
    }
    if (route.maximumExecutions == 0) {
        return invalid(subject + "needs at least one attempt");
    }
    return this->checkTargets(route);
}

Status RouteConfiguration::checkTargets(const Route &route) const
{
    const std::string subject = "route '" + route.name + "' ";
    if (route.services.empty() == route.groups.empty()) {
        return invalid(subject + "needs either services or groups");
    }
    double totalWeight = 0;
    for (const WeightedService &target : route.services) {
        if (!this->allServices.contains(target.service)) {
            return invalid(subject + "names the unknown service '" + target.service + "'");
        }
        if (!std::isfinite(target.weight) || target.weight < 0) {
            return invalid(subject + "has a weight below 0");
        }
        totalWeight += target.weight;
    }
    if (!route.services.empty() && totalWeight <= 0) {
        return invalid(subject + "has weights that add up to 0");
    }
    std::set<std::string_view> distinct;
    for (const std::string &group : route.groups) {
        if (!this->allServices.contains(group)) {
            return invalid(std::string(subject).append("names the unknown group '").append(group).append("'"));
        }
        if (!distinct.insert(group).second) {
            return invalid(std::string(subject).append("names the group '").append(group).append("' twice"));
        }
    }
    return boost::outcome_v2::success();
}

const Route *RouteConfiguration::find(std::string_view host, std::string_view path) const
{
    const auto found = this->routesByHost.find(host);
    if (found == this->routesByHost.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        if (path.starts_with(this->allRoutes[index].pathPrefix)) {
            return &this->allRoutes[index];
        }
    }
    return nullptr;
}

std::uint64_t RouteConfiguration::number() const
{
    return this->configurationNumber;
}

const std::vector<Route> &RouteConfiguration::routes() const
{
    return this->allRoutes;
}

const std::map<std::string, RoutedService> &RouteConfiguration::services() const
{
    return this->allServices;
}

const CallerLimits &RouteConfiguration::limits() const
{
    return this->callerLimits;
}

} // namespace Galenawell
