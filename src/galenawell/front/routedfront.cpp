#include "galenawell/front/routedfront.h"

#include "galenawell/core/endpoint.h"
#include "galenawell/core/incarnation.h"
#include "galenawell/front/limitevent.h"
#include "galenawell/front/registrycodec.h"
#include "galenawell/query/recordmerger.h"
#include "galenawell/telemetry/log.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Galenawell {

namespace {

const Log logger("front");

constexpr std::chrono::milliseconds tickInterval{100};
// Short compared with the idle timeout of connections.
constexpr std::chrono::milliseconds closeIdleInterval{500};
constexpr std::chrono::milliseconds limitReviewInterval{1000};
constexpr std::chrono::milliseconds limitReportInterval{50};
// Limited servers with a log line at each review, those with the largest need.
constexpr std::size_t maximumLoggedLimits = 10;
// After this time without a reply from any control process, records no longer expire. Less than any lease, so that no
// record expires because of lost contact.
constexpr std::chrono::milliseconds controlContactTimeout{1300};
constexpr std::chrono::milliseconds frontCountStability{2000};
// How long control processes may delay their replies. Fronts that carry no traffic report less often.
constexpr std::chrono::milliseconds entryPollWait{500};
constexpr std::chrono::milliseconds standbyPollWait{1000};
// A new sample has the weight 1/8 in the moving average of the event loop's delay.
constexpr int loopDelayDivisor = 8;
// Reserved within objectives and deadlines for encoding and sending the answer.
constexpr std::chrono::milliseconds answerReserve{15};
// Retry-After of refusals for lack of a server or an in-flight slot: within this time, servers renew their announcements
// and queues drain.
constexpr std::chrono::milliseconds retryAfterRefusal{120};
// Retry-After of a front that shuts down; the others can serve the request now.
constexpr std::chrono::milliseconds retryAfterShutdown{10};
// Retry-After of a front without a configuration, which has just started, probably together with all others.
constexpr std::chrono::milliseconds retryAfterStart{400};
// Time without requests, after the cached directory entries have expired, until the callers count as gone.
constexpr std::chrono::milliseconds quietPeriod{700};
constexpr std::chrono::milliseconds shutdownPollInterval{50};
// Servers stall occasionally, so only subrequests far above the usual latency are hedged.
constexpr HedgeOptions hedgeOptions{.enabled = true,
                                    .budgetPercent = 0,
                                    .quantile = 0.90,
                                    .minimumDelay = std::chrono::milliseconds(5),
                                    .minimumSamples = 100};
// Without a latency estimate, a hedge is sent after this fraction of the latency objective; the rest is left for its reply.
constexpr int initialDelayDivisor = 2;
// State of a scatter-gather request for each of its groups.
constexpr std::size_t bytesPerGroup = 1024;

} // namespace

RoutedFront::RoutedFront(Asio::any_io_executor ioExecutor,
                         NodeSettings nodeSettings,
                         std::shared_ptr<const RequestCodec> requestCodec,
                         ReadConfiguration configurationReader,
                         std::shared_ptr<Metrics> sharedMetrics,
                         std::shared_ptr<EventLog> eventLog)
    : executor(std::move(ioExecutor))
    , settings(std::move(nodeSettings))
    , codec(std::move(requestCodec))
    , readConfiguration(std::move(configurationReader))
    , metrics(std::move(sharedMetrics))
    , events(std::move(eventLog))
    , traffic(std::make_shared<PeerTraffic>())
    , callerMemory(std::make_shared<RequestMemory>(this->settings.requestMemoryBytes))
    , client(this->executor, BackendClientOptions{.reconnectAfterCancel = false, .replyMemoryBytes = this->settings.replyMemoryBytes})
    , incarnation(newIncarnation())
    , registry(RegistryOptions{.self = this->settings.peerName(), .incarnation = this->incarnation, .lease = this->settings.serverLease()})
    , tables(RouteTableOptions{.location = {.instance = this->settings.instance, .dataCentre = this->settings.dataCentre},
                               .hedge = hedgeOptions,
                               .extraLoadPercent = this->settings.extraLoadPercent,
                               .extraLoadSlack = this->settings.extraLoadSlack,
                               .extraLoadWindow = this->settings.extraLoadWindow})
    , configuration(std::make_shared<RouteConfiguration>())
    , table(std::make_shared<RoutingTable>())
    , sharingFronts(frontCountStability)
    , splits(std::random_device{}())
    , nextSeed(std::random_device{}())
{
}

