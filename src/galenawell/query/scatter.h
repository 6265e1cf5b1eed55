// One idempotent query over all groups of a sharded service, as a state machine: sends, hedges and retries subrequests,
// merges replies of the one snapshot, and ends with an answer or a refusal. A pool service is a query with one group.
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
    // Fewest groups that make an answer, in place of partialAllowed: an answer with gaps is given from softDeadline on, or
    // once nothing more can come.
    std::optional<std::size_t> minimumGroups{};
    TimePoint softDeadline = TimePoint::max();
    // Replicas of one group that may run the request; 0 for no limit of its own.
    unsigned maximumExecutions = 0;
    // False: nothing is sent again that may have run, and nothing is hedged.
    bool idempotent = true;
    // False: one lost connection doesn't hold back the other groups of the query.
    bool probesAfterLostConnection = true;
    // Latencies of this kind of work, where the groups' own mix several kinds.
    std::shared_ptr<HedgePolicy> hedge{};
    // The front's homes go first while they are no worse.
    bool usesPreferredReplicas = false;
    // Makes the collector of the replies; without it rows and aggregates are merged.
    std::function<std::unique_ptr<ReplyCollector>(const PartitionMap &)> makeCollector{};
};

struct SubrequestSend
{
    std::uint64_t subrequestId = 0;
    std::string group;
    const Replica *replica = nullptr;
    Snapshot snapshot;
    // The subrequest is given up at this point.
    TimePoint expiry;
    bool hedge = false;
};

// Why a subrequest brought no usable reply.
struct SubrequestFailure
{
    RetryReason reason = RetryReason::ConnectionLost;
    // False for one silent connection while newer connections to the replica work.
    bool countsAsReplicaFailure = true;
    // The subrequest was sent on a connection made for it.
    bool freshConnection = false;
    std::chrono::microseconds elapsed{0};
};

struct ScatterOutcome
{
    // Either an answer or a refusal.
    std::optional<Answer> answer;
    std::optional<RefusalReason> refusal;
    // NotRun only if nothing was sent, or every subrequest was refused before it ran.
    Execution execution = Execution::Unknown;
    // Coverage of a refused incomplete answer.
    Coverage coverage;
};

struct ScatterActions
{
    std::vector<SubrequestSend> send;
    // Subrequests to give up; their connections are closed.
    std::vector<std::uint64_t> cancel;
    // For the metrics.
    std::vector<RetryReason> retries;
    // Set by every call until the scatter has ended; replaces the earlier value.
    std::optional<TimePoint> wakeAt;
    std::optional<ScatterOutcome> outcome;
};

// What requests of one service share in a front.
struct ServicePolicies
{
    explicit ServicePolicies(const ServiceOptions &options);

    // One budget for retries and hedges, as shares of the subrequests and with a bounded number of tokens.
    ServicePolicies(const HedgeOptions &hedgeOptions, double budgetPercent, double budgetTokens);

    // For a change of options: learnt latencies and budgets go on.
    void copyStateFrom(const ServicePolicies &previous);

    // True if one more subrequest may be sent to hedge another.
    bool spendForHedge();

    HedgePolicy hedge;
    ExtraLoadBudget retries;
    SendInterval firstSends;
    // Hedges are paid from `retries` too.
    bool sharedBudget = false;
};

class Scatter
{
public:
    // The table stays alive as long as the scatter; a request in flight keeps the table it began with.
    Scatter(ScatterOptions scatterOptions,
            std::shared_ptr<const RoutingTable> routingTable,
            const ServiceTable &serviceTable,
            std::shared_ptr<ServicePolicies> sharedPolicies,
            std::uint64_t seed);
    Scatter(const Scatter &) = delete;
    Scatter &operator=(const Scatter &) = delete;
    // Releases the places that are still taken.
    ~Scatter();

    ScatterActions start(TimePoint now);
    ScatterActions onReply(Subreply reply, std::chrono::microseconds latency, const LoadReport &load, TimePoint now);
    ScatterActions onFailure(std::uint64_t subrequestId, const SubrequestFailure &failure, TimePoint now);
    ScatterActions onTimer(TimePoint now);
    // The caller went away or the process ends. Brings no outcome.
    ScatterActions cancel(TimePoint now);

