// How many idle connections a front keeps to a backend server, and for how long. Answers a power loss of many fronts: the
// server goes on holding their old connections for a while, and must have places for the new ones all the same.
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
    // Over which the fronts and the servers are spread.
    std::size_t dataCentres = 1;
    // The server is in the front's own data centre.
    bool near = false;
};

struct KeptConnections
{
    // This many stay open until the server closes them.
    std::size_t lasting = 0;
    // The others are closed when they had no request for this time.
    std::chrono::milliseconds briefly{0};
};

KeptConnections keptConnections(const ServerConnections &server);

} // namespace Galenawell
