// The backend servers that announced themselves, to this front or to another. Leases are judged by the origin's clock;
// other fronts learn of changes only.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/error.h"
#include "galenawell/core/identifiers.h"
#include "galenawell/registry/partitionmap.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Galenawell {

inline constexpr std::chrono::milliseconds backendLease{3000};

enum class BackendState : std::uint8_t {
    Starting,
    Ready,
    Draining,
    Stopped,
};

struct BackendRecord
{
    ReplicaKey key;
    std::string dataCentre;
    // A later run of the server has a higher incarnation; within one, a later announcement a higher sequence.
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    BackendState state = BackendState::Starting;
    std::uint64_t epoch = 0;
    KeyRange range;
    std::set<std::uint64_t> versions;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    // Name that the server answers to, if it has one besides its address; a request that names it can't run elsewhere.
    std::string identity;

    // True if routing or snapshot choice would treat the two alike; the sequence doesn't count.
    bool sameContent(const BackendRecord &other) const;
};

// One change of a origin's set, numbered without gaps by the origin.
struct RegistryChange
{
    std::uint64_t number = 0;
    BackendRecord record;
    bool removed = false;
};

struct RegistryUpdate
{
    InstanceName origin;
    Incarnation originIncarnation = 0;
    // A full set replaces everything known from this origin; `through` is then its newest change number.
    bool full = false;
    std::uint64_t through = 0;
    std::vector<RegistryChange> changes;
};

struct RegistryOptions
{
    InstanceName self;
    Incarnation incarnation = 0;
    std::chrono::milliseconds lease = backendLease;
    // Changes kept for peers that lag; a peer further behind gets the full set.
    std::size_t changeLogCapacity = 4096;
    // Fewer lapses than this are ordinary failures; otherwise the only server of a front would never expire.
    std::size_t massLapseMinimum = 2;
};

class BackendRegistry
{
public:
    explicit BackendRegistry(RegistryOptions options);
    BackendRegistry(BackendRegistry &&) = default;
    BackendRegistry &operator=(BackendRegistry &&) = default;

    // Records an announcement made to this front. True if the visible set changed. Refuses an outdated incarnation or sequence.
    Result<bool> announce(const BackendRecord &record, TimePoint now);

    // Lapses leases and forgets silent holders. True if the visible set changed.
    bool expire(TimePoint now);

    // Applies another origin's update. False if a gap was found, so that the full set is needed.
    bool applyUpdate(const RegistryUpdate &update, TimePoint now);

    // Changes of this origin after a number that a peer acknowledged.
    RegistryUpdate updateSince(std::uint64_t acknowledged) const;
    std::uint64_t newestChange() const;
    Incarnation incarnation() const;
    // Takes a higher incarnation than one that another process knows of this origin, as after a clock that was set back.
    // Without it the others would take what this origin says for that of an earlier run. True if it changed.
    bool raiseIncarnationAbove(Incarnation known);

    // The number up to which this front has a origin's changes; 0 for an unknown origin or another incarnation.
    std::uint64_t appliedThrough(const InstanceName &origin, Incarnation originIncarnation) const;

    // The latest known run of a origin, and how far its changes were applied; zeros for an unknown origin.
    std::pair<Incarnation, std::uint64_t> replicationPosition(const InstanceName &origin) const;

    // Any message of a origin keeps its records alive here.
    void renewOrigin(const InstanceName &origin, Incarnation originIncarnation, TimePoint now);

    // Every known server that isn't stopped, once, with the newest (incarnation, sequence) of its key.
    std::vector<BackendRecord> visible() const;

    // True while more than half of the leases lapse within one lease time; the last known set is kept then. A lease
    // counts as soon as it misses a renewal, so that the set doesn't shrink before the lapse is recognised.
    bool suspect() const;

    // The newest complete map that the visible servers announce for a service: ranges tile, each group has a ready replica.
    std::optional<PartitionMap> completeMap(const std::string &service) const;

private:
    struct Held
    {
        BackendRecord record;
        TimePoint renewed;
    };

    // A lease that expired less than one lease time ago; put back if a mass lapse is found.
    struct Lapsed
    {
        Held held;
        TimePoint at;
    };

    struct Holder
    {
        std::uint64_t through = 0;
        TimePoint heard;
        // Keys of `copies` under which this origin has a record.
        std::unordered_set<const ReplicaKey *> keys;
    };

    // Another origin's record of a server.
    struct Copy
    {
        const Holder *origin = nullptr;
        BackendRecord record;
    };

    // A restarted origin is another origin: the servers of its earlier run stay until that run's silence expires them.
    using HolderId = std::pair<InstanceName, Incarnation>;

    Holder *findCurrentHolder(const InstanceName &origin, Incarnation originIncarnation, TimePoint now);
    void putCopy(Holder &origin, const BackendRecord &record);
    void removeCopy(Holder &origin, const ReplicaKey &key);
    void removeCopies(Holder &origin);
    const BackendRecord *newestElsewhere(const ReplicaKey &key) const;
    const BackendRecord *newest(const ReplicaKey &key) const;
    void recordChange(const BackendRecord &record, bool removed);
    // A server that moved to another front, or that said it stops, isn't a failure.
    bool isExpected(const Held &lease) const;
    bool removeExpected(TimePoint now);
    // Leases that weren't renewed for longer than this, although their servers are neither stopped nor held elsewhere.
    std::vector<ReplicaKey> unrenewed(std::chrono::milliseconds longerThan, TimePoint now) const;
    bool isMassLapse(TimePoint now) const;
    void restoreLapsed();
    bool removeHeld(const ReplicaKey &key);
    bool expireLeases(TimePoint now);
    bool expireHolders(TimePoint now);

    RegistryOptions options;
    // Servers whose leases this front judges. A stopped server stays until its lease ends, so that an older copy at
    // another origin doesn't reappear.
    std::map<ReplicaKey, Held> held;
    std::map<ReplicaKey, Lapsed> lapsed;
    // Changes to `held`, oldest first, numbered without gaps; the last has number `changeNumber`.
    std::deque<RegistryChange> changes;
    std::uint64_t changeNumber = 0;
    std::map<HolderId, Holder> holders;
    // By server, so that finding its newest record doesn't visit every origin. No list is empty; the holders point to
    // the keys and the copies to the holders, both of which stay in place when the maps change.
    std::map<ReplicaKey, std::vector<Copy>> copies;
    bool massLapse = false;
};

} // namespace Galenawell
