#include "galenawell/control/controlprocess.h"

#include "galenawell/configuration/configuration.h"
#include "galenawell/consensus/membershipplan.h"
#include "galenawell/consensus/raftcodec.h"
#include "galenawell/telemetry/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Galenawell {

namespace {

const Log logger("control");

constexpr std::chrono::milliseconds raftCallTimeout{1000};
constexpr std::chrono::milliseconds identityTimeout{500};
constexpr std::chrono::milliseconds bootstrapRetryInterval{200};
constexpr std::chrono::milliseconds membershipCheckInterval{1000};
constexpr std::chrono::milliseconds advanceTimeInterval{5000};
constexpr std::chrono::milliseconds frontCheckInterval{25};
// Longer than the sum of a front's poll interval and its confirmation timeout.
constexpr std::chrono::milliseconds frontMajorityTimeout{8000};

Wire::ProposeReply replyFor(const AppliedCommand &applied)
{
    Wire::ProposeReply reply;
    reply.status = Wire::ProposeStatus::Done;
    if (const auto *outcome = std::get_if<ProposalOutcome>(&applied.result)) {
        reply.__set_verdict(static_cast<std::int32_t>(outcome->verdict));
        reply.__set_newestNumber(static_cast<std::int64_t>(outcome->newestNumber));
        reply.__set_acceptedDigest(outcome->acceptedDigest);
    } else if (const auto *recorded = std::get_if<MapRecorded>(&applied.result)) {
        reply.__set_verdict(recorded->recorded ? 1 : 0);
    } else if (const auto *decision = std::get_if<ClaimDecision>(&applied.result)) {
        reply.__set_verdict(static_cast<std::int32_t>(decision->verdict));
        reply.__set_claimState(static_cast<std::int32_t>(decision->state));
        reply.__set_answer(decision->answer);
    } else if (const auto *verdict = std::get_if<RecordVerdict>(&applied.result)) {
        reply.__set_verdict(static_cast<std::int32_t>(*verdict));
    }
    return reply;
}

std::shared_ptr<const ControlView> viewOf(const ControlState &state)
{
    return state.view();
}

std::size_t claimCountOf(const ControlState &state)
{
    return state.claims().size();
}

// Fronts validate configurations before proposing them; this rejects one that was altered or validated by an older version.
bool isValidCommand(const ControlCommand &command)
{
    const auto *propose = std::get_if<ProposeConfiguration>(&command);
    if (propose == nullptr) {
        return true;
    }
    const nlohmann::json document = nlohmann::json::parse(propose->proposal.content, nullptr, false);
    return document.is_object() && parseConfiguration(document) && configurationDigest(document) == propose->proposal.digest;
}

} // namespace

PeerIdentity peerIdentity(const ProcessSettings &settings)
{
    PeerIdentity identity{.instance = settings.instance, .key = settings.peerKey};
    for (const PeerSettings &peer : settings.peers) {
        identity.accepted.insert(peer.instance);
    }
    return identity;
}

std::map<InstanceName, std::shared_ptr<PeerLink>> makeLinks(const Asio::any_io_executor &executor,
                                                            const ProcessSettings &settings,
                                                            ProcessRole role,
                                                            const std::shared_ptr<PeerTraffic> &traffic)
{
    std::map<InstanceName, std::shared_ptr<PeerLink>> links;
    for (const PeerSettings &peer : settings.peers) {
        if (peer.role == role && peer.instance != settings.instance) {
            links[peer.instance] = std::make_shared<PeerLink>(executor, peer.peerAddress, peerIdentity(settings), peer.instance, traffic);
        }
    }
    return links;
}

ControlProcess::ControlProcess(Asio::any_io_executor ioExecutor, ProcessSettings processSettings)
    : executor(std::move(ioExecutor))
    , settings(std::move(processSettings))
    , metrics(std::make_shared<Metrics>(this->settings.instance))
    , traffic(std::make_shared<PeerTraffic>())
    , controlLinks(makeLinks(this->executor, this->settings, ProcessRole::Control, this->traffic))
{
}

