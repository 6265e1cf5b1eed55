#include "galenawell/front/routetables.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Galenawell {

namespace {

// Share of the budget that is used, because clocks and the number of live fronts differ slightly between fronts.
constexpr double budgetShare = 0.95;
// Parts of the fixed number of tokens in a window: held in the buckets at its start, and refilled during it. The rest covers
// fronts that start, stop, or begin to carry traffic within the window.
constexpr double capacityShare = 0.4;
constexpr double refillShare = 0.4;

// A server that is absent from the registry for longer isn't listed again under the same incarnation.
constexpr std::chrono::seconds absentServerRetention{120};

// Share of its capacity that a budget starts with, so that all fronts may restart within one window.
constexpr double initialTokenShare = 0.3;

} // namespace

std::vector<BackendRecord> usableServers(const RouteConfiguration &configuration, const std::vector<BackendRecord> &records)
{
    std::map<std::string, const BackendRecord *> latest;
    for (const BackendRecord &record : records) {
        if (!configuration.services().contains(record.key.service)) {
            continue;
        }
        const BackendRecord *&newest = latest[record.key.address];
        if (newest == nullptr || std::tie(record.incarnation, record.sequence) > std::tie(newest->incarnation, newest->sequence)) {
            newest = &record;
        }
    }
    std::vector<BackendRecord> latestRecords;
    latestRecords.reserve(latest.size());
    for (const auto &[address, record] : latest) {
        latestRecords.push_back(*record);
    }
    return latestRecords;
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
    // Names of services contain no line break, so they differ from those of sets.
    std::string name;
    for (const std::string &group : groups) {
        name += group + "\n";
    }
    return name;
}

std::shared_ptr<ServicePolicies> RouteTables::policiesOf(const std::string &service)
{
    std::shared_ptr<ServicePolicies> &found = this->policies[service];
    if (found == nullptr) {
        found = std::make_shared<ServicePolicies>(this->options.hedge, this->options.extraLoadPercent * budgetShare, 1.0);
    }
    return found;
}

ServerLimits &RouteTables::limits()
{
    return this->serverLimits;
}

ServerImpairmentCounts RouteTables::takeUnreportedImpairments(ReportedImpairments &reported) const
{
    ServerImpairmentCounts impairments;
    std::map<ReplicaKey, ReportedImpairments::Totals> totals;
    for (const auto &[key, tracked] : this->servers) {
        const ReportedImpairments::Totals current{
            .incarnation = tracked.incarnation, .outliers = tracked.health->outliers(), .failures = tracked.health->failedSubrequests()};
        if (current.outliers == 0 && current.failures == 0) {
            continue;
        }
        const auto found = reported.servers.find(key);
        const bool sameIncarnation = found != reported.servers.end() && found->second.incarnation == current.incarnation;
        const ReportedImpairments::Totals previous = sameIncarnation ? found->second : ReportedImpairments::Totals{};
        if (current.outliers != previous.outliers) {
            impairments.outliers[key.address] += static_cast<std::int32_t>(current.outliers - previous.outliers);
        }
        if (current.failures != previous.failures) {
            impairments.failures[key.address] += static_cast<std::int32_t>(current.failures - previous.failures);
        }
        totals.emplace(key, current);
    }
    reported.servers = std::move(totals);
    return impairments;
}

void RouteTables::setImpaired(const std::vector<std::string> &addresses)
{
    this->impairedAddresses = std::set<std::string>(addresses.begin(), addresses.end());
    for (const auto &[key, tracked] : this->servers) {
        tracked.health->setImpaired(this->impairedAddresses.contains(key.address));
    }
}

void RouteTables::removeAbsentServers(const std::vector<BackendRecord> &records, TimePoint now)
{
    std::set<ReplicaKey> present;
    for (const BackendRecord &record : records) {
        present.insert(record.key);
    }
    for (auto tracked = this->servers.begin(); tracked != this->servers.end();) {
        TrackedServer &server = tracked->second;
        if (present.contains(tracked->first)) {
            server.presentAt = now;
            ++tracked;
            continue;
        }
        server.health->setAccepting(false);
        // A running request that holds the health object may still learn that the server leaves or pauses.
        const bool keepsState = server.health.use_count() > 1 || server.health->leaving() || server.health->pauseEnd() > now;
        if (keepsState && now - server.presentAt < absentServerRetention) {
            ++tracked;
        } else {
            tracked = this->servers.erase(tracked);
        }
    }
}

RouteTables::ReplicasByService RouteTables::replicasOf(const RouteConfiguration &configuration,
                                                       const std::vector<BackendRecord> &records,
                                                       std::size_t fronts,
                                                       TimePoint now)
{
    ReplicasByService replicas;
    for (const BackendRecord &record : records) {
        TrackedServer &tracked = this->servers[record.key];
        if (tracked.health == nullptr || tracked.incarnation != record.incarnation) {
            if (tracked.health != nullptr) {
                tracked.health->setAccepting(false);
            }
            tracked = TrackedServer{
                .incarnation = record.incarnation, .health = std::make_shared<ReplicaHealth>(EjectionOptions{}, now), .presentAt = now};
        }
        tracked.health->setAccepting(record.state == BackendState::Ready);
        tracked.health->setImpaired(this->impairedAddresses.contains(record.key.address));
        const ServerRun run{.address = record.key.address, .incarnation = record.incarnation};
        replicas[record.key.service].push_back(
            Replica{.record = record, .health = tracked.health, .allowance = this->serverLimits.allowanceOf(run, now)});
    }
    for (auto &[service, serviceReplicas] : replicas) {
        markPreferredReplicas(serviceReplicas, this->options.location);
        ServerConnections connections{.limit = configuration.services().at(service).connectionLimit,
                                      .fronts = fronts,
                                      .preferringFronts = frontsPerPreferredReplica(serviceReplicas, fronts)};
        for (Replica &replica : serviceReplicas) {
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

std::shared_ptr<const RoutingTable> RouteTables::build(const RouteConfiguration &configuration,
                                                       const std::vector<BackendRecord> &records,
                                                       std::size_t fronts,
                                                       std::uint64_t revision,
                                                       TimePoint now)
{
    this->removeAbsentServers(records, now);
    const ReplicasByService replicas = this->replicasOf(configuration, records, fronts, now);
    auto table = std::make_shared<RoutingTable>();
    table->revision = revision;
    table->dataCentre = this->options.location.dataCentre;
    for (const Route &route : configuration.routes()) {
        for (const WeightedService &target : route.services) {
            this->addTable(*table, tableName(target.service), {target.service}, replicas);
        }
        if (route.isScatterGather()) {
            this->addTable(*table, tableName(route.groups), route.groups, replicas);
        }
    }
    const double slack = this->options.extraLoadSlack / static_cast<double>(fronts);
    const std::chrono::duration<double> window = this->options.extraLoadWindow;
    const ExtraLoadAllowance allowance{.capacity = std::max(1.0, slack * capacityShare),
                                       .refillPerSecond = slack * refillShare / window.count()};
    for (const auto &[name, servicePolicies] : this->policies) {
        servicePolicies->retries.setAllowance(allowance);
        if (this->grantedServices.insert(name).second) {
            servicePolicies->retries.grant(allowance.capacity * initialTokenShare, now);
        }
    }
    return table;
}

} // namespace Galenawell
