// Builds the routing table for routed requests from the configuration and the registered backend servers. Latencies,
// budgets and the health of each server carry over from one table to the next.
#pragma once

#include "galenawell/configuration/routeconfiguration.h"
#include "galenawell/query/scatter.h"
#include "galenawell/registry/backendregistry.h"
#include "galenawell/routing/preferredreplicas.h"
#include "galenawell/routing/routingtable.h"
#include "galenawell/routing/serverlimits.h"

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
    // Of all fronts together; divided among them.
    double extraLoadPercent = 20.0;
    double extraLoadSlack = 50.0;
    std::chrono::milliseconds extraLoadWindow{10000};
};

// Impaired subrequests by the address of their server.
struct ServerImpairmentCounts
{
    // Took far longer than usual.
    std::map<std::string, std::int32_t> outliers;
    // Failed because of the server or its connection.
    std::map<std::string, std::int32_t> failures;
};

// Totals that this front last reported to one control process.
struct ReportedImpairments
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

    // Takes usable servers. Limits and budgets are divided by the number of fronts.
    std::shared_ptr<const RoutingTable> build(const RouteConfiguration &configuration,
                                              const std::vector<BackendRecord> &records,
                                              std::size_t fronts,
                                              std::uint64_t revision,
                                              TimePoint now);

    // Table name of the target of a route: one service, or a set of groups.
    static std::string tableName(const std::string &service);
    static std::string tableName(const std::vector<std::string> &groups);

    // Returns the increase since the reported totals, and sets them to the current ones.
    ServerImpairmentCounts takeUnreportedImpairments(ReportedImpairments &reported) const;
    // Replaces the list of servers that control found slow or failing from the reports of all fronts.
    void setImpaired(const std::vector<std::string> &addresses);

    std::shared_ptr<ServicePolicies> policiesOf(const std::string &service);
    ServerLimits &limits();

private:
    struct TrackedServer
    {
        Incarnation incarnation = 0;
        std::shared_ptr<ReplicaHealth> health;
        // When the server was last registered.
        TimePoint presentAt;
    };

    using ReplicasByService = std::map<std::string, std::vector<Replica>>;

    ReplicasByService
    replicasOf(const RouteConfiguration &configuration, const std::vector<BackendRecord> &records, std::size_t fronts, TimePoint now);
    // Keeps servers for a while that said they leave or pause, or may yet say it, as the registry may list them again.
    void removeAbsentServers(const std::vector<BackendRecord> &records, TimePoint now);
    void
    addTable(RoutingTable &table, const std::string &name, const std::vector<std::string> &services, const ReplicasByService &replicas);

    RouteTableOptions options;
    std::map<ReplicaKey, TrackedServer> servers;
    ServerLimits serverLimits;
    std::set<std::string> impairedAddresses;
    std::map<std::string, std::shared_ptr<ServicePolicies>> policies;
    // Services whose budget was given its initial tokens.
    std::set<std::string> grantedServices;
};

// The records of the configured services, of these the one with the latest incarnation for each address, because addresses are
// reused. A record of any other service may come from another writer and must not hide a server.
std::vector<BackendRecord> usableServers(const RouteConfiguration &configuration, const std::vector<BackendRecord> &records);

} // namespace Galenawell
