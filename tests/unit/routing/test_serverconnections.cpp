#include "galenawell/routing/serverconnections.h"

#include <criterion/criterion.h>

using namespace Galenawell;

namespace {

// Idle connections of all fronts to one server that a third of them prefers.
std::size_t idleOfAllFronts(ServerConnections server)
{
    server.preferringFronts = (server.fronts + 2) / 3;
    server.preferred = true;
    const std::size_t idleOfPreferringFronts = server.preferringFronts * idleConnectionPolicy(server).minimumIdle;
    server.preferred = false;
    return idleOfPreferringFronts + (server.fronts - server.preferringFronts) * idleConnectionPolicy(server).minimumIdle;
}

} // namespace

// Guards against fronts that restart after a power loss and can't connect, because the servers still hold the old
// connections.
Test(serverconnections, all_fronts_together_keep_at_most_half_of_the_connections_of_a_server)
{
    for (const std::uint32_t limit : {1U, 3U, 16U, 31U, 41U, 60U, 66U, 100U, 470U}) {
        for (const std::size_t fronts : {1U, 2U, 7U, 13U, 55U, 69U, 300U}) {
            const ServerConnections server{.limit = limit, .fronts = fronts};
            cr_assert(idleOfAllFronts(server) <= limit / 2, "limit %u, %zu fronts", limit, fronts);
        }
    }
}

// Guards against a new connection for each request although the server accepts enough idle ones.
Test(serverconnections, few_fronts_keep_several_and_preferring_fronts_of_many_keep_one)
{
    cr_assert_eq(idleConnectionPolicy({.limit = 41, .fronts = 7, .preferringFronts = 3, .preferred = false}).minimumIdle, 2);
    cr_assert_eq(idleConnectionPolicy({.limit = 66, .fronts = 69, .preferringFronts = 23, .preferred = true}).minimumIdle, 1);
    cr_assert_eq(idleConnectionPolicy({.limit = 66, .fronts = 69, .preferringFronts = 23, .preferred = false}).minimumIdle, 0);
}

// Guards against a front's second request going to another server although the preferred one has capacity, and against
// preferring fronts that together exceed the server's limit.
Test(serverconnections, a_preferred_server_takes_a_second_request_if_all_preferring_fronts_may_send_two)
{
    cr_assert_eq(inFlightLimitAt({.limit = 66, .fronts = 69, .preferringFronts = 23, .preferred = true}), 2);
    cr_assert_eq(inFlightLimitAt({.limit = 66, .fronts = 69, .preferringFronts = 23, .preferred = false}), 1);
    cr_assert_eq(inFlightLimitAt({.limit = 41, .fronts = 7, .preferringFronts = 3, .preferred = false}), 5);
    for (const std::size_t fronts : {10U, 30U, 55U, 69U}) {
        cr_assert(inFlightLimitAt({.limit = 66, .fronts = fronts, .preferringFronts = fronts, .preferred = true}) * fronts <= 69U);
    }
}
