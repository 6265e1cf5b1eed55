#include "galenawell/front/frontstate.h"

#include "galenawell/core/endpoint.h"
#include "galenawell/front/registrycodec.h"
#include "galenawell/telemetry/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace Galenawell {

namespace {

const Log logger("front");

// Validity after the tick that set it: a few ticks, so that a resumed process does not rely on an old confirmation.
constexpr std::chrono::milliseconds confirmationValidity{250};
constexpr std::chrono::milliseconds frontLivenessTimeout{2000};
constexpr std::chrono::milliseconds frontCountStability{2000};

std::vector<Entry> configuredEntries(const ProcessSettings &settings)
{
    std::vector<Entry> entries;
    for (const PeerSettings &peer : settings.peers) {
        if (peer.role == ProcessRole::Front && peer.callerAddress) {
            entries.push_back(Entry{.instance = peer.instance, .dataCentre = peer.dataCentre, .address = toString(*peer.callerAddress)});
        }
    }
    return entries;
}

std::size_t countFronts(const ProcessSettings &settings)
{
    return static_cast<std::size_t>(std::count_if(
        settings.peers.begin(), settings.peers.end(), [](const PeerSettings &peer) { return peer.role == ProcessRole::Front; }));
}

} // namespace

FrontState::FrontState(const ProcessSettings &settings, Incarnation incarnation, std::shared_ptr<Metrics> sharedMetrics)
    : self(settings.instance)
    , dataCentre(settings.dataCentre)
    , ownIncarnation(incarnation)
    , metrics(std::move(sharedMetrics))
    , view(std::make_shared<InstalledView>())
    , routing(std::make_shared<RoutingTable>())
    , registry(RegistryOptions{.self = settings.instance, .incarnation = incarnation})
    , confirmation(ConfirmationOptions{.self = settings.instance, .configuredFronts = countFronts(settings)})
    , directory(configuredEntries(settings), frontLivenessTimeout)
    , suspicions(CrashSuspicionsOptions{})
    , liveFronts(frontCountStability)
{
}

std::uint64_t FrontState::nextSubrequestNumber()
{
    return ++this->subrequestNumber;
}

Incarnation FrontState::incarnation() const
{
    return this->ownIncarnation;
}

const InstanceName &FrontState::instance() const
{
    return this->self;
}

std::shared_ptr<const InstalledView> FrontState::installed() const
{
    return this->view.read();
}

std::shared_ptr<const RoutingTable> FrontState::table() const
{
    return this->routing.read();
}

bool FrontState::confirmed(TimePoint now) const
{
    return now.time_since_epoch().count() < this->confirmedUntil;
}

bool FrontState::draining() const
{
    return this->isDraining;
}

Status FrontState::installView(const ControlView &newView)
{
    auto next = std::make_shared<InstalledView>();
    next->view = newView;
    if (newView.configurationNumber > 0) {
        const nlohmann::json document = nlohmann::json::parse(newView.configurationContent, nullptr, false);
        BOOST_OUTCOME_TRY(next->configuration, parseConfiguration(document));
    }
    const std::lock_guard lock(this->mutex);
    if (newView.revision <= this->view.read()->view.revision) {
        return boost::outcome_v2::success();
    }
    this->view.publish(next);
    this->confirmation.updateHeldRevision(newView.revision);
    this->suspicions.reconfigure(CrashSuspicionsOptions{.quarantine = next->configuration.quarantine.duration});
    this->rebuildPolicies(next->configuration);
    this->rebuildTable(MonotonicClock::now());
    this->metrics->count(CounterName::ViewsApplied);
    this->metrics->set(GaugeName::Revision, static_cast<double>(newView.revision));
    this->metrics->set(GaugeName::ConfigurationNumber, static_cast<double>(newView.configurationNumber));
    logger.info("revision " + std::to_string(newView.revision) + " with configuration " + std::to_string(newView.configurationNumber)
                + " is in force");
    return boost::outcome_v2::success();
}

