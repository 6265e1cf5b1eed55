#include "galenawell/query/scatter.h"

#include <algorithm>
#include <functional>

namespace Galenawell {

namespace {

// Subrequests of one group that may have run without bringing a usable reply, before the group is given up.
constexpr unsigned maximumAttempts = 6;
// Two lost connections of one group are two pieces of evidence against the query.
constexpr unsigned maximumLostConnections = 2;

// A group without a free replica, or without retry budget, is tried again after this time. Urgent queries look more
// often, so a place that becomes free is most likely theirs.
constexpr std::array<std::chrono::milliseconds, priorityCount> waitTimes{
    std::chrono::milliseconds(2),
    std::chrono::milliseconds(5),
    std::chrono::milliseconds(10),
};

// Budget is earned by other queries, so looking for it more often only costs processor time.
constexpr std::chrono::milliseconds budgetWaitTime{25};

// A timer this late means that the process was busy or stood still. Replies of that time may wait to be read, so hedges are
// put off once for long enough to read them.
constexpr std::chrono::milliseconds lateTimer{5};
constexpr std::chrono::milliseconds readingTime{5};

// A subrequest that takes this many times the delay of a hedge isn't the usual tail.
constexpr int outlierFactor = 2;

// A bulk group that has waited this long looks as often as a standard one, so that bulk work keeps running.
constexpr std::chrono::milliseconds patience{100};

// A group waits this long for a place on a fast replica before it takes a slow one.
constexpr std::chrono::milliseconds slowPatience{10};

// How long a refusal keeps other subrequests of this front away from the replica.
constexpr std::chrono::milliseconds overloadHoldOff{20};
constexpr std::chrono::milliseconds startingHoldOff{250};
// Refusing is fast, so a refusing replica always has free places and would draw the overflow of the working ones.
constexpr std::chrono::milliseconds refusedHoldOff{100};
// The registry learns of a drain within one lease.
constexpr std::chrono::milliseconds drainHoldOff = backendLease;

// True for failures with which the server, or its host, says that it didn't run the subrequest.
bool saysNotRun(RetryReason reason)
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

// True if the replica can't serve this query later either.
bool excludesReplica(RetryReason reason)
{
    return reason == RetryReason::Draining || reason == RetryReason::WrongVersion || reason == RetryReason::InvalidReply
        || reason == RetryReason::WrongServer;
}

// These refusals pass with time, so they don't use up the group's attempts.
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

bool ServicePolicies::spendForHedge()
{
    return this->sharedBudget ? this->hedge.enabled() && this->retries.spend() : this->hedge.trySpend();
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

HedgePolicy &Scatter::hedgeOf(const GroupProgress &progress) const
{
    return this->options.hedge ? *this->options.hedge : progress.policies->hedge;
}

std::size_t Scatter::minimumGroups() const
{
    if (this->options.minimumGroups) {
        return *this->options.minimumGroups;
    }
    return this->options.partialAllowed ? 1 : this->groups.size();
}

bool Scatter::enough(const Coverage &coverage) const
{
    return coverage.answered > 0 && coverage.answered >= this->minimumGroups();
}

bool Scatter::mayRunOnce(const GroupProgress &progress) const
{
    return this->options.maximumExecutions == 0 || progress.runs < this->options.maximumExecutions;
}

ScatterActions Scatter::start(TimePoint now)
{
    ScatterActions actions;
    if (this->ended || !this->prepare(now, actions)) {
        return actions;
    }
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        this->attempt(index, now, actions);
    }
    return this->finish(std::move(actions), now);
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
        this->merger = this->options.makeCollector(*map);
    } else {
        this->merger = std::make_unique<AnswerMerger>(*map, this->chosen ? this->chosen->snapshot : Snapshot{});
    }
    if (readyGroups == 0) {
        this->refuse(RefusalReason::NoReplica, actions);
        return false;
    }
    if (readyGroups < map->groups.size() && !this->options.partialAllowed && !this->options.minimumGroups) {
        // The table doesn't change for this query, so sending the rest would only load the servers.
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
    this->unfinished = this->groups.size();
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
    const auto own = this->service.groupPolicies.find(group.name);
    progress.policies = own == this->service.groupPolicies.end() ? this->policies.get() : own->second.get();
    this->groups.push_back(std::move(progress));
}

ReplicaQuery Scatter::queryFor(const GroupProgress &progress) const
{
    ReplicaQuery query;
    query.priority = this->options.priority;
    query.selection = this->options.selection;
    query.tried = progress.tried;
    query.excluded = progress.excluded;
    query.overduePenaltyDuration = overduePenaltyDuration(progress.policies->firstSends.mean());
    if (this->chosen) {
        query.snapshot = this->chosen->snapshot;
    }
    query.usesPreferredReplicas = this->options.usesPreferredReplicas;
    return query;
}

void Scatter::addWake(std::size_t index, TimePoint at)
{
    this->wakes.push_back({.at = at, .index = index});
    std::push_heap(this->wakes.begin(), this->wakes.end(), std::greater<>());
}

ScatterActions Scatter::onTimer(TimePoint now)
{
    ScatterActions actions;
    if (this->ended || now >= this->options.deadline) {
        return this->finish(std::move(actions), now);
    }
    while (!this->wakes.empty() && this->wakes.front().at <= now) {
        const std::size_t index = this->wakes.front().index;
        std::pop_heap(this->wakes.begin(), this->wakes.end(), std::greater<>());
        this->wakes.pop_back();
        this->wakeGroup(index, now, actions);
    }
    return this->finish(std::move(actions), now);
}

void Scatter::wakeGroup(std::size_t index, TimePoint now, ScatterActions &actions)
{
    const GroupProgress &progress = this->groups[index];
    if (progress.done) {
        return;
    }
    this->expirePending(index, now, actions);
    if (!progress.done && progress.retryAt && now >= *progress.retryAt) {
        this->attempt(index, now, actions);
    }
    if (!progress.done && now >= progress.hedgeAt && !this->putOffHedge(index, now)) {
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
        const std::optional<Pending> pending = this->takePending(subrequestId);
        if (!pending) {
            continue;
        }
        actions.cancel.push_back(subrequestId);
        // A success since the send means that this connection is silent, not the replica.
        const bool blame = !pending->replica->health->succeededSince(pending->sentAt);
        this->fail(index, *pending, {.reason = RetryReason::Timeout, .countsAsReplicaFailure = blame}, false, now, actions);
    }
}

void Scatter::attempt(std::size_t index, TimePoint now, ScatterActions &actions)
{
    GroupProgress &progress = this->groups[index];
    progress.retryAt.reset();
    if (!this->mayRunOnce(progress)) {
        this->giveUp(index);
        return;
    }
    ReplicaQuery query = this->queryFor(progress);
    query.allowSlow = progress.waitsSince && now - *progress.waitsSince >= slowPatience;
    const Replica *replica = chooseReplica(*progress.replicas, this->service.options, query, this->random, now);
    if (replica == nullptr) {
        if (hasCandidate(*progress.replicas, query)) {
            this->waitForPlace(index, now);
        } else {
            this->giveUp(index);
        }
        return;
    }
    if (progress.retryReason) {
        if (!this->mayRetry(progress)) {
            replica->health->release(this->options.priority);
            this->wait(index, budgetWaitTime, now);
            return;
        }
        actions.retries.push_back(*progress.retryReason);
    }
    this->send(index, *replica, false, now, actions);
}

bool Scatter::mayRetry(GroupProgress &progress)
{
    if (progress.nextIsFree) {
        progress.nextIsFree = false;
        progress.freeRetryUsed = true;
        return true;
    }
    return progress.policies->retries.spend();
}

void Scatter::waitForPlace(std::size_t index, TimePoint now)
{
    GroupProgress &progress = this->groups[index];
    progress.waitsSince = progress.waitsSince.value_or(now);
    const bool waitedLong = now - *progress.waitsSince >= patience;
    const Priority pace = waitedLong ? std::min(Priority::Standard, this->options.priority) : this->options.priority;
    this->wait(index, waitTimes.at(static_cast<std::size_t>(pace)), now);
}

void Scatter::wait(std::size_t index, std::chrono::microseconds base, TimePoint now)
{
    // Jitter of up to half the time keeps waiting groups from asking all at once.
    const std::chrono::microseconds jitter(this->random.below(static_cast<std::size_t>(base.count()) / 2));
    this->groups[index].retryAt = now + base + jitter;
    this->addWake(index, *this->groups[index].retryAt);
}

void Scatter::hedge(std::size_t index, TimePoint now, ScatterActions &actions)
{
    GroupProgress &progress = this->groups[index];
    progress.hedgeAt = TimePoint::max();
    if (!progress.pending.empty()) {
        progress.pending.front().replica->health->noteOverdue(now);
    }
    if (progress.hedged || progress.pending.size() != 1 || !this->options.idempotent || !this->mayRunOnce(progress)) {
        return;
    }
    const bool suspected = this->suspicion != Suspicion::None && this->suspicion != Suspicion::Cleared;
    if (suspected) {
        this->hedgeLater(index, now);
        return;
    }
    ReplicaQuery query = this->queryFor(progress);
    query.excludeTried = true;
    query.allowSlow = false;
    query.avoidDataCentre = progress.pending.front().replica->record.dataCentre;
    const Replica *replica = chooseReplica(*progress.replicas, this->service.options, query, this->random, now);
    if (replica != nullptr && progress.policies->spendForHedge()) {
        progress.hedged = true;
        actions.retries.push_back(RetryReason::Hedge);
        this->send(index, *replica, true, now, actions);
        return;
    }
    if (replica != nullptr) {
        replica->health->release(this->options.priority);
    }
    this->hedgeLater(index, now);
}

bool Scatter::putOffHedge(std::size_t index, TimePoint now)
{
    GroupProgress &progress = this->groups[index];
    if (progress.hedgePutOff || now - progress.hedgeAt < lateTimer) {
        return false;
    }
    progress.hedgePutOff = true;
    progress.hedgeAt = now + readingTime;
    this->addWake(index, progress.hedgeAt);
    return true;
}

void Scatter::hedgeLater(std::size_t index, TimePoint now)
{
    GroupProgress &progress = this->groups[index];
    progress.hedgeAt = now + this->hedgeOf(progress).delay();
    this->addWake(index, progress.hedgeAt);
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
    ++progress.runs;
    progress.waitsSince.reset();
    progress.tried.push_back(replica.record.key.address);
    this->addWake(index, pending.expiry);
    if (isHedge) {
        ++this->hedges;
    } else if (this->options.idempotent && this->hedgeOf(progress).enabled()) {
        this->hedgeLater(index, now);
    }
    if (!isHedge && !progress.retryReason) {
        progress.policies->hedge.earn();
        progress.policies->retries.earn();
        progress.policies->firstSends.recordSend(now);
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

std::optional<Scatter::Pending> Scatter::takePending(std::uint64_t subrequestId)
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
    const Pending taken = *found;
    pendings.erase(found);
    taken.replica->health->release(this->options.priority);
    return taken;
}

bool Scatter::isOutlier(const GroupProgress &progress, std::chrono::microseconds latency) const
{
    return this->options.idempotent && latency >= outlierFactor * this->hedgeOf(progress).delay();
}

void Scatter::cancelPending(GroupProgress &progress, TimePoint now, ScatterActions &actions)
{
    while (!progress.pending.empty()) {
        const Pending pending = *this->takePending(progress.pending.back().subrequestId);
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
    const std::optional<Pending> pending = this->takePending(reply.subrequestId);
    if (!pending) {
        ++this->late;
        return this->finish(std::move(actions), now);
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
    const MergeVerdict verdict = ownGroup ? this->merger->merge(std::move(reply)) : MergeVerdict::WrongRange;
    if (verdict == MergeVerdict::Merged) {
        this->acceptReply(index, *pending, latency, now, actions);
    } else {
        const RetryReason reason = verdict == MergeVerdict::WrongSnapshot ? RetryReason::WrongVersion : RetryReason::InvalidReply;
        this->fail(index, *pending, {.reason = reason, .countsAsReplicaFailure = true}, false, now, actions);
    }
    return this->finish(std::move(actions), now);
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
    this->hedgeOf(progress).recordLatency(latency);
    progress.done = true;
    --this->unfinished;
    // A server that a hedge beat is slow; cancelPending notes those that are slower still.
    for (const Pending &beaten : progress.pending) {
        if (pending.hedge && !this->isOutlier(progress, elapsed(beaten.sentAt, now))) {
            beaten.replica->health->noteOutlier();
        }
    }
    this->cancelPending(progress, now, actions);
    if (this->suspicion == Suspicion::Probing && this->probe == index) {
        this->suspicion = Suspicion::Cleared;
        this->releaseWaitingForProbe(now, actions);
    }
}

ScatterActions Scatter::onFailure(std::uint64_t subrequestId, const SubrequestFailure &failure, TimePoint now)
{
    ScatterActions actions;
    const std::optional<Pending> pending = this->takePending(subrequestId);
    if (!pending) {
        return this->finish(std::move(actions), now);
    }
    const std::size_t index = this->groupOf[subrequestId - 1];
    this->fail(index, *pending, failure, saysNotRun(failure.reason), now, actions);
    return this->finish(std::move(actions), now);
}

void Scatter::fail(std::size_t index,
                   const Pending &pending,
                   const SubrequestFailure &failure,
                   bool unrun,
                   TimePoint now,
                   ScatterActions &actions)
{
    GroupProgress &progress = this->groups[index];
    this->recordFault(pending, failure, now);
    if (unrun) {
        ++this->refusedUnrun;
        --progress.runs;
    }
    if (!isTransient(failure.reason)) {
        ++progress.attempts;
    }
    if (excludesReplica(failure.reason)) {
        progress.excluded.push_back(pending.replica->record.key.address);
    }
    if (failure.reason == RetryReason::ConnectionLost) {
        progress.lostConnections += this->options.probesAfterLostConnection ? 1 : 0;
        if (this->options.probesAfterLostConnection && this->suspicion == Suspicion::None) {
            this->suspicion = Suspicion::Suspected;
        }
        if (this->suspicion == Suspicion::Probing && this->probe == index) {
            this->suspicion = Suspicion::Confirmed;
            this->releaseWaitingForProbe(now, actions);
        }
    }
    // The hedge, or the subrequest that it was sent for, may still bring the reply.
    if (progress.pending.empty()) {
        this->retry(index, failure.reason, unrun, now, actions);
    }
}

void Scatter::recordFault(const Pending &pending, const SubrequestFailure &failure, TimePoint now)
{
    ReplicaHealth &health = *pending.replica->health;
    switch (failure.reason) {
    case RetryReason::Overloaded:
        health.recordRefusal(now);
        health.startBackoff(now + overloadHoldOff);
        return;
    case RetryReason::Starting:
        health.startBackoff(now + startingHoldOff);
        return;
    case RetryReason::Draining:
    case RetryReason::WrongServer:
        health.startBackoff(now + drainHoldOff);
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
        health.startBackoff(now + refusedHoldOff);
    }
    if (failure.reason == RetryReason::Timeout) {
        health.recordLatencyAtLeast(elapsed(pending.sentAt, now), now);
    }
}

void Scatter::retry(std::size_t index, RetryReason reason, bool unrun, TimePoint now, ScatterActions &actions)
{
    GroupProgress &progress = this->groups[index];
    progress.retryReason = reason;
    progress.hedged = false;
    progress.hedgeAt = TimePoint::max();
    progress.nextIsFree = unrun && !progress.freeRetryUsed && !progress.policies->sharedBudget;
    const bool mayHaveRun = !unrun && !this->options.idempotent;
    if (progress.attempts >= maximumAttempts || mayHaveRun) {
        this->giveUp(index);
    } else if (progress.lostConnections > 0) {
        this->retryLostConnection(index, now, actions);
    } else {
        this->attempt(index, now, actions);
    }
}

void Scatter::retryLostConnection(std::size_t index, TimePoint now, ScatterActions &actions)
{
    GroupProgress &progress = this->groups[index];
    if (this->suspicion == Suspicion::Confirmed || progress.lostConnections >= maximumLostConnections) {
        this->giveUp(index);
        return;
    }
    const bool isProbe = this->suspicion == Suspicion::Probing && this->probe == index;
    if (isProbe || this->suspicion == Suspicion::Cleared) {
        this->attempt(index, now, actions);
        return;
    }
    progress.awaitsProbe = true;
}

void Scatter::startProbe(TimePoint now, ScatterActions &actions)
{
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        if (this->suspicion != Suspicion::Suspected) {
            return;
        }
        GroupProgress &progress = this->groups[index];
        if (progress.done || !progress.awaitsProbe) {
            continue;
        }
        progress.awaitsProbe = false;
        this->suspicion = Suspicion::Probing;
        this->probe = index;
        // May give the group up, which lets the next group become the probe.
        this->attempt(index, now, actions);
    }
}

void Scatter::releaseWaitingForProbe(TimePoint now, ScatterActions &actions)
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
    --this->unfinished;
    ++this->givenUp;
    if (this->suspicion == Suspicion::Probing && this->probe == index) {
        this->suspicion = Suspicion::Suspected;
    }
}

ScatterActions Scatter::finish(ScatterActions actions, TimePoint now)
{
    // Without groups the scatter hasn't started; a stray event must not end it.
    if (this->ended || this->groups.empty()) {
        return actions;
    }
    this->startProbe(now, actions);
    const bool cannotComplete = this->groups.size() - this->givenUp < this->minimumGroups();
    const bool answersNow = now >= this->options.softDeadline && this->enough(this->merger->coverage());
    if (this->unfinished == 0 || cannotComplete || answersNow || now >= this->options.deadline) {
        this->end(now, actions);
        return actions;
    }
    while (!this->wakes.empty() && this->groups[this->wakes.front().index].done) {
        std::pop_heap(this->wakes.begin(), this->wakes.end(), std::greater<>());
        this->wakes.pop_back();
    }
    actions.wakeAt = this->wakes.empty() ? this->options.deadline : std::min(this->options.deadline, this->wakes.front().at);
    if (now < this->options.softDeadline) {
        actions.wakeAt = std::min(*actions.wakeAt, this->options.softDeadline);
    }
    return actions;
}

void Scatter::end(TimePoint now, ScatterActions &actions)
{
    for (GroupProgress &progress : this->groups) {
        this->cancelPending(progress, now, actions);
    }
    const Coverage coverage = this->merger->coverage();
    if (this->enough(coverage)) {
        this->ended = true;
        actions.outcome = ScatterOutcome{
            .answer = this->merger->take(),
            .refusal = std::nullopt,
            .execution = Execution::Ran,
            .coverage = coverage,
        };
    } else if (!this->isPool()) {
        this->refuse(RefusalReason::IncompleteCoverage, actions);
    } else {
        this->refuse(now >= this->options.deadline ? RefusalReason::DeadlineExceeded : RefusalReason::NoReplica, actions);
    }
}

void Scatter::refuse(RefusalReason reason, ScatterActions &actions)
{
    this->ended = true;
    actions.outcome = ScatterOutcome{
        .answer = std::nullopt,
        .refusal = reason,
        .execution = this->refusedUnrun == this->groupOf.size() ? Execution::NotRun : Execution::Unknown,
        .coverage = this->merger ? this->merger->coverage() : Coverage{},
    };
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
    return this->late;
}

std::uint64_t Scatter::subrequestsSent() const
{
    return this->groupOf.size();
}

std::uint64_t Scatter::hedgesSent() const
{
    return this->hedges;
}

} // namespace Galenawell