    // Replies that came after their subrequest was given up.
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
        // Subrequests that ran or may have run.
        unsigned runs = 0;
        // At most the first subrequest and its hedge.
        std::vector<Pending> pending;
        std::vector<std::string> tried;
        // Replicas that can't serve this query.
        std::vector<std::string> excluded;
        // Answered, or given up.
        bool done = false;
        bool hedged = false;
        // The one retry after a refusal that costs no budget has been used.
        bool freeRetryUsed = false;
        unsigned attempts = 0;
        unsigned lostConnections = 0;
        // Waits for the probe, or to become it.
        bool awaitsProbe = false;
        // Why the next subrequest is a retry; absent for the first.
        std::optional<RetryReason> retryReason;
        bool nextIsFree = false;
        TimePoint hedgeAt = TimePoint::max();
        // The hedge was put off because the timer came late.
        bool hedgePutOff = false;
        // Set while the group waits for a free replica or for budget.
        std::optional<TimePoint> retryAt;
        std::optional<TimePoint> waitsSince;
    };

    // A lost connection makes the query suspect of crashing servers. Then one group, the probe, retries before the
    // others do, so that a crashing query costs one more replica and not one more per group.
    enum class Suspicion : std::uint8_t {
        None,
        Suspected,
        Probing,
        // The probe was answered.
        Cleared,
        // The probe's connection was lost as well.
        Confirmed,
    };

    struct Wake
    {
        TimePoint at;
        std::size_t index = 0;

        // Greater means later, as the heap functions need it for the earliest first.
        friend bool operator>(const Wake &left, const Wake &right)
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
    std::unique_ptr<ReplyCollector> merger;
    // In the order of the map.
    std::vector<GroupProgress> groups;
    // Index of the group by subrequest id - 1.
    std::vector<std::size_t> groupOf;
    std::size_t unfinished = 0;
    // Min-heap; entries may be outdated, then the group has nothing to do at that time.
    std::vector<Wake> wakes;
    Suspicion suspicion = Suspicion::None;
    std::size_t probe = 0;
    std::size_t givenUp = 0;
    std::uint64_t refusedUnrun = 0;
    std::uint64_t late = 0;
    std::uint64_t hedges = 0;
    bool ended = false;

    bool isPool() const;
    // Whether this coverage makes an answer.
    bool enough(const Coverage &coverage) const;
    bool mayRunOnce(const GroupProgress &progress) const;
    HedgePolicy &hedgeOf(const GroupProgress &progress) const;
    std::size_t minimumGroups() const;
    bool prepare(TimePoint now, ScatterActions &actions);
    void addGroup(const PartitionGroup &group);
    ReplicaQuery queryFor(const GroupProgress &progress) const;

    void addWake(std::size_t index, TimePoint at);
    void wakeGroup(std::size_t index, TimePoint now, ScatterActions &actions);
    void expirePending(std::size_t index, TimePoint now, ScatterActions &actions);

    void attempt(std::size_t index, TimePoint now, ScatterActions &actions);
    bool mayRetry(GroupProgress &progress);
    void waitForPlace(std::size_t index, TimePoint now);
    void wait(std::size_t index, std::chrono::microseconds base, TimePoint now);
    void hedge(std::size_t index, TimePoint now, ScatterActions &actions);
    void hedgeLater(std::size_t index, TimePoint now);
    bool putOffHedge(std::size_t index, TimePoint now);
    void send(std::size_t index, const Replica &replica, bool isHedge, TimePoint now, ScatterActions &actions);

    std::optional<Pending> takePending(std::uint64_t subrequestId);
    // Whether the subrequest takes, or took, so long that it speaks for a slow replica.
    bool isOutlier(const GroupProgress &progress, std::chrono::microseconds latency) const;
    void cancelPending(GroupProgress &progress, TimePoint now, ScatterActions &actions);
    void acceptReply(std::size_t index, const Pending &pending, std::chrono::microseconds latency, TimePoint now, ScatterActions &actions);
    void
    fail(std::size_t index, const Pending &pending, const SubrequestFailure &failure, bool unrun, TimePoint now, ScatterActions &actions);
    void recordFault(const Pending &pending, const SubrequestFailure &failure, TimePoint now);
    void retry(std::size_t index, RetryReason reason, bool unrun, TimePoint now, ScatterActions &actions);
    void retryLostConnection(std::size_t index, TimePoint now, ScatterActions &actions);
    void startProbe(TimePoint now, ScatterActions &actions);
    void releaseWaitingForProbe(TimePoint now, ScatterActions &actions);
    void giveUp(std::size_t index);

    ScatterActions finish(ScatterActions actions, TimePoint now);
    void end(TimePoint now, ScatterActions &actions);
    void refuse(RefusalReason reason, ScatterActions &actions);
};

} // namespace Galenawell
