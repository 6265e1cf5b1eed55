#include "galenawell/query/scatter.h"

#include <algorithm>
#include <functional>

namespace Galenawell {

namespace {

// Failed subrequests of one group, transient refusals excepted, after which the group is given up.
constexpr unsigned maximumAttempts = 6;
// Two lost connections of one group suggest that the query crashes servers.
constexpr unsigned maximumLostConnections = 2;

// Interval at which a group without a free replica tries again, by priority. Urgent queries poll more often, so that they
// are most likely to get a slot that becomes free.
constexpr std::array<std::chrono::milliseconds, priorityCount> slotPollIntervals{
    std::chrono::milliseconds(2),
    std::chrono::milliseconds(5),
    std::chrono::milliseconds(10),
};

// Budget is earned by other queries, so polling it more often only costs processor time.
constexpr std::chrono::milliseconds budgetPollInterval{25};

// A timer this late means that the process was busy or suspended. Replies may be unread, so hedges are deferred once by
// replyReadTime.
constexpr std::chrono::milliseconds lateTimerThreshold{5};
constexpr std::chrono::milliseconds replyReadTime{5};

// A subrequest that takes this many times the hedge delay is an outlier rather than part of the usual tail.
constexpr int outlierFactor = 2;

// A bulk group that has waited this long polls as often as a standard one, so that bulk work isn't starved.
constexpr std::chrono::milliseconds bulkAgingTime{100};

// A group waits this long for a slot on a fast replica before it takes a slow one.
constexpr std::chrono::milliseconds slowReplicaWait{10};

// How long this front sends a replica nothing after a refusal of the named kind.
constexpr std::chrono::milliseconds overloadBackoff{20};
constexpr std::chrono::milliseconds startingBackoff{250};
// Refusals are fast, so a refusing replica always has free slots and would attract the overflow of the working ones.
constexpr std::chrono::milliseconds connectionRefusedBackoff{100};
// The registry shows a drain within one lease.
constexpr std::chrono::milliseconds drainBackoff = backendLease;

// True for failures by which the server, or its host, states that the subrequest didn't run.
bool provesNotRun(RetryReason reason)
{
    switch (reason) {
    case RetryReason::ConnectionRefused:
    case RetryReason::Draining:
    case RetryReason::Overloaded:
    case RetryReason::WrongVersion:
    case RetryReason::Starting:
    case RetryReason::WrongServer:
        return true;
    default:
        return false;
    }
}

// True if the replica can't serve this query on a retry either.
bool excludesReplica(RetryReason reason)
{
    return reason == RetryReason::Draining || reason == RetryReason::WrongVersion || reason == RetryReason::InvalidReply
        || reason == RetryReason::ReplyTooLarge || reason == RetryReason::WrongServer;
}

// Transient refusals don't count against the group's attempts.
bool isTransient(RetryReason reason)
{
    return reason == RetryReason::Overloaded || reason == RetryReason::Starting;
}

std::chrono::microseconds elapsed(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(to - from);
}

} // namespace

ServicePolicies::ServicePolicies(const ServiceOptions &options)
    : hedge(options.hedge)
    , retries(options.retryBudgetPercent)
{
}

ServicePolicies::ServicePolicies(const HedgeOptions &hedgeOptions, double budgetPercent, double budgetTokens)
    : hedge(hedgeOptions)
    , retries(budgetPercent, budgetTokens)
    , sharedBudget(true)
{
}

bool ServicePolicies::spendForHedge(TimePoint now)
{
    return this->sharedBudget ? this->hedge.enabled() && this->retries.spend(now) : this->hedge.trySpend(now);
}

void ServicePolicies::copyStateFrom(const ServicePolicies &previous)
{
    this->hedge.copyStateFrom(previous.hedge);
    this->retries.copyStateFrom(previous.retries);
}

Scatter::Scatter(ScatterOptions scatterOptions,
                 std::shared_ptr<const RoutingTable> routingTable,
                 const ServiceTable &serviceTable,
                 std::shared_ptr<ServicePolicies> sharedPolicies,
                 std::uint64_t seed)
    : options(std::move(scatterOptions))
    , table(std::move(routingTable))
    , service(serviceTable)
    , policies(std::move(sharedPolicies))
    , random(seed)
{
}

Scatter::~Scatter()
{
    for (const GroupProgress &progress : this->groups) {
        for (const Pending &pending : progress.pending) {
            pending.replica->health->release(this->options.priority);
        }
    }
}

bool Scatter::isPool() const
{
    return this->service.options.kind == ServiceKind::Pool;
}

HedgePolicy &Scatter::hedgePolicyOf(const GroupProgress &progress) const
{
    return this->options.hedge ? *this->options.hedge : progress.policies->hedge;
}

std::chrono::microseconds Scatter::hedgeDelayOf(const GroupProgress &progress) const
{
    const HedgePolicy &policy = this->hedgePolicyOf(progress);
    return progress.policies->sharedBudget ? policy.delay(progress.policies->retries) : policy.delay();
}

std::size_t Scatter::minimumGroups() const
{
    if (this->options.minimumGroups) {
        return *this->options.minimumGroups;
    }
    return this->options.partialAllowed ? 1 : this->groups.size();
}

bool Scatter::meetsMinimum(const Coverage &coverage) const
{
    return coverage.answered > 0 && coverage.answered >= this->minimumGroups();
}

bool Scatter::hasExecutionsLeft(const GroupProgress &progress) const
{
    return this->options.maximumExecutions == 0 || progress.executions < this->options.maximumExecutions;
}

bool Scatter::mayRepeat(const GroupProgress &progress) const
{
    return progress.arrivals == 0 || !this->options.crashesServersOf || !this->options.crashesServersOf(progress.group->name);
}

ScatterActions Scatter::start(TimePoint now)
{
    ScatterActions actions;
    if (this->ended || !this->prepare(now, actions)) {
        return actions;
    }
    std::size_t reachable = 0;
    std::size_t withRoom = 0;
    for (const GroupProgress &progress : this->groups) {
        const ReplicaQuery query = this->replicaQueryFor(progress);
        const bool sendsNow = hasRoom(*progress.replicas, query, now);
        withRoom += sendsNow ? 1 : 0;
        reachable += sendsNow || hasCandidate(*progress.replicas, query) ? 1 : 0;
    }
    // Nothing has been sent, so the caller is told that the request hasn't run.
    if (reachable < this->minimumGroups()) {
        this->refuseUnanswered(now, actions);
        return actions;
    }
    if (withRoom < this->minimumGroups()) {
        this->refuseForLimits(now, actions);
        return actions;
    }
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        this->trySend(index, now, actions);
    }
    return this->endOrSchedule(std::move(actions), now);
}

