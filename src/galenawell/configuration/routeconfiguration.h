// Routes of opaque requests: maps a host and path to a service, weighted services or a set of groups, with the limits of
// each route. Immutable once validated.
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

    bool operator==(const WeightedService &) const = default;
};

struct Route
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    // Whether a request may be executed more than once.
    bool idempotent = true;
    // Maximum time until the caller gets a reply.
    std::chrono::milliseconds timeout{1000};
    // Target latency of a complete answer.
    std::chrono::milliseconds latencyObjective{1000};
    // 0 is the most urgent.
    unsigned rank = 0;
    // Replicas of one service that may execute one request.
    unsigned maximumExecutions = 1;
    // One service, or several with requests split by weight; empty for a scatter-gather route.
    std::vector<WeightedService> services{};
    // Groups of a scatter-gather route: each answers a part of the request and is a service of its own.
    std::vector<std::string> groups{};
    // Maximum number of records in a merged answer.
    std::size_t recordLimit = 0;
    // Share of the groups that must reply for a partial answer.
    double minimumGroupShare = 1.0;

    bool isScatterGather() const;
    // Number of groups that must reply for an answer; at least one.
    std::size_t minimumGroups() const;
    Priority priority() const;
};

struct RoutedService
{
    std::string name;
    // Connections that a replica accepts from all fronts together.
    std::uint32_t connectionLimit = 1;
};

// Limits on the requests of callers.
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
    // Fails with InvalidConfiguration for the first invalid route.
    static Result<RouteConfiguration>
    make(std::uint64_t number, std::vector<Route> routes, std::vector<RoutedService> services, CallerLimits limits);

    RouteConfiguration() = default;

    // Longest-prefix match among the host's routes; nullptr if there is none.
    const Route *find(std::string_view host, std::string_view path) const;

    // 0 if default-constructed.
    std::uint64_t number() const;
    const std::vector<Route> &routes() const;
    const std::map<std::string, RoutedService> &services() const;
    const CallerLimits &limits() const;

private:
    Status check() const;
    Status check(const Route &route) const;
    Status checkTargets(const Route &route) const;

    std::uint64_t configurationNumber = 0;
    std::vector<Route> allRoutes;
    std::map<std::string, RoutedService> allServices;
    CallerLimits callerLimits;
    // Indexes of a host's routes, longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> routesByHost;
};

} // namespace Galenawell