Status RoutedFront::start()
{
    const auto self = this->shared_from_this();
    this->subscriptions = std::make_shared<ControlSubscriptions>(
        this->executor,
        ControlSubscriptionsOptions{.self = this->settings.peerName(), .peerKey = this->settings.peerKey},
        this->traffic,
        [self](const InstanceName &control) { return self->subscriptionFor(control); },
        [self](const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint requestedAt) {
            self->handleReply(control, reply, requestedAt);
        });
    this->callerServer = std::make_shared<HttpServer>(
        this->executor,
        HttpServerOptions{.address = *this->settings.callerAddress,
                          .maximumConnections = this->settings.maximumConnections,
                          .memory = this->callerMemory,
                          .fractionalRetryAfter = true},
        [self](HttpRequest request) { return self->handle(std::move(request)); },
        [self](RefusalReason reason, const std::string &) {
            self->metrics->countRefusal(reason);
            return self->codec->encodeRefusal(Refusal{.reason = reason, .execution = Execution::NotRun, .retryAfter = retryAfterRefusal});
        });
    this->callerServer->start();
    this->subscriptions->addSeeds(this->settings.seedNames());
    Asio::co_spawn(
        this->executor, [self] { return self->tickLoop(); }, Asio::detached);
    return boost::outcome_v2::success();
}

void RoutedFront::reload(const NodeSettings &newSettings)
{
    this->settings.seeds = newSettings.seeds;
    this->subscriptions->addSeeds(this->settings.seedNames());
}

bool RoutedFront::ready() const
{
    return this->revision > 0 && this->configuration->number() > 0 && !this->drainPolicy;
}

std::shared_ptr<RequestMemory> RoutedFront::requestMemory() const
{
    return this->callerMemory;
}

Asio::awaitable<void> RoutedFront::pause(std::chrono::milliseconds duration)
{
    Asio::steady_timer timer(this->executor, duration);
    co_await timer.async_wait(awaitResult);
}

Asio::awaitable<void> RoutedFront::shutdown()
{
    const TimePoint start = MonotonicClock::now();
    const DrainPolicy policy(start, this->settings.gracePeriod);
    this->drainPolicy = policy;
    this->subscriptions->sendUpdateToAll();
    this->callerServer->disableKeepAlive();
    const TimePoint earliest = start + this->settings.directoryCacheDuration + quietPeriod;
    TimePoint quietSince = start;
    while (MonotonicClock::now() < policy.acceptUntil()) {
        co_await this->pause(shutdownPollInterval);
        const TimePoint now = MonotonicClock::now();
        if (this->callerServer->inFlight() > 0) {
            quietSince = now;
        }
        if (now >= earliest && now - quietSince >= quietPeriod) {
            break;
        }
    }
    this->callerServer->stop();
    while (this->callerServer->inFlight() > 0 && MonotonicClock::now() < policy.answerUntil()) {
        co_await this->pause(shutdownPollInterval);
    }
    const std::set<std::shared_ptr<RoutedRun>> unfinished = this->activeRuns;
    for (const std::shared_ptr<RoutedRun> &run : unfinished) {
        run->expire();
    }
    while (this->callerServer->inFlight() > 0 && MonotonicClock::now() < policy.exitAt()) {
        co_await this->pause(shutdownPollInterval);
    }
    this->events->write(EventKind::State,
                        Event("drained")
                            .number("ended_early", static_cast<std::int64_t>(unfinished.size()))
                            .number("unanswered", static_cast<std::int64_t>(this->callerServer->inFlight()))
                            .milliseconds("after", MonotonicClock::now() - start));
    this->stopping = true;
    this->subscriptions->stop();
}

// ---- Requests

Asio::awaitable<HttpResponse> RoutedFront::handle(HttpRequest message)
{
    const std::shared_ptr<CallerConnection> caller = message.caller;
    const std::shared_ptr<RequestMemoryHolder> memory = message.memory;
    const auto request = std::make_shared<const RoutedRequest>(this->codec->decodeRequest(std::move(message)));
    this->metrics->count(CounterName::QueriesReceived);
    HttpResponse response = co_await this->serve(request, caller, memory);
    co_return response;
}