bool Scatter::prepare(TimePoint now, ScatterActions &actions)
{
    const PartitionMap *map = nullptr;
    std::size_t readyGroups = 1;
    if (this->service.fixedGroups) {
        map = &*this->service.fixedGroups;
        readyGroups = map->groups.size();
    } else if (this->isPool()) {
        this->poolMap = PartitionMap{.service = this->service.options.name, .epoch = 0, .groups = {PartitionGroup{}}};
        map = &*this->poolMap;
    } else {
        this->chosen = chooseSnapshot(this->service);
        if (!this->chosen) {
            this->refuse(RefusalReason::NoPartitionMap, actions);
            return false;
        }
        map = this->chosen->map;
        readyGroups = this->chosen->readyGroups;
    }
    if (this->options.makeCollector) {
        this->collector = this->options.makeCollector(*map);
    } else {
        this->collector = std::make_unique<AnswerMerger>(*map, this->chosen ? this->chosen->snapshot : Snapshot{});
    }
    if (readyGroups == 0) {
        this->refuse(RefusalReason::NoReplica, actions);
        return false;
    }
    if (readyGroups < map->groups.size() && !this->options.partialAllowed && !this->options.minimumGroups) {
        // The query keeps its routing table, so sending to the other groups would only load the servers.
        this->refuse(RefusalReason::IncompleteCoverage, actions);
        return false;
    }
    if (now >= this->options.deadline) {
        this->refuse(RefusalReason::DeadlineExceeded, actions);
        return false;
    }
    this->groups.reserve(map->groups.size());
    for (const PartitionGroup &group : map->groups) {
        this->addGroup(group);
    }
    this->unfinishedGroups = this->groups.size();
    this->groupOf.reserve(this->groups.size());
    return true;
}

