// How many requests a front has at a backend server at once, and how many idle connections it keeps to it. Answers more
// fronts than a server takes connections, and a power loss of many fronts: the server goes on holding their old connections
// for a while, and must have places for the new ones all the same.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Galenawell {

struct ServerConnections
{
    // Connections that the server takes from all fronts together.
    std::uint32_t limit = 1;
    std::size_t fronts = 1;
    // Fronts that have the server as a home.
    std::size_t preferringFronts = 1;
    // This front is one of them.
    bool preferred = false;
};

struct IdleConnectionPolicy
{
    // This many stay open until the server closes them.
    std::size_t minimumIdle = 0;
    // The others are closed when they had no request for this time.
    std::chrono::milliseconds surplusIdleTimeout{0};
};

IdleConnectionPolicy idleConnectionPolicy(const ServerConnections &server);
// Requests of this front at the server at once.
std::uint32_t inFlightLimitAt(const ServerConnections &server);

} // namespace Galenawell
