#include "galenawell/configuration/routeconfiguration.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Galenawell {

namespace {

Error invalid(const std::string &sentence)
{
    return makeError(ErrorKind::InvalidConfiguration, sentence);
}

// Ten shards at a least share of 0.7 need 7, although 0.7 * 10 is a little more than 7 in binary.
constexpr double shareRounding = 1e-9;

} // namespace

bool Route::isScatterGather() const
{
    return !this->groups.empty();
}

std::size_t Route::minimumGroups() const
{
    const double least = std::ceil(this->minimumGroupShare * static_cast<double>(this->groups.size()) - shareRounding);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::max(0.0, least)));
}

Priority Route::priority() const
{
    return static_cast<Priority>(std::min<unsigned>(this->rank, static_cast<unsigned>(Priority::Bulk)));
}

Result<RouteConfiguration>
RouteConfiguration::make(std::uint64_t number, std::vector<Route> routes, std::vector<RoutedService> services, CallerLimits limits)
{
    RouteConfiguration plan;
    plan.planNumber = number;
    plan.allRoutes = std::move(routes);
    plan.callerLimits = limits;
    for (RoutedService &service : services) {
        const std::string name = service.name;
        if (name.empty() || !plan.allServices.emplace(name, std::move(service)).second) {
            return invalid("service '" + name + "' is listed twice or has no name");
        }
    }
    BOOST_OUTCOME_TRY(plan.check());
    for (std::size_t index = 0; index < plan.allRoutes.size(); ++index) {
        plan.byHost[plan.allRoutes[index].host].push_back(index);
    }
    for (auto &[host, indexes] : plan.byHost) {
        std::ranges::stable_sort(indexes, std::greater<>(), [&plan](std::size_t index) { return plan.allRoutes[index].pathPrefix.size(); });
    }
    return plan;
}

Status RouteConfiguration::check() const
{
    std::set<std::pair<std::string, std::string>> places;
    for (const Route &route : this->allRoutes) {
        BOOST_OUTCOME_TRY(this->check(route));
        if (!places.emplace(route.host, route.pathPrefix).second) {
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
    double weights = 0;
    for (const WeightedService &target : route.services) {
        if (!this->allServices.contains(target.service)) {
            return invalid(subject + "names the unknown service '" + target.service + "'");
        }
        if (!std::isfinite(target.weight) || target.weight < 0) {
            return invalid(subject + "has a weight below 0");
        }
        weights += target.weight;
    }
    if (!route.services.empty() && weights <= 0) {
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
    const auto found = this->byHost.find(host);
    if (found == this->byHost.end()) {
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
    return this->planNumber;
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
