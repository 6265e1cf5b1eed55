#include "galenawell/routing/keptconnections.h"

#include <criterion/criterion.h>

using namespace Galenawell;

namespace {

// Connections that all fronts keep to one server of the first data centre.
std::size_t lastingOfAll(ServerConnections server)
{
    const std::size_t near = (server.fronts + server.dataCentres - 1) / server.dataCentres;
    server.near = true;
    const std::size_t nearKept = near * keptConnections(server).lasting;
    server.near = false;
    return nearKept + (server.fronts - near) * keptConnections(server).lasting;
}

} // namespace

// Guards against fronts that come back from a power loss and find no place at the servers, which still hold the
// connections of before.
Test(keptconnections, all_fronts_together_keep_at_most_half_of_a_servers_connections)
{
    for (const std::uint32_t limit : {1U, 3U, 16U, 31U, 41U, 60U, 66U, 100U, 470U}) {
        for (const std::size_t fronts : {1U, 2U, 7U, 13U, 55U, 69U, 300U}) {
            for (const std::size_t dataCentres : {1U, 3U, 5U}) {
                const ServerConnections server{.limit = limit, .fronts = fronts, .dataCentres = dataCentres};
                cr_assert(lastingOfAll(server) <= limit / 2, "%u places, %zu fronts, %zu data centres", limit, fronts, dataCentres);
            }
        }
    }
}

// Guards against a new connection for each request where there is room for lasting ones.
Test(keptconnections, few_fronts_keep_several_and_near_ones_of_many_keep_one)
{
    cr_assert_eq(keptConnections({.limit = 41, .fronts = 7, .dataCentres = 3, .near = false}).lasting, 2);
    cr_assert_eq(keptConnections({.limit = 66, .fronts = 69, .dataCentres = 3, .near = true}).lasting, 1);
    cr_assert_eq(keptConnections({.limit = 66, .fronts = 69, .dataCentres = 3, .near = false}).lasting, 0);
}