void FrontState::rebuildPolicies(const Configuration &configuration)
{
    std::map<std::string, std::shared_ptr<ServicePolicies>> rebuilt;
    for (const auto &[name, previous] : this->policies) {
        if (const ServiceOptions *options = configuration.findService(name)) {
            auto next = std::make_shared<ServicePolicies>(*options);
            next->copyStateFrom(*previous);
            rebuilt.emplace(name, std::move(next));
        }
    }
    this->policies = std::move(rebuilt);
}

std::shared_ptr<ServicePolicies> FrontState::policiesFor(const ServiceOptions &options)
{
    const std::lock_guard lock(this->mutex);
    std::shared_ptr<ServicePolicies> &found = this->policies[options.name];
    if (found == nullptr) {
        found = std::make_shared<ServicePolicies>(options);
    }
    return found;
}

void FrontState::recordControlConfirmation(std::uint64_t revision, TimePoint requestedAt)
{
    const std::lock_guard lock(this->mutex);
    this->confirmation.recordControlConfirmation(revision, requestedAt);
}

std::optional<InstanceName> FrontState::frontWithNewerView()
{
    const std::lock_guard lock(this->mutex);
    return this->confirmation.frontWithNewerView(MonotonicClock::now());
}

Result<bool> FrontState::announce(const BackendRecord &record, TimePoint now)
{
    std::function<void()> notify;
    Result<bool> changed = false;
    {
        const std::lock_guard lock(this->mutex);
        const std::uint64_t before = this->registry.newestChange();
        changed = this->registry.announce(record, now);
        if (changed && changed.value()) {
            this->rebuildTable(now);
        }
        if (this->registry.newestChange() != before) {
            notify = this->notifyChange;
        }
    }
    if (notify) {
        notify();
    }
    return changed;
}

std::vector<BackendRecord> FrontState::backends()
{
    const std::lock_guard lock(this->mutex);
    return this->registry.visible();
}

bool FrontState::registrySuspect()
{
    const std::lock_guard lock(this->mutex);
    return this->registry.suspect();
}

std::vector<PartitionMap> FrontState::mapsToRecord()
{
    const std::shared_ptr<const InstalledView> current = this->installed();
    const std::lock_guard lock(this->mutex);
    std::vector<PartitionMap> maps;
    for (const auto &[name, options] : current->configuration.services) {
        if (options.kind != ServiceKind::Sharded) {
            continue;
        }
        std::optional<PartitionMap> map = this->registry.completeMap(name);
        const auto recorded = current->view.partitionMaps.find(name);
        const bool isRecorded = recorded != current->view.partitionMaps.end() && !recorded->second.empty();
        if (map && (!isRecorded || map->epoch > recorded->second.front().epoch)) {
            maps.push_back(std::move(*map));
        }
    }
    return maps;
}

std::vector<Entry> FrontState::usableEntries(const std::string &callerDataCentre, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    this->updateOwnEntry(now);
    return this->directory.usable(callerDataCentre, now);
}

std::vector<PeerFrontStatus> FrontState::fronts(TimePoint now)
{
    const std::shared_ptr<const InstalledView> current = this->installed();
    const std::lock_guard lock(this->mutex);
    this->updateOwnEntry(now);
    std::vector<PeerFrontStatus> result;
    for (const Entry &entry : this->directory.configured()) {
        PeerFrontStatus status{.instance = entry.instance, .dataCentre = entry.dataCentre};
        const EntryState *state = this->directory.stateOf(entry.instance);
        status.alive = this->directory.alive(entry.instance, now);
        status.draining = state != nullptr && state->draining;
        if (entry.instance == this->self) {
            status.revision = this->confirmation.reportedRevision();
            status.configurationNumber = current->view.configurationNumber;
        } else if (const auto found = this->peers.find(entry.instance); found != this->peers.end()) {
            status.revision = found->second.revision;
            status.configurationNumber = found->second.configurationNumber;
        }
        result.push_back(std::move(status));
    }
    return result;
}