Status ControlProcess::start()
{
    BOOST_OUTCOME_TRY(LogStorage storage, LogStorage::open(LogStorageOptions{.folder = this->settings.dataFolder}));
    const auto weak = this->weak_from_this();
    this->log = std::make_shared<ReplicatedLog>(ReplicatedLogOptions{.instance = this->settings.instance},
                                                std::move(storage),
                                                [weak](const InstanceName &instance, const RaftMessage &message) {
                                                    if (const auto self = weak.lock()) {
                                                        self->sendRaft(instance, message);
                                                    }
                                                });
    this->peerServer = std::make_shared<PeerServer>(
        this->executor,
        this->settings.peerAddress,
        peerIdentity(this->settings),
        [self = this->shared_from_this()](InstanceName peer, Wire::Envelope request) {
            return self->handleCall(std::move(peer), std::move(request));
        },
        this->traffic);
    this->operatorServer = std::make_shared<HttpServer>(
        this->executor,
        HttpServerOptions{.address = this->settings.operatorAddress,
                          .maximumConnections = this->settings.maximumConnections,
                          .memory = std::make_shared<RequestMemory>(this->settings.requestMemoryBytes)},
        [self = this->shared_from_this()](HttpRequest request) { return self->handleHttp(std::move(request)); },
        [self = this->shared_from_this()](RefusalReason reason, const std::string &) {
            self->metrics->countRefusal(reason);
            return HttpResponse{.status = textFor(reason).httpStatus};
        });
    this->peerServer->start();
    this->operatorServer->start();
    Asio::co_spawn(
        this->executor, [self = this->shared_from_this()] { return self->run(); }, Asio::detached);
    return boost::outcome_v2::success();
}

Asio::awaitable<void> ControlProcess::shutdown()
{
    this->stopping = true;
    this->log->stop();
    this->peerServer->stop();
    this->operatorServer->stop();
    for (auto &[name, link] : this->controlLinks) {
        link->close();
    }
    co_return;
}

bool ControlProcess::failed() const
{
    return this->log != nullptr && this->log->hasFailed();
}

Asio::awaitable<void> ControlProcess::pause(std::chrono::milliseconds duration)
{
    Asio::steady_timer timer(co_await Asio::this_coro::executor, duration);
    co_await timer.async_wait(awaitResult);
}

std::size_t ControlProcess::configuredFrontCount() const
{
    return static_cast<std::size_t>(std::count_if(this->settings.peers.begin(), this->settings.peers.end(), [](const PeerSettings &peer) {
        return peer.role == ProcessRole::Front;
    }));
}

Asio::awaitable<std::vector<BootstrapReport>> ControlProcess::queryIdentities()
{
    std::vector<BootstrapReport> reports;
    for (auto &[name, link] : this->controlLinks) {
        Wire::Envelope request;
        Wire::IdentityRequest identityRequest;
        identityRequest.instance = this->settings.instance;
        request.__set_identityRequest(identityRequest);
        Result<Wire::Envelope> reply = co_await link->call(std::move(request), identityTimeout);
        if (reply && reply.value().__isset.identityReply) {
            const Wire::IdentityReply &identity = reply.value().identityReply;
            reports.push_back(
                BootstrapReport{.instance = name, .identity = static_cast<MemberId>(identity.identity), .hasHistory = !identity.empty});
        }
    }
    co_return reports;
}

Asio::awaitable<Result<BootstrapPlan>> ControlProcess::waitForBootstrapPlan()
{
    BootstrapOptions options{.self = this->settings.instance, .newInstallation = this->settings.bootstrap};
    for (const PeerSettings &peer : this->settings.peers) {
        if (peer.role == ProcessRole::Control) {
            options.initialVoters.push_back(peer.instance);
        }
    }
    std::sort(options.initialVoters.begin(), options.initialVoters.end());
    const BootstrapReport own{
        .instance = this->settings.instance, .identity = this->log->identity(), .hasHistory = this->log->hasHistory()};
    for (;;) {
        const std::vector<BootstrapReport> reports = co_await this->queryIdentities();
        Result<BootstrapPlan> plan = planBootstrap(options, own, reports);
        if (!plan || plan.value().step != BootstrapStep::Wait || this->stopping) {
            co_return plan;
        }
        co_await this->pause(bootstrapRetryInterval);
    }
}