void Scatter::addGroup(const PartitionGroup &group)
{
    static const std::vector<Replica> noReplicas;
    const auto found = this->service.groups.find(group.name);
    GroupProgress progress;
    progress.group = &group;
    progress.replicas = found == this->service.groups.end() ? &noReplicas : &found->second;
    const auto groupPolicies = this->service.groupPolicies.find(group.name);
    progress.policies = groupPolicies == this->service.groupPolicies.end() ? this->policies.get() : groupPolicies->second.get();
    this->groups.push_back(std::move(progress));
}

ReplicaQuery Scatter::replicaQueryFor(const GroupProgress &progress) const
{
    ReplicaQuery query;
    query.priority = this->options.priority;
    query.selection = this->options.selection;
    query.triedAddresses = progress.triedAddresses;
    query.excluded = progress.excluded;
    query.overduePenaltyDuration = overduePenaltyDuration(progress.policies->initialSends.mean());
    if (this->chosen) {
        query.snapshot = this->chosen->snapshot;
    }
    query.isExtra = progress.retryReason.has_value();
    query.isRepeated = progress.waitingSince.has_value();
    query.usesPreferredReplicas = this->options.usesPreferredReplicas;
    query.latestPauseEnd = this->options.latestPauseEnd;
    return query;
}

void Scatter::addTimer(std::size_t index, TimePoint at)
{
    this->timers.push_back({.at = at, .index = index});
    std::push_heap(this->timers.begin(), this->timers.end(), std::greater<>());
}

ScatterActions Scatter::onTimer(TimePoint now)
{
    ScatterActions actions;
    if (this->ended || now >= this->options.deadline) {
        return this->endOrSchedule(std::move(actions), now);
    }
    while (!this->timers.empty() && this->timers.front().at <= now) {
        const std::size_t index = this->timers.front().index;
        std::pop_heap(this->timers.begin(), this->timers.end(), std::greater<>());
        this->timers.pop_back();
        this->onGroupTimer(index, now, actions);
    }
    return this->endOrSchedule(std::move(actions), now);
}

void Scatter::onGroupTimer(std::size_t index, TimePoint now, ScatterActions &actions)
{
    const GroupProgress &progress = this->groups[index];
    if (progress.done) {
        return;
    }
    this->expirePending(index, now, actions);
    if (!progress.done && progress.retryAt && now >= *progress.retryAt) {
        this->trySend(index, now, actions);
    }
    if (!progress.done && now >= progress.hedgeAt && !this->deferHedge(index, now)) {
        this->hedge(index, now, actions);
    }
}

void Scatter::expirePending(std::size_t index, TimePoint now, ScatterActions &actions)
{
    std::vector<std::uint64_t> expired;
    for (const Pending &pending : this->groups[index].pending) {
        if (now >= pending.expiry) {
            expired.push_back(pending.subrequestId);
        }
    }
    for (const std::uint64_t subrequestId : expired) {
        const std::optional<Pending> pending = this->removePending(subrequestId);
        if (!pending) {
            continue;
        }
        actions.cancel.push_back(subrequestId);
        // A success since the send means that only this connection is silent.
        const bool replicaFailed = !pending->replica->health->succeededSince(pending->sentAt);
        this->handleFailure(
            index, *pending, {.reason = RetryReason::Timeout, .countsAsReplicaFailure = replicaFailed}, false, now, actions);
    }
}

