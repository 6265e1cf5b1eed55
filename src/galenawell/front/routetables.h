// Builds the routing table of routed requests from the plan in force and the known backend servers. Latencies, budgets and
// what was observed of each server go on from one table to the next.
#pragma once

#include "galenawell/configuration/routeconfiguration.h"
#include "galenawell/query/scatter.h"
#include "galenawell/registry/backendregistry.h"
#include "galenawell/routing/preferredreplicas.h"
#include "galenawell/routing/routingtable.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Galenawell {

struct RouteTableOptions
{
    FrontLocation location;
    HedgeOptions hedge{};
    // Of all fronts together; each takes its part.
    double extraLoadPercent = 20.0;
    double extraLoadSlack = 50.0;
};

// Subrequests by the address of their server.
struct ServerTroubles
{
    // That took far longer than usual.
    std::map<std::string, std::int32_t> outliers;
    // That failed by the server's or its connection's fault.
    std::map<std::string, std::int32_t> failures;
};

// Totals of one front when it last reported them to one control process.
struct ReportedTroubles
{
    struct Totals
    {
        Incarnation incarnation = 0;
        std::uint32_t outliers = 0;
        std::uint32_t failures = 0;
    };

    std::map<ReplicaKey, Totals> servers;
};

class RouteTables
{
public:
    explicit RouteTables(RouteTableOptions options);

    // The number of fronts divides limits and budgets.
    std::shared_ptr<const RoutingTable> build(const RouteConfiguration &plan,
                                              const std::vector<BackendRecord> &records,
                                              std::size_t fronts,
                                              std::uint64_t revision,
                                              TimePoint now);

    // Name in the table of what a route leads to: one service, or a set of groups.
    static std::string tableName(const std::string &service);
    static std::string tableName(const std::vector<std::string> &groups);

    // Troubles with servers beyond those that were reported, which the reported ones then contain.
    ServerTroubles troublesBeyond(ReportedTroubles &reported) const;
    // Replaces the servers that fronts together find slow or failing.
    void setImpaired(const std::vector<std::string> &addresses);

    std::shared_ptr<ServicePolicies> policiesOf(const std::string &service);

private:
    struct KnownServer
    {
        Incarnation incarnation = 0;
        std::shared_ptr<ReplicaHealth> health;
    };

    using ReplicasByService = std::map<std::string, std::vector<Replica>>;

    ReplicasByService
    replicasOf(const RouteConfiguration &plan, const std::vector<BackendRecord> &records, std::size_t fronts, TimePoint now);
    void forgetServers(const std::vector<BackendRecord> &records);
    void
    addTable(RoutingTable &table, const std::string &name, const std::vector<std::string> &services, const ReplicasByService &replicas);

    RouteTableOptions options;
    std::map<ReplicaKey, KnownServer> servers;
    std::set<std::string> impairedAddresses;
    std::map<std::string, std::shared_ptr<ServicePolicies>> policies;
    // Services whose budget has its first tokens.
    std::set<std::string> granted;
};

// One record for each address: addresses are used again, and the latest start at an address is the one that answers there.
std::vector<BackendRecord> latestAtEachAddress(const std::vector<BackendRecord> &records);

} // namespace Galenawell
