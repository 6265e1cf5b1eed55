#include "galenawell/routing/serverconnections.h"

#include "galenawell/routing/routingtable.h"

#include <algorithm>

namespace Galenawell {

namespace {

// One in this many of a server's connections may be idle.
constexpr std::size_t idleDivisor = 2;
// Long enough for the requests of a burst, which would otherwise each open a connection.
constexpr std::chrono::milliseconds surplusTimeout{2000};
// Part of a server's connections for the fronts that prefer it, if the connections don't suffice for two per front.
constexpr double preferringFrontsFraction = 0.75;

} // namespace

IdleConnectionPolicy idleConnectionPolicy(const ServerConnections &server)
{
    const std::size_t idleLimit = server.limit / idleDivisor;
    if (const std::size_t perFront = idleLimit / std::max<std::size_t>(server.fronts, 1); perFront > 0) {
        return {.minimumIdle = perFront, .surplusIdleTimeout = surplusTimeout};
    }
    // Too many fronts for one idle connection each: only those that prefer the server keep one.
    return {.minimumIdle = server.preferred && server.preferringFronts <= idleLimit ? std::size_t{1} : 0,
            .surplusIdleTimeout = surplusTimeout};
}

std::uint32_t inFlightLimitAt(const ServerConnections &server)
{
    const std::uint32_t equalShare = connectionShare(server.limit, server.fronts);
    if (!server.preferred) {
        return equalShare;
    }
    const auto preferringLimit = static_cast<std::uint32_t>(server.limit * preferringFrontsFraction);
    return std::max(equalShare, connectionShare(preferringLimit, server.preferringFronts));
}

} // namespace Galenawell