void Scatter::trySend(std::size_t index, TimePoint now, ScatterActions &actions)
{
    GroupProgress &progress = this->groups[index];
    progress.retryAt.reset();
    if (!this->hasExecutionsLeft(progress)) {
        this->giveUp(index);
        return;
    }
    if (!this->mayRepeat(progress)) {
        actions.withheld.push_back(progress.group->name);
        this->giveUp(index);
        return;
    }
    ReplicaQuery query = this->replicaQueryFor(progress);
    query.allowSlow = progress.waitingSince && now - *progress.waitingSince >= slowReplicaWait;
    const Replica *replica = chooseReplica(*progress.replicas, this->service.options, query, this->random, now);
    if (replica == nullptr) {
        // A first subrequest doesn't wait for room: another request uses it as soon as there is some.
        const bool waitsForRoom = progress.retryReason && now < this->options.latestPauseEnd;
        progress.lackedRoom = !waitsForRoom && !hasRoom(*progress.replicas, query, now);
        if (hasCandidate(*progress.replicas, query) && !progress.lackedRoom) {
            this->waitForSlot(index, now);
        } else {
            this->giveUp(index);
        }
        return;
    }
    if (progress.retryReason) {
        if (!this->spendForRetry(progress, now)) {
            releaseUnsent(*replica, this->options.priority);
            this->retryLater(index, budgetPollInterval, now);
            return;
        }
        actions.retries.push_back(*progress.retryReason);
    }
    this->send(index, *replica, false, now, actions);
}

bool Scatter::spendForRetry(GroupProgress &progress, TimePoint now)
{
    if (progress.nextRetryIsFree) {
        progress.nextRetryIsFree = false;
        progress.freeRetryUsed = true;
        return true;
    }
    return progress.policies->retries.spend(now);
}

void Scatter::waitForSlot(std::size_t index, TimePoint now)
{
    GroupProgress &progress = this->groups[index];
    progress.waitingSince = progress.waitingSince.value_or(now);
    const bool waitedLong = now - *progress.waitingSince >= bulkAgingTime;
    const Priority pollPriority = waitedLong ? std::min(Priority::Standard, this->options.priority) : this->options.priority;
    this->retryLater(index, slotPollIntervals.at(static_cast<std::size_t>(pollPriority)), now);
}

void Scatter::retryLater(std::size_t index, std::chrono::microseconds base, TimePoint now)
{
    // Jitter of up to half the interval keeps waiting groups from polling in step.
    const std::chrono::microseconds jitter(this->random.below(static_cast<std::size_t>(base.count()) / 2));
    this->groups[index].retryAt = now + base + jitter;
    this->addTimer(index, *this->groups[index].retryAt);
}

void Scatter::hedge(std::size_t index, TimePoint now, ScatterActions &actions)
{
    GroupProgress &progress = this->groups[index];
    progress.hedgeAt = TimePoint::max();
    if (!progress.pending.empty()) {
        progress.pending.front().replica->health->noteOverdue(now);
    }
    if (progress.hedged || progress.pending.size() != 1 || !this->options.idempotent || !this->hasExecutionsLeft(progress)) {
        return;
    }
    if (!this->mayRepeat(progress)) {
        actions.withheld.push_back(progress.group->name);
        return;
    }
    const bool mayCrashServers = this->probeState != ProbeState::NotNeeded && this->probeState != ProbeState::Passed;
    if (mayCrashServers) {
        this->rescheduleHedge(index, now);
        return;
    }
    ReplicaQuery query = this->replicaQueryFor(progress);
    query.excludeTried = true;
    query.isExtra = true;
    query.allowSlow = false;
    query.avoidDataCentre = progress.pending.front().replica->record.dataCentre;
    const Replica *replica = chooseReplica(*progress.replicas, this->service.options, query, this->random, now);
    if (replica != nullptr && progress.policies->spendForHedge(now)) {
        progress.hedged = true;
        actions.retries.push_back(RetryReason::Hedge);
        this->send(index, *replica, true, now, actions);
        return;
    }
    if (replica != nullptr) {
        releaseUnsent(*replica, this->options.priority);
    }
    this->rescheduleHedge(index, now);
}

bool Scatter::deferHedge(std::size_t index, TimePoint now)
{
    GroupProgress &progress = this->groups[index];
    if (progress.hedgeDeferred || now - progress.hedgeAt < lateTimerThreshold) {
        return false;
    }
    progress.hedgeDeferred = true;
    progress.hedgeAt = now + replyReadTime;
    this->addTimer(index, progress.hedgeAt);
    return true;
}

