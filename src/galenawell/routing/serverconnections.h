// Limits a front's requests in flight and idle connections at one backend server. Handles more fronts than the server accepts
// connections, and a power loss of many fronts: the server keeps their dead connections for a while, and must still have
// free ones for the restarted fronts.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Galenawell {

struct ServerConnections
{
    // Connections that the server accepts from all fronts together.
    std::uint32_t limit = 1;
    std::size_t fronts = 1;
    // Fronts for which the server is a preferred replica.
    std::size_t preferringFronts = 1;
    // This front is one of them.
    bool preferred = false;
};

struct IdleConnectionPolicy
{
    // This many idle connections stay open until the server closes them.
    std::size_t minimumIdle = 0;
    // The others are closed after this time without a request.
    std::chrono::milliseconds surplusIdleTimeout{0};
};

IdleConnectionPolicy idleConnectionPolicy(const ServerConnections &server);
// Limit of this front's requests in flight at the server.
std::uint32_t inFlightLimitAt(const ServerConnections &server);

} // namespace Galenawell
