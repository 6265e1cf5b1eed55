#include "replicamodel.h"

#include <cmath>

namespace Galenawell::Bench {

namespace {

const TimePoint modelStart = TimePoint(std::chrono::hours(1));
constexpr double slowFactor = 10.0;
constexpr double initialSlowdown = 10.0;
// Requests after which the additional service time of a cold replica has fallen to 1/e.
constexpr double warmingRequests = 300.0;
// Time after which the additional service time of a loading replica has fallen to 1/e.
constexpr Milliseconds loadingTime{1500.0};
constexpr Milliseconds stallDuration{200.0};
constexpr Milliseconds meanTimeBetweenStalls{4000.0};

Duration toDuration(Milliseconds time)
{
    return std::chrono::duration_cast<Duration>(time);
}

PartitionMap makePartitionMap(std::size_t groups)
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
    , measuredFrom(modelStart)
{
    ServiceTable &service = this->table->services["search"];
    service.options = this->options.service;
    service.maps.push_back(makePartitionMap(this->options.groups));
    for (const PartitionGroup &group : service.maps.front().groups) {
        for (std::size_t number = 0; number < this->options.replicasPerGroup; ++number) {
            service.groups[group.name].push_back(this->makeReplica(group, Defect::None, modelStart - std::chrono::minutes(5)));
        }
    }
}

double ReplicaModel::drawUniform()
{
    constexpr std::size_t steps = std::size_t{1} << 40U;
    return (static_cast<double>(this->random.below(steps)) + 0.5) / static_cast<double>(steps);
}

double ReplicaModel::drawExponential()
{
    return -std::log(this->drawUniform());
}

void ReplicaModel::schedule(Duration after, std::function<void()> action)
{
    this->events.push({.at = this->now + after, .sequenceNumber = this->nextEventNumber++, .action = std::move(action)});
}

Replica ReplicaModel::makeReplica(const PartitionGroup &group, Defect defect, TimePoint firstSeen)
{
    Replica replica;
    replica.record.key = {"search", group.name, std::to_string(this->servers.size())};
    replica.record.dataCentre = std::to_string(this->servers.size() % 3);
    // Index into this->servers.
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
        server.nextStall = this->now + toDuration(meanTimeBetweenStalls * this->drawExponential());
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

void ReplicaModel::addWorkload(const Workload &workload, Milliseconds until)
{
    const TimePoint end = modelStart + toDuration(until);
    if (workload.closedLoopQueries == 0) {
        this->scheduleArrival(workload, end);
        return;
    }
    for (std::size_t count = 0; count < workload.closedLoopQueries; ++count) {
        this->startClosedLoop(workload, end);
    }
}

void ReplicaModel::measureFrom(Milliseconds from)
{
    this->measuredFrom = modelStart + toDuration(from);
}

void ReplicaModel::scheduleArrival(const Workload &workload, TimePoint until)
{
    const Duration gap = toDuration(Milliseconds(1000.0 * this->drawExponential() / workload.queriesPerSecond));
    this->schedule(gap, [this, workload, until] {
        if (this->now < until) {
            this->startQuery(workload, nullptr);
            this->scheduleArrival(workload, until);
        }
    });
}

void ReplicaModel::startClosedLoop(const Workload &workload, TimePoint until)
{
    this->schedule(Duration::zero(), [this, workload, until] {
        if (this->now < until) {
            this->startQuery(workload, [this, workload, until] { this->startClosedLoop(workload, until); });
        }
    });
}

void ReplicaModel::startQuery(const Workload &workload, std::function<void()> onFinished)
{
    const ScatterOptions scatterOptions{
        .requestId = {},
        .priority = workload.priority,
        .deadline = this->now + workload.deadline,
        .partialAllowed = this->options.partialAllowed,
        .selection = this->options.selection,
    };
    const std::size_t index = this->queries.size();
    Query query;
    query.scatter
        = std::make_unique<Scatter>(scatterOptions, this->table, *this->table->findService("search"), this->policies, this->random.next());
    query.priority = workload.priority;
    query.startedAt = this->now;
    query.onFinished = std::move(onFinished);
    this->queries.push_back(std::move(query));
    this->apply(index, this->queries[index].scatter->start(this->now));
}

ModelResults ReplicaModel::run()
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
    const bool isMeasured = this->queries[index].startedAt >= this->measuredFrom;
    for (const std::uint64_t subrequestId : actions.cancel) {
        this->cancelJob(this->queries[index].jobBySubrequest[subrequestId]);
    }
    for (const SubrequestSend &subrequest : actions.send) {
        this->send(index, subrequest);
    }
    if (isMeasured) {
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
    if (!actions.nextTimerAt || query.nextTimerAt == actions.nextTimerAt) {
        return;
    }
    query.nextTimerAt = actions.nextTimerAt;
    const TimePoint at = *actions.nextTimerAt;
    this->schedule(std::max(at - this->now, Duration::zero()), [this, index, at] {
        Query &waitingQuery = this->queries[index];
        if (waitingQuery.scatter && waitingQuery.nextTimerAt == at) {
            waitingQuery.nextTimerAt.reset();
            this->apply(index, waitingQuery.scatter->onTimer(this->now));
        }
    });
}

void ReplicaModel::finishQuery(std::size_t index, const ScatterOutcome &outcome)
{
    Query &query = this->queries[index];
    const auto priority = static_cast<std::size_t>(query.priority);
    if (query.startedAt >= this->measuredFrom) {
        if (outcome.answer) {
            this->results.latencies.at(priority).push_back(Milliseconds(this->now - query.startedAt).count());
        } else {
            ++this->results.refused.at(priority);
        }
    }
    query.scatter.reset();
    query.jobBySubrequest.clear();
    if (query.onFinished) {
        query.onFinished();
    }
}

void ReplicaModel::send(std::size_t query, const SubrequestSend &subrequest)
{
    const std::uint64_t id = this->nextJobId++;
    const auto serverIndex = static_cast<std::size_t>(subrequest.replica->record.sequence);
    Server &server = this->servers[serverIndex];
    this->queries[query].jobBySubrequest[subrequest.subrequestId] = id;
    this->jobs[id] = Job{.server = serverIndex, .query = query, .send = subrequest, .sentAt = this->now, .running = false};
    if (server.defect == Defect::Refusing) {
        this->scheduleFailure(id, RetryReason::ConnectionRefused);
        return;
    }
    Milliseconds delay = this->options.oneWayDelay;
    if (server.idleConnections > 0) {
        --server.idleConnections;
    } else {
        delay += this->options.connectTime;
    }
    this->schedule(toDuration(delay), [this, id] { this->enterServer(id); });
}

void ReplicaModel::enterServer(std::uint64_t id)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) {
        return;
    }
    Server &server = this->servers[found->second.server];
    if (server.defect == Defect::Silent) {
        return;
    }
    if (server.busySlots < this->options.slots) {
        this->startJob(id);
    } else if (server.waiting.size() < this->options.queueLimit) {
        server.waiting.push_back(id);
    } else {
        this->scheduleFailure(id, RetryReason::Overloaded);
    }
}

Duration ReplicaModel::drawServiceTime(Server &server, Priority priority)
{
    Milliseconds time = this->options.serviceTime * (0.5 + 0.5 * this->drawExponential());
    if (priority == Priority::Bulk) {
        time *= this->options.bulkServiceTimeFactor;
    }
    if (server.defect == Defect::Slow) {
        time *= slowFactor;
    } else if (server.defect == Defect::Cold) {
        time *= 1.0 + (initialSlowdown - 1.0) * std::exp(-static_cast<double>(server.startedRequests) / warmingRequests);
    } else if (server.defect == Defect::Loading) {
        time *= 1.0 + (initialSlowdown - 1.0) * std::exp(-(Milliseconds(this->now - server.createdAt) / loadingTime));
    } else if (server.defect == Defect::Stalling) {
        while (this->now >= server.nextStall) {
            server.stalledUntil = server.nextStall + toDuration(stallDuration);
            server.nextStall = server.stalledUntil + toDuration(meanTimeBetweenStalls * this->drawExponential());
        }
        time += std::max(Milliseconds(server.stalledUntil - this->now), Milliseconds::zero());
    }
    ++server.startedRequests;
    return toDuration(time);
}

void ReplicaModel::startJob(std::uint64_t id)
{
    Job &job = this->jobs.at(id);
    Server &server = this->servers[job.server];
    job.running = true;
    ++server.busySlots;
    this->schedule(this->drawServiceTime(server, this->queries[job.query].priority), [this, id] { this->finishJob(id); });
}

void ReplicaModel::finishJob(std::uint64_t id)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) {
        return;
    }
    found->second.running = false;
    const std::size_t serverIndex = found->second.server;
    Server &server = this->servers[serverIndex];
    --server.busySlots;
    const LoadReport load{.running = server.busySlots, .waiting = static_cast<std::uint32_t>(server.waiting.size())};
    this->schedule(toDuration(this->options.oneWayDelay), [this, id, load] { this->deliverReply(id, load); });
    this->startWaitingJobs(serverIndex);
}

