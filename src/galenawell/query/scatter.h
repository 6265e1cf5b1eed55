// State machine of one query over all groups of a service: sends, hedges and retries subrequests, merges the replies that
// read the query's snapshot, and ends with an answer or a refusal. A pool service has one group.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/randomsource.h"
#include "galenawell/core/reasons.h"
#include "galenawell/query/answer.h"
#include "galenawell/query/answermerger.h"
#include "galenawell/query/snapshotchooser.h"
#include "galenawell/routing/hedgepolicy.h"
#include "galenawell/routing/replicachooser.h"
#include "galenawell/routing/sendinterval.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Galenawell {

struct ScatterOptions
{
    RequestId requestId;
    Priority priority = Priority::Standard;
    TimePoint deadline;
    bool partialAllowed = false;
    Selection selection = Selection::TwoChoices;
    // Fewest answered groups that make an answer, in place of partialAllowed. A partial answer is returned from
    // softDeadline on, or once no group can still reply.
    std::optional<std::size_t> minimumGroups{};
    TimePoint softDeadline = TimePoint::max();
    // A replica that asked for a pause beyond this time isn't waited for, nor does a retry wait longer for room at a limited one.
    TimePoint latestPauseEnd = TimePoint::max();
    // Most replicas of one group that may run the request; 0 for no limit.
    unsigned maximumExecutions = 0;
    // False: a subrequest that may have run isn't retried, and none is hedged.
    bool idempotent = true;
    // True: after a lost connection the other groups' retries wait for one probe, as the query may crash servers.
    bool probesAfterLostConnection = true;
    // Whether the request has crashed servers of a group before. Such a group gets one subrequest that reaches a server.
    std::function<bool(const std::string &group)> crashesServersOf{};
    // Latencies of this kind of request, for groups whose own latencies mix several kinds.
    std::shared_ptr<HedgePolicy> hedge{};
    // The front's preferred replicas are chosen unless another one is better.
    bool usesPreferredReplicas = false;
    // Makes the collector of the replies; an AnswerMerger by default.
    std::function<std::unique_ptr<ReplyCollector>(const PartitionMap &)> makeCollector{};
};

struct SubrequestSend
{
    std::uint64_t subrequestId = 0;
    std::string group;
    const Replica *replica = nullptr;
    Snapshot snapshot;
    // When the subrequest times out.
    TimePoint expiry;
    bool hedge = false;
};

// Why a subrequest had no usable reply.
struct SubrequestFailure
{
    RetryReason reason = RetryReason::ConnectionLost;
    // False if only one connection is silent while newer connections to the replica work.
    bool countsAsReplicaFailure = true;
    // Number of the connection that carried the subrequest, and whether it was opened for it.
    std::uint64_t connection = 0;
    bool freshConnection = false;
    std::chrono::microseconds elapsed{0};
};

struct ScatterOutcome
{
    // Either an answer or a refusal.
    std::optional<Answer> answer;
    std::optional<RefusalReason> refusal;
    // NotRun only if nothing was sent or every subrequest was refused before it ran.
    Execution execution = Execution::Unknown;
    // Set for a refusal too.
    Coverage coverage;
    // For a refusal because replicas pause or are at their limit: when enough groups can probably be served again.
    std::optional<TimePoint> pausedUntil{};
};

struct ScatterActions
{
    std::vector<SubrequestSend> send;
    // Subrequests to cancel by closing their connections.
    std::vector<std::uint64_t> cancel;
    // For the metrics.
    std::vector<RetryReason> retries;
    // Groups that got no further subrequest because the request crashes servers.
    std::vector<std::string> withheld;
    // When to call onTimer. Set by every call until the scatter has ended; replaces the earlier value.
    std::optional<TimePoint> nextTimerAt;
    std::optional<ScatterOutcome> outcome;
};

// Hedging and retry state that all requests of one service share in a front.
struct ServicePolicies
{
    explicit ServicePolicies(const ServiceOptions &options);

    // One budget for both retries and hedges, as a share of the subrequests, with a bounded number of tokens.
    ServicePolicies(const HedgeOptions &hedgeOptions, double budgetPercent, double budgetTokens);

    // Keeps latency estimates and budgets across a change of options.
    void copyStateFrom(const ServicePolicies &previous);

