#include "replicamodel.h"

#include <cmath>

namespace Galenawell::Bench {

namespace {

const TimePoint modelStart = TimePoint(std::chrono::hours(1));
constexpr double slowFactor = 10.0;
constexpr double coldFactor = 10.0;
// Requests after which a cold replica's extra time has fallen to a third.
constexpr double warmingRequests = 300.0;
// Time after which a loading replica's extra time has fallen to a third.
constexpr Milliseconds loadingTime{1500.0};
constexpr Milliseconds stallDuration{200.0};
constexpr Milliseconds meanTimeBetweenStalls{4000.0};

Duration toDuration(Milliseconds time)
{
    return std::chrono::duration_cast<Duration>(time);
}

PartitionMap makeMap(std::size_t groups)
{
    PartitionMap map{.service = "search", .epoch = 1, .groups = {}};
    for (std::size_t index = 0; index < groups; ++index) {
        const std::string begin = index == 0 ? "" : std::to_string(1000 + index);
        const std::string end = index + 1 == groups ? "" : std::to_string(1001 + index);
        map.groups.push_back({"g" + std::to_string(index), {begin, end}});
    }
    return map;
}

} // namespace

ReplicaModel::ReplicaModel(const ModelOptions &modelOptions)
    : options(modelOptions)
    , random(modelOptions.seed)
    , table(std::make_shared<RoutingTable>())
    , policies(std::make_shared<ServicePolicies>(modelOptions.service))
    , now(modelStart)
    , countedFrom(modelStart)
{
    ServiceTable &service = this->table->services["search"];
    service.options = this->options.service;
    service.maps.push_back(makeMap(this->options.groups));
    for (const PartitionGroup &group : service.maps.front().groups) {
        for (std::size_t number = 0; number < this->options.replicasPerGroup; ++number) {
            service.groups[group.name].push_back(this->makeReplica(group, Defect::None, modelStart - std::chrono::minutes(5)));
        }
    }
}

double ReplicaModel::uniform()
{
    constexpr std::size_t steps = std::size_t{1} << 40U;
    return (static_cast<double>(this->random.below(steps)) + 0.5) / static_cast<double>(steps);
}

double ReplicaModel::exponential()
{
    return -std::log(this->uniform());
}

void ReplicaModel::schedule(Duration after, std::function<void()> action)
{
    this->events.push({.at = this->now + after, .order = this->nextEvent++, .action = std::move(action)});
}

Replica ReplicaModel::makeReplica(const PartitionGroup &group, Defect defect, TimePoint firstSeen)
{
    Replica replica;
    replica.record.key = {"search", group.name, std::to_string(this->servers.size())};
    replica.record.dataCentre = std::to_string(this->servers.size() % 3);
    // The model finds its server by this number.
    replica.record.sequence = this->servers.size();
    replica.record.state = BackendState::Ready;
    replica.record.epoch = 1;
    replica.record.versions = {1};
    replica.record.range = group.range;
    replica.health = std::make_shared<ReplicaHealth>(this->options.ejection, firstSeen);
    replica.inFlightLimit = this->options.inFlightLimit;
    Server server;
    server.defect = defect;
    server.createdAt = this->now;
    this->servers.push_back(std::move(server));
    return replica;
}

void ReplicaModel::setDefect(Defect defect)
{
    for (std::size_t index = 0; index < this->servers.size(); index += this->options.replicasPerGroup) {
        Server &server = this->servers[index];
        server.defect = defect;
        server.nextStall = this->now + toDuration(meanTimeBetweenStalls * this->exponential());
    }
}

void ReplicaModel::addReplicaAt(Milliseconds at, Defect defect)
{
    this->schedule(toDuration(at), [this, defect] {
        const auto next = std::make_shared<RoutingTable>(*this->table);
        ServiceTable &service = next->services["search"];
        for (const PartitionGroup &group : service.maps.front().groups) {
            service.groups[group.name].push_back(this->makeReplica(group, defect, this->now));
        }
        this->table = next;
    });
}

void ReplicaModel::addLoad(const Load &load, Milliseconds until)
{
    const TimePoint end = modelStart + toDuration(until);
    if (load.concurrent == 0) {
        this->arrive(load, end);
        return;
    }
    for (std::size_t count = 0; count < load.concurrent; ++count) {
        this->repeat(load, end);
    }
}

void ReplicaModel::countFrom(Milliseconds from)
{
    this->countedFrom = modelStart + toDuration(from);
}

void ReplicaModel::arrive(const Load &load, TimePoint until)
{
    const Duration gap = toDuration(Milliseconds(1000.0 * this->exponential() / load.queriesPerSecond));
    this->schedule(gap, [this, load, until] {
        if (this->now < until) {
            this->startQuery(load, nullptr);
            this->arrive(load, until);
        }
    });
}

void ReplicaModel::repeat(const Load &load, TimePoint until)
{
    this->schedule(Duration::zero(), [this, load, until] {
        if (this->now < until) {
            this->startQuery(load, [this, load, until] { this->repeat(load, until); });
        }
    });
}

void ReplicaModel::startQuery(const Load &load, std::function<void()> next)
{
    const ScatterOptions scatterOptions{
        .requestId = {},
        .priority = load.priority,
        .deadline = this->now + load.deadline,
        .partialAllowed = this->options.partialAllowed,
        .selection = this->options.selection,
    };
    const std::size_t index = this->queries.size();
    Query query;
    query.scatter
        = std::make_unique<Scatter>(scatterOptions, this->table, *this->table->findService("search"), this->policies, this->random.next());
    query.priority = load.priority;
    query.startedAt = this->now;
    query.next = std::move(next);
    this->queries.push_back(std::move(query));
    this->apply(index, this->queries[index].scatter->start(this->now));
}

Results ReplicaModel::run()
{
    while (!this->events.empty()) {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.at;
        event.action();
    }
    return this->results;
}

void ReplicaModel::apply(std::size_t index, const ScatterActions &actions)
{
    const bool counted = this->queries[index].startedAt >= this->countedFrom;
    for (const std::uint64_t subrequestId : actions.cancel) {
        this->cancelJob(this->queries[index].jobOf[subrequestId]);
    }
    for (const SubrequestSend &toSend : actions.send) {
        this->send(index, toSend);
    }
    if (counted) {
        const auto hedged = static_cast<std::uint64_t>(std::count(actions.retries.begin(), actions.retries.end(), RetryReason::Hedge));
        this->results.hedges += hedged;
        this->results.retries += actions.retries.size() - hedged;
        this->results.firstSubrequests += actions.send.size() - actions.retries.size();
    }
    if (actions.outcome) {
        this->finishQuery(index, *actions.outcome);
        return;
    }
    Query &query = this->queries[index];
    if (!actions.wakeAt || query.wakeAt == actions.wakeAt) {
        return;
    }
    query.wakeAt = actions.wakeAt;
    const TimePoint at = *actions.wakeAt;
    this->schedule(std::max(at - this->now, Duration::zero()), [this, index, at] {
        Query &woken = this->queries[index];
        if (woken.scatter && woken.wakeAt == at) {
            woken.wakeAt.reset();
            this->apply(index, woken.scatter->onTimer(this->now));
        }
    });
}

void ReplicaModel::finishQuery(std::size_t index, const ScatterOutcome &outcome)
{
    Query &query = this->queries[index];
    const auto priority = static_cast<std::size_t>(query.priority);
    if (query.startedAt >= this->countedFrom) {
        if (outcome.answer) {
            this->results.latencies.at(priority).push_back(Milliseconds(this->now - query.startedAt).count());
        } else {
            ++this->results.refused.at(priority);
        }
    }
    query.scatter.reset();
    query.jobOf.clear();
    if (query.next) {
        query.next();
    }
}

void ReplicaModel::send(std::size_t query, const SubrequestSend &toSend)
{
    const std::uint64_t id = this->nextJob++;
    const auto serverIndex = static_cast<std::size_t>(toSend.replica->record.sequence);
    Server &server = this->servers[serverIndex];
    this->queries[query].jobOf[toSend.subrequestId] = id;
    this->jobs[id] = Job{.server = serverIndex, .query = query, .send = toSend, .sentAt = this->now, .running = false};
    if (server.defect == Defect::Refusing) {
        this->failLater(id, RetryReason::ConnectionRefused);
        return;
    }
    Milliseconds delay = this->options.oneWay;
    if (server.idleConnections > 0) {
        --server.idleConnections;
    } else {
        delay += this->options.connectTime;
    }
    this->schedule(toDuration(delay), [this, id] { this->reachServer(id); });
}

void ReplicaModel::reachServer(std::uint64_t id)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) {
        return;
    }
    Server &server = this->servers[found->second.server];
    if (server.defect == Defect::Silent) {
        return;
    }
    if (server.busy < this->options.slots) {
        this->beginWork(id);
    } else if (server.waiting.size() < this->options.queueLimit) {
        server.waiting.push_back(id);
    } else {
        this->failLater(id, RetryReason::Overloaded);
    }
}

