// Distributes the requests of routes with several services in proportion to the services' weights. A state machine without
// sockets or clock reads.
#pragma once

#include "galenawell/configuration/routeconfiguration.h"
#include "galenawell/core/randomsource.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Galenawell {

class TrafficSplits
{
public:
    explicit TrafficSplits(std::uint64_t seed);

    // Forgets the routes that the configuration doesn't have.
    void retain(const RouteConfiguration &configuration);
    // The service for the next request on the route, never one of weight 0. The route must have services.
    const std::string &choose(const Route &route);

private:
    struct Split
    {
        // The services that the counters were made for.
        std::vector<WeightedService> services;
        // Smooth weighted round robin: each request adds its weight to each counter, and takes the sum of the weights from the
        // one that was largest. Their sum is 0 between two requests.
        std::vector<double> counters;
    };

    std::size_t chooseByWeight(const std::vector<WeightedService> &services);

    // By the name of the route.
    std::map<std::string, Split> splits;
    RandomSource random;
};

} // namespace Galenawell
