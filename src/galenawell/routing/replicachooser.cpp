#include "galenawell/routing/replicachooser.h"

#include <algorithm>
#include <array>

namespace Galenawell {

namespace {

// Start of the ramp, as a part of the full share.
constexpr double rampFloor = 0.1;
// A replica is slow if its average latency is more than this many times that of the fastest.
constexpr int slowFactor = 4;
// How much worse a replica counts that fronts together found slow or failing. Not more, or the sound replicas of a group whose others
// refuse most work, which are slow under that load, would be left for those.
constexpr double impairedFactor = 4.0;
// How much worse a replica counts with a subrequest that is overdue: it may stand still.
constexpr double overdueFactor = 10.0;
// How many times better than a home another replica must be, for the time and the bytes of the way.
constexpr double farFactor = 1.4;
// Replicas of a group that may be ejected or on probation at once: one in this many.
constexpr std::size_t ejectionDivisor = 3;

bool contains(const std::vector<std::string> &addresses, const std::string &address)
{
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

bool fits(const Replica &replica, const ReplicaQuery &query)
{
    const BackendRecord &record = replica.record;
    if (record.state != BackendState::Ready || !replica.health->accepting() || contains(query.excluded, record.key.address)) {
        return false;
    }
    return !query.snapshot || (record.epoch == query.snapshot->epoch && record.versions.contains(query.snapshot->version));
}

double rampFraction(const Replica &replica, std::chrono::milliseconds rampUp, TimePoint now)
{
    if (rampUp.count() <= 0) {
        return 1.0;
    }
    const std::chrono::duration<double> age = now - replica.health->since();
    return std::clamp(age / std::chrono::duration<double>(rampUp), rampFloor, 1.0);
}

unsigned percentFor(const ServiceOptions &options, Priority priority)
{
    return options.admission.concurrencyPercent.at(static_cast<std::size_t>(priority));
}

std::uint32_t partOf(std::uint64_t places, double fraction)
{
    const auto part = static_cast<std::uint32_t>(static_cast<double>(places) * fraction);
    return std::max<std::uint32_t>(part, 1);
}

struct Candidate
{
    const Replica *replica = nullptr;
    bool onProbation = false;
};

struct Chooser
{
    const ServiceOptions &options;
    const ReplicaQuery &query;
    RandomSource &random;
    TimePoint now;

    InFlightLimits limits(const Candidate &candidate) const
    {
        if (candidate.onProbation) {
            return {.total = 1, .ownAndLower = 1};
        }
        const Replica &replica = *candidate.replica;
        const std::uint32_t total = partOf(replica.inFlightLimit, rampFraction(replica, this->options.rampUp, this->now));
        return {.total = total, .ownAndLower = partOf(total, percentFor(this->options, this->query.priority) / 100.0)};
    }

    double score(const Replica &replica, std::chrono::microseconds fallback) const
    {
        const bool far = this->query.usesPreferredReplicas && !replica.preferred;
        const double distance = far ? farFactor : 1.0;
        const double standing = replica.health->overdue(this->now, this->query.overduePenaltyDuration) ? overdueFactor : 1.0;
        const double doubt = std::max(standing, replica.health->impaired() ? impairedFactor : 1.0);
        return distance * doubt * replica.health->score(this->now, fallback) / rampFraction(replica, this->options.rampUp, this->now);
    }

    // Moves the best one of a few random candidates to the front.
    void drawBest(std::vector<Candidate> &candidates) const
    {
        // In the order of Selection.
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

    const Replica *acquireOne(std::vector<Candidate> candidates) const
    {
        while (!candidates.empty()) {
            this->drawBest(candidates);
            const Candidate best = candidates.front();
            if (best.replica->health->acquire(this->query.priority, this->limits(best))) {
                return best.replica;
            }
            candidates.front() = candidates.back();
            candidates.pop_back();
        }
        return nullptr;
    }
};

// Removes the ejected replicas and marks those on probation, except for those beyond the part of the group that may be
// restricted at once: when most of a group fails, the cause is more likely the load or the network than the replicas.
void restrictFailing(std::vector<Candidate> &candidates, std::size_t groupSize, TimePoint now)
{
    const auto failing = std::stable_partition(candidates.begin(), candidates.end(), [now](const Candidate &candidate) {
        return !candidate.replica->health->ejected(now) && !candidate.replica->health->onProbation();
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
            candidates[kept] = {.replica = candidates[index].replica, .onProbation = true};
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
        return candidate.replica->health->averageLatency(now) / slowFactor > fastest;
    });
}

// A share of one place can't be divided between priorities, so the places of the whole group are divided too.
bool groupHasRoom(const std::vector<Replica> &group, const ServiceOptions &options, const ReplicaQuery &query)
{
    const unsigned percent = percentFor(options, query.priority);
    if (percent >= 100) {
        return true;
    }
    std::uint64_t places = 0;
    std::uint64_t taken = 0;
    for (const Replica &replica : group) {
        if (fits(replica, query)) {
            places += replica.inFlightLimit;
            taken += replica.health->inFlightAndLower(query.priority);
        }
    }
    return taken < partOf(places, percent / 100.0);
}

} // namespace

bool hasCandidate(const std::vector<Replica> &group, const ReplicaQuery &query)
{
    return std::any_of(group.begin(), group.end(), [&query](const Replica &replica) { return fits(replica, query); });
}

const Replica *chooseReplica(const std::vector<Replica> &group,
                             const ServiceOptions &options,
                             const ReplicaQuery &query,
                             RandomSource &random,
                             TimePoint now)
{
    if (!groupHasRoom(group, options, query)) {
        return nullptr;
    }
    std::vector<Candidate> fitting;
    fitting.reserve(group.size());
    for (const Replica &replica : group) {
        if (fits(replica, query) && !replica.health->heldOff(now)) {
            fitting.push_back({.replica = &replica, .onProbation = false});
        }
    }
    restrictFailing(fitting, group.size(), now);
    if (!query.allowSlow && query.selection != Selection::Random) {
        removeSlow(fitting, now);
    }

    // Untried elsewhere, untried here, tried before.
    std::array<std::vector<Candidate>, 3> tiers;
    for (const Candidate &candidate : fitting) {
        const BackendRecord &record = candidate.replica->record;
        const bool tried = contains(query.tried, record.key.address);
        const bool avoided = query.avoidDataCentre && record.dataCentre == *query.avoidDataCentre;
        const std::size_t untriedTier = avoided ? 1 : 0;
        tiers.at(tried ? 2 : untriedTier).push_back(candidate);
    }
    if (query.excludeTried) {
        tiers[2].clear();
    }
    const Chooser chooser{.options = options, .query = query, .random = random, .now = now};
    for (std::vector<Candidate> &tier : tiers) {
        const Replica *chosen = chooser.acquireOne(std::move(tier));
        if (chosen != nullptr) {
            return chosen;
        }
    }
    return nullptr;
}

} // namespace Galenawell