Duration ReplicaModel::serviceTime(Server &server, Priority priority)
{
    Milliseconds time = this->options.serviceTime * (0.5 + 0.5 * this->exponential());
    if (priority == Priority::Bulk) {
        time *= this->options.bulkFactor;
    }
    if (server.defect == Defect::Slow) {
        time *= slowFactor;
    } else if (server.defect == Defect::Cold) {
        time *= 1.0 + (coldFactor - 1.0) * std::exp(-static_cast<double>(server.served) / warmingRequests);
    } else if (server.defect == Defect::Loading) {
        time *= 1.0 + (coldFactor - 1.0) * std::exp(-(Milliseconds(this->now - server.createdAt) / loadingTime));
    } else if (server.defect == Defect::Stalling) {
        while (this->now >= server.nextStall) {
            server.stalledUntil = server.nextStall + toDuration(stallDuration);
            server.nextStall = server.stalledUntil + toDuration(meanTimeBetweenStalls * this->exponential());
        }
        time += std::max(Milliseconds(server.stalledUntil - this->now), Milliseconds::zero());
    }
    ++server.served;
    return toDuration(time);
}

void ReplicaModel::beginWork(std::uint64_t id)
{
    Job &job = this->jobs.at(id);
    Server &server = this->servers[job.server];
    job.running = true;
    ++server.busy;
    this->schedule(this->serviceTime(server, this->queries[job.query].priority), [this, id] { this->endWork(id); });
}