Asio::awaitable<void> ControlProcess::run()
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
    Status status = this->log->start(initialMembership);
    if (!status) {
        logger.error("this member can't start: " + status.error().message());
        co_return;
    }
    this->started = true;
    logger.info("member " + std::to_string(this->log->identity()) + " started");
    Asio::co_spawn(
        this->executor, [self = this->shared_from_this()] { return self->joinLoop(); }, Asio::detached);
    Asio::co_spawn(
        this->executor, [self = this->shared_from_this()] { return self->repairLoop(); }, Asio::detached);
    Asio::co_spawn(
        this->executor, [self = this->shared_from_this()] { return self->advanceTimeLoop(); }, Asio::detached);
}

void ControlProcess::sendRaft(const InstanceName &instance, const RaftMessage &message)
{
    const auto found = this->controlLinks.find(instance);
    if (found == this->controlLinks.end()) {
        return;
    }
    auto request = std::make_shared<Wire::Envelope>();
    request->__set_raftMessage(encodeRaftMessage(message));
    Asio::co_spawn(
        this->executor,
        [link = found->second, request]() -> Asio::awaitable<void> {
            // Raft resends lost messages.
            static_cast<void>(co_await link->call(std::move(*request), raftCallTimeout));
        },
        Asio::detached);
}

Asio::awaitable<Wire::Envelope> ControlProcess::handleCall(InstanceName peer, Wire::Envelope request)
{
    Wire::Envelope reply;
    reply.__set_acknowledgement(Wire::Empty());
    if (request.__isset.identityRequest) {
        Wire::IdentityReply identity;
        identity.instance = this->settings.instance;
        identity.identity = static_cast<std::int64_t>(this->log->identity());
        identity.empty = !this->log->hasHistory();
        reply.__set_identityReply(identity);
        co_return reply;
    }
    if (!this->started) {
        if (request.__isset.proposeRequest || request.__isset.claimQuery) {
            Wire::ProposeReply refused;
            refused.status = Wire::ProposeStatus::NotLeader;
            reply.__set_proposeReply(refused);
        }
        co_return reply;
    }
    if (request.__isset.raftMessage) {
        Result<RaftMessage> message = decodeRaftMessage(request.raftMessage);
        if (message) {
            this->log->receive(peer, std::move(message.value()));
        }
    } else if (request.__isset.controlPoll) {
        reply.__set_controlPollReply(co_await this->handlePoll(request.controlPoll));
    } else if (request.__isset.proposeRequest) {
        reply.__set_proposeReply(co_await this->handlePropose(request.proposeRequest));
    } else if (request.__isset.claimQuery) {
        reply.__set_proposeReply(co_await this->handleClaimQuery(request.claimQuery));
    } else if (request.__isset.controlStatusRequest) {
        reply.__set_controlStatusReply(co_await this->handleStatus(request.controlStatusRequest));
    } else if (request.__isset.memberChangeRequest) {
        reply.__set_memberChangeReply(co_await this->handleMemberChange(request.memberChangeRequest));
    }
    co_return reply;
}