Asio::awaitable<HttpResponse> RoutedFront::serve(std::shared_ptr<const RoutedRequest> request,
                                                 std::shared_ptr<CallerConnection> caller,
                                                 std::shared_ptr<RequestMemoryHolder> memory)
{
    const std::shared_ptr<const RouteConfiguration> current = this->configuration;
    if (current->number() == 0) {
        co_return this->refuse(
            *request, Refusal{.reason = RefusalReason::NoConfiguration, .execution = Execution::NotRun, .retryAfter = retryAfterStart});
    }
    const Route *found = current->find(request->host, request->path);
    if (found == nullptr) {
        co_return this->refuse(*request, Refusal{.reason = RefusalReason::UnknownPath, .execution = Execution::NotRun, .retryAfter = {}});
    }
    if (request->id.empty()) {
        co_return this->refuse(*request,
                               Refusal{.reason = RefusalReason::MalformedRequest, .execution = Execution::NotRun, .retryAfter = {}});
    }
    const std::shared_ptr<const Route> route(current, found);
    ScatterOptions scatter = this->scatterOptionsFor(*request, *route);
    if (this->drainPolicy) {
        const DrainingRequest draining{
            .idempotent = route->idempotent, .latencyObjective = route->latencyObjective, .deadline = scatter.deadline};
        const std::optional<TimePoint> deadline = this->drainPolicy->deadlineFor(draining, MonotonicClock::now());
        if (!deadline) {
            co_return this->refuse(
                *request, Refusal{.reason = RefusalReason::ShuttingDown, .execution = Execution::NotRun, .retryAfter = retryAfterShutdown});
        }
        scatter.deadline = *deadline;
    }
    RoutedRunOptions options{.request = request,
                             .route = route,
                             .scatter = std::move(scatter),
                             .table = this->table,
                             .target = this->chooseTarget(*route),
                             .service = nullptr,
                             .policies = nullptr,
                             .seed = this->nextSeed++};
    options.service = options.table->findService(options.target);
    if (options.service == nullptr) {
        co_return this->refuse(
            *request, Refusal{.reason = RefusalReason::UnknownService, .execution = Execution::NotRun, .retryAfter = retryAfterRefusal});
    }
    if (!memory->tryAdd(route->groups.size() * bytesPerGroup)) {
        co_return this->refuse(
            *request,
            Refusal{.reason = RefusalReason::OutOfRequestMemory, .execution = Execution::NotRun, .retryAfter = retryAfterRefusal});
    }
    options.policies = options.service->groupPolicies.begin()->second;
    this->scatterCount += route->isScatterGather() ? 1 : 0;
    const auto run
        = std::make_shared<RoutedRun>(std::move(options),
                                      RoutedRunContext{.codec = this->codec.get(),
                                                       .client = &this->client,
                                                       .crashes = &this->crashes,
                                                       .limits = &this->tables.limits(),
                                                       .metrics = this->metrics.get(),
                                                       .events = this->events.get(),
                                                       .onLargeLimitChange = [this] { this->reportLimitChange(MonotonicClock::now()); }});
    caller->onClose([run] { run->cancel(); });
    this->activeRuns.insert(run);
    ScatterOutcome outcome = co_await run->run();
    this->activeRuns.erase(run);
    caller->onClose(nullptr);
    co_return this->completeRequest(*request, *route, std::move(outcome), run.get());
}

std::shared_ptr<HedgePolicy> RoutedFront::hedgeFor(const Route &route)
{
    std::shared_ptr<HedgePolicy> &policy = this->hedges[route.name];
    if (policy == nullptr) {
        HedgeOptions options = hedgeOptions;
        options.initialDelay = route.latencyObjective / initialDelayDivisor;
        policy = std::make_shared<HedgePolicy>(options);
    }
    return policy;
}

ScatterOptions RoutedFront::scatterOptionsFor(const RoutedRequest &request, const Route &route)
{
    const std::chrono::milliseconds timeLimit = std::min(request.timeLeft.value_or(route.timeout), route.timeout);
    ScatterOptions options{.requestId = request.id,
                           .priority = route.priority(),
                           .deadline = request.receivedAt + std::max(timeLimit - answerReserve, timeLimit / 2),
                           .selection = Selection::ThreeChoices,
                           .maximumExecutions = route.maximumExecutions,
                           .idempotent = route.idempotent,
                           .probesAfterLostConnection = false,
                           .hedge = this->hedgeFor(route),
                           .usesPreferredReplicas = true};
    options.latestPauseEnd = std::min<TimePoint>(options.deadline, request.receivedAt + route.latencyObjective);
    if (!route.isScatterGather()) {
        options.makeCollector = [](const PartitionMap &) { return std::make_unique<ForwardedReplyCollector>(); };
        return options;
    }
    options.minimumGroups = route.minimumGroups();
    options.softDeadline = request.receivedAt + std::max(route.latencyObjective - answerReserve, route.latencyObjective / 2);
    options.makeCollector = [limit = route.recordLimit](const PartitionMap &map) { return std::make_unique<RecordMerger>(map, limit); };
    return options;
}