    // Takes a hedge from the budget. False if there is none left.
    bool spendForHedge(TimePoint now);

    HedgePolicy hedge;
    ExtraLoadBudget retries;
    SendInterval initialSends;
    // Hedges draw on `retries` too.
    bool sharedBudget = false;
};

class Scatter
{
public:
    // Keeps the routing table alive; a request in flight uses one table throughout.
    Scatter(ScatterOptions scatterOptions,
            std::shared_ptr<const RoutingTable> routingTable,
            const ServiceTable &serviceTable,
            std::shared_ptr<ServicePolicies> sharedPolicies,
            std::uint64_t seed);
    Scatter(const Scatter &) = delete;
    Scatter &operator=(const Scatter &) = delete;
    // Releases the slots of pending subrequests.
    ~Scatter();

    ScatterActions start(TimePoint now);
    ScatterActions onReply(Subreply reply, std::chrono::microseconds latency, const LoadReport &load, TimePoint now);
    ScatterActions onFailure(std::uint64_t subrequestId, const SubrequestFailure &failure, TimePoint now);
    ScatterActions onTimer(TimePoint now);
    // Moves the deadline to now, for a process that is about to end.
    ScatterActions expire(TimePoint now);
    // For a caller that disconnected or a process that shuts down. Produces no outcome.
    ScatterActions cancel(TimePoint now);

    // Replies that arrived after their subrequest was cancelled.
    std::uint64_t lateReplies() const;
    std::uint64_t subrequestsSent() const;
    std::uint64_t hedgesSent() const;

private:
    struct Pending
    {
        std::uint64_t subrequestId = 0;
        const Replica *replica = nullptr;
        TimePoint sentAt;
        TimePoint expiry;
        bool hedge = false;
    };

    struct GroupProgress
    {
        const PartitionGroup *group = nullptr;
        const std::vector<Replica> *replicas = nullptr;
        ServicePolicies *policies = nullptr;
        // Subrequests that ran or may have run, pending ones included.
        unsigned executions = 0;
        // Subrequests that reached a server or may have, refused and pending ones included.
        unsigned arrivals = 0;
        // At most the first subrequest and its hedge.
        std::vector<Pending> pending;
        std::vector<std::string> triedAddresses;
        // Replicas that can't serve this query.
        std::vector<std::string> excluded;
        // Answered or given up.
        bool done = false;
        bool answered = false;
        bool hedged = false;
        // The one retry without budget, after a refusal, has been used.
        bool freeRetryUsed = false;
        unsigned attempts = 0;
        unsigned lostConnections = 0;
        // Given up because the limits of its replicas left no room.
        bool lackedRoom = false;
        // Waits for the probe's result, or to become the probe.
        bool awaitsProbe = false;
        // Absent for the first subrequest.
        std::optional<RetryReason> retryReason;
        bool nextRetryIsFree = false;
        TimePoint hedgeAt = TimePoint::max();
        // The hedge was deferred because the timer was late.
        bool hedgeDeferred = false;
        // Set while the group waits for a free slot or for retry budget.
        std::optional<TimePoint> retryAt;
        std::optional<TimePoint> waitingSince;
    };

    // A lost connection may mean that the query crashes servers. One group, the probe, then retries before the others, so
    // that such a query costs one more replica and not one more per group.
    enum class ProbeState : std::uint8_t {
        NotNeeded,
        Needed,
        InFlight,
        // The probe was answered.
        Passed,
        // The probe's connection was lost as well.
        Failed,
    };

    struct Timer
    {
        TimePoint at;
        std::size_t index = 0;

        // Inverts the order of the heap functions, so that the earliest timer is first.
        friend bool operator>(const Timer &left, const Timer &right)
        {
            return left.at > right.at;
        }
    };