void ReplicaModel::endWork(std::uint64_t id)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) {
        return;
    }
    found->second.running = false;
    const std::size_t serverIndex = found->second.server;
    Server &server = this->servers[serverIndex];
    --server.busy;
    const LoadReport load{.running = server.busy, .waiting = static_cast<std::uint32_t>(server.waiting.size())};
    this->schedule(toDuration(this->options.oneWay), [this, id, load] { this->reply(id, load); });
    this->beginWaiting(serverIndex);
}

void ReplicaModel::beginWaiting(std::size_t serverIndex)
{
    Server &server = this->servers[serverIndex];
    while (server.busy < this->options.slots && !server.waiting.empty()) {
        const std::uint64_t id = server.waiting.front();
        server.waiting.pop_front();
        // Cancelled jobs stay in the queue until their turn.
        if (this->jobs.contains(id)) {
            this->beginWork(id);
        }
    }
}

void ReplicaModel::cancelJob(std::uint64_t id)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) {
        return;
    }
    const Job job = found->second;
    this->jobs.erase(found);
    this->reconnect(job.server);
    if (job.running) {
        --this->servers[job.server].busy;
        this->beginWaiting(job.server);
    }
}

void ReplicaModel::reconnect(std::size_t serverIndex)
{
    if (this->options.reconnectEarly) {
        this->schedule(toDuration(this->options.connectTime), [this, serverIndex] { ++this->servers[serverIndex].idleConnections; });
    }
}

void ReplicaModel::failLater(std::uint64_t id, RetryReason reason)
{
    this->schedule(toDuration(this->options.oneWay * 2.0), [this, id, reason] {
        const auto found = this->jobs.find(id);
        if (found == this->jobs.end()) {
            return;
        }
        const Job job = found->second;
        this->jobs.erase(found);
        this->apply(job.query, this->queries[job.query].scatter->onFailure(job.send.subrequestId, {.reason = reason}, this->now));
    });
}

void ReplicaModel::reply(std::uint64_t id, const LoadReport &load)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) {
        return;
    }
    const Job job = found->second;
    this->jobs.erase(found);
    ++this->servers[job.server].idleConnections;
    Subreply subreply;
    subreply.subrequestId = job.send.subrequestId;
    subreply.snapshot = job.send.snapshot;
    subreply.group = job.send.group;
    subreply.range = job.send.replica->record.range;
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(this->now - job.sentAt);
    this->apply(job.query, this->queries[job.query].scatter->onReply(std::move(subreply), latency, load, this->now));
}

} // namespace Galenawell::Bench