void ReplicaModel::startWaitingJobs(std::size_t serverIndex)
{
    Server &server = this->servers[serverIndex];
    while (server.busySlots < this->options.slots && !server.waiting.empty()) {
        const std::uint64_t id = server.waiting.front();
        server.waiting.pop_front();
        // Cancelled jobs are removed only at the head of the queue.
        if (this->jobs.contains(id)) {
            this->startJob(id);
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
    this->openReplacement(job.server);
    if (job.running) {
        --this->servers[job.server].busySlots;
        this->startWaitingJobs(job.server);
    }
}

void ReplicaModel::openReplacement(std::size_t serverIndex)
{
    if (this->options.reconnectAfterCancel) {
        this->schedule(toDuration(this->options.connectTime), [this, serverIndex] { ++this->servers[serverIndex].idleConnections; });
    }
}

void ReplicaModel::scheduleFailure(std::uint64_t id, RetryReason reason)
{
    this->schedule(toDuration(this->options.oneWayDelay * 2.0), [this, id, reason] {
        const auto found = this->jobs.find(id);
        if (found == this->jobs.end()) {
            return;
        }
        const Job job = found->second;
        this->jobs.erase(found);
        this->apply(job.query, this->queries[job.query].scatter->onFailure(job.send.subrequestId, {.reason = reason}, this->now));
    });
}

void ReplicaModel::deliverReply(std::uint64_t id, const LoadReport &load)
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