    ScatterOptions options;
    std::shared_ptr<const RoutingTable> table;
    const ServiceTable &service;
    std::shared_ptr<ServicePolicies> policies;
    RandomSource random;
    std::optional<ChosenSnapshot> chosen;
    std::optional<PartitionMap> poolMap;
    std::unique_ptr<ReplyCollector> collector;
    // In the order of the map.
    std::vector<GroupProgress> groups;
    // Index of each subrequest's group, at subrequest id - 1.
    std::vector<std::size_t> groupOf;
    std::size_t unfinishedGroups = 0;
    // Min-heap. Entries may be stale; the group then has nothing to do.
    std::vector<Timer> timers;
    ProbeState probeState = ProbeState::NotNeeded;
    std::size_t probeGroup = 0;
    std::size_t givenUpGroups = 0;
    std::uint64_t refusedNotRun = 0;
    std::uint64_t lateReplyCount = 0;
    std::uint64_t hedgeCount = 0;
    bool ended = false;

    bool isPool() const;
    bool meetsMinimum(const Coverage &coverage) const;
    bool hasExecutionsLeft(const GroupProgress &progress) const;
    // False once a group whose servers the request crashes has got its subrequest.
    bool mayRepeat(const GroupProgress &progress) const;
    HedgePolicy &hedgePolicyOf(const GroupProgress &progress) const;
    // Hedges are sent earlier while the budget that they draw on is at least half full.
    std::chrono::microseconds hedgeDelayOf(const GroupProgress &progress) const;
    std::size_t minimumGroups() const;
    bool prepare(TimePoint now, ScatterActions &actions);
    void addGroup(const PartitionGroup &group);
    ReplicaQuery replicaQueryFor(const GroupProgress &progress) const;

    void addTimer(std::size_t index, TimePoint at);
    void onGroupTimer(std::size_t index, TimePoint now, ScatterActions &actions);
    void expirePending(std::size_t index, TimePoint now, ScatterActions &actions);

    void trySend(std::size_t index, TimePoint now, ScatterActions &actions);
    bool spendForRetry(GroupProgress &progress, TimePoint now);
    void waitForSlot(std::size_t index, TimePoint now);
    void retryLater(std::size_t index, std::chrono::microseconds base, TimePoint now);
    void hedge(std::size_t index, TimePoint now, ScatterActions &actions);
    void rescheduleHedge(std::size_t index, TimePoint now);
    bool deferHedge(std::size_t index, TimePoint now);
    void send(std::size_t index, const Replica &replica, bool isHedge, TimePoint now, ScatterActions &actions);

    std::optional<Pending> removePending(std::uint64_t subrequestId);
    // True if the latency of a completed or pending subrequest indicates a slow replica.
    bool isOutlier(const GroupProgress &progress, std::chrono::microseconds latency) const;
    void cancelPending(GroupProgress &progress, TimePoint now, ScatterActions &actions);
    void acceptReply(std::size_t index, const Pending &pending, std::chrono::microseconds latency, TimePoint now, ScatterActions &actions);
    void handleFailure(std::size_t index,
                       const Pending &pending,
                       const SubrequestFailure &failure,
                       bool notRun,
                       TimePoint now,
                       ScatterActions &actions);
    void updateHealth(const Pending &pending, const SubrequestFailure &failure, TimePoint now);
    void retry(std::size_t index, RetryReason reason, bool notRun, TimePoint now, ScatterActions &actions);
    void retryLostConnection(std::size_t index, TimePoint now, ScatterActions &actions);
    void startProbe(TimePoint now, ScatterActions &actions);
    void resumeAfterProbe(TimePoint now, ScatterActions &actions);
    void giveUp(std::size_t index);

    ScatterActions endOrSchedule(ScatterActions actions, TimePoint now);
    void end(TimePoint now, ScatterActions &actions);
    // For a query that can't get the least number of groups.
    void refuseUnanswered(TimePoint now, ScatterActions &actions);
    void refuse(RefusalReason reason, ScatterActions &actions);
    // Answered, or some replica can serve the group now or after a short pause.
    bool isReachable(const GroupProgress &progress) const;
    // When the pauses of replicas let the least number of groups be answered; absent if pauses aren't the reason.
    std::optional<TimePoint> endOfDecidingPause(TimePoint now) const;
    void refuseForLimits(TimePoint now, ScatterActions &actions);
    // When the least number of groups can be answered, given how many can be now and when others can be; absent if it can be
    // now or never.
    std::optional<TimePoint> timeOfMinimum(std::size_t answerable, std::vector<TimePoint> others) const;
};

} // namespace Galenawell
