#include "galenawell/control/controlmember.h"

#include "galenawell/consensus/membershipplan.h"
#include "galenawell/consensus/raftcodec.h"
#include "galenawell/core/endpoint.h"
#include "galenawell/core/incarnation.h"
#include "galenawell/front/limitevent.h"
#include "galenawell/front/registrycodec.h"
#include "galenawell/telemetry/log.h"

#include <algorithm>
#include <limits>

namespace Galenawell {

namespace {

const Log logger("control");

constexpr std::chrono::milliseconds raftCallTimeout{1000};
constexpr std::chrono::milliseconds identityTimeout{300};
constexpr std::chrono::milliseconds bootstrapRetryInterval{100};
constexpr std::chrono::milliseconds joinInterval{150};
constexpr std::chrono::milliseconds refreshInterval{150};
// Below the 1 s after which operators try another control process.
constexpr std::chrono::milliseconds operatorTimeout{850};
constexpr std::chrono::milliseconds operatorRetryInterval{40};
constexpr std::chrono::milliseconds forwardTimeout{500};
// Announcements are accepted for this long after the start although no front has subscribed yet.
constexpr std::chrono::milliseconds frontContactTimeout{2500};
constexpr std::chrono::milliseconds hintSaveInterval{400};
// Control processes that replied within this time are listed to other processes.
constexpr std::chrono::milliseconds peerListTimeout{10000};
// Three times the wait of a subscription.
constexpr std::chrono::milliseconds controlReplyTimeout{1500};
// Disk space in the data folder that log entries leave free for snapshots and hard state.
constexpr std::size_t reservedBytes = std::size_t(16) * 1024 * 1024;
constexpr std::size_t segmentBytes = std::size_t(1024) * 1024;
// A front's evidence of crashes is forgotten by itself after the same time.
constexpr CrashSuspicionsOptions suspicionOptions{.suspectTime = std::chrono::minutes(10), .maximumEntries = 4096};
constexpr std::size_t snapshotBytes = std::size_t(4) * 1024 * 1024;
constexpr std::size_t retainedBytes = std::size_t(2) * 1024 * 1024;

std::shared_ptr<const ControlView> viewOf(const ControlState &state)
{
    return state.view();
}

Wire::ProposeReply failureReply(const Error &error)
{
    Wire::ProposeReply reply;
    switch (error.kind) {
    case ErrorKind::NotLeader:
        reply.status = Wire::ProposeStatus::NotLeader;
        break;
    case ErrorKind::StorageFull:
        reply.status = Wire::ProposeStatus::StorageFull;
        break;
    default:
        reply.status = Wire::ProposeStatus::NoQuorum;
        break;
    }
    return reply;
}

// Counts are signed on the wire.
std::size_t countOf(std::int32_t count)
{
    return static_cast<std::size_t>(std::max(0, count));
}

} // namespace

ControlMember::ControlMember(Asio::any_io_executor ioExecutor,
                             NodeSettings nodeSettings,
                             CheckConfiguration check,
                             std::shared_ptr<Metrics> sharedMetrics,
                             std::shared_ptr<EventLog> eventLog)
    : executor(std::move(ioExecutor))
    , settings(std::move(nodeSettings))
    , checkConfiguration(std::move(check))
    , metrics(std::move(sharedMetrics))
    , events(std::move(eventLog))
    , traffic(std::make_shared<PeerTraffic>())
    , incarnation(newIncarnation())
    , registry(RegistryOptions{.self = this->settings.peerName(), .incarnation = this->incarnation, .lease = this->settings.serverLease()})
    , fronts(FrontDirectoryOptions{.startedAt = MonotonicClock::now()})
    , impairedServers(ImpairedServersOptions{})
    , suspectContents(suspicionOptions)
    , recoveryFile(this->settings.dataFolder / "recovery.hint")
    , createdAt(MonotonicClock::now())
    , voterManager(VoterManagerOptions{.targetVoterCount = 2 * this->settings.toleratedLosses + 1})
{
}

Status ControlMember::start()
{
    BOOST_OUTCOME_TRY(LogStorage storage,
                      LogStorage::open(LogStorageOptions{
                          .folder = this->settings.dataFolder, .segmentBytes = segmentBytes, .reserveBytes = reservedBytes}));
    this->loadRecoveryHint();
    const auto weak = this->weak_from_this();
    ReplicatedLogOptions options{.instance = this->settings.peerName(),
                                 .snapshotBytes = snapshotBytes,
                                 .numbering = ConfigurationNumbering::Highest,
                                 .onApplied = [weak, ioExecutor = this->executor] {
                                     Asio::post(ioExecutor, [weak] {
                                         if (const auto self = weak.lock()) {
                                             self->refreshRequested = true;
                                             self->notifyChange();
                                         }
                                     });
                                 }};
    options.raft.retainedBytes = retainedBytes;
    options.quorumTimeout = operatorTimeout;
    this->log = std::make_shared<ReplicatedLog>(
        options, std::move(storage), [weak, ioExecutor = this->executor](const InstanceName &instance, const RaftMessage &message) {
            Asio::post(ioExecutor, [weak, instance, message] {
                if (const auto self = weak.lock()) {
                    self->sendRaft(instance, message);
                }
            });
        });
    const auto self = this->shared_from_this();
    this->subscriptions = std::make_shared<ControlSubscriptions>(
        this->executor,
        ControlSubscriptionsOptions{.self = this->settings.peerName(), .peerKey = this->settings.peerKey},
        this->traffic,
        [self](const InstanceName &control) { return self->subscriptionFor(control); },
        [self](const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint requestedAt) {
            self->handleReply(control, reply, requestedAt);
        });
    this->peerServer = std::make_shared<PeerServer>(
        this->executor,
        this->settings.peerAddress,
        identityAcceptingAnyPeer(this->settings.peerName(), this->settings.peerKey),
        [self](InstanceName peer, Wire::Envelope request) { return self->handleCall(std::move(peer), std::move(request)); },
        this->traffic,
        PeerServerOptions{.maximumConnections = this->settings.maximumPeerConnections});
    this->peerServer->start();
    this->subscriptions->addSeeds(this->settings.seedNames());
    Asio::co_spawn(
        this->executor, [self] { return self->run(); }, Asio::detached);
    return boost::outcome_v2::success();
}

Asio::awaitable<void> ControlMember::shutdown()
{
    this->stopping = true;
    this->log->stop();
    this->subscriptions->stop();
    this->peerServer->stop();
    this->notifyChange();
    co_return;
}

void ControlMember::reload(const NodeSettings &newSettings)
{
    this->settings.seeds = newSettings.seeds;
    this->subscriptions->addSeeds(this->settings.seedNames());
}

Asio::awaitable<void> ControlMember::pause(std::chrono::milliseconds duration)
{
    Asio::steady_timer timer(this->executor, duration);
    co_await timer.async_wait(awaitResult);
}

void ControlMember::notifyChange()
{
    for (Asio::steady_timer *timer : this->waitingTimers) {
        timer->cancel();
    }
}

Asio::awaitable<void> ControlMember::waitForChange(TimePoint until)
{
    Asio::steady_timer timer(this->executor, until);
    this->waitingTimers.insert(&timer);
    co_await timer.async_wait(awaitResult);
    this->waitingTimers.erase(&timer);
}

bool ControlMember::isLeader() const
{
    return this->started && this->logStatus.role == RaftRole::Leader;
}

bool ControlMember::failed() const
{
    return this->log != nullptr && this->log->hasFailed();
}

// ---- Start

Asio::awaitable<std::vector<BootstrapReport>> ControlMember::queryIdentities()
{
    std::vector<BootstrapReport> reports;
    for (const InstanceName &name : this->settings.seedNames()) {
        const std::shared_ptr<PeerLink> link = this->subscriptions->link(name);
        if (link == nullptr) {
            continue;
        }
        Wire::Envelope request;
        Wire::IdentityRequest identityRequest;
        identityRequest.instance = this->settings.peerName();
        request.__set_identityRequest(identityRequest);
        const Result<Wire::Envelope> reply = co_await link->call(std::move(request), identityTimeout);
        if (reply && reply.value().__isset.identityReply) {
            const Wire::IdentityReply &identity = reply.value().identityReply;
            reports.push_back(
                BootstrapReport{.instance = name, .identity = static_cast<MemberId>(identity.identity), .hasHistory = !identity.empty});
        }
    }
    co_return reports;
}

Asio::awaitable<Result<BootstrapPlan>> ControlMember::waitForBootstrapPlan()
{
    BootstrapOptions options{.self = this->settings.peerName(),
                             .newInstallation = this->settings.foundInstallation && this->settings.isSeed(),
                             .initialVoters = {}};
    for (const NodeSettings::Endpoint &seed : this->settings.seeds) {
        options.initialVoters.push_back(toString(seed));
    }
    std::ranges::sort(options.initialVoters);
    const BootstrapReport own{
        .instance = this->settings.peerName(), .identity = this->log->identity(), .hasHistory = this->log->hasHistory()};
    for (;;) {
        std::vector<BootstrapReport> reports;
        if (options.newInstallation && !own.hasHistory) {
            reports = co_await this->queryIdentities();
        }
        Result<BootstrapPlan> plan = planBootstrap(options, own, reports);
        if (!plan || plan.value().step != BootstrapStep::Wait || this->stopping) {
            co_return plan;
        }
        co_await this->pause(bootstrapRetryInterval);
    }
}

Asio::awaitable<void> ControlMember::run()
{
    const Result<BootstrapPlan> plan = co_await this->waitForBootstrapPlan();
    if (this->stopping) {
        co_return;
    }
    if (!plan) {
        logger.error("this member can't start: " + plan.error().message());
        co_return;
    }
    std::optional<Membership> initialMembership;
    if (plan.value().step == BootstrapStep::FoundInstallation) {
        initialMembership = plan.value().membership;
    }
    if (Status logStarted = this->log->start(initialMembership); !logStarted) {
        logger.error("this member can't start: " + logStarted.error().message());
        co_return;
    }
    this->started = true;
    const auto self = this->shared_from_this();
    Asio::co_spawn(
        this->executor, [self] { return self->joinLoop(); }, Asio::detached);
    co_await this->refreshLoop();
}

Asio::awaitable<void> ControlMember::refreshLoop()
{
    bool leading = false;
    while (!this->stopping) {
        this->refreshRequested = false;
        this->logStatus = co_await this->log->status();
        View applied = co_await this->log->inspect(viewOf);
        // A log that has just started reapplies its entries, so its view may be older.
        const bool newer = this->view == nullptr || this->view->revision < applied->revision;
        if (newer) {
            this->view = std::move(applied);
        }
        const TimePoint now = MonotonicClock::now();
        const bool registryChanged = this->registry.expire(now);
        this->fronts.expire(now);
        this->limitedServers.expire(now);
        this->updateGrantors(now);
        this->updateEntries(now);
        for (const Member &member : this->logStatus.membership.members) {
            this->subscriptions->add(member.instance);
        }
        if (newer) {
            this->events->write(EventKind::State,
                                Event("configuration_applied")
                                    .number("configuration", static_cast<std::int64_t>(this->view->configurationNumber))
                                    .number("revision", static_cast<std::int64_t>(this->view->revision))
                                    .number("commit_index", static_cast<std::int64_t>(this->logStatus.commitIndex))
                                    .flag("leader", this->isLeader()));
        }
        if (newer || registryChanged) {
            this->hintOutdated = true;
            this->notifyChange();
        }
        this->saveRecoveryHint(now);
        this->logImpairedServers(now);
        this->updateSuspects(now);
        if (leading != this->isLeader()) {
            leading = this->isLeader();
            logger.info(std::string(leading ? "leads" : "no longer leads") + " the log in term " + std::to_string(this->logStatus.term));
        }
        this->metrics->set(GaugeName::IsLeader, leading ? 1 : 0);
        this->metrics->set(GaugeName::CommitIndex, static_cast<double>(this->logStatus.commitIndex));
        this->metrics->set(GaugeName::LogBytes, static_cast<double>(this->logStatus.bytesOnDisk));
        this->metrics->set(GaugeName::ConfigurationNumber, static_cast<double>(this->view->configurationNumber));
        this->updateStorageState();
        if (leading) {
            this->startVoterAdjustment();
        }
        const TimePoint next = MonotonicClock::now() + refreshInterval;
        while (!this->refreshRequested && !this->stopping && MonotonicClock::now() < next) {
            co_await this->waitForChange(next);
        }
    }
}

void ControlMember::updateStorageState()
{
    this->metrics->set(GaugeName::StorageAvailable, this->logStatus.storageAvailable ? 1 : 0);
    this->metrics->raiseCounterTo(CounterName::StorageReopened, static_cast<double>(this->logStatus.storageReopened));
    if (this->storageAvailable != this->logStatus.storageAvailable) {
        this->storageAvailable = this->logStatus.storageAvailable;
        this->events->write(EventKind::State,
                            Event("storage")
                                .flag("available", this->storageAvailable)
                                .number("reopened", static_cast<std::int64_t>(this->logStatus.storageReopened)));
    }
}

void ControlMember::startVoterAdjustment()
{
    if (std::exchange(this->adjustingVoters, true)) {
        return;
    }
    Asio::co_spawn(
        this->executor,
        [self = this->shared_from_this()]() -> Asio::awaitable<void> {
            co_await self->adjustVoters();
            self->adjustingVoters = false;
        },
        Asio::detached);
}

void ControlMember::updateEntries(TimePoint now)
{
    for (const EntrySetChange &change : this->fronts.updateEntries(now)) {
        this->events->write(EventKind::State,
                            Event("entry_set")
                                .text("data_centre", change.dataCentre)
                                .number("entries", static_cast<std::int64_t>(change.entries))
                                .number("available", static_cast<std::int64_t>(change.available))
                                .milliseconds("loop_delay", change.loopDelay));
    }
}

void ControlMember::updateGrantors(TimePoint now)
{
    // The same members on every process, but for the time that a change of the members takes.
    std::vector<MemberId> grantors;
    for (const Member &member : this->logStatus.membership.members) {
        grantors.push_back(member.id);
    }
    this->limitedServers.setGrantors(std::move(grantors), this->log->identity(), now);
    this->metrics->set(GaugeName::LimitedServers, static_cast<double>(this->limitedServers.count()));
}

void ControlMember::logImpairedServers(TimePoint now)
{
    const std::vector<std::string> &impaired = this->impairedServers.list(now);
    if (this->impairedServers.version() != this->loggedImpairedVersion) {
        this->loggedImpairedVersion = this->impairedServers.version();
        this->events->write(EventKind::State,
                            Event("impaired_servers")
                                .number("count", static_cast<std::int64_t>(impaired.size()))
                                .text("first", impaired.empty() ? "" : impaired.front()));
    }
}

void ControlMember::updateSuspects(TimePoint now)
{
    const std::vector<ContentDigest> &suspects = this->suspectContents.list(now);
    if (this->suspectContents.version() == this->loggedSuspectsVersion) {
        return;
    }
    this->loggedSuspectsVersion = this->suspectContents.version();
    this->metrics->set(GaugeName::SuspectContents, static_cast<double>(suspects.size()));
    this->events->write(EventKind::State, Event("suspect_contents").number("count", static_cast<std::int64_t>(suspects.size())));
    this->notifyChange();
}

void ControlMember::loadRecoveryHint()
{
    std::optional<RecoveryHint> hint = this->recoveryFile.read();
    if (!hint) {
        return;
    }
    logger.info("an earlier run knew revision " + std::to_string(hint->view.revision) + " and " + std::to_string(hint->servers.size())
                + " backend servers");
    this->view = std::make_shared<const ControlView>(std::move(hint->view));
    for (const BackendRecord &server : hint->servers) {
        this->registry.remember(server, this->createdAt);
    }
    this->registry.addRetired(hint->retired, this->createdAt);
}

void ControlMember::saveRecoveryHint(TimePoint now)
{
    if (!this->hintOutdated || now - this->hintSavedAt < hintSaveInterval || this->view == nullptr) {
        return;
    }
    this->hintSavedAt = now;
    this->hintOutdated = false;
    this->recoveryFile.write(
        RecoveryHint{.view = *this->view, .servers = this->registry.visible(), .retired = this->registry.retiredServers()});
}

// ---- Members of the log

Asio::awaitable<void> ControlMember::adjustVoters()
{
    std::optional<Membership> next = this->voterManager.nextStep(LeaderObservation{.leader = this->logStatus.identity,
                                                                                   .term = this->logStatus.term,
                                                                                   .commitIndex = this->logStatus.commitIndex,
                                                                                   .membership = this->logStatus.membership,
                                                                                   .matchIndexes = this->logStatus.matchIndexes,
                                                                                   .lastMessageAt = this->logStatus.lastMessageAt},
                                                                 MonotonicClock::now());
    if (!next) {
        co_return;
    }
    const std::size_t voters = voterCount(*next);
    const Result<void> proposed = co_await this->log->proposeMembership(std::move(*next));
    if (proposed) {
        this->refreshRequested = true;
        logger.info("the membership of the log changed; it has " + std::to_string(voters) + " voters");
    } else if (proposed.error().kind != ErrorKind::MembershipBusy) {
        logger.warn("a membership change failed: " + proposed.error().message());
    }
}

Asio::awaitable<void> ControlMember::joinLoop()
{
    while (!this->stopping) {
        co_await this->pause(joinInterval);
        const MemberId self = this->log->identity();
        const bool listed = std::ranges::find(this->listedMembers, self) != this->listedMembers.end();
        if (listed || this->listedMembers.empty() || this->isLeader()) {
            continue;
        }
        for (const InstanceName &name : this->subscriptions->known()) {
            Wire::MemberChangeRequest change;
            change.action = Wire::MemberAction::AddLearner;
            change.id = static_cast<std::int64_t>(self);
            change.instance = this->settings.peerName();
            Wire::Envelope request;
            request.__set_memberChangeRequest(change);
            const std::shared_ptr<PeerLink> link = this->subscriptions->link(name);
            if (link == nullptr) {
                continue;
            }
            const Result<Wire::Envelope> reply = co_await link->call(std::move(request), forwardTimeout);
            if (reply && reply.value().__isset.memberChangeReply && reply.value().memberChangeReply.status == Wire::ProposeStatus::Done) {
                logger.info("joined the log as a learner");
                this->listedMembers.push_back(self);
                break;
            }
        }
    }
}

Asio::awaitable<Wire::MemberChangeReply> ControlMember::handleJoin(Wire::MemberChangeRequest request)
{
    Wire::MemberChangeReply reply;
    const LogStatus now = co_await this->log->status();
    reply.leader = now.leaderInstance;
    if (now.role != RaftRole::Leader || request.action != Wire::MemberAction::AddLearner) {
        reply.status = Wire::ProposeStatus::NotLeader;
        co_return reply;
    }
    Membership next = now.membership;
    const auto id = static_cast<MemberId>(request.id);
    if (findMember(next, id) != nullptr) {
        reply.status = Wire::ProposeStatus::Done;
        co_return reply;
    }
    next.members.push_back(Member{.id = id, .instance = request.instance, .voter = false});
    const Result<void> changedMembers = co_await this->log->proposeMembership(std::move(next));
    reply.status = changedMembers ? Wire::ProposeStatus::Done : Wire::ProposeStatus::NoQuorum;
    if (!changedMembers) {
        reply.message = changedMembers.error().message();
    }
    co_return reply;
}

void ControlMember::sendRaft(const InstanceName &instance, const RaftMessage &message)
{
    if (this->stopping) {
        return;
    }
    this->subscriptions->add(instance);
    const std::shared_ptr<PeerLink> link = this->subscriptions->link(instance);
    if (link == nullptr) {
        return;
    }
    auto request = std::make_shared<Wire::Envelope>();
    request->__set_raftMessage(encodeRaftMessage(message));
    Asio::co_spawn(
        this->executor,
        [link, request]() -> Asio::awaitable<void> {
            // Raft resends lost messages.
            static_cast<void>(co_await link->call(std::move(*request), raftCallTimeout));
        },
        Asio::detached);
}

// ---- Calls of other processes

Wire::IdentityReply ControlMember::identityReply() const
{
    Wire::IdentityReply identity;
    identity.instance = this->settings.peerName();
    identity.identity = static_cast<std::int64_t>(this->log->identity());
    identity.empty = !this->log->hasHistory();
    return identity;
}

Asio::awaitable<Wire::Envelope> ControlMember::handleCall(InstanceName peer, Wire::Envelope request)
{
    Wire::Envelope reply;
    reply.__set_acknowledgement(Wire::Empty());
    if (request.__isset.identityRequest) {
        reply.__set_identityReply(this->identityReply());
    } else if (request.__isset.subscription) {
        reply.__set_subscriptionReply(co_await this->handleSubscription(peer, request.subscription));
    } else if (!this->started) {
        co_return reply;
    } else if (request.__isset.raftMessage) {
        Result<RaftMessage> message = decodeRaftMessage(request.raftMessage);
        if (message) {
            this->log->receive(peer, std::move(message.value()));
        }
    } else if (request.__isset.proposeRequest) {
        reply.__set_proposeReply(co_await this->handlePropose(request.proposeRequest));
    } else if (request.__isset.controlPoll) {
        reply.__set_controlPollReply(co_await this->handlePoll(request.controlPoll));
    } else if (request.__isset.memberChangeRequest) {
        reply.__set_memberChangeReply(co_await this->handleJoin(request.memberChangeRequest));
    }
    co_return reply;
}

bool ControlMember::hasNewerView(const Wire::Subscription &subscription) const
{
    const bool wantsView = !subscription.__isset.wantsView || subscription.wantsView;
    return wantsView && this->view != nullptr && this->view->revision > static_cast<std::uint64_t>(subscription.revision);
}

void ControlMember::addView(const Wire::Subscription &subscription, Wire::SubscriptionReply &reply)
{
    if (this->viewPatches.newestRevision() != this->view->revision) {
        this->viewPatches.setNewest(this->view->revision, encodeControlView(*this->view));
    }
    if (subscription.acceptsPatch) {
        Result<std::string> patch = this->viewPatches.patchFrom(static_cast<std::uint64_t>(subscription.revision));
        if (patch) {
            reply.__set_viewPatch(std::move(patch.value()));
            return;
        }
        logger.warn(patch.error().message());
    }
    reply.__set_view(this->viewPatches.newest());
}

bool ControlMember::hasUpdates(const Wire::Subscription &subscription) const
{
    const bool sameIncarnation = static_cast<Incarnation>(subscription.registryIncarnation) == this->incarnation;
    const bool notifies = subscription.__isset.notifyAbove && this->view != nullptr
        && this->view->revision > static_cast<std::uint64_t>(subscription.notifyAbove);
    return this->hasNewerView(subscription) || notifies || !sameIncarnation || this->hasNewerSuspects(subscription)
        || this->hasNewerLimits(subscription) || this->registry.newestChange() > static_cast<std::uint64_t>(subscription.registryThrough);
}

Asio::awaitable<Wire::SubscriptionReply> ControlMember::handleSubscription(InstanceName peer, Wire::Subscription subscription)
{
    const TimePoint now = MonotonicClock::now();
    if (this->registry.raiseIncarnationAbove(static_cast<Incarnation>(subscription.registryIncarnation))) {
        this->incarnation = this->registry.incarnation();
        logger.warn(peer + " reported a higher incarnation of this process, so the clock was set back; continuing as incarnation "
                    + std::to_string(this->incarnation));
    }
    if (subscription.front) {
        this->fronts.report(FrontReport{.instance = peer,
                                        .incarnation = static_cast<Incarnation>(subscription.incarnation),
                                        .callerAddress = subscription.callerAddress,
                                        .dataCentre = subscription.dataCentre,
                                        .accepting = subscription.accepting,
                                        .reportInterval = std::chrono::milliseconds(std::max<std::int64_t>(subscription.waitMs, 0)),
                                        .loopDelay = std::chrono::microseconds(std::max(subscription.loopDelay, 0))},
                            now);
        this->recordImpairments(peer, subscription, now);
        this->recordCrashes(subscription, now);
        this->recordLimits(subscription, now);
    } else {
        this->subscriptions->add(peer);
    }
    const TimePoint until = now + std::chrono::milliseconds(subscription.waitMs);
    while (!this->hasUpdates(subscription) && MonotonicClock::now() < until && !this->stopping) {
        co_await this->waitForChange(until);
    }
    co_return this->makeReply(subscription, now);
}

void ControlMember::recordImpairments(const InstanceName &front, const Wire::Subscription &subscription, TimePoint now)
{
    this->impairedServers.recordScatters(subscription.dataCentre, countOf(subscription.scatters), now);
    const auto recordAll = [&](const std::map<std::string, std::int32_t> &counts, Impairment impairment) {
        for (const auto &[address, count] : counts) {
            this->impairedServers.report({.address = address, .impairment = impairment, .front = front, .subrequests = countOf(count)},
                                         now);
        }
    };
    recordAll(subscription.outliers, Impairment::Slow);
    recordAll(subscription.failures, Impairment::Failing);
}

void ControlMember::recordCrashes(const Wire::Subscription &subscription, TimePoint now)
{
    if (subscription.crashes.empty() && subscription.clearedContents.empty()) {
        return;
    }
    for (const std::string &content : subscription.clearedContents) {
        this->suspectContents.clear(content, now);
    }
    for (const Wire::CrashEvidenceMessage &evidence : subscription.crashes) {
        this->suspectContents.add(fromMessage(evidence), now);
    }
    this->updateSuspects(now);
}

bool ControlMember::hasNewerSuspects(const Wire::Subscription &subscription) const
{
    return subscription.__isset.suspectsVersion && subscription.suspectsVersion != this->suspectContents.version();
}

void ControlMember::addSuspects(const Wire::Subscription &subscription, Wire::SubscriptionReply &reply) const
{
    if (subscription.__isset.crashReport) {
        reply.__set_crashReport(subscription.crashReport);
    }
    if (!this->hasNewerSuspects(subscription)) {
        return;
    }
    reply.__set_suspectsVersion(this->suspectContents.version());
    if (subscription.front) {
        reply.__set_suspects(this->suspectContents.listed());
        return;
    }
    const TimePoint now = MonotonicClock::now();
    for (const TimedEvidence &known : this->suspectContents.evidence(now)) {
        reply.crashes.push_back(toMessage(known.evidence));
        reply.crashes.back().__set_ageMs(toMilliseconds(now - known.at).count());
    }
    reply.__isset.crashes = true;
}

void ControlMember::learnSuspects(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint requestedAt, TimePoint now)
{
    KnownSuspects &known = this->knownSuspects[control];
    if (known.incarnation != reply.incarnation) {
        known = {.incarnation = reply.incarnation};
    }
    if (!reply.__isset.crashes || !reply.__isset.suspectsVersion) {
        return;
    }
    known.version = reply.suspectsVersion;
    for (const Wire::CrashEvidenceMessage &evidence : reply.crashes) {
        // Never later than the other process found it, so that processes can't prolong a suspicion by telling one another.
        this->suspectContents.add(fromMessage(evidence),
                                  requestedAt - std::chrono::milliseconds(std::max<std::int64_t>(evidence.ageMs, 0)));
    }
    this->updateSuspects(now);
}

void ControlMember::recordLimits(const Wire::Subscription &subscription, TimePoint now)
{
    const std::uint64_t before = this->limitedServers.newestUrgentChange();
    for (const Wire::LimitReportMessage &message : subscription.limits) {
        const LimitReport report = fromMessage(message);
        if (!this->limitedServers.report(subscription.instance, report, now)) {
            continue;
        }
        this->events->write(EventKind::State,
                            limitEvent(report.statement)
                                .text("front", subscription.instance)
                                .number("sharers", static_cast<std::int64_t>(this->limitedServers.sharers(report.statement.server))));
    }
    if (this->limitedServers.newestUrgentChange() != before) {
        this->notifyChange();
    }
}

bool ControlMember::hasNewerLimits(const Wire::Subscription &subscription) const
{
    return subscription.__isset.limitsThrough
        && this->limitedServers.newestUrgentChange() > static_cast<std::uint64_t>(std::max<std::int64_t>(subscription.limitsThrough, 0));
}

void ControlMember::addLimits(const Wire::Subscription &subscription, Wire::SubscriptionReply &reply, TimePoint receivedAt, TimePoint now)
{
    if (!subscription.__isset.limitsThrough) {
        return;
    }
    const bool sameIncarnation = static_cast<Incarnation>(subscription.registryIncarnation) == this->incarnation;
    const std::int64_t known = sameIncarnation ? std::max<std::int64_t>(subscription.limitsThrough, 0) : 0;
    for (const LimitStatement &statement : this->limitedServers.changesAfter(static_cast<std::uint64_t>(known))) {
        reply.limits.push_back(toMessage(statement));
    }
    reply.__isset.limits = !reply.limits.empty();
    if (reply.__isset.limits) {
        reply.__set_limitsThrough(static_cast<std::int64_t>(this->limitedServers.newestChange()));
    }
    if (subscription.__isset.limitReport) {
        reply.__set_limitReport(subscription.limitReport);
    }
    for (const Wire::LimitReportMessage &message : subscription.limits) {
        const ServerRun server = fromMessage(message.statement).server;
        const LimitGrant grant = this->limitedServers.allocate(subscription.instance, server, now);
        if (grant.requests > 0) {
            reply.grants.push_back(toMessage(grant, now - receivedAt));
            this->metrics->count(CounterName::GrantedRequests, grant.requests);
        }
    }
    reply.__isset.grants = !reply.grants.empty();
}

Wire::SubscriptionReply ControlMember::makeReply(const Wire::Subscription &subscription, TimePoint receivedAt)
{
    Wire::SubscriptionReply reply;
    reply.incarnation = static_cast<std::int64_t>(this->incarnation);
    reply.__set_revision(this->view == nullptr ? 0 : static_cast<std::int64_t>(this->view->revision));
    reply.__set_dataCentre(this->settings.dataCentre);
    if (this->hasNewerView(subscription)) {
        this->addView(subscription, reply);
    }
    const bool sameIncarnation = static_cast<Incarnation>(subscription.registryIncarnation) == this->incarnation;
    const std::uint64_t knownThrough = sameIncarnation ? static_cast<std::uint64_t>(subscription.registryThrough) : 0;
    if (knownThrough < this->registry.newestChange()) {
        reply.__set_registry(toMessage(this->registry.updateSince(knownThrough)));
    }
    const TimePoint now = MonotonicClock::now();
    reply.controls = this->subscriptions->respondedWithin(peerListTimeout, now);
    for (const Member &member : this->logStatus.membership.members) {
        reply.members.push_back(static_cast<std::int64_t>(member.id));
        reply.controls.push_back(member.instance);
    }
    reply.liveFronts = static_cast<std::int32_t>(this->fronts.liveCount(now));
    if (const std::optional<std::size_t> entries = this->fronts.entryCount(now)) {
        reply.__set_entryFronts(static_cast<std::int32_t>(*entries));
    }
    reply.__set_entry(this->fronts.isEntry(subscription.instance));
    reply.leader = this->logStatus.leaderInstance;
    if (const Incarnation known = this->fronts.newestIncarnation(subscription.instance);
        known > static_cast<Incarnation>(subscription.incarnation)) {
        reply.__set_laterRun(static_cast<std::int64_t>(known));
    }
    const std::vector<std::string> &impaired = this->impairedServers.list(now);
    reply.impairedVersion = this->impairedServers.version();
    const bool usesList = subscription.front && (!subscription.__isset.wantsView || subscription.wantsView);
    if (usesList && (!sameIncarnation || reply.impairedVersion != subscription.impairedVersion)) {
        reply.__set_impaired(impaired);
    }
    this->addSuspects(subscription, reply);
    this->addLimits(subscription, reply, receivedAt, now);
    return reply;
}

Wire::Subscription ControlMember::subscriptionFor(const InstanceName &control)
{
    Wire::Subscription subscription;
    subscription.instance = this->settings.peerName();
    subscription.incarnation = static_cast<std::int64_t>(this->incarnation);
    subscription.front = false;
    subscription.accepting = false;
    // Control processes receive the control state through the log.
    subscription.revision = std::numeric_limits<std::int64_t>::max();
    const auto [originIncarnation, through] = this->registry.replicationPosition(control);
    subscription.registryIncarnation = static_cast<std::int64_t>(originIncarnation);
    subscription.registryThrough = static_cast<std::int64_t>(through);
    subscription.impairedVersion = 0;
    subscription.__set_suspectsVersion(this->knownSuspects[control].version);
    return subscription;
}

void ControlMember::handleReply(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint requestedAt)
{
    const TimePoint now = MonotonicClock::now();
    this->learnSuspects(control, reply, requestedAt, now);
    const auto run = static_cast<Incarnation>(reply.incarnation);
    this->registry.renewOrigin(control, run, now);
    if (reply.__isset.registry) {
        const RegistryUpdate update = fromMessage(reply.registry, control, run);
        if (const std::optional<std::string> defects = describeDefects(update)) {
            logger.warn(*defects);
        }
        this->registry.applyUpdate(update, now);
        this->hintOutdated = true;
    }
    // Only the leader's list is certain to be up to date.
    if (!reply.members.empty() && reply.leader == control) {
        this->listedMembers.assign(reply.members.begin(), reply.members.end());
    }
}

// ---- Configurations

Asio::awaitable<Wire::ProposeReply> ControlMember::handlePropose(Wire::ProposeRequest request)
{
    const Result<ControlCommand> command = decodeControlCommand(request.command);
    const auto *configuration = command ? std::get_if<ProposeConfiguration>(&command.value()) : nullptr;
    if (configuration == nullptr || !this->checkConfiguration(configuration->proposal.content)) {
        Wire::ProposeReply reply;
        reply.status = Wire::ProposeStatus::Malformed;
        co_return reply;
    }
    const Result<AppliedCommand> applied = co_await this->log->propose(request.command);
    if (!applied) {
        co_return failureReply(applied.error());
    }
    const auto *outcome = std::get_if<ProposalOutcome>(&applied.value().result);
    if (outcome == nullptr) {
        co_return failureReply(makeError(ErrorKind::NoQuorum, "the command was replaced by another leader's"));
    }
    Wire::ProposeReply reply;
    reply.status = Wire::ProposeStatus::Done;
    reply.__set_verdict(static_cast<std::int32_t>(outcome->verdict));
    reply.__set_newestNumber(static_cast<std::int64_t>(outcome->newestNumber));
    reply.__set_acceptedDigest(outcome->acceptedDigest);
    co_return reply;
}

Asio::awaitable<Result<ProposalOutcome>> ControlMember::proposeOnce(std::string command)
{
    Wire::ProposeRequest request;
    request.command = std::move(command);
    request.waitForFronts = false;
    Wire::ProposeReply reply;
    const std::shared_ptr<PeerLink> leader = this->subscriptions->link(this->logStatus.leaderInstance);
    if (this->isLeader()) {
        reply = co_await this->handlePropose(std::move(request));
    } else if (leader != nullptr) {
        Wire::Envelope envelope;
        envelope.__set_proposeRequest(request);
        const Result<Wire::Envelope> answer = co_await leader->call(std::move(envelope), operatorTimeout);
        if (!answer || !answer.value().__isset.proposeReply) {
            co_return makeError(ErrorKind::NoQuorum, "the leader of the log didn't answer");
        }
        reply = answer.value().proposeReply;
    } else {
        co_return makeError(ErrorKind::NotLeader, "no leader of the log is known");
    }
    if (reply.status != Wire::ProposeStatus::Done) {
        co_return makeError(reply.status == Wire::ProposeStatus::StorageFull ? ErrorKind::StorageFull : ErrorKind::NotLeader,
                            "the leader of the log didn't accept the command");
    }
    co_return ProposalOutcome{.verdict = static_cast<ProposalVerdict>(reply.verdict),
                              .newestNumber = static_cast<std::uint64_t>(reply.newestNumber),
                              .acceptedDigest = reply.acceptedDigest};
}

Asio::awaitable<Result<ProposalOutcome>> ControlMember::propose(ConfigurationProposal proposal)
{
    const TimePoint start = MonotonicClock::now();
    const std::uint64_t number = proposal.number;
    std::string command = encodeControlCommand(ProposeConfiguration{.proposal = std::move(proposal)});
    const Result<ProposalOutcome> outcome = co_await this->proposeUntil(std::move(command), start + operatorTimeout);
    Event event("configuration_proposed");
    event.number("configuration", static_cast<std::int64_t>(number)).flag("acknowledged", outcome.has_value());
    if (outcome) {
        event.number("newest", static_cast<std::int64_t>(outcome.value().newestNumber));
    } else {
        event.text("reason", outcome.error().message());
    }
    event.text("leader", this->logStatus.leaderInstance)
        .number("applied_here", static_cast<std::int64_t>(this->view == nullptr ? 0 : this->view->revision))
        .milliseconds("after", MonotonicClock::now() - start);
    this->events->write(EventKind::State, event);
    co_return outcome;
}

Asio::awaitable<Result<ProposalOutcome>> ControlMember::proposeUntil(std::string command, TimePoint end)
{
    for (;;) {
        Result<ProposalOutcome> outcome = makeError(ErrorKind::NotLeader, "this process hasn't joined the log");
        if (this->started) {
            outcome = co_await this->proposeOnce(command);
        }
        // Retrying is safe: a number that was accepted is acknowledged without effect.
        if (outcome || MonotonicClock::now() + operatorRetryInterval >= end || this->stopping) {
            co_return outcome;
        }
        co_await this->pause(operatorRetryInterval);
    }
}

Asio::awaitable<Wire::ControlPollReply> ControlMember::handlePoll(Wire::ControlPoll poll)
{
    Wire::ControlPollReply reply;
    const Result<void> confirmed = co_await this->log->confirmRead();
    reply.confirmed = confirmed.has_value();
    reply.leader = this->logStatus.leaderInstance;
    reply.term = static_cast<std::int64_t>(this->logStatus.term);
    reply.revision = 0;
    if (confirmed) {
        const View newest = co_await this->log->inspect(viewOf);
        reply.revision = static_cast<std::int64_t>(newest->revision);
        if (reply.revision > poll.revision) {
            reply.__set_view(encodeControlView(*newest));
        }
    }
    co_return reply;
}

Asio::awaitable<Result<ControlMember::View>> ControlMember::readOnce()
{
    if (this->isLeader()) {
        const Result<void> confirmed = co_await this->log->confirmRead();
        if (!confirmed) {
            co_return confirmed.error();
        }
        co_return co_await this->log->inspect(viewOf);
    }
    const std::shared_ptr<PeerLink> leader = this->subscriptions->link(this->logStatus.leaderInstance);
    if (leader == nullptr) {
        co_return makeError(ErrorKind::NotLeader, "no leader of the log is known");
    }
    const View own = this->view;
    Wire::ControlPoll poll;
    poll.instance = this->settings.peerName();
    poll.incarnation = static_cast<std::int64_t>(this->incarnation);
    poll.draining = false;
    poll.revision = own == nullptr ? 0 : static_cast<std::int64_t>(own->revision);
    poll.configurationNumber = 0;
    Wire::Envelope request;
    request.__set_controlPoll(poll);
    const Result<Wire::Envelope> reply = co_await leader->call(std::move(request), forwardTimeout);
    if (!reply || !reply.value().__isset.controlPollReply || !reply.value().controlPollReply.confirmed) {
        co_return makeError(ErrorKind::NotLeader, "the leader of the log didn't confirm the read");
    }
    const Wire::ControlPollReply &confirmed = reply.value().controlPollReply;
    if (!confirmed.__isset.view) {
        // A revision below the local one would mean that the leader's state is stale, which a confirmed read rules out.
        if (own == nullptr || confirmed.revision != static_cast<std::int64_t>(own->revision)) {
            co_return makeError(ErrorKind::NotLeader, "the confirmed revision isn't known to this process");
        }
        co_return own;
    }
    Result<ControlView> newest = decodeControlView(confirmed.view);
    if (!newest) {
        co_return newest.error();
    }
    co_return std::make_shared<const ControlView>(std::move(newest.value()));
}

Asio::awaitable<Result<ControlMember::View>> ControlMember::newestView()
{
    const TimePoint end = MonotonicClock::now() + operatorTimeout;
    for (;;) {
        Result<View> read = makeError(ErrorKind::NotLeader, "this process hasn't joined the log");
        if (this->started) {
            read = co_await this->readOnce();
        }
        if (read || MonotonicClock::now() + operatorRetryInterval >= end || this->stopping) {
            co_return read;
        }
        co_await this->pause(operatorRetryInterval);
    }
}

// ---- Backend servers and callers

void ControlMember::noteInvalidAnnouncement(const std::string &identity, const Error &error)
{
    constexpr std::size_t loggedBytes = 80;
    this->metrics->count(CounterName::InvalidAnnouncements);
    this->events->write(EventKind::State,
                        Event("announcement_refused").text("identity", identity.substr(0, loggedBytes)).text("reason", error.message()));
}

Status ControlMember::announce(const BackendRecord &record)
{
    this->metrics->count(CounterName::Announcements);
    const TimePoint now = MonotonicClock::now();
    const std::uint64_t before = this->registry.newestChange();
    const Result<bool> announced = this->registry.announce(record, now);
    if (!announced) {
        this->events->write(EventKind::State,
                            Event("announcement_ignored").text("identity", record.identity).text("reason", announced.error().message()));
        return announced.error();
    }
    if (this->registry.newestChange() != before) {
        this->events->write(EventKind::State,
                            Event("backend_server")
                                .text("service", record.key.service)
                                .text("address", record.key.address)
                                .text("identity", record.identity)
                                .text("state", toString(record.state))
                                .number("sequence", static_cast<std::int64_t>(record.sequence)));
        this->hintOutdated = true;
        this->notifyChange();
    }
    return boost::outcome_v2::success();
}

LeaveOutcome ControlMember::retire(const std::string &identity)
{
    const std::optional<BackendRecord> known = latestRunOf(identity, this->registry.visible());
    if (!known) {
        const bool gone = this->hasCompleteRegistry();
        this->events->write(EventKind::State, Event("leave_of_unknown_server").text("identity", identity).flag("gone", gone));
        return gone ? LeaveOutcome::NotRegistered : LeaveOutcome::UnknownLocally;
    }
    BackendRecord stopped = *known;
    stopped.state = BackendState::Stopped;
    // The highest sequence number outdates all announcements of this incarnation that are still in flight.
    stopped.sequence = std::numeric_limits<std::int64_t>::max();
    if (const Status announced = this->announce(stopped); !announced) {
        logger.error("server " + identity + " can't be retired: " + announced.error().message());
        return LeaveOutcome::UnknownLocally;
    }
    return LeaveOutcome::Retired;
}

bool ControlMember::hasCompleteRegistry() const
{
    const TimePoint now = MonotonicClock::now();
    if (now - this->createdAt < this->settings.serverLease()) {
        return false;
    }
    const std::vector<InstanceName> respondingControls = this->subscriptions->respondedWithin(controlReplyTimeout, now);
    return std::ranges::all_of(this->logStatus.membership.members, [this, &respondingControls](const Member &member) {
        return member.instance == this->settings.peerName()
            || std::ranges::find(respondingControls, member.instance) != respondingControls.end();
    });
}

bool ControlMember::hasSubscribedFronts() const
{
    const TimePoint now = MonotonicClock::now();
    return now - this->createdAt < frontContactTimeout || this->fronts.hasRecentReport(now);
}

std::vector<std::string> ControlMember::entryAddresses(const std::string &dataCentre) const
{
    return this->fronts.entryAddresses(dataCentre, MonotonicClock::now());
}

} // namespace Galenawell