void FrontState::setDraining(bool value)
{
    this->isDraining = value;
    std::function<void()> notify;
    {
        const std::lock_guard lock(this->mutex);
        notify = this->notifyChange;
    }
    if (notify) {
        notify();
    }
}

void FrontState::onChange(std::function<void()> notify)
{
    const std::lock_guard lock(this->mutex);
    this->notifyChange = std::move(notify);
}

Wire::FrontHeartbeat FrontState::heartbeatFor(const InstanceName &peer)
{
    const std::shared_ptr<const InstalledView> current = this->installed();
    const std::lock_guard lock(this->mutex);
    Wire::FrontHeartbeat heartbeat;
    heartbeat.instance = this->self;
    heartbeat.incarnation = static_cast<std::int64_t>(this->ownIncarnation);
    heartbeat.draining = this->isDraining;
    heartbeat.revision = static_cast<std::int64_t>(this->confirmation.reportedRevision());
    heartbeat.configurationNumber = static_cast<std::int64_t>(current->view.configurationNumber);
    const std::uint64_t acknowledged = this->peers[peer].acknowledged;
    if (acknowledged < this->registry.newestChange()) {
        heartbeat.__set_registry(toMessage(this->registry.updateSince(acknowledged)));
    }
    std::vector<Wire::CrashEvidenceMessage> evidence;
    for (const CrashEvidence &item : this->suspicions.all()) {
        evidence.push_back(toMessage(item));
    }
    if (!evidence.empty()) {
        heartbeat.__set_evidence(evidence);
    }
    return heartbeat;
}

Wire::FrontHeartbeatReply FrontState::onHeartbeat(const Wire::FrontHeartbeat &heartbeat, TimePoint now)
{
    const std::shared_ptr<const InstalledView> current = this->installed();
    const std::lock_guard lock(this->mutex);
    const auto peerIncarnation = static_cast<Incarnation>(heartbeat.incarnation);
    Wire::FrontHeartbeatReply reply;
    reply.needFullRegistry = false;
    this->registry.renewOrigin(heartbeat.instance, peerIncarnation, now);
    if (heartbeat.__isset.registry) {
        const RegistryUpdate update = fromMessage(heartbeat.registry, heartbeat.instance, peerIncarnation);
        reply.needFullRegistry = !this->registry.applyUpdate(update, now);
        this->rebuildTable(now);
    }
    for (const Wire::CrashEvidenceMessage &item : heartbeat.evidence) {
        this->suspicions.add(fromMessage(item), now);
    }
    reply.instance = this->self;
    reply.incarnation = static_cast<std::int64_t>(this->ownIncarnation);
    reply.draining = this->isDraining;
    reply.revision = static_cast<std::int64_t>(this->confirmation.reportedRevision());
    reply.configurationNumber = static_cast<std::int64_t>(current->view.configurationNumber);
    reply.registryThrough = static_cast<std::int64_t>(this->registry.appliedThrough(heartbeat.instance, peerIncarnation));
    return reply;
}

void FrontState::onHeartbeatReply(const InstanceName &peer, const Wire::FrontHeartbeatReply &reply, TimePoint requestedAt)
{
    const std::lock_guard lock(this->mutex);
    PeerProgress &progress = this->peers[peer];
    progress.incarnation = static_cast<Incarnation>(reply.incarnation);
    progress.acknowledged = reply.needFullRegistry ? 0 : static_cast<std::uint64_t>(reply.registryThrough);
    progress.revision = static_cast<std::uint64_t>(reply.revision);
    progress.configurationNumber = static_cast<std::uint64_t>(reply.configurationNumber);
    this->confirmation.recordFrontRevision(peer, progress.revision, requestedAt);
    this->directory.update(peer, EntryState{.draining = reply.draining, .confirmed = reply.revision > 0, .lastContact = requestedAt});
}