Asio::awaitable<Wire::ControlPollReply> ControlProcess::handlePoll(const Wire::ControlPoll &poll)
{
    {
        const std::lock_guard lock(this->frontsMutex);
        this->fronts[poll.instance] = FrontReport{.revision = static_cast<std::uint64_t>(poll.revision),
                                                  .configurationNumber = static_cast<std::uint64_t>(poll.configurationNumber),
                                                  .draining = poll.draining,
                                                  .reportedAt = MonotonicClock::now()};
    }
    const Result<void> confirmed = co_await this->log->confirmRead();
    const LogStatus status = co_await this->log->status();
    Wire::ControlPollReply reply;
    reply.confirmed = confirmed.has_value();
    reply.leader = status.leaderInstance;
    reply.term = static_cast<std::int64_t>(status.term);
    reply.revision = 0;
    if (!confirmed) {
        // An unconfirmed state may be stale, so it isn't sent.
        co_return reply;
    }
    const std::shared_ptr<const ControlView> view = co_await this->log->inspect(viewOf);
    reply.revision = static_cast<std::int64_t>(view->revision);
    if (view->revision > static_cast<std::uint64_t>(poll.revision)) {
        reply.__set_view(encodeControlView(*view));
    }
    co_return reply;
}

Asio::awaitable<Wire::ProposeReply> ControlProcess::failureReply(const Error &error)
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
    const LogStatus status = co_await this->log->status();
    reply.leader = status.leaderInstance;
    co_return reply;
}

// Waits until a majority of the configured fronts reported the revision. Reports of any age count: a front that restarts
// after its report counts as a holder again only after the control leader or a majority of other holders confirmed its
// view, and fewer than a majority of the fronts never held this revision.
Asio::awaitable<bool> ControlProcess::waitForFrontMajority(std::uint64_t revision)
{
    const TimePoint expiry = MonotonicClock::now() + frontMajorityTimeout;
    while (MonotonicClock::now() < expiry) {
        {
            const std::lock_guard lock(this->frontsMutex);
            const auto holders = static_cast<std::size_t>(std::count_if(
                this->fronts.begin(), this->fronts.end(), [&](const auto &entry) { return entry.second.revision >= revision; }));
            if (holders > this->configuredFrontCount() / 2) {
                co_return true;
            }
        }
        co_await this->pause(frontCheckInterval);
    }
    co_return false;
}

Asio::awaitable<Wire::ProposeReply> ControlProcess::handlePropose(const Wire::ProposeRequest &request)
{
    Result<ControlCommand> command = decodeControlCommand(request.command);
    if (!command || !isValidCommand(command.value())) {
        Wire::ProposeReply reply;
        reply.status = Wire::ProposeStatus::Malformed;
        co_return reply;
    }
    Result<AppliedCommand> applied = co_await this->log->propose(request.command);
    if (!applied) {
        co_return co_await this->failureReply(applied.error());
    }
    Wire::ProposeReply reply = replyFor(applied.value());
    if (request.waitForFronts) {
        reply.__set_heldByFronts(co_await this->waitForFrontMajority(applied.value().revision));
    }
    co_return reply;
}

Asio::awaitable<Wire::ProposeReply> ControlProcess::handleClaimQuery(const Wire::ClaimQuery &query)
{
    const Result<void> confirmed = co_await this->log->confirmRead();
    if (!confirmed) {
        co_return co_await this->failureReply(confirmed.error());
    }
    const auto findClaim = [id = query.id](const ControlState &state) {
        Wire::ProposeReply reply;
        reply.status = Wire::ProposeStatus::Done;
        if (const Claim *claim = state.claims().find(id)) {
            reply.__set_claimState(static_cast<std::int32_t>(claim->state));
            reply.__set_answer(claim->answer);
        } else if (state.claims().expired(id)) {
            reply.__set_verdict(static_cast<std::int32_t>(ClaimVerdict::Expired));
        }
        return reply;
    };
    co_return co_await this->log->inspect(findClaim);
}