void Scatter::rescheduleHedge(std::size_t index, TimePoint now)
{
    GroupProgress &progress = this->groups[index];
    progress.hedgeAt = now + this->hedgeDelayOf(progress);
    this->addTimer(index, progress.hedgeAt);
}

void Scatter::send(std::size_t index, const Replica &replica, bool isHedge, TimePoint now, ScatterActions &actions)
{
    GroupProgress &progress = this->groups[index];
    this->groupOf.push_back(index);
    const Pending pending{
        .subrequestId = this->groupOf.size(),
        .replica = &replica,
        .sentAt = now,
        .expiry = std::min<TimePoint>(now + this->service.options.subrequestTimeout, this->options.deadline),
        .hedge = isHedge,
    };
    progress.pending.push_back(pending);
    ++progress.executions;
    ++progress.arrivals;
    progress.waitingSince.reset();
    progress.triedAddresses.push_back(replica.record.key.address);
    this->addTimer(index, pending.expiry);
    if (isHedge) {
        ++this->hedgeCount;
    } else if (this->options.idempotent && this->hedgePolicyOf(progress).enabled()) {
        this->rescheduleHedge(index, now);
    }
    if (!isHedge && !progress.retryReason) {
        progress.policies->hedge.earn(now);
        progress.policies->retries.earn(now);
        progress.policies->initialSends.recordSend(now);
    }
    actions.send.push_back({
        .subrequestId = pending.subrequestId,
        .group = progress.group->name,
        .replica = &replica,
        .snapshot = this->chosen ? this->chosen->snapshot : Snapshot{},
        .expiry = pending.expiry,
        .hedge = isHedge,
    });
}

std::optional<Scatter::Pending> Scatter::removePending(std::uint64_t subrequestId)
{
    if (subrequestId == 0 || subrequestId > this->groupOf.size()) {
        return std::nullopt;
    }
    std::vector<Pending> &pendings = this->groups[this->groupOf[subrequestId - 1]].pending;
    const auto found = std::find_if(
        pendings.begin(), pendings.end(), [subrequestId](const Pending &pending) { return pending.subrequestId == subrequestId; });
    if (found == pendings.end()) {
        return std::nullopt;
    }
    const Pending removed = *found;
    pendings.erase(found);
    removed.replica->health->release(this->options.priority);
    return removed;
}

bool Scatter::isOutlier(const GroupProgress &progress, std::chrono::microseconds latency) const
{
    return this->options.idempotent && latency >= outlierFactor * this->hedgePolicyOf(progress).longDelay();
}

void Scatter::cancelPending(GroupProgress &progress, TimePoint now, ScatterActions &actions)
{
    while (!progress.pending.empty()) {
        const Pending pending = *this->removePending(progress.pending.back().subrequestId);
        actions.cancel.push_back(pending.subrequestId);
        if (this->isOutlier(progress, elapsed(pending.sentAt, now))) {
            pending.replica->health->noteOutlier();
        }
        pending.replica->health->recordLatencyAtLeast(elapsed(pending.sentAt, now), now);
    }
}

ScatterActions Scatter::onReply(Subreply reply, std::chrono::microseconds latency, const LoadReport &load, TimePoint now)
{
    ScatterActions actions;
    const std::optional<Pending> pending = this->removePending(reply.subrequestId);
    if (!pending) {
        ++this->lateReplyCount;
        return this->endOrSchedule(std::move(actions), now);
    }
    const std::size_t index = this->groupOf[pending->subrequestId - 1];
    pending->replica->health->recordLoad(load, now);
    if (this->service.fixedGroups) {
        reply.group = this->groups[index].group->name;
    } else if (this->isPool()) {
        reply.snapshot = Snapshot{};
        reply.group.clear();
        reply.range = KeyRange{};
    }
    const bool ownGroup = reply.group == this->groups[index].group->name;
    const MergeVerdict verdict = ownGroup ? this->collector->merge(std::move(reply)) : MergeVerdict::WrongRange;
    if (verdict == MergeVerdict::Merged) {
        this->acceptReply(index, *pending, latency, now, actions);
    } else {
        const RetryReason reason = verdict == MergeVerdict::WrongSnapshot ? RetryReason::WrongVersion : RetryReason::InvalidReply;
        this->handleFailure(index, *pending, {.reason = reason, .countsAsReplicaFailure = true}, false, now, actions);
    }
    return this->endOrSchedule(std::move(actions), now);
}

