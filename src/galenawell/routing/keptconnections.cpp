#include "galenawell/routing/keptconnections.h"

#include <algorithm>

namespace Galenawell {

namespace {

// Part of a server's connections that may rest: one in this many.
constexpr std::size_t restingDivisor = 2;
// Long enough for the requests of a burst, which would else make a connection each.
constexpr std::chrono::milliseconds brief{1000};

} // namespace

KeptConnections keptConnections(const ServerConnections &server)
{
    const std::size_t resting = server.limit / restingDivisor;
    const std::size_t fronts = std::max<std::size_t>(server.fronts, 1);
    if (const std::size_t each = resting / fronts; each > 0) {
        return {.lasting = each, .briefly = brief};
    }
    // Too many fronts for one lasting connection each: those that use the server most keep theirs.
    const std::size_t dataCentres = std::max<std::size_t>(server.dataCentres, 1);
    const std::size_t nearFronts = (fronts + dataCentres - 1) / dataCentres;
    return {.lasting = server.near && nearFronts <= resting ? std::size_t{1} : 0, .briefly = brief};
}

} // namespace Galenawell
