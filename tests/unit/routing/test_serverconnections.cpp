#include "galenawell/routing/serverconnections.h"

#include <criterion/criterion.h>

using namespace Galenawell;

namespace {

// Connections that all fronts keep to one server that a third of them has as a home.
std::size_t lastingOfAll(ServerConnections server)
{
    server.preferringFronts = (server.fronts + 2) / 3;
    server.preferred = true;
    const std::size_t homeKept = server.preferringFronts * idleConnectionPolicy(server).minimumIdle;
    server.preferred = false;
    return homeKept + (server.fronts - server.preferringFronts) * idleConnectionPolicy(server).minimumIdle;
}

} // namespace

// Guards against fronts that come back from a power loss and find no place at the servers, which still hold the
// connections of before.
Test(serverconnections, all_fronts_together_keep_at_most_half_of_a_servers_connections)
{
    for (const std::uint32_t limit : {1U, 3U, 16U, 31U, 41U, 60U, 66U, 100U, 470U}) {
        for (const std::size_t fronts : {1U, 2U, 7U, 13U, 55U, 69U, 300U}) {
            const ServerConnections server{.limit = limit, .fronts = fronts};
            cr_assert(lastingOfAll(server) <= limit / 2, "%u places, %zu fronts", limit, fronts);
        }
    }
}

// Guards against a new connection for each request where there is room for lasting ones.
Test(serverconnections, few_fronts_keep_several_and_home_fronts_of_many_keep_one)
{
    cr_assert_eq(idleConnectionPolicy({.limit = 41, .fronts = 7, .preferringFronts = 3, .preferred = false}).minimumIdle, 2);
    cr_assert_eq(idleConnectionPolicy({.limit = 66, .fronts = 69, .preferringFronts = 23, .preferred = true}).minimumIdle, 1);
    cr_assert_eq(idleConnectionPolicy({.limit = 66, .fronts = 69, .preferringFronts = 23, .preferred = false}).minimumIdle, 0);
}

// Guards against a second request of a front going elsewhere on a new connection while its home has room, and against homes
// beyond what the server takes.
Test(serverconnections, a_home_takes_a_second_request_while_all_its_fronts_may)
{
    cr_assert_eq(inFlightLimitAt({.limit = 66, .fronts = 69, .preferringFronts = 23, .preferred = true}), 2);
    cr_assert_eq(inFlightLimitAt({.limit = 66, .fronts = 69, .preferringFronts = 23, .preferred = false}), 1);
    cr_assert_eq(inFlightLimitAt({.limit = 41, .fronts = 7, .preferringFronts = 3, .preferred = false}), 5);
    for (const std::size_t fronts : {10U, 30U, 55U, 69U}) {
        cr_assert(inFlightLimitAt({.limit = 66, .fronts = fronts, .preferringFronts = fronts, .preferred = true}) * fronts <= 69U);
    }
}