void Scatter::acceptReply(std::size_t index,
                          const Pending &pending,
                          std::chrono::microseconds latency,
                          TimePoint now,
                          ScatterActions &actions)
{
    GroupProgress &progress = this->groups[index];
    pending.replica->health->recordSuccess(latency, now);
    if (this->isOutlier(progress, latency)) {
        pending.replica->health->noteOutlier();
    }
    this->hedgePolicyOf(progress).recordLatency(latency);
    progress.done = true;
    progress.answered = true;
    --this->unfinishedGroups;
    // A replica whose hedge replied first is an outlier. cancelPending notes those that exceed the outlier latency.
    for (const Pending &slower : progress.pending) {
        if (pending.hedge && !this->isOutlier(progress, elapsed(slower.sentAt, now))) {
            slower.replica->health->noteOutlier();
        }
    }
    this->cancelPending(progress, now, actions);
    if (this->probeState == ProbeState::InFlight && this->probeGroup == index) {
        this->probeState = ProbeState::Passed;
        this->resumeAfterProbe(now, actions);
    }
}

ScatterActions Scatter::onFailure(std::uint64_t subrequestId, const SubrequestFailure &failure, TimePoint now)
{
    ScatterActions actions;
    const std::optional<Pending> pending = this->removePending(subrequestId);
    if (!pending) {
        return this->endOrSchedule(std::move(actions), now);
    }
    const std::size_t index = this->groupOf[subrequestId - 1];
    this->handleFailure(index, *pending, failure, provesNotRun(failure.reason), now, actions);
    return this->endOrSchedule(std::move(actions), now);
}

void Scatter::handleFailure(std::size_t index,
                            const Pending &pending,
                            const SubrequestFailure &failure,
                            bool notRun,
                            TimePoint now,
                            ScatterActions &actions)
{
    GroupProgress &progress = this->groups[index];
    this->updateHealth(pending, failure, now);
    if (notRun) {
        ++this->refusedNotRun;
        --progress.executions;
    }
    if (failure.reason == RetryReason::ConnectionRefused) {
        --progress.arrivals;
    }
    if (!isTransient(failure.reason)) {
        ++progress.attempts;
    }
    if (excludesReplica(failure.reason)) {
        progress.excluded.push_back(pending.replica->record.key.address);
    }
    if (failure.reason == RetryReason::ConnectionLost) {
        progress.lostConnections += this->options.probesAfterLostConnection ? 1 : 0;
        if (this->options.probesAfterLostConnection && this->probeState == ProbeState::NotNeeded) {
            this->probeState = ProbeState::Needed;
        }
        if (this->probeState == ProbeState::InFlight && this->probeGroup == index) {
            this->probeState = ProbeState::Failed;
            this->resumeAfterProbe(now, actions);
        }
    }
    // The hedge, or the subrequest that it duplicates, may still be answered.
    if (progress.pending.empty()) {
        this->retry(index, failure.reason, notRun, now, actions);
    }
}

void Scatter::updateHealth(const Pending &pending, const SubrequestFailure &failure, TimePoint now)
{
    ReplicaHealth &health = *pending.replica->health;
    switch (failure.reason) {
    case RetryReason::Overloaded:
        health.recordRefusal(now);
        health.startBackoff(now + overloadBackoff);
        return;
    case RetryReason::Starting:
        health.startBackoff(now + startingBackoff);
        return;
    case RetryReason::Draining:
    case RetryReason::WrongServer:
        health.startBackoff(now + drainBackoff);
        return;
    case RetryReason::WrongVersion:
        return;
    default:
        break;
    }
    if (!failure.countsAsReplicaFailure) {
        return;
    }
    health.recordFailure(now);
    if (failure.reason == RetryReason::ConnectionRefused) {
        health.startBackoff(now + connectionRefusedBackoff);
    }
    if (failure.reason == RetryReason::Timeout) {
        health.recordLatencyAtLeast(elapsed(pending.sentAt, now), now);
    }
}