std::string RoutedFront::chooseTarget(const Route &route)
{
    return route.isScatterGather() ? RouteTables::tableName(route.groups) : RouteTables::tableName(this->splits.choose(route));
}

HttpResponse RoutedFront::refuse(const RoutedRequest &request, const Refusal &refusal)
{
    this->metrics->countRefusal(refusal.reason);
    if (this->events->shouldLog(EventKind::Refusal)) {
        this->events->write(EventKind::Refusal,
                            Event("refused")
                                .text("request", request.id)
                                .text("host", request.host)
                                .text("path", request.path)
                                .text("reason", toString(refusal.reason))
                                .text("execution", toString(refusal.execution))
                                .number("configuration", static_cast<std::int64_t>(this->configuration->number()))
                                .milliseconds("after", MonotonicClock::now() - request.receivedAt));
    }
    return this->codec->encodeRefusal(refusal);
}

HttpResponse RoutedFront::completeRequest(const RoutedRequest &request, const Route &route, ScatterOutcome outcome, const RoutedRun *run)
{
    if (outcome.refusal) {
        const bool notRun = outcome.execution == Execution::NotRun;
        Refusal refusal{.reason = *outcome.refusal, .execution = outcome.execution, .retryAfter = {}};
        if (notRun) {
            const Duration pause = outcome.pausedUntil.value_or(TimePoint()) - MonotonicClock::now();
            refusal.retryAfter = std::max(retryAfterRefusal, toMilliseconds(pause));
        }
        return this->refuse(request, refusal);
    }
    const Duration elapsed = MonotonicClock::now() - request.receivedAt;
    const Coverage coverage = outcome.answer->coverage;
    this->metrics->observeLatency(route.priority(), std::chrono::duration_cast<std::chrono::microseconds>(elapsed));
    this->metrics->count(coverage.complete() ? CounterName::AnswersComplete : CounterName::AnswersPartial);
    const bool impaired = !coverage.complete() || elapsed > route.latencyObjective;
    const EventKind kind = impaired ? EventKind::ImpairedAnswer : EventKind::Answer;
    if (this->events->shouldLog(kind)) {
        Event event("answered");
        event.text("request", request.id)
            .text("route", route.name)
            .number("groups", static_cast<std::int64_t>(coverage.total))
            .number("answered", static_cast<std::int64_t>(coverage.answered))
            .number("sends", static_cast<std::int64_t>(run->sends()))
            .number("hedges", static_cast<std::int64_t>(run->hedges()))
            .number("configuration", static_cast<std::int64_t>(this->configuration->number()))
            .milliseconds("after", elapsed)
            .milliseconds("objective", route.latencyObjective);
        if (!coverage.missing.empty()) {
            event.text("first_missing", coverage.missing.front());
        }
        if (!route.isScatterGather()) {
            event.text("service", run->target());
        }
        this->events->write(kind, event);
    }
    return this->codec->encodeAnswer(route, std::move(*outcome.answer));
}

// ---- Control state and backend servers

Wire::Subscription RoutedFront::subscriptionFor(const InstanceName &control)
{
    Wire::Subscription subscription;
    subscription.instance = this->settings.peerName();
    subscription.incarnation = static_cast<std::int64_t>(this->incarnation);
    subscription.front = true;
    subscription.accepting = this->ready();
    subscription.callerAddress = toString(*this->settings.callerAddress);
    subscription.dataCentre = this->settings.dataCentre;
    subscription.revision = static_cast<std::int64_t>(this->revision);
    const auto [originIncarnation, through] = this->registry.replicationPosition(control);
    subscription.registryIncarnation = static_cast<std::int64_t>(originIncarnation);
    subscription.registryThrough = static_cast<std::int64_t>(through);
    const TimePoint now = MonotonicClock::now();
    ControlPeer &peer = this->controls[control];
    subscription.impairedVersion = peer.impairedVersion;
    const ServerImpairmentCounts impairments = this->tables.takeUnreportedImpairments(peer.reported);
    subscription.__set_outliers(impairments.outliers);
    subscription.__set_failures(impairments.failures);
    subscription.__set_scatters(
        static_cast<std::int32_t>(this->scatterCount - std::exchange(peer.reportedScatterCount, this->scatterCount)));
    subscription.__set_loopDelay(static_cast<std::int32_t>(this->loopDelay.count()));
    subscription.__set_acceptsPatch(!this->needsWholeView);
    subscription.__set_wantsView(this->viewSources.wantsView(control, now));
    if (const std::optional<std::uint64_t> known = this->viewSources.notifyAbove(control)) {
        subscription.__set_notifyAbove(static_cast<std::int64_t>(*known));
    }
    this->addCrashReport(peer, subscription);
    this->addLimitReport(control, subscription, now);
    return subscription;
}

