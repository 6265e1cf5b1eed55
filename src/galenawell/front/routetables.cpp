#include "galenawell/front/routetables.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Galenawell {

namespace {

// The part of the window's budget that fronts together hand out: clocks and the number of fronts differ a little from
// front to front.
constexpr double budgetPart = 0.95;
// The part of the window's fixed number: fronts come and go within a window.
constexpr double slackPart = 0.75;

// A budget begins with this part of its fixed number, so that all fronts may restart within one window.
constexpr double firstPart = 0.3;

} // namespace

std::vector<BackendRecord> latestAtEachAddress(const std::vector<BackendRecord> &records)
{
    std::map<std::string, const BackendRecord *> latest;
    for (const BackendRecord &record : records) {
        const BackendRecord *&known = latest[record.key.address];
        if (known == nullptr || std::tie(record.incarnation, record.sequence) > std::tie(known->incarnation, known->sequence)) {
            known = &record;
        }
    }
    std::vector<BackendRecord> kept;
    kept.reserve(latest.size());
    for (const auto &[address, record] : latest) {
        kept.push_back(*record);
    }
    return kept;
}

RouteTables::RouteTables(RouteTableOptions tableOptions)
    : options(std::move(tableOptions))
{
}

std::string RouteTables::tableName(const std::string &service)
{
    return service;
}

std::string RouteTables::tableName(const std::vector<std::string> &groups)
{
    // No service has a name with a line break, so a set never has the name of a service.
    std::string name;
    for (const std::string &group : groups) {
        name += group + "\n";
    }
    return name;
}

std::shared_ptr<ServicePolicies> RouteTables::policiesOf(const std::string &service)
{
    std::shared_ptr<ServicePolicies> &known = this->policies[service];
    if (known == nullptr) {
        known = std::make_shared<ServicePolicies>(this->options.hedge, this->options.extraLoadPercent * budgetPart, 1.0);
    }
    return known;
}

ServerTroubles RouteTables::troublesBeyond(ReportedTroubles &reported) const
{
    ServerTroubles troubles;
    std::map<ReplicaKey, ReportedTroubles::Totals> totals;
    for (const auto &[key, known] : this->servers) {
        const ReportedTroubles::Totals now{
            .incarnation = known.incarnation, .outliers = known.health->outliers(), .failures = known.health->failedSubrequests()};
        if (now.outliers == 0 && now.failures == 0) {
            continue;
        }
        const auto found = reported.servers.find(key);
        const bool sameRun = found != reported.servers.end() && found->second.incarnation == now.incarnation;
        const ReportedTroubles::Totals before = sameRun ? found->second : ReportedTroubles::Totals{};
        if (now.outliers != before.outliers) {
            troubles.outliers[key.address] += static_cast<std::int32_t>(now.outliers - before.outliers);
        }
        if (now.failures != before.failures) {
            troubles.failures[key.address] += static_cast<std::int32_t>(now.failures - before.failures);
        }
        totals.emplace(key, now);
    }
    reported.servers = std::move(totals);
    return troubles;
}

void RouteTables::setImpaired(const std::vector<std::string> &addresses)
{
    this->impairedAddresses = std::set<std::string>(addresses.begin(), addresses.end());
    for (const auto &[key, known] : this->servers) {
        known.health->setImpaired(this->impairedAddresses.contains(key.address));
    }
}

void RouteTables::forgetServers(const std::vector<BackendRecord> &records)
{
    std::set<ReplicaKey> present;
    for (const BackendRecord &record : records) {
        present.insert(record.key);
    }
    for (auto known = this->servers.begin(); known != this->servers.end();) {
        if (present.contains(known->first)) {
            ++known;
        } else {
            known->second.health->setAccepting(false);
            known = this->servers.erase(known);
        }
    }
}

RouteTables::ReplicasByService
RouteTables::replicasOf(const RouteConfiguration &plan, const std::vector<BackendRecord> &records, std::size_t fronts, TimePoint now)
{
    ReplicasByService replicas;
    for (const BackendRecord &record : records) {
        const auto service = plan.services().find(record.key.service);
        if (service == plan.services().end()) {
            continue;
        }
        KnownServer &known = this->servers[record.key];
        if (known.health == nullptr || known.incarnation != record.incarnation) {
            if (known.health != nullptr) {
                known.health->setAccepting(false);
            }
            known = KnownServer{.incarnation = record.incarnation, .health = std::make_shared<ReplicaHealth>(EjectionOptions{}, now)};
        }
        known.health->setAccepting(record.state == BackendState::Ready);
        known.health->setImpaired(this->impairedAddresses.contains(record.key.address));
        replicas[record.key.service].push_back(Replica{.record = record, .health = known.health});
    }
    for (auto &[service, own] : replicas) {
        markPreferredReplicas(own, this->options.location);
        ServerConnections connections{.limit = plan.services().at(service).connectionLimit,
                                      .fronts = fronts,
                                      .preferringFronts = frontsPerPreferredReplica(own, fronts)};
        for (Replica &replica : own) {
            connections.preferred = replica.preferred;
            replica.inFlightLimit = inFlightLimitAt(connections);
            replica.idlePolicy = idleConnectionPolicy(connections);
        }
    }
    return replicas;
}

void RouteTables::addTable(RoutingTable &table,
                           const std::string &name,
                           const std::vector<std::string> &services,
                           const ReplicasByService &replicas)
{
    if (table.services.contains(name)) {
        return;
    }
    ServiceTable &entry = table.services[name];
    entry.options.name = name;
    entry.options.kind = services.size() == 1 ? ServiceKind::Pool : ServiceKind::Sharded;
    entry.options.subrequestTimeout = entry.options.maximumDeadline;
    entry.options.hedge = this->options.hedge;
    entry.options.rampUp = std::chrono::milliseconds(0);
    entry.options.admission.concurrencyPercent = {100, 100, 100};
    entry.fixedGroups = PartitionMap{.service = name, .epoch = 0, .groups = {}};
    for (const std::string &service : services) {
        entry.fixedGroups->groups.push_back(PartitionGroup{.name = service, .range = {}});
        entry.groupPolicies[service] = this->policiesOf(service);
        if (const auto found = replicas.find(service); found != replicas.end()) {
            entry.groups[service] = found->second;
        }
    }
}

std::shared_ptr<const RoutingTable> RouteTables::build(const RouteConfiguration &plan,
                                                       const std::vector<BackendRecord> &allRecords,
                                                       std::size_t fronts,
                                                       std::uint64_t revision,
                                                       TimePoint now)
{
    const std::vector<BackendRecord> records = latestAtEachAddress(allRecords);
    this->forgetServers(records);
    const ReplicasByService replicas = this->replicasOf(plan, records, fronts, now);
    auto table = std::make_shared<RoutingTable>();
    table->revision = revision;
    table->dataCentre = this->options.location.dataCentre;
    for (const Route &route : plan.routes()) {
        for (const WeightedService &target : route.services) {
            this->addTable(*table, tableName(target.service), {target.service}, replicas);
        }
        if (route.isScatterGather()) {
            this->addTable(*table, tableName(route.groups), route.groups, replicas);
        }
    }
    const double tokens = std::max(1.0, this->options.extraLoadSlack * slackPart / static_cast<double>(fronts));
    for (const auto &[name, shared] : this->policies) {
        shared->retries.setCapacity(tokens);
        if (this->granted.insert(name).second) {
            shared->retries.grant(tokens * firstPart);
        }
    }
    return table;
}

} // namespace Galenawell
