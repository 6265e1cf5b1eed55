// Routes of opaque requests: which service, weighted services or set of groups a host and path lead to, and the limits of
// each. Immutable once checked.
#pragma once

#include "galenawell/core/error.h"
#include "galenawell/core/identifiers.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenawell {

struct WeightedService
{
    std::string service;
    double weight = 1.0;
};

struct Route
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    // A request may run more than once.
    bool idempotent = true;
    // Longest time that a caller is kept waiting.
    std::chrono::milliseconds timeout{1000};
    // Time within which an answer has its full value for the caller.
    std::chrono::milliseconds latencyObjective{1000};
    // 0 is the most urgent.
    unsigned rank = 0;
    // Replicas of one service that may run one request.
    unsigned maximumExecutions = 1;
    // One service, or several that share the requests by weight; empty if the route names groups.
    std::vector<WeightedService> services{};
    // Every group answers a part of the request; each group is a service of its own.
    std::vector<std::string> groups{};
    // Records in a merged answer.
    std::size_t recordLimit = 0;
    // Share of the groups without which there is no answer.
    double minimumGroupShare = 1.0;

    bool isScatterGather() const;
    // Groups without which there is no answer; at least one.
    std::size_t minimumGroups() const;
    Priority priority() const;
};

struct RoutedService
{
    std::string name;
    // Connections that a replica accepts from all fronts together.
    std::uint32_t connectionLimit = 1;
};

// What callers may send.
struct CallerLimits
{
    std::uint32_t maximumHeaderBytes = 16384;
    std::uint64_t maximumBodyBytes = 262144;
    // From the first byte of a request to its last.
    std::chrono::milliseconds requestTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

class RouteConfiguration
{
public:
    // InvalidConfiguration names the first route that can't be used.
    static Result<RouteConfiguration>
    make(std::uint64_t number, std::vector<Route> routes, std::vector<RoutedService> services, CallerLimits limits);

    RouteConfiguration() = default;

    // The route of the host with the longest prefix that begins the path; nullptr if there is none.
    const Route *find(std::string_view host, std::string_view path) const;

    // 0 before the first plan.
    std::uint64_t number() const;
    const std::vector<Route> &routes() const;
    const std::map<std::string, RoutedService> &services() const;
    const CallerLimits &limits() const;

private:
    Status check() const;
    Status check(const Route &route) const;
    Status checkTargets(const Route &route) const;

    std::uint64_t planNumber = 0;
    std::vector<Route> allRoutes;
    std::map<std::string, RoutedService> allServices;
    CallerLimits callerLimits;
    // Indexes of a host's routes, longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> byHost;
};

} // namespace Galenawell