void RoutedFront::addLimitReport(const InstanceName &control, Wire::Subscription &subscription, TimePoint now)
{
    const ControlPeer &peer = this->controls[control];
    subscription.__set_limitsThrough(peer.limitsThrough);
    for (const LimitReport &report : this->tables.limits().reportFor(control, peer.limitReport, now)) {
        subscription.limits.push_back(toMessage(report));
    }
    subscription.__isset.limits = !subscription.limits.empty();
    if (subscription.__isset.limits) {
        subscription.__set_limitReport(static_cast<std::int64_t>(this->tables.limits().newestChange()));
    }
}

void RoutedFront::updateLimits(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint requestedAt, TimePoint now)
{
    ControlPeer &peer = this->controls[control];
    if (reply.__isset.limitReport) {
        peer.limitReport = std::max(peer.limitReport, static_cast<std::uint64_t>(reply.limitReport));
    }
    ServerLimits &limits = this->tables.limits();
    for (const Wire::LimitStatementMessage &message : reply.limits) {
        const LimitStatement statement = fromMessage(message);
        if (limits.learn(statement, now)) {
            this->events->write(EventKind::State, limitEvent(statement).text("control", control));
        }
    }
    if (reply.__isset.limitsThrough) {
        peer.limitsThrough = std::max(peer.limitsThrough, reply.limitsThrough);
    }
    for (const Wire::LimitGrantMessage &message : reply.grants) {
        const LimitGrant grant = fromMessage(message);
        // The subscription was received after it was sent, so grants end too early here rather than too late.
        limits.grant(grant, control, requestedAt + grant.lifetime, now);
        this->metrics->count(CounterName::GrantedRequests, grant.requests);
    }
}

void RoutedFront::reportLimitChange(TimePoint now)
{
    this->limitReportDue = now - this->limitsReportedAt < limitReportInterval;
    if (!this->limitReportDue) {
        this->limitsReportedAt = now;
        this->subscriptions->sendUpdateToAll();
    }
}

void RoutedFront::addCrashReport(const ControlPeer &peer, Wire::Subscription &subscription) const
{
    subscription.__set_suspectsVersion(peer.suspectsVersion);
    if (peer.crashReport == this->crashes.reportNumber()) {
        return;
    }
    const CrashReport report = this->crashes.report(peer.crashReport);
    subscription.__set_crashReport(static_cast<std::int64_t>(report.number));
    for (const CrashEvidence &evidence : report.evidence) {
        subscription.crashes.push_back(toMessage(evidence));
    }
    subscription.__isset.crashes = true;
    subscription.__set_clearedContents(report.cleared);
}

void RoutedFront::updateControlRun(ControlPeer &peer, const Wire::SubscriptionReply &reply) const
{
    if (peer.incarnation != reply.incarnation) {
        peer.incarnation = reply.incarnation;
        peer.crashReport = 0;
        peer.suspectsVersion = 0;
        peer.limitReport = 0;
        peer.limitsThrough = 0;
    }
}

void RoutedFront::updateSuspects(const InstanceName &control, const Wire::SubscriptionReply &reply)
{
    ControlPeer &peer = this->controls[control];
    if (reply.__isset.crashReport) {
        peer.crashReport = std::max(peer.crashReport, static_cast<std::uint64_t>(reply.crashReport));
    }
    if (reply.__isset.suspects && reply.__isset.suspectsVersion) {
        peer.suspectsVersion = reply.suspectsVersion;
        this->crashes.setSuspects(control, reply.suspects);
        this->metrics->set(GaugeName::SuspectContents, static_cast<double>(this->crashes.suspectCount()));
    }
}