Asio::awaitable<Wire::ControlStatusReply> ControlProcess::handleStatus(const Wire::ControlStatusRequest &request)
{
    const LogStatus status = co_await this->log->status();
    const auto listHistory = [request](const ControlState &state) {
        Wire::ControlStatusReply partial;
        const ConfigurationHistory &history = state.history();
        partial.newestNumber = static_cast<std::int64_t>(history.newestNumber());
        const auto from = std::max<std::uint64_t>(static_cast<std::uint64_t>(request.historyFrom), history.oldestRetainedNumber());
        for (std::uint64_t number = std::max<std::uint64_t>(from, 1);
             number <= history.newestNumber() && partial.history.size() < static_cast<std::size_t>(request.historyLimit);
             ++number) {
            Wire::HistoryEntry entry;
            entry.number = static_cast<std::int64_t>(number);
            entry.digest = history.digestOf(number);
            partial.history.push_back(entry);
        }
        return partial;
    };
    Wire::ControlStatusReply reply = co_await this->log->inspect(listHistory);
    reply.instance = this->settings.instance;
    reply.leader = status.leaderInstance;
    reply.term = static_cast<std::int64_t>(status.term);
    reply.commitIndex = static_cast<std::int64_t>(status.commitIndex);
    reply.lastIndex = static_cast<std::int64_t>(status.lastIndex);
    reply.identity = static_cast<std::int64_t>(status.identity);
    for (const Member &member : status.membership.members) {
        Wire::MemberStatus wire;
        wire.id = static_cast<std::int64_t>(member.id);
        wire.instance = member.instance;
        wire.voter = member.voter;
        wire.matchIndex = static_cast<std::int64_t>(status.matchIndexes.at(member.id));
        reply.members.push_back(wire);
    }
    const std::lock_guard lock(this->frontsMutex);
    for (const auto &[name, report] : this->fronts) {
        Wire::FrontStatus wire;
        wire.instance = name;
        wire.revision = static_cast<std::int64_t>(report.revision);
        wire.configurationNumber = static_cast<std::int64_t>(report.configurationNumber);
        wire.draining = report.draining;
        wire.ageMs = toMilliseconds(MonotonicClock::now() - report.reportedAt).count();
        reply.fronts.push_back(wire);
    }
    co_return reply;
}

Asio::awaitable<Wire::MemberChangeReply> ControlProcess::handleMemberChange(const Wire::MemberChangeRequest &request)
{
    const LogStatus status = co_await this->log->status();
    Wire::MemberChangeReply reply;
    reply.leader = status.leaderInstance;
    Membership next = status.membership;
    const auto id = static_cast<MemberId>(request.id);
    const auto found = std::find_if(next.members.begin(), next.members.end(), [&](const Member &member) { return member.id == id; });
    const bool known = found != next.members.end();
    if (request.action == Wire::MemberAction::AddLearner && !known) {
        next.members.push_back(Member{.id = id, .instance = request.instance, .voter = false});
    } else if (request.action == Wire::MemberAction::Promote && known) {
        found->voter = true;
    } else if (request.action == Wire::MemberAction::Remove && known) {
        next.members.erase(found);
    }
    if (status.role != RaftRole::Leader) {
        reply.status = Wire::ProposeStatus::NotLeader;
        co_return reply;
    }
    if (next == status.membership) {
        reply.status = Wire::ProposeStatus::Malformed;
        reply.message = "the member list wouldn't change; check the member's id with `galenawell members`";
        co_return reply;
    }
    const Result<void> changed = co_await this->log->proposeMembership(std::move(next));
    reply.status = changed ? Wire::ProposeStatus::Done : Wire::ProposeStatus::NoQuorum;
    if (!changed) {
        reply.message = changed.error().message();
    }
    co_return reply;
}

Asio::awaitable<void> ControlProcess::joinLoop()
{
    while (!this->stopping) {
        co_await this->pause(membershipCheckInterval);
        const LogStatus status = co_await this->log->status();
        const auto &members = status.membership.members;
        const bool known = std::any_of(members.begin(), members.end(), [&](const Member &member) { return member.id == status.identity; });
        if (known) {
            continue;
        }
        for (auto &[name, link] : this->controlLinks) {
            Wire::Envelope request;
            Wire::MemberChangeRequest change;
            change.action = Wire::MemberAction::AddLearner;
            change.id = static_cast<std::int64_t>(status.identity);
            change.instance = this->settings.instance;
            request.__set_memberChangeRequest(change);
            Result<Wire::Envelope> reply = co_await link->call(std::move(request), raftCallTimeout);
            if (reply && reply.value().__isset.memberChangeReply && reply.value().memberChangeReply.status == Wire::ProposeStatus::Done) {
                logger.info("joined the log as a learner");
                break;
            }
        }
    }
}

