// State shared by the listeners and peer links of a front: the installed control view, the registry, the entry directory
// and the crash suspicions. Requests read the published tables without a lock.
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

// The installed control view with its parsed configuration.
struct InstalledView
{
    ControlView view;
    Configuration configuration;
};

// Latest status of one front of the settings.
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

    // Replaces the view by a newer one atomically. Keeps the previous one if the configuration is invalid.
    Status installView(const ControlView &view);
    std::shared_ptr<const InstalledView> installed() const;
    std::shared_ptr<const RoutingTable> table() const;
    std::shared_ptr<ServicePolicies> policiesFor(const ServiceOptions &options);

    // True while the view is confirmed. False after a suspension of the process until the next tick.
    bool confirmed(TimePoint now) const;
    void recordControlConfirmation(std::uint64_t revision, TimePoint requestedAt);
    std::optional<InstanceName> frontWithNewerView();

    Result<bool> announce(const BackendRecord &record, TimePoint now);
    std::vector<BackendRecord> backends();
    bool registrySuspect();
    // Complete partition maps whose epoch is newer than the recorded one.
    std::vector<PartitionMap> mapsToRecord();

    std::vector<Entry> usableEntries(const std::string &dataCentre, TimePoint now);
    std::vector<PeerFrontStatus> fronts(TimePoint now);
    void setDraining(bool value);
    bool draining() const;

    Wire::FrontHeartbeat heartbeatFor(const InstanceName &peer);
    Wire::FrontHeartbeatReply onHeartbeat(const Wire::FrontHeartbeat &heartbeat, TimePoint now);
    void onHeartbeatReply(const InstanceName &peer, const Wire::FrontHeartbeatReply &reply, TimePoint requestedAt);
    // `notify` is called after each change that must be sent to the other fronts without delay.
    void onChange(std::function<void()> notify);

    bool addEvidence(const CrashEvidence &evidence, TimePoint now);
    Suspicion suspicionOf(const ContentDigest &digest, TimePoint now);
    void clearSuspicion(const ContentDigest &digest);
    bool reserveForSuspect(const ReplicaKey &replica, const ContentDigest &digest);
    void releaseSuspect(const ReplicaKey &replica, const ContentDigest &digest);

    // Expires leases, updates the confirmation and the number of live fronts, and publishes a new table after a change.
    void tick(TimePoint now);

    // Unique among the subrequests of this process, so that a late reply isn't taken for the reply to another query.
    std::uint64_t nextSubrequestNumber();

    Incarnation incarnation() const;
    const InstanceName &instance() const;

private:
    struct PeerProgress
    {
        Incarnation incarnation = 0;
        // Newest own registry change that the peer has applied.
        std::uint64_t acknowledged = 0;
        std::uint64_t revision = 0;
        std::uint64_t configurationNumber = 0;
    };

    struct TrackedHealth
    {
        Incarnation incarnation = 0;
        std::shared_ptr<ReplicaHealth> health;
    };

    void rebuildTable(TimePoint now);
    // Recreates the policies with the new options; keeps latency estimates and budgets.
    void rebuildPolicies(const Configuration &configuration);
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
    std::atomic<std::uint64_t> subrequestNumber{0};

    // Guards the members below.
    std::mutex mutex;
    BackendRegistry registry;
    ConfirmationTracker confirmation;
    EntryDirectory directory;
    CrashSuspicions suspicions;
    LiveFrontCount liveFronts;
    std::size_t frontCount = 1;
    std::map<InstanceName, PeerProgress> peers;
    std::map<ReplicaKey, TrackedHealth> health;
    std::map<std::string, std::shared_ptr<ServicePolicies>> policies;
    std::function<void()> notifyChange;
};

} // namespace Galenawell