void RoutedFront::chooseViewSource(TimePoint now)
{
    std::vector<InstanceName> responding = this->subscriptions->respondedWithin(controlContactTimeout, now);
    const auto cost = [this](const InstanceName &name) {
        // The hash distributes fronts over equally near control processes.
        return std::pair(this->controls[name].dataCentre != this->settings.dataCentre,
                         std::hash<std::string>()(name + this->settings.instance));
    };
    std::ranges::sort(responding, std::less<>(), cost);
    std::vector<ViewCandidate> candidates;
    candidates.reserve(responding.size());
    for (const InstanceName &name : responding) {
        candidates.push_back({.control = name, .dataCentre = this->controls[name].dataCentre});
    }
    if (this->viewSources.choose(candidates) && !candidates.empty()) {
        // Only the source sends the list of impaired servers, so the last one known of the new source is out of date.
        this->controls[this->viewSources.source()].impairedVersion = 0;
    }
}

void RoutedFront::requestLateView(TimePoint now)
{
    const std::optional<InstanceName> control = this->viewSources.nextRequest(now);
    if (!control) {
        return;
    }
    this->metrics->count(CounterName::LateViewRequests);
    this->events->write(EventKind::State,
                        Event("view_requested")
                            .text("control", *control)
                            .text("late_source", this->viewSources.source())
                            .number("revision", static_cast<std::int64_t>(this->revision))
                            .number("newest_known", static_cast<std::int64_t>(this->viewSources.newestKnown()))
                            .milliseconds("behind", this->viewSources.behindFor(now).value_or(Duration(0))));
    this->subscriptions->sendUpdate(*control);
}

void RoutedFront::updateControlPeer(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint now)
{
    ControlPeer &peer = this->controls[control];
    peer.dataCentre = reply.dataCentre;
    peer.liveFronts = static_cast<std::size_t>(std::max(1, reply.liveFronts));
    peer.entryFronts.reset();
    if (reply.__isset.entryFronts) {
        peer.entryFronts = static_cast<std::size_t>(std::max(1, reply.entryFronts));
    }
    peer.listsThisFront = !reply.__isset.entry || reply.entry;
    if (reply.__isset.impaired && control == this->viewSources.source()) {
        peer.impairedVersion = reply.impairedVersion;
        this->tables.setImpaired(reply.impaired);
    }
    this->viewSources.onReport(control, static_cast<std::uint64_t>(reply.revision), now);
    this->chooseViewSource(now);
}

void RoutedFront::handleReply(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint requestedAt)
{
    const TimePoint now = MonotonicClock::now();
    if (this->controlContactSince == TimePoint()) {
        this->controlContactSince = now;
    }
    if (reply.__isset.laterRun && static_cast<Incarnation>(reply.laterRun) >= this->incarnation) {
        this->incarnation = static_cast<Incarnation>(reply.laterRun) + 1;
        logger.warn(control + " reports a later incarnation of this front, so the clock was set back; continuing as incarnation "
                    + std::to_string(this->incarnation));
    }
    const auto controlIncarnation = static_cast<Incarnation>(reply.incarnation);
    this->registry.renewOrigin(control, controlIncarnation, now);
    if (reply.__isset.registry) {
        const RegistryUpdate update = fromMessage(reply.registry, control, controlIncarnation);
        if (const std::optional<std::string> defects = describeDefects(update)) {
            logger.warn(*defects);
        }
        this->registry.applyUpdate(update, now);
        this->metrics->raiseCounterTo(CounterName::SupersededRecords, static_cast<double>(this->registry.supersededRecords()));
        this->rebuildNeeded = true;
    }
    this->updateControlPeer(control, reply, now);
    this->updateControlRun(this->controls[control], reply);
    this->updateSuspects(control, reply);
    this->updateLimits(control, reply, requestedAt, now);
    this->updateFrontCount(now);
    this->installEncoded(control, reply);
    this->requestLateView(now);
    if (this->rebuildNeeded && (this->configurationChanged || now - this->rebuiltAt >= tickInterval)) {
        this->rebuild();
    }
}

