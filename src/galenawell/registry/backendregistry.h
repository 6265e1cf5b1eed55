// Registry of announced backend servers. The process that a server announces itself to (its origin) times the server's lease
// by its own clock and replicates only changes to the others.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/error.h"
#include "galenawell/core/identifiers.h"
#include "galenawell/registry/partitionmap.h"
#include "galenawell/registry/retiredservers.h"

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
    // Higher after a restart of the server; within an incarnation, later announcements have a higher sequence.
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    BackendState state = BackendState::Starting;
    std::uint64_t epoch = 0;
    KeyRange range;
    std::set<std::uint64_t> versions;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    // Optional name besides the address; a request that carries it can't run on another server.
    std::string identity;

    // Compares what routing and snapshot selection use, thus not the sequence.
    bool sameContent(const BackendRecord &other) const;
};

// One change of an origin's servers; the origin numbers changes without gaps.
struct RegistryChange
{
    std::uint64_t number = 0;
    BackendRecord record;
    bool removed = false;
    // What is wrong with a received entry; it only takes its number. Empty for a usable entry.
    std::string defect;
};

struct RegistryUpdate
{
    InstanceName origin;
    Incarnation originIncarnation = 0;
    // A full update replaces all records of the origin.
    bool full = false;
    // The newest change number that the update covers.
    std::uint64_t through = 0;
    std::vector<RegistryChange> changes;
    // Servers that have announced their shutdown, only with a full update. Later ones are seen from their changes.
    std::vector<RetiredServer> retired{};
};

struct RegistryOptions
{
    InstanceName self;
    Incarnation incarnation = 0;
    std::chrono::milliseconds lease = backendLease;
    // Changes retained for incremental updates; a peer further behind gets a full update.
    std::size_t changeLogCapacity = 4096;
    // Fewer expiries count as single failures; otherwise the only server of a front would never expire.
    std::size_t massExpiryMinimum = 2;
    // After this time a mass expiry counts as real. Shorter than the retention of retired servers, so that a server that left
    // elsewhere meanwhile isn't used again.
    std::chrono::milliseconds massExpiryLimit{std::chrono::minutes(5)};
    RetiredServersOptions retired{};
    // Servers that may announce themselves here, so that another writer fills neither the memory nor a message with all of them.
    std::size_t maximumLeases = 15'000;
};

class BackendRegistry
{
public:
    explicit BackendRegistry(RegistryOptions options);
    BackendRegistry(BackendRegistry &&) = default;
    BackendRegistry &operator=(BackendRegistry &&) = default;

    // Renews the server's lease. True if the visible set changed; an error for an outdated incarnation or sequence.
    Result<bool> announce(const BackendRecord &record, TimePoint now);

    // Takes over a server that an earlier run of this process knew, for at most one lease. An announcement replaces it.
    void remember(const BackendRecord &record, TimePoint now);

    // Removes expired leases and origins. True if the visible set changed. To be called more often than once a lease: after a
    // longer gap this process was paused, and its leases are only remembered.
    bool expire(TimePoint now);

    // Applies another origin's update. False after a gap in the change numbers, which needs a full update.
    bool applyUpdate(const RegistryUpdate &update, TimePoint now);

    // Changes of this origin after a number that a peer acknowledged.
    RegistryUpdate updateSince(std::uint64_t acknowledged) const;
    std::uint64_t newestChange() const;
    Incarnation incarnation() const;
    // Chooses a higher incarnation than the one that a peer stores for this origin. After a restart with the clock set back,
    // peers would otherwise ignore its updates as those of an earlier run. True if it changed.
    bool raiseIncarnationAbove(Incarnation known);

    // Number of the origin's last applied change; 0 for an unknown origin or incarnation.
    std::uint64_t appliedThrough(const InstanceName &origin, Incarnation originIncarnation) const;

    // The origin's highest known incarnation and its last applied change; zeros for an unknown origin.
    std::pair<Incarnation, std::uint64_t> replicationPosition(const InstanceName &origin) const;

    // Renews all records of an origin; any message from it counts.
    void renewOrigin(const InstanceName &origin, Incarnation originIncarnation, TimePoint now);

