#include "galenawell/routing/replicachooser.h"

#include <algorithm>
#include <array>

namespace Galenawell {

namespace {

// Fraction of the in-flight limit that a new replica starts with.
constexpr double initialRampFraction = 0.1;
// A replica is slow if its average latency is more than this many times that of the fastest.
constexpr int slowLatencyFactor = 4;
// Score penalty of a replica that all fronts together found slow or failing. With a higher one, requests would leave healthy
// replicas that are slow under load for replicas that refuse most work.
constexpr double impairedPenalty = 4.0;
// Score penalty of a replica with an overdue subrequest: it may be stalled.
constexpr double overduePenalty = 10.0;
// Score penalty of a replica that isn't preferred, for the latency and the traffic between data centres.
constexpr double nonPreferredPenalty = 1.4;
// One in this many replicas of a group may be ejected or half-open at once.
constexpr std::size_t ejectionDivisor = 3;

bool contains(const std::vector<std::string> &addresses, const std::string &address)
{
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

// Whether the replica can serve the query, now or after a pause.
bool isServing(const Replica &replica, const ReplicaQuery &query)
{
    const BackendRecord &record = replica.record;
    const bool accepts = record.state == BackendState::Ready && replica.health->accepting() && !replica.health->leaving();
    if (!accepts || contains(query.excluded, record.key.address)) {
        return false;
    }
    return !query.snapshot || (record.epoch == query.snapshot->epoch && record.versions.contains(query.snapshot->version));
}

bool isEligible(const Replica &replica, const ReplicaQuery &query)
{
    return isServing(replica, query) && replica.health->pauseEnd() <= query.latestPauseEnd;
}

AllowanceUse useOf(const ReplicaQuery &query)
{
    return AllowanceUse{.priority = query.priority, .isExtra = query.isExtra};
}

bool lacksRoom(const Replica &replica, const ReplicaQuery &query, TimePoint now)
{
    return replica.allowance != nullptr && !replica.allowance->hasRoom(useOf(query), now);
}

double rampFraction(const Replica &replica, std::chrono::milliseconds rampUp, TimePoint now)
{
    if (rampUp.count() <= 0) {
        return 1.0;
    }
    const std::chrono::duration<double> age = now - replica.health->firstSeenAt();
    return std::clamp(age / std::chrono::duration<double>(rampUp), initialRampFraction, 1.0);
}

unsigned concurrencyPercent(const ServiceOptions &options, Priority priority)
{
    return options.admission.concurrencyPercent.at(static_cast<std::size_t>(priority));
}

std::uint32_t scaleLimit(std::uint64_t limit, double fraction)
{
    const auto part = static_cast<std::uint32_t>(static_cast<double>(limit) * fraction);
    return std::max<std::uint32_t>(part, 1);
}

struct Candidate
{
    const Replica *replica = nullptr;
    bool halfOpen = false;
};

struct Chooser
{
    const ServiceOptions &options;
    const ReplicaQuery &query;
    RandomSource &random;
    TimePoint now;

    InFlightLimits limits(const Candidate &candidate) const
    {
        if (candidate.halfOpen) {
            return {.total = 1, .ownAndLower = 1};
        }
        const Replica &replica = *candidate.replica;
        const std::uint32_t total = scaleLimit(replica.inFlightLimit, rampFraction(replica, this->options.rampUp, this->now));
        return {.total = total, .ownAndLower = scaleLimit(total, concurrencyPercent(this->options, this->query.priority) / 100.0)};
    }

    double score(const Replica &replica, std::chrono::microseconds fallback) const
    {
        const bool penalized = this->query.usesPreferredReplicas && !replica.preferred;
        const double locationPenalty = penalized ? nonPreferredPenalty : 1.0;
        const double overdueFactor = replica.health->overdue(this->now, this->query.overduePenaltyDuration) ? overduePenalty : 1.0;
        const double healthPenalty = std::max(overdueFactor, replica.health->impaired() ? impairedPenalty : 1.0);
        return locationPenalty * healthPenalty * replica.health->score(this->now, fallback)
            / rampFraction(replica, this->options.rampUp, this->now);
    }

    // Moves the best of a few random candidates to the front.
    void moveBestToFront(std::vector<Candidate> &candidates) const
    {
        // Indexed by Selection.
        static constexpr std::array<std::size_t, 3> draws{2, 3, 1};
        const std::size_t drawn = std::min(candidates.size(), draws.at(static_cast<std::size_t>(this->query.selection)));
        std::chrono::microseconds fallback{0};
        for (std::size_t index = 0; index < drawn; ++index) {
            std::swap(candidates[index], candidates[index + this->random.below(candidates.size() - index)]);
            fallback = std::max(fallback, candidates[index].replica->health->averageLatency(this->now));
        }
        std::size_t best = 0;
        for (std::size_t index = 1; index < drawn; ++index) {
            if (this->score(*candidates[index].replica, fallback) < this->score(*candidates[best].replica, fallback)) {
                best = index;
            }
        }
        std::swap(candidates[0], candidates[best]);
    }

    bool acquire(const Candidate &candidate) const
    {
        ReplicaHealth &health = *candidate.replica->health;
        RequestAllowance *allowance = candidate.replica->allowance.get();
        if (!health.acquire(this->query.priority, this->limits(candidate))) {
            return false;
        }
        if (allowance != nullptr && !allowance->take(useOf(this->query), this->now)) {
            health.release(this->query.priority);
            return false;
        }
        return true;
    }

    // Counts the query as a need of the server that it would be sent to if none lacked room.
    void noteNeed(std::vector<Candidate> candidates) const
    {
        if (candidates.empty()) {
            return;
        }
        this->moveBestToFront(candidates);
        const Replica &best = *candidates.front().replica;
        if (best.allowance == nullptr) {
            return;
        }
        best.allowance->noteWanted(this->query.priority, this->now);
        if (lacksRoom(best, this->query, this->now)) {
            best.allowance->noteTurnedAway();
        }
    }

    const Replica *acquireBest(std::vector<Candidate> candidates) const
    {
        while (!candidates.empty()) {
            this->moveBestToFront(candidates);
            const Candidate best = candidates.front();
            if (this->acquire(best)) {
                return best.replica;
            }
            candidates.front() = candidates.back();
            candidates.pop_back();
        }
        return nullptr;
    }
};

// Removes ejected replicas and marks half-open ones, up to the part of the group that may be restricted at once: if most of
// a group fails, the cause is more likely the load or the network than the replicas.
void restrictEjected(std::vector<Candidate> &candidates, std::size_t groupSize, TimePoint now)
{
    const auto failing = std::stable_partition(candidates.begin(), candidates.end(), [now](const Candidate &candidate) {
        return !candidate.replica->health->ejected(now) && !candidate.replica->health->halfOpen();
    });
    std::sort(failing, candidates.end(), [](const Candidate &left, const Candidate &right) {
        return left.replica->health->ejectionEnd() < right.replica->health->ejectionEnd();
    });
    const std::size_t allowed = groupSize / ejectionDivisor;
    const auto failingCount = static_cast<std::size_t>(candidates.end() - failing);
    const std::size_t firstRestricted = candidates.size() - std::min(allowed, failingCount);
    std::size_t kept = firstRestricted;
    for (std::size_t index = firstRestricted; index < candidates.size(); ++index) {
        if (!candidates[index].replica->health->ejected(now)) {
            candidates[kept] = {.replica = candidates[index].replica, .halfOpen = true};
            ++kept;
        }
    }
    candidates.resize(kept);
}

void removeSlow(std::vector<Candidate> &candidates, TimePoint now)
{
    std::chrono::microseconds fastest = std::chrono::microseconds::max();
    for (const Candidate &candidate : candidates) {
        const std::chrono::microseconds average = candidate.replica->health->averageLatency(now);
        fastest = average.count() > 0 ? std::min(fastest, average) : fastest;
    }
    std::erase_if(candidates, [fastest, now](const Candidate &candidate) {
        return candidate.replica->health->averageLatency(now) / slowLatencyFactor > fastest;
    });
}

// An in-flight limit of one can't be divided between priorities, so the limit of the whole group is divided too.
bool isGroupBelowLimit(const std::vector<Replica> &group, const ServiceOptions &options, const ReplicaQuery &query)
{
    const unsigned percent = concurrencyPercent(options, query.priority);
    if (percent >= 100) {
        return true;
    }
    std::uint64_t limit = 0;
    std::uint64_t inFlight = 0;
    for (const Replica &replica : group) {
        if (isEligible(replica, query)) {
            limit += replica.inFlightLimit;
            inFlight += replica.health->inFlightAndLower(query.priority);
        }
    }
    return inFlight < scaleLimit(limit, percent / 100.0);
}

} // namespace

std::optional<TimePoint> earliestPauseEnd(const std::vector<Replica> &group, const ReplicaQuery &query, TimePoint now)
{
    std::optional<TimePoint> earliest;
    for (const Replica &replica : group) {
        const TimePoint end = replica.health->pauseEnd();
        if (end > now && isServing(replica, query)) {
            earliest = std::min(earliest.value_or(end), end);
        }
    }
    return earliest;
}

bool hasCandidate(const std::vector<Replica> &group, const ReplicaQuery &query)
{
    return std::any_of(group.begin(), group.end(), [&query](const Replica &replica) { return isEligible(replica, query); });
}

bool hasRoom(const std::vector<Replica> &group, const ReplicaQuery &query, TimePoint now)
{
    return std::ranges::any_of(group,
                               [&](const Replica &replica) { return isEligible(replica, query) && !lacksRoom(replica, query, now); });
}

std::optional<TimePoint> expectedRoom(const std::vector<Replica> &group, const ReplicaQuery &query, TimePoint now)
{
    std::optional<TimePoint> earliest;
    for (const Replica &replica : group) {
        if (isEligible(replica, query) && lacksRoom(replica, query, now)) {
            const TimePoint expected = now + replica.allowance->expectedWait(now);
            earliest = std::min(earliest.value_or(expected), expected);
        }
    }
    return earliest;
}

void releaseUnsent(const Replica &replica, Priority priority)
{
    replica.health->release(priority);
    if (replica.allowance != nullptr) {
        replica.allowance->giveBack();
    }
}

const Replica *chooseReplica(const std::vector<Replica> &group,
                             const ServiceOptions &options,
                             const ReplicaQuery &query,
                             RandomSource &random,
                             TimePoint now)
{
    if (!isGroupBelowLimit(group, options, query)) {
        return nullptr;
    }
    std::vector<Candidate> eligible;
    eligible.reserve(group.size());
    for (const Replica &replica : group) {
        if (isEligible(replica, query) && !replica.health->inBackoff(now) && replica.health->pauseEnd() <= now) {
            eligible.push_back({.replica = &replica, .halfOpen = false});
        }
    }
    const Chooser chooser{.options = options, .query = query, .random = random, .now = now};
    const bool isNewNeed = !query.isExtra && !query.isRepeated;
    const auto lacking = std::partition(
        eligible.begin(), eligible.end(), [&query, now](const Candidate &candidate) { return !lacksRoom(*candidate.replica, query, now); });
    const bool allHaveRoom = lacking == eligible.end();
    if (!allHaveRoom && isNewNeed) {
        chooser.noteNeed(eligible);
    }
    eligible.erase(lacking, eligible.end());
    restrictEjected(eligible, group.size(), now);
    if (!query.allowSlow && query.selection != Selection::Random) {
        removeSlow(eligible, now);
    }

    // Untried in other data centres, untried in the avoided one, tried before.
    std::array<std::vector<Candidate>, 3> tiers;
    for (const Candidate &candidate : eligible) {
        const BackendRecord &record = candidate.replica->record;
        const bool tried = contains(query.triedAddresses, record.key.address);
        const bool avoided = query.avoidDataCentre && record.dataCentre == *query.avoidDataCentre;
        const std::size_t untriedTier = avoided ? 1 : 0;
        tiers.at(tried ? 2 : untriedTier).push_back(candidate);
    }
    if (query.excludeTried) {
        tiers[2].clear();
    }
    for (std::vector<Candidate> &tier : tiers) {
        const Replica *chosen = chooser.acquireBest(std::move(tier));
        if (chosen != nullptr) {
            if (allHaveRoom && isNewNeed && chosen->allowance != nullptr) {
                chosen->allowance->noteWanted(query.priority, now);
            }
            return chosen;
        }
    }
    return nullptr;
}

} // namespace Galenawell
