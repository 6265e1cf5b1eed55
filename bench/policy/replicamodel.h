// Discrete-event simulation of one front and the replicas of one service: slots, queues, connections and service times.
// Time is virtual; Scatter and the routing code are the real ones.
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
    // Factor of the service time of bulk subrequests.
    double bulkServiceTimeFactor = 1.0;
    Milliseconds oneWayDelay{0.5};
    Milliseconds connectTime{6.0};
    ServiceOptions service;
    EjectionOptions ejection;
    Selection selection = Selection::TwoChoices;
    bool partialAllowed = false;
    // Replaces the connection of a cancelled subrequest at once instead of when the next subrequest needs it.
    bool reconnectAfterCancel = false;
    std::uint64_t seed = 1;
};

enum class Defect : std::uint8_t {
    None,
    // Every service time is multiplied.
    Slow,
    // Pauses at random intervals.
    Stalling,
    // Accepts subrequests and never replies.
    Silent,
    // Refuses every connection.
    Refusing,
    // The service time falls to normal with the number of requests, as caches fill.
    Cold,
    // The service time falls to normal with time, regardless of the requests.
    Loading,
};

struct Workload
{
    Priority priority = Priority::Standard;
    // Poisson arrivals.
    double queriesPerSecond = 0;
    // If positive, a closed loop with this many queries in flight replaces the arrivals, as under an admission limit.
    std::size_t closedLoopQueries = 0;
    std::chrono::milliseconds deadline{2000};
};

struct ModelResults
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
    // Scheduled actions hold pointers to the model.
    ReplicaModel(const ReplicaModel &) = delete;
    ReplicaModel &operator=(const ReplicaModel &) = delete;

    // Sets the defect of the first replica of every group.
    void setDefect(Defect defect);
    // Adds a replica to every group in a new routing table.
    void addReplicaAt(Milliseconds at, Defect defect);
    void addWorkload(const Workload &workload, Milliseconds until);
    // Excludes queries that start earlier from the results.
    void measureFrom(Milliseconds from);
    ModelResults run();

private:
    struct Server
    {
        Defect defect = Defect::None;
        std::uint32_t busySlots = 0;
        std::uint32_t idleConnections = 0;
        std::uint64_t startedRequests = 0;
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
        std::optional<TimePoint> nextTimerAt;
        std::function<void()> onFinished;
        std::unordered_map<std::uint64_t, std::uint64_t> jobBySubrequest;
    };

    struct Event
    {
        TimePoint at;
        std::uint64_t sequenceNumber = 0;
        std::function<void()> action;

        friend bool operator<(const Event &left, const Event &right)
        {
            return std::tie(left.at, left.sequenceNumber) > std::tie(right.at, right.sequenceNumber);
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
    std::uint64_t nextJobId = 1;
    std::uint64_t nextEventNumber = 1;
    TimePoint now;
    TimePoint measuredFrom;
    ModelResults results;

    double drawUniform();
    double drawExponential();
    void schedule(Duration after, std::function<void()> action);
    Replica makeReplica(const PartitionGroup &group, Defect defect, TimePoint firstSeen);
    void scheduleArrival(const Workload &workload, TimePoint until);
    void startQuery(const Workload &workload, std::function<void()> onFinished);
    void startClosedLoop(const Workload &workload, TimePoint until);
    void apply(std::size_t query, const ScatterActions &actions);
    void finishQuery(std::size_t query, const ScatterOutcome &outcome);
    void send(std::size_t query, const SubrequestSend &subrequest);
    void enterServer(std::uint64_t job);
    void startJob(std::uint64_t job);
    void finishJob(std::uint64_t job);
    void startWaitingJobs(std::size_t server);
    void cancelJob(std::uint64_t job);
    void openReplacement(std::size_t server);
    void scheduleFailure(std::uint64_t job, RetryReason reason);
    void deliverReply(std::uint64_t job, const LoadReport &load);
    Duration drawServiceTime(Server &server, Priority priority);
};

} // namespace Galenawell::Bench
