// An event-driven model of the replicas of one service as one front sees them: slots, a queue, connections and service
// times. Time is virtual; the Scatter and the routing code are the real ones.
#pragma once

#include "galenawell/query/scatter.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace Galenawell::Bench {

using Milliseconds = std::chrono::duration<double, std::milli>;

struct ModelOptions
{
    std::size_t groups = 15;
    std::size_t replicasPerGroup = 3;
    std::uint32_t slots = 5;
    std::uint32_t inFlightLimit = 5;
    std::size_t queueLimit = 50;
    Milliseconds serviceTime{4.0};
    // Bulk work takes this many times the service time.
    double bulkFactor = 1.0;
    Milliseconds oneWay{0.5};
    Milliseconds connectTime{6.0};
    ServiceOptions service;
    EjectionOptions ejection;
    Selection selection = Selection::TwoChoices;
    bool partialAllowed = false;
    // Replaces the connection of a cancelled subrequest at once, not when the next subrequest needs it.
    bool reconnectEarly = false;
    std::uint64_t seed = 1;
};

enum class Defect : std::uint8_t {
    None,
    // Every service time is multiplied.
    Slow,
    // From time to time the replica stands still.
    Stalling,
    // Accepts work and never replies.
    Silent,
    // Refuses every connection.
    Refusing,
    // The service time falls to normal while the first requests fill its caches.
    Cold,
    // The service time falls to normal with time, whatever the replica serves.
    Loading,
};

struct Load
{
    Priority priority = Priority::Standard;
    // Poisson arrivals.
    double queriesPerSecond = 0;
    // If positive, this many queries run at any time instead, as under an admission limit.
    std::size_t concurrent = 0;
    std::chrono::milliseconds deadline{2000};
};

struct Results
{
    // Of answered queries, by priority.
    std::array<std::vector<double>, priorityCount> latencies;
    std::array<std::uint64_t, priorityCount> refused{};
    std::uint64_t firstSubrequests = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
};

class ReplicaModel
{
public:
    explicit ReplicaModel(const ModelOptions &modelOptions);
    // Scheduled actions refer to the model.
    ReplicaModel(const ReplicaModel &) = delete;
    ReplicaModel &operator=(const ReplicaModel &) = delete;

    // Gives the first replica of every group a defect.
    void setDefect(Defect defect);
    // Adds a replica to every group, as a new routing table.
    void addReplicaAt(Milliseconds at, Defect defect);
    void addLoad(const Load &load, Milliseconds until);
    // Queries that start earlier aren't counted.
    void countFrom(Milliseconds from);
    Results run();

private:
    struct Server
    {
        Defect defect = Defect::None;
        std::uint32_t busy = 0;
        std::uint32_t idleConnections = 0;
        std::uint64_t served = 0;
        TimePoint createdAt;
        TimePoint stalledUntil;
        TimePoint nextStall;
        std::deque<std::uint64_t> waiting;
    };

    struct Job
    {
        std::size_t server = 0;
        std::size_t query = 0;
        SubrequestSend send;
        TimePoint sentAt;
        bool running = false;
    };

    struct Query
    {
        std::unique_ptr<Scatter> scatter;
        Priority priority = Priority::Standard;
        TimePoint startedAt;
        std::optional<TimePoint> wakeAt;
        // What to do when the query has ended.
        std::function<void()> next;
        std::unordered_map<std::uint64_t, std::uint64_t> jobOf;
    };

    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;

        friend bool operator<(const Event &left, const Event &right)
        {
            return std::tie(left.at, left.order) > std::tie(right.at, right.order);
        }
    };

    ModelOptions options;
    RandomSource random;
    std::shared_ptr<RoutingTable> table;
    std::shared_ptr<ServicePolicies> policies;
    std::vector<Server> servers;
    std::unordered_map<std::uint64_t, Job> jobs;
    std::vector<Query> queries;
    std::priority_queue<Event> events;
    std::uint64_t nextJob = 1;
    std::uint64_t nextEvent = 1;
    TimePoint now;
    TimePoint countedFrom;
    Results results;

    double uniform();
    double exponential();
    void schedule(Duration after, std::function<void()> action);
    Replica makeReplica(const PartitionGroup &group, Defect defect, TimePoint firstSeen);
    void arrive(const Load &load, TimePoint until);
    void startQuery(const Load &load, std::function<void()> next);
    void repeat(const Load &load, TimePoint until);
    void apply(std::size_t query, const ScatterActions &actions);
    void finishQuery(std::size_t query, const ScatterOutcome &outcome);
    void send(std::size_t query, const SubrequestSend &send);
    void reachServer(std::uint64_t job);
    void beginWork(std::uint64_t job);
    void endWork(std::uint64_t job);
    void beginWaiting(std::size_t server);
    void cancelJob(std::uint64_t job);
    void reconnect(std::size_t server);
    void failLater(std::uint64_t job, RetryReason reason);
    void reply(std::uint64_t job, const LoadReport &load);
    Duration serviceTime(Server &server, Priority priority);
};

} // namespace Galenawell::Bench