    // The newest record, by (incarnation, sequence), of each server that isn't stopped. A server that has announced its shutdown
    // is draining or absent, whatever its records say.
    std::vector<BackendRecord> visible() const;

    // Servers that have announced their shutdown.
    std::vector<RetiredServer> retiredServers() const;
    void addRetired(const std::vector<RetiredServer> &servers, TimePoint now);
    // Records received from other origins that were older than the announced shutdown of their server.
    std::uint64_t supersededRecords() const;

    // True while more than half of the leases expire within one lease duration; the last known set is kept then. A lease
    // counts after half of its duration, so that the set doesn't shrink before the mass expiry is detected.
    bool suspect() const;

    // The newest map of a service whose groups cover the key space and have a ready replica each.
    std::optional<PartitionMap> completeMap(const std::string &service) const;

private:
    struct Lease
    {
        BackendRecord record;
        TimePoint renewedAt;
        // Known from an earlier run or from before a pause. Ends after one lease and doesn't count for a mass expiry, since
        // the server may have left or announced itself elsewhere unnoticed.
        bool remembered = false;
    };

    // A lease that expired less than one lease duration ago; restored if a mass expiry is detected.
    struct ExpiredLease
    {
        Lease lease;
        TimePoint expiredAt;
    };

    struct Origin
    {
        std::uint64_t through = 0;
        TimePoint lastMessageAt;
        // Keys of this origin's records in `remoteRecords`.
        std::unordered_set<const ReplicaKey *> keys;
    };

    // Record of a server, replicated from its origin.
    struct RemoteRecord
    {
        const Origin *origin = nullptr;
        BackendRecord record;
    };

    // A restarted process is a new origin: the servers of its earlier run stay until that origin expires.
    using OriginId = std::pair<InstanceName, Incarnation>;

    Origin *findCurrentOrigin(const InstanceName &origin, Incarnation originIncarnation, TimePoint now);
    void putRemote(Origin &origin, const BackendRecord &record);
    void removeRemote(Origin &origin, const ReplicaKey &key);
    void removeAllRemote(Origin &origin);
    const BackendRecord *newestRemote(const ReplicaKey &key) const;
    const BackendRecord *newest(const ReplicaKey &key) const;
    void recordChange(const BackendRecord &record, bool removed);
    // True if the server stopped or announced itself elsewhere, which isn't a failure.
    bool hasDeparted(const Lease &lease) const;
    bool removeDeparted(TimePoint now);
    // Keeps overdue leases for one more lease if this process was paused.
    void rememberAfterPause(TimePoint now);
    bool removeRemembered(TimePoint now);
    // Leases that weren't renewed for longer than this, except those of departed servers.
    std::vector<ReplicaKey> overdueLeases(std::chrono::milliseconds longerThan, TimePoint now) const;
    bool isMassExpiry(TimePoint now) const;
    void restoreExpired();
    bool removeLease(const ReplicaKey &key);
    bool expireLeases(TimePoint now);
    bool expireOrigins(TimePoint now);

    RegistryOptions options;
    // Leases of servers that announced themselves here. A stopped server stays until its lease expires, so that an older
    // remote record doesn't become visible again.
    std::map<ReplicaKey, Lease> leases;
    std::map<ReplicaKey, ExpiredLease> recentlyExpired;
    // Changes to `leases`, oldest first; the last has number `changeNumber`.
    std::deque<RegistryChange> changes;
    std::uint64_t changeNumber = 0;
    std::map<OriginId, Origin> origins;
    // By server, so that finding its newest record doesn't visit every origin. No list is empty. Origins point to these keys
    // and records to origins; std::map keeps the addresses of both stable.
    std::map<ReplicaKey, std::vector<RemoteRecord>> remoteRecords;
    bool massExpiry = false;
    TimePoint massExpirySince;
    // Servers that announced themselves elsewhere after their lease here, so they are alive; for one lease.
    std::map<ReplicaKey, TimePoint> moved;
    RetiredServers retired;
    std::uint64_t supersededCount = 0;
    // Time of the latest call that passed one.
    TimePoint latestTime;
    std::optional<TimePoint> expiredAt;
};

} // namespace Galenawell