void Scatter::retry(std::size_t index, RetryReason reason, bool notRun, TimePoint now, ScatterActions &actions)
{
    GroupProgress &progress = this->groups[index];
    progress.retryReason = reason;
    progress.hedged = false;
    progress.hedgeAt = TimePoint::max();
    progress.nextRetryIsFree = notRun && !progress.freeRetryUsed && !progress.policies->sharedBudget;
    const bool mayHaveRun = !notRun && !this->options.idempotent;
    if (progress.attempts >= maximumAttempts || mayHaveRun) {
        this->giveUp(index);
    } else if (progress.lostConnections > 0) {
        this->retryLostConnection(index, now, actions);
    } else {
        this->trySend(index, now, actions);
    }
}

void Scatter::retryLostConnection(std::size_t index, TimePoint now, ScatterActions &actions)
{
    GroupProgress &progress = this->groups[index];
    if (this->probeState == ProbeState::Failed || progress.lostConnections >= maximumLostConnections) {
        this->giveUp(index);
        return;
    }
    const bool isProbe = this->probeState == ProbeState::InFlight && this->probeGroup == index;
    if (isProbe || this->probeState == ProbeState::Passed) {
        this->trySend(index, now, actions);
        return;
    }
    progress.awaitsProbe = true;
}

void Scatter::startProbe(TimePoint now, ScatterActions &actions)
{
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        if (this->probeState != ProbeState::Needed) {
            return;
        }
        GroupProgress &progress = this->groups[index];
        if (progress.done || !progress.awaitsProbe) {
            continue;
        }
        progress.awaitsProbe = false;
        this->probeState = ProbeState::InFlight;
        this->probeGroup = index;
        // If this gives the group up, the next waiting group becomes the probe.
        this->trySend(index, now, actions);
    }
}

void Scatter::resumeAfterProbe(TimePoint now, ScatterActions &actions)
{
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        GroupProgress &progress = this->groups[index];
        if (progress.done || !progress.awaitsProbe) {
            continue;
        }
        progress.awaitsProbe = false;
        this->retryLostConnection(index, now, actions);
    }
}

void Scatter::giveUp(std::size_t index)
{
    GroupProgress &progress = this->groups[index];
    progress.done = true;
    --this->unfinishedGroups;
    ++this->givenUpGroups;
    if (this->probeState == ProbeState::InFlight && this->probeGroup == index) {
        this->probeState = ProbeState::Needed;
    }
}

ScatterActions Scatter::endOrSchedule(ScatterActions actions, TimePoint now)
{
    // Without groups the scatter hasn't started, and an unexpected event must not end it.
    if (this->ended || this->groups.empty()) {
        return actions;
    }
    this->startProbe(now, actions);
    const bool cannotComplete = this->groups.size() - this->givenUpGroups < this->minimumGroups();
    const bool returnsPartial = now >= this->options.softDeadline && this->meetsMinimum(this->collector->coverage());
    if (this->unfinishedGroups == 0 || cannotComplete || returnsPartial || now >= this->options.deadline) {
        this->end(now, actions);
        return actions;
    }
    while (!this->timers.empty() && this->groups[this->timers.front().index].done) {
        std::pop_heap(this->timers.begin(), this->timers.end(), std::greater<>());
        this->timers.pop_back();
    }
    actions.nextTimerAt = this->timers.empty() ? this->options.deadline : std::min(this->options.deadline, this->timers.front().at);
    if (now < this->options.softDeadline) {
        actions.nextTimerAt = std::min(*actions.nextTimerAt, this->options.softDeadline);
    }
    return actions;
}

void Scatter::end(TimePoint now, ScatterActions &actions)
{
    for (GroupProgress &progress : this->groups) {
        this->cancelPending(progress, now, actions);
    }
    const Coverage coverage = this->collector->coverage();
    if (this->meetsMinimum(coverage)) {
        this->ended = true;
        actions.outcome = ScatterOutcome{
            .answer = this->collector->take(),
            .refusal = std::nullopt,
            .execution = Execution::Ran,
            .coverage = coverage,
        };
    } else {
        this->refuseUnanswered(now, actions);
    }
}

