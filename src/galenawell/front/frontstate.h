// What a front knows, shared by its listeners and its peer links: the control view in force, the registry, the entry
// directory and the crash suspicions. Requests read the published tables without a lock.
#pragma once

#include "galenawell/claims/crashsuspicions.h"
#include "galenawell/configuration/configuration.h"
#include "galenawell/control/controlstate.h"
#include "galenawell/core/rcucell.h"
#include "galenawell/front/confirmationtracker.h"
#include "galenawell/front/entrydirectory.h"
#include "galenawell/query/scatter.h"
#include "galenawell/registry/backendregistry.h"
#include "galenawell/routing/routingtable.h"
#include "galenawell/settings/processsettings.h"
#include "galenawell/telemetry/metrics.h"

#include "peer_types.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Galenawell {

// The control view in force together with its parsed configuration.
struct InstalledView
{
    ControlView view;
    Configuration configuration;
};

// What another front stated last.
struct PeerFrontStatus
{
    InstanceName instance;
    std::string dataCentre;
    bool alive = false;
    bool draining = false;
    std::uint64_t revision = 0;
    std::uint64_t configurationNumber = 0;
};

class FrontState
{
public:
    FrontState(const ProcessSettings &settings, Incarnation incarnation, std::shared_ptr<Metrics> metrics);

    // Puts a newer view into force in one step. An unusable one leaves the old one in force.
    Status installView(const ControlView &view);
    std::shared_ptr<const InstalledView> installed() const;
    std::shared_ptr<const RoutingTable> table() const;
    std::shared_ptr<ServicePolicies> policiesFor(const ServiceOptions &options);

    // True while the view is confirmed; a process that was stopped for a while is unconfirmed until the next tick.
    bool confirmed(TimePoint now) const;
    void confirmedByControl(std::uint64_t revision, TimePoint requestedAt);
    std::optional<InstanceName> frontWithNewerView();

    Result<bool> announce(const BackendRecord &record, TimePoint now);
    std::vector<BackendRecord> backends();
    bool registrySuspect();
    // Complete partition maps with a newer epoch than the recorded one.
    std::vector<PartitionMap> mapsToRecord();

    std::vector<Entry> usableEntries(const std::string &dataCentre, TimePoint now);
    std::vector<PeerFrontStatus> fronts(TimePoint now);
    void setDraining(bool value);
    bool draining() const;

    Wire::FrontHeartbeat heartbeatFor(const InstanceName &peer);
    Wire::FrontHeartbeatReply onHeartbeat(const Wire::FrontHeartbeat &heartbeat, TimePoint now);
    void onHeartbeatReply(const InstanceName &peer, const Wire::FrontHeartbeatReply &reply, TimePoint requestedAt);
    // Called after a change that other fronts must hear of at once.
    void onChange(std::function<void()> notify);

    bool addEvidence(const CrashEvidence &evidence, TimePoint now);
    Suspicion suspicionOf(const ContentDigest &digest, TimePoint now);
    void clearSuspicion(const ContentDigest &digest);
    bool reserveForSuspect(const ReplicaKey &replica, const ContentDigest &digest);
    void releaseSuspect(const ReplicaKey &replica, const ContentDigest &digest);

    // Lapses leases, recomputes confirmation and live fronts, and publishes a new table if anything changed.
    void tick(TimePoint now);

    Incarnation incarnation() const;
    const InstanceName &instance() const;

private:
    struct PeerProgress
    {
        Incarnation incarnation = 0;
        // Own registry changes that the peer has.
        std::uint64_t acknowledged = 0;
        std::uint64_t revision = 0;
        std::uint64_t configurationNumber = 0;
    };

    struct KnownHealth
    {
        Incarnation incarnation = 0;
        std::shared_ptr<ReplicaHealth> health;
    };

    void rebuildTable(TimePoint now);
    // Policies with the new options that go on with what was learnt.
    void renewPolicies(const Configuration &configuration);
    Replica makeReplica(const BackendRecord &record, TimePoint now);
    void updateOwnEntry(TimePoint now);

    const InstanceName self;
    const std::string dataCentre;
    const Incarnation ownIncarnation;
    std::shared_ptr<Metrics> metrics;

    RcuCell<InstalledView> view;
    RcuCell<RoutingTable> routing;
    std::atomic<std::int64_t> confirmedUntil{0};
    std::atomic<bool> isDraining{false};

    // Guards everything below.
    std::mutex mutex;
    BackendRegistry registry;
    ConfirmationTracker confirmation;
    EntryDirectory directory;
    CrashSuspicions suspicions;
    LiveFrontCount liveFronts;
    std::size_t shareCount = 1;
    std::map<InstanceName, PeerProgress> peers;
    std::map<ReplicaKey, KnownHealth> health;
    std::map<std::string, std::shared_ptr<ServicePolicies>> policies;
    std::function<void()> notifyChange;
};

} // namespace Galenawell