// Uses the highest count of all control processes in contact, because a higher one makes the shares smaller. A front that
// callers aren't given has few requests and takes the share that it would have if all fronts carried traffic.
void RoutedFront::updateFrontCount(TimePoint now)
{
    std::size_t live = 1;
    std::optional<std::size_t> entries;
    bool listed = false;
    for (const InstanceName &name : this->subscriptions->respondedWithin(controlContactTimeout, now)) {
        const ControlPeer &peer = this->controls[name];
        live = std::max(live, peer.liveFronts);
        if (peer.entryFronts) {
            entries = std::max(entries.value_or(1), *peer.entryFronts);
        }
        listed = listed || peer.listsThisFront;
    }
    this->subscriptions->setLongPollWait(listed ? entryPollWait : standbyPollWait);
    this->liveFronts = live;
    this->metrics->set(GaugeName::LiveFronts, static_cast<double>(live));
    this->entryCountKnown = this->entryCountKnown || entries;
    if (!entries && this->entryCountKnown) {
        // All control processes in contact have just started; the count they knew before still holds.
        return;
    }
    const std::size_t stableCount = this->sharingFronts.update(listed ? entries.value_or(live) : live, now);
    if (stableCount != this->frontCount) {
        this->frontCount = stableCount;
        this->metrics->set(GaugeName::SharingFronts, static_cast<double>(stableCount));
        this->events->write(EventKind::State,
                            Event("limits_divided")
                                .number("fronts", static_cast<std::int64_t>(stableCount))
                                .number("live", static_cast<std::int64_t>(live))
                                .milliseconds("loop_delay", this->loopDelay));
        this->rebuildNeeded = true;
    }
}

void RoutedFront::installEncoded(const InstanceName &control, const Wire::SubscriptionReply &reply)
{
    if (!reply.__isset.view && !reply.__isset.viewPatch) {
        return;
    }
    if (static_cast<std::uint64_t>(reply.revision) <= this->revision) {
        // Another reply brought this view first; a patch would need the view before it.
        return;
    }
    Result<std::string> encoded = reply.__isset.view ? Result<std::string>(reply.view) : this->viewBase.apply(reply.viewPatch);
    const Result<ControlView> view = encoded ? decodeControlView(encoded.value()) : Result<ControlView>(encoded.error());
    const bool neededWholeView = std::exchange(this->needsWholeView, !view);
    if (!view) {
        this->metrics->count(CounterName::ViewsRejected);
        logger.error("a control view from " + control + " cannot be decoded: " + view.error().message());
        if (!neededWholeView) {
            this->subscriptions->sendUpdate(control);
        }
        return;
    }
    if (view.value().revision > this->viewBase.revision()) {
        this->install(view.value(), control);
    }
    if (view.value().revision == this->revision) {
        this->viewBase.install(this->revision, std::move(encoded.value()));
    }
}

void RoutedFront::install(const ControlView &view, const InstanceName &control)
{
    if (view.revision <= this->revision || view.configurationNumber == 0) {
        return;
    }
    Result<RouteConfiguration> parsed = this->readConfiguration(view.configurationContent);
    if (!parsed) {
        // The control processes have validated it, so they run another version of the program.
        logger.error("configuration " + std::to_string(view.configurationNumber) + " is rejected: " + parsed.error().message());
        return;
    }
    const bool first = !this->ready();
    std::erase_if(this->hedges, [&candidate = parsed.value()](const auto &entry) {
        return std::ranges::find(candidate.routes(), entry.first, &Route::name) == candidate.routes().end();
    });
    this->splits.retain(parsed.value());
    this->revision = view.revision;
    this->configuration = std::make_shared<const RouteConfiguration>(std::move(parsed.value()));
    this->callerServer->setLimits(HttpLimits{.maximumHeaderBytes = this->configuration->limits().maximumHeaderBytes,
                                             .maximumBodyBytes = this->configuration->limits().maximumBodyBytes,
                                             .requestReadTimeout = this->configuration->limits().requestTimeout,
                                             .idleTimeout = this->configuration->limits().idleTimeout});
    this->rebuildNeeded = true;
    this->configurationChanged = true;
    const Duration delay = this->viewSources.behindFor(MonotonicClock::now()).value_or(Duration(0));
    this->viewSources.onInstalled(this->revision);
    this->metrics->observeViewDelay(std::chrono::duration_cast<std::chrono::microseconds>(delay));
    this->metrics->count(CounterName::ViewsApplied);
    this->metrics->set(GaugeName::Revision, static_cast<double>(view.revision));
    this->metrics->set(GaugeName::ConfigurationNumber, static_cast<double>(view.configurationNumber));
    this->events->write(EventKind::State,
                        Event("configuration_in_force")
                            .number("configuration", static_cast<std::int64_t>(view.configurationNumber))
                            .number("revision", static_cast<std::int64_t>(view.revision))
                            .number("routes", static_cast<std::int64_t>(this->configuration->routes().size()))
                            .text("control", control)
                            .text("source", this->viewSources.source())
                            .milliseconds("known_for", delay));
    if (first && this->ready()) {
        this->subscriptions->sendUpdateToAll();
    }
}