bool FrontState::addEvidence(const CrashEvidence &evidence, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    this->metrics->count(CounterName::CrashEvidence);
    return this->suspicions.add(evidence, now);
}

Suspicion FrontState::suspicionOf(const ContentDigest &digest, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    return this->suspicions.check(digest, now);
}

void FrontState::clearSuspicion(const ContentDigest &digest)
{
    const std::lock_guard lock(this->mutex);
    this->suspicions.clear(digest);
}

bool FrontState::reserveForSuspect(const ReplicaKey &replica, const ContentDigest &digest)
{
    const std::lock_guard lock(this->mutex);
    return this->suspicions.reserve(replica, digest);
}

void FrontState::releaseSuspect(const ReplicaKey &replica, const ContentDigest &digest)
{
    const std::lock_guard lock(this->mutex);
    this->suspicions.release(replica, digest);
}

void FrontState::updateOwnEntry(TimePoint now)
{
    this->directory.update(this->self,
                           EntryState{.draining = this->isDraining, .confirmed = this->confirmation.confirmed(now), .lastContact = now});
}

void FrontState::tick(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    const bool isConfirmed = this->confirmation.confirmed(now);
    if (isConfirmed) {
        this->confirmedUntil = (now + confirmationValidity).time_since_epoch().count();
    }
    this->updateOwnEntry(now);
    const std::size_t count = this->liveFronts.update(std::max<std::size_t>(1, this->directory.aliveCount(now)), now);
    const bool frontCountChanged = count != this->frontCount;
    this->frontCount = count;
    this->suspicions.expire(now);
    if (this->registry.expire(now) || frontCountChanged) {
        this->rebuildTable(now);
    }
    this->metrics->set(GaugeName::Confirmed, isConfirmed ? 1 : 0);
    this->metrics->set(GaugeName::LiveFronts, static_cast<double>(count));
    this->metrics->set(GaugeName::RegistrySuspect, this->registry.suspect() ? 1 : 0);
}

Replica FrontState::makeReplica(const BackendRecord &record, TimePoint now)
{
    TrackedHealth &tracked = this->health[record.key];
    if (tracked.health == nullptr || tracked.incarnation != record.incarnation) {
        tracked.incarnation = record.incarnation;
        tracked.health = std::make_shared<ReplicaHealth>(EjectionOptions{}, now);
    }
    // Requests in flight keep their routing table, so they see a drain only through the shared health object.
    tracked.health->setAccepting(record.state == BackendState::Ready);
    return Replica{.record = record, .health = tracked.health, .inFlightLimit = connectionShare(record.connections, this->frontCount)};
}

void FrontState::rebuildTable(TimePoint now)
{
    const std::shared_ptr<const InstalledView> current = this->view.read();
    auto next = std::make_shared<RoutingTable>();
    next->revision = current->view.revision;
    next->dataCentre = this->dataCentre;
    for (const auto &[name, options] : current->configuration.services) {
        ServiceTable &service = next->services[name];
        service.options = options;
        const auto maps = current->view.partitionMaps.find(name);
        if (maps != current->view.partitionMaps.end()) {
            service.maps = maps->second;
        }
    }
    const std::vector<BackendRecord> records = this->registry.visible();
    for (const BackendRecord &record : records) {
        const auto service = next->services.find(record.key.service);
        if (service != next->services.end()) {
            service->second.groups[record.key.group].push_back(this->makeReplica(record, now));
        }
    }
    std::set<ReplicaKey> present;
    for (const BackendRecord &record : records) {
        present.insert(record.key);
    }
    for (auto &[key, tracked] : this->health) {
        if (!present.contains(key)) {
            tracked.health->setAccepting(false);
        }
    }
    std::erase_if(this->health, [&](const auto &entry) { return !present.contains(entry.first); });
    this->metrics->set(GaugeName::BackendServers, static_cast<double>(records.size()));
    this->routing.publish(next);
}

} // namespace Galenawell