void Scatter::refuseUnanswered(TimePoint now, ScatterActions &actions)
{
    if (const std::optional<TimePoint> pauseEnd = this->endOfDecidingPause(now)) {
        this->refuse(RefusalReason::ServersPaused, actions);
        actions.outcome->pausedUntil = pauseEnd;
    } else if (std::ranges::any_of(this->groups, &GroupProgress::lackedRoom)) {
        this->refuseForLimits(now, actions);
    } else if (!this->isPool()) {
        this->refuse(RefusalReason::IncompleteCoverage, actions);
    } else {
        this->refuse(now >= this->options.deadline ? RefusalReason::DeadlineExceeded : RefusalReason::NoReplica, actions);
    }
}

bool Scatter::isReachable(const GroupProgress &progress) const
{
    return progress.answered || hasCandidate(*progress.replicas, this->replicaQueryFor(progress));
}

std::optional<TimePoint> Scatter::endOfDecidingPause(TimePoint now) const
{
    std::vector<TimePoint> ends;
    std::size_t reachable = 0;
    for (const GroupProgress &progress : this->groups) {
        if (this->isReachable(progress)) {
            ++reachable;
        } else if (const auto end = earliestPauseEnd(*progress.replicas, this->replicaQueryFor(progress), now)) {
            ends.push_back(*end);
        }
    }
    return this->timeOfMinimum(reachable, std::move(ends));
}

std::optional<TimePoint> Scatter::timeOfMinimum(std::size_t answerable, std::vector<TimePoint> others) const
{
    const std::size_t needed = this->minimumGroups();
    if (answerable >= needed || answerable + others.size() < needed) {
        return std::nullopt;
    }
    std::ranges::sort(others);
    return others[needed - answerable - 1];
}

void Scatter::refuseForLimits(TimePoint now, ScatterActions &actions)
{
    std::vector<TimePoint> expected;
    std::size_t withRoom = 0;
    for (const GroupProgress &progress : this->groups) {
        const ReplicaQuery query = this->replicaQueryFor(progress);
        if (progress.answered || hasRoom(*progress.replicas, query, now)) {
            ++withRoom;
        } else if (const std::optional<TimePoint> room = expectedRoom(*progress.replicas, query, now)) {
            expected.push_back(*room);
        }
    }
    this->refuse(RefusalReason::ServersAtLimit, actions);
    if (const std::optional<TimePoint> room = this->timeOfMinimum(withRoom, std::move(expected))) {
        // Spread over the same time again, so that refused callers don't return at once.
        const std::chrono::microseconds wait = elapsed(now, *room);
        actions.outcome->pausedUntil = *room + std::chrono::microseconds(this->random.below(static_cast<std::size_t>(wait.count()) + 1));
    }
}

void Scatter::refuse(RefusalReason reason, ScatterActions &actions)
{
    this->ended = true;
    actions.outcome = ScatterOutcome{
        .answer = std::nullopt,
        .refusal = reason,
        .execution = this->refusedNotRun == this->groupOf.size() ? Execution::NotRun : Execution::Unknown,
        .coverage = this->collector ? this->collector->coverage() : Coverage{},
    };
}

ScatterActions Scatter::expire(TimePoint now)
{
    this->options.deadline = std::min(this->options.deadline, now);
    return this->endOrSchedule({}, now);
}

ScatterActions Scatter::cancel(TimePoint now)
{
    ScatterActions actions;
    this->ended = true;
    for (GroupProgress &progress : this->groups) {
        this->cancelPending(progress, now, actions);
    }
    return actions;
}

std::uint64_t Scatter::lateReplies() const
{
    return this->lateReplyCount;
}

std::uint64_t Scatter::subrequestsSent() const
{
    return this->groupOf.size();
}

std::uint64_t Scatter::hedgesSent() const
{
    return this->hedgeCount;
}

} // namespace Galenawell