void RoutedFront::rebuild()
{
    this->rebuildNeeded = false;
    this->configurationChanged = false;
    this->rebuiltAt = MonotonicClock::now();
    const std::vector<BackendRecord> servers = usableServers(*this->configuration, this->registry.visible());
    this->table = this->tables.build(*this->configuration, servers, this->frontCount, this->revision, this->rebuiltAt);
    this->metrics->set(GaugeName::BackendServers, static_cast<double>(servers.size()));
    std::vector<std::string> addresses;
    addresses.reserve(servers.size());
    std::map<std::string, Incarnation> incarnations;
    for (const BackendRecord &server : servers) {
        addresses.push_back(server.key.address);
        incarnations.emplace(server.key.address, server.incarnation);
    }
    this->client.retain(addresses);
    if (const std::size_t crashed = this->crashes.onRegistered(incarnations, this->rebuiltAt); crashed > 0) {
        this->metrics->count(CounterName::CrashEvidence, static_cast<double>(crashed));
        this->events->write(EventKind::State, Event("crash_evidence").number("requests", static_cast<std::int64_t>(crashed)));
    }
}

void RoutedFront::reviewLimits(TimePoint now)
{
    if (now < this->reviewLimitsAt) {
        return;
    }
    this->reviewLimitsAt = now + limitReviewInterval;
    std::vector<LimitedServerUse> uses = this->tables.limits().takeUse(now);
    std::ranges::sort(uses, std::greater<>(), &LimitedServerUse::demand);
    this->metrics->set(GaugeName::LimitedServers, static_cast<double>(uses.size()));
    std::uint64_t left = 0;
    std::size_t logged = 0;
    for (const LimitedServerUse &use : uses) {
        left += use.left;
        this->metrics->count(CounterName::TurnedAwayByLimits, static_cast<double>(use.turnedAway));
        if (++logged > maximumLoggedLimits) {
            continue;
        }
        this->events->write(EventKind::Attempt,
                            Event("limited_server")
                                .text("server", use.server.address)
                                .real("per_second", use.rate.perSecond())
                                .real("demand", use.demand)
                                .number("sends", static_cast<std::int64_t>(use.sends))
                                .number("turned_away", static_cast<std::int64_t>(use.turnedAway))
                                .number("left", static_cast<std::int64_t>(use.left)));
    }
    this->metrics->set(GaugeName::GrantedRequestsLeft, static_cast<double>(left));
    this->tables.limits().expire(now);
}

Asio::awaitable<void> RoutedFront::tickLoop()
{
    while (!this->stopping) {
        const TimePoint due = MonotonicClock::now() + tickInterval;
        co_await this->pause(tickInterval);
        const TimePoint now = MonotonicClock::now();
        this->loopDelay += (std::chrono::duration_cast<std::chrono::microseconds>(now - due) - this->loopDelay) / loopDelayDivisor;
        if (now >= this->closeIdleAt) {
            this->closeIdleAt = now + closeIdleInterval;
            this->client.closeIdle(now);
        }
        if (this->client.replyMemoryShort()) {
            this->callerServer->closeStalledWriters();
        }
        this->requestLateView(now);
        this->crashes.expire(now);
        this->reviewLimits(now);
        if (this->limitReportDue) {
            this->reportLimitChange(now);
        }
        if (this->rebuildNeeded) {
            this->rebuild();
        }
        const bool inContact = now - this->subscriptions->lastReplyAt() <= controlContactTimeout;
        this->tables.limits().setContact(inContact, this->liveFronts, now);
        if (!inContact) {
            // Without control, the known servers are kept; failed ones are detected by requests.
            this->controlContactSince = TimePoint();
            continue;
        }
        const bool contactOutlastsLease
            = this->controlContactSince != TimePoint() && now - this->controlContactSince > this->settings.serverLease();
        if (contactOutlastsLease && this->registry.expire(now)) {
            this->rebuild();
        }
    }
}

} // namespace Galenawell
