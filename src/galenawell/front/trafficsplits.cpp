#include "galenawell/front/trafficsplits.h"

#include <algorithm>
#include <numeric>

namespace Galenawell {

namespace {

double totalWeight(const std::vector<WeightedService> &services)
{
    return std::accumulate(
        services.begin(), services.end(), 0.0, [](double total, const WeightedService &service) { return total + service.weight; });
}

std::size_t indexOfLargest(const std::vector<double> &counters, const std::vector<WeightedService> &services)
{
    std::size_t largest = services.size();
    for (std::size_t index = 0; index < services.size(); ++index) {
        if (services[index].weight > 0 && (largest == services.size() || counters[index] > counters[largest])) {
            largest = index;
        }
    }
    return largest;
}

} // namespace

TrafficSplits::TrafficSplits(std::uint64_t seed)
    : random(seed)
{
}

void TrafficSplits::retain(const RouteConfiguration &configuration)
{
    std::erase_if(this->splits, [&configuration](const auto &split) {
        return std::ranges::find(configuration.routes(), split.first, &Route::name) == configuration.routes().end();
    });
}

const std::string &TrafficSplits::choose(const Route &route)
{
    const std::vector<WeightedService> &services = route.services;
    if (services.size() == 1) {
        return services.front().service;
    }
    Split &split = this->splits[route.name];
    // Counters of other services or weights would favour a service for what it was owed before the change.
    const bool starts = split.services != services;
    if (starts) {
        split = Split{.services = services, .counters = std::vector<double>(services.size(), 0.0)};
    }
    for (std::size_t index = 0; index < services.size(); ++index) {
        split.counters[index] += services[index].weight;
    }
    // All fronts start a changed split together, so a fixed first service would get more than its share.
    const std::size_t chosen = starts ? this->chooseByWeight(services) : indexOfLargest(split.counters, services);
    split.counters[chosen] -= totalWeight(services);
    return services[chosen].service;
}

std::size_t TrafficSplits::chooseByWeight(const std::vector<WeightedService> &services)
{
    constexpr std::size_t resolution = std::size_t(1) << 32;
    double remaining = totalWeight(services) * static_cast<double>(this->random.below(resolution)) / static_cast<double>(resolution);
    std::size_t chosen = services.size();
    for (std::size_t index = 0; index < services.size() && remaining >= 0; ++index) {
        if (services[index].weight > 0) {
            chosen = index;
            remaining -= services[index].weight;
        }
    }
    return chosen;
}

} // namespace Galenawell