Asio::awaitable<void> ControlProcess::repairLoop()
{
    while (!this->stopping) {
        co_await this->pause(membershipCheckInterval);
        const LogStatus status = co_await this->log->status();
        this->metrics->set(GaugeName::IsLeader, status.role == RaftRole::Leader ? 1 : 0);
        this->metrics->set(GaugeName::CommitIndex, static_cast<double>(status.commitIndex));
        this->metrics->set(GaugeName::LogBytes, static_cast<double>(status.bytesOnDisk));
        if (status.role != RaftRole::Leader) {
            continue;
        }
        for (const Member &member : status.membership.members) {
            const bool caughtUp = status.matchIndexes.at(member.id) >= status.commitIndex;
            std::optional<Membership> next = member.voter ? std::nullopt : nextReplacementStep(status.membership, member, caughtUp);
            if (!next) {
                continue;
            }
            logger.info("proposing the next step of the repair of " + member.instance + "; the repair ends when it is a voter");
            const Result<void> changed = co_await this->log->proposeMembership(std::move(*next));
            if (!changed) {
                logger.warn("a membership change failed: " + changed.error().message());
            }
            break;
        }
    }
}

Asio::awaitable<void> ControlProcess::advanceTimeLoop()
{
    while (!this->stopping) {
        co_await this->pause(advanceTimeInterval);
        const LogStatus status = co_await this->log->status();
        const std::size_t claims = co_await this->log->inspect(claimCountOf);
        this->metrics->set(GaugeName::Claims, static_cast<double>(claims));
        if (status.role != RaftRole::Leader || claims == 0) {
            continue;
        }
        const std::shared_ptr<const ControlView> view = co_await this->log->inspect(viewOf);
        ClaimOptions options;
        const nlohmann::json document = nlohmann::json::parse(view->configurationContent, nullptr, false);
        if (document.is_object()) {
            if (const Result<Configuration> configuration = parseConfiguration(document)) {
                options = configuration.value().claims;
            }
        }
        const WallTime now = wallNow();
        std::string command = encodeControlCommand(AdvanceTime{.now = now, .watermark = now - options.retention});
        // A failed proposal is repeated in the next round.
        static_cast<void>(co_await this->log->propose(std::move(command)));
    }
}

Asio::awaitable<HttpResponse> ControlProcess::handleHttp(HttpRequest request)
{
    if (request.path == "/metrics") {
        this->metrics->raiseCounterTo(CounterName::PeerMessages, static_cast<double>(this->traffic->messages));
        this->metrics->raiseCounterTo(CounterName::PeerBytes, static_cast<double>(this->traffic->bytes));
        co_return HttpResponse{.contentType = "text/plain; version=0.0.4", .body = this->metrics->serialise()};
    }
    if (request.path == "/healthz") {
        co_return HttpResponse{.body = R"({"alive":true})"};
    }
    if (request.path == "/readyz") {
        bool ready = false;
        if (this->started) {
            const LogStatus status = co_await this->log->status();
            ready = status.leader != 0;
        }
        co_return HttpResponse{.status = ready ? 200U : 503U, .body = ready ? R"({"ready":true})" : R"({"ready":false})"};
    }
    this->metrics->countRefusal(RefusalReason::UnknownPath);
    co_return HttpResponse{.status = textFor(RefusalReason::UnknownPath).httpStatus,
                           .body = R"({"error":"unknown path","remedy":"operators' commands go to a front"})"};
}

} // namespace Galenawell
