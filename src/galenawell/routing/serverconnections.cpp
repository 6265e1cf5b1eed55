#include "galenawell/routing/serverconnections.h"

#include "galenawell/routing/routingtable.h"

#include <algorithm>

namespace Galenawell {

namespace {

// Part of a server's connections that may rest: one in this many.
constexpr std::size_t restingDivisor = 2;
// Long enough for the requests of a burst, which would else make a connection each.
constexpr std::chrono::milliseconds brief{2000};
// Part of a server's connections for fronts that have it as a home, where not all fronts can have two.
constexpr double homePart = 0.75;

} // namespace

IdleConnectionPolicy idleConnectionPolicy(const ServerConnections &server)
{
    const std::size_t resting = server.limit / restingDivisor;
    if (const std::size_t each = resting / std::max<std::size_t>(server.fronts, 1); each > 0) {
        return {.minimumIdle = each, .surplusIdleTimeout = brief};
    }
    // Too many fronts for one lasting connection each: those that use the server most keep theirs.
    return {.minimumIdle = server.preferred && server.preferringFronts <= resting ? std::size_t{1} : 0, .surplusIdleTimeout = brief};
}

std::uint32_t inFlightLimitAt(const ServerConnections &server)
{
    const std::uint32_t equal = connectionShare(server.limit, server.fronts);
    if (!server.preferred) {
        return equal;
    }
    const auto homeLimit = static_cast<std::uint32_t>(server.limit * homePart);
    return std::max(equal, connectionShare(homeLimit, server.preferringFronts));
}

} // namespace Galenawell
