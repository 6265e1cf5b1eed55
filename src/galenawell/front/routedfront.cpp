#include "galenawell/front/routedfront.h"

#include "galenawell/core/endpoint.h"
#include "galenawell/core/incarnation.h"
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
// Small beside the time for which an idle connection is kept.
constexpr std::chrono::milliseconds closeIdleInterval{500};
// Without any word of a control process for this long, contact counts as lost. Less than any lease, so that no record
// lapses for want of contact.
constexpr std::chrono::milliseconds contactGap{1300};
constexpr std::chrono::milliseconds shareStability{2000};
// A newer view that the usual source doesn't send within this time is asked for everywhere.
constexpr std::chrono::milliseconds viewPatience{250};
// The answer's way to the caller, and its writing; kept back from objectives and deadlines.
constexpr std::chrono::milliseconds answerReserve{15};
// A caller that is refused for lack of a server or a place may return after this time; servers renew their announcements
// and queues empty within it.
constexpr std::chrono::milliseconds returnAfter{120};
// A front without a configuration has just started, most likely with all others.
constexpr std::chrono::milliseconds returnToStarted{400};
// Callers keep the directory's answer for a while; from then on nobody new comes.
constexpr std::chrono::milliseconds quietBeforeEnd{700};
// Part of the grace period that is left for the end of the process itself.
constexpr std::chrono::milliseconds graceReserve{900};
constexpr std::chrono::milliseconds shutdownPoll{50};
// Learnt latencies of servers that stand still now and then: hedge what exceeds the usual by far.
constexpr HedgeOptions hedgeOptions{.enabled = true,
                                    .budgetPercent = 0,
                                    .quantile = 0.96,
                                    .minimumDelay = std::chrono::milliseconds(5),
                                    .minimumSamples = 100};
// Until the latencies of a route are known, a hedge still has most of the objective for its own reply.
constexpr int unlearntDivisor = 2;

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
    , client(this->executor, BackendClientOptions{.reconnectAfterCancel = false})
    , incarnation(newIncarnation())
    , registry(RegistryOptions{.self = this->settings.peerName(), .incarnation = this->incarnation, .lease = this->settings.serverLease()})
    , tables(RouteTableOptions{.place = {.instance = this->settings.instance, .dataCentre = this->settings.dataCentre},
                               .hedge = hedgeOptions,
                               .extraLoadPercent = this->settings.extraLoadPercent,
                               .extraLoadSlack = this->settings.extraLoadSlack})
    , plan(std::make_shared<RouteConfiguration>())
    , table(std::make_shared<RoutingTable>())
    , liveFronts(shareStability)
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
        [self](const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint askedAt) {
            self->handleReply(control, reply, askedAt);
        });
    this->callerServer = std::make_shared<HttpServer>(
        this->executor,
        HttpServerOptions{.address = *this->settings.callerAddress,
                          .maximumConnections = this->settings.maximumConnections,
                          .fractionalRetryAfter = true},
        [self](HttpRequest request) { return self->handle(std::move(request)); },
        [self](RefusalReason reason, const std::string &) {
            self->metrics->countRefusal(reason);
            return self->codec->encodeRefusal(Refusal{.reason = reason, .execution = Execution::NotRun, .retryAfter = returnAfter});
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
    return this->revision > 0 && this->plan->number() > 0 && !this->draining;
}

Asio::awaitable<void> RoutedFront::pause(std::chrono::milliseconds duration)
{
    Asio::steady_timer timer(this->executor, duration);
    co_await timer.async_wait(awaitResult);
}

Asio::awaitable<void> RoutedFront::shutdown()
{
    this->draining = true;
    this->subscriptions->sendUpdateToAll();
    this->callerServer->disableKeepAlive();
    const TimePoint end = MonotonicClock::now() + this->settings.gracePeriod - graceReserve;
    const TimePoint earliest = MonotonicClock::now() + this->settings.directoryKeep + quietBeforeEnd;
    TimePoint quietSince = MonotonicClock::now();
    while (MonotonicClock::now() < end) {
        co_await this->pause(shutdownPoll);
        const TimePoint now = MonotonicClock::now();
        if (this->callerServer->inFlight() > 0) {
            quietSince = now;
        }
        if (now >= earliest && now - quietSince >= quietBeforeEnd) {
            break;
        }
    }
    this->callerServer->stop();
    while (this->callerServer->inFlight() > 0 && MonotonicClock::now() < end + graceReserve) {
        co_await this->pause(shutdownPoll);
    }
    this->stopping = true;
    this->subscriptions->stop();
}

// ---- Requests

Asio::awaitable<HttpResponse> RoutedFront::handle(HttpRequest message)
{
    const std::shared_ptr<CallerConnection> caller = message.caller;
    const auto request = std::make_shared<const RoutedRequest>(this->codec->decodeRequest(std::move(message)));
    this->metrics->count(CounterName::QueriesReceived);
    HttpResponse response = co_await this->serve(request, caller);
    co_return response;
}

Asio::awaitable<HttpResponse> RoutedFront::serve(std::shared_ptr<const RoutedRequest> request, std::shared_ptr<CallerConnection> caller)
{
    const std::shared_ptr<const RouteConfiguration> current = this->plan;
    if (current->number() == 0) {
        co_return this->refuse(
            *request, Refusal{.reason = RefusalReason::NoConfiguration, .execution = Execution::NotRun, .retryAfter = returnToStarted});
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
    RoutedRunOptions options{.request = request,
                             .route = route,
                             .scatter = this->scatterOptionsFor(*request, *route),
                             .table = this->table,
                             .service = nullptr,
                             .policies = nullptr,
                             .seed = this->nextSeed++};
    const std::string target = route->isScatterGather() ? RouteTables::tableName(route->groups) : this->chooseTarget(*route);
    options.service = options.table->findService(target);
    if (options.service == nullptr) {
        co_return this->refuse(*request,
                               Refusal{.reason = RefusalReason::UnknownService, .execution = Execution::NotRun, .retryAfter = returnAfter});
    }
    options.policies = options.service->groupPolicies.begin()->second;
    this->scatters += route->isScatterGather() ? 1 : 0;
    const auto run = std::make_shared<RoutedRun>(
        std::move(options),
        RoutedRunServices{
            .codec = this->codec.get(), .client = &this->client, .metrics = this->metrics.get(), .events = this->events.get()});
    caller->onClose([run] { run->abandon(); });
    ScatterOutcome outcome = co_await run->run();
    caller->onClose(nullptr);
    co_return this->conclude(*request, *route, std::move(outcome), run.get());
}

std::shared_ptr<HedgePolicy> RoutedFront::hedgeFor(const Route &route)
{
    std::shared_ptr<HedgePolicy> &known = this->hedges[route.name];
    if (known == nullptr) {
        HedgeOptions options = hedgeOptions;
        options.initialDelay = route.latencyObjective / unlearntDivisor;
        known = std::make_shared<HedgePolicy>(options);
    }
    return known;
}

ScatterOptions RoutedFront::scatterOptionsFor(const RoutedRequest &request, const Route &route)
{
    const std::chrono::milliseconds wait = std::min(request.timeLeft.value_or(route.timeout), route.timeout);
    ScatterOptions options{.requestId = request.id,
                           .priority = route.priority(),
                           .deadline = request.receivedAt + std::max(wait - answerReserve, wait / 2),
                           .selection = Selection::ThreeChoices,
                           .maximumExecutions = route.maximumExecutions,
                           .idempotent = route.idempotent,
                           .probesAfterLostConnection = false,
                           .hedge = this->hedgeFor(route),
                           .usesPreferredReplicas = true};
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
    if (route.services.size() == 1) {
        return RouteTables::tableName(route.services.front().service);
    }
    // Each request adds its weights and takes from the richest, so every stretch of requests keeps the proportions.
    std::vector<double> &credit = this->credits[route.name];
    credit.resize(route.services.size(), 0.0);
    double total = 0;
    std::size_t richest = 0;
    for (std::size_t index = 0; index < credit.size(); ++index) {
        credit[index] += route.services[index].weight;
        total += route.services[index].weight;
        richest = credit[index] > credit[richest] ? index : richest;
    }
    credit[richest] -= total;
    return RouteTables::tableName(route.services[richest].service);
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
                                .number("configuration", static_cast<std::int64_t>(this->plan->number()))
                                .milliseconds("after", MonotonicClock::now() - request.receivedAt));
    }
    return this->codec->encodeRefusal(refusal);
}

HttpResponse RoutedFront::conclude(const RoutedRequest &request, const Route &route, ScatterOutcome outcome, const RoutedRun *run)
{
    if (outcome.refusal) {
        const bool notRun = outcome.execution == Execution::NotRun;
        Refusal refusal{.reason = *outcome.refusal, .execution = outcome.execution, .retryAfter = {}};
        if (notRun) {
            refusal.retryAfter = returnAfter;
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
            .number("configuration", static_cast<std::int64_t>(this->plan->number()))
            .milliseconds("after", elapsed)
            .milliseconds("objective", route.latencyObjective);
        if (!coverage.missing.empty()) {
            event.text("first_missing", coverage.missing.front());
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
    const auto [run, through] = this->registry.replicationPosition(control);
    subscription.registryIncarnation = static_cast<std::int64_t>(run);
    subscription.registryThrough = static_cast<std::int64_t>(through);
    const TimePoint now = MonotonicClock::now();
    ControlKnowledge &known = this->controls[control];
    subscription.impairedVersion = known.impairedVersion;
    const ServerTroubles troubles = this->tables.troublesBeyond(known.reported);
    subscription.__set_outliers(troubles.outliers);
    subscription.__set_failures(troubles.failures);
    subscription.__set_scatters(static_cast<std::int32_t>(this->scatters - std::exchange(known.reportedScatters, this->scatters)));
    subscription.__set_wantsView(this->wantsViewFrom(control, now));
    return subscription;
}

// Views are large and the same everywhere, so one control process sends them while it keeps up with the others.
bool RoutedFront::wantsViewFrom(const InstanceName &control, TimePoint now) const
{
    const bool lags = this->namedRevision > this->revision && now - this->namedAt > viewPatience;
    return this->revision == 0 || this->source.empty() || control == this->source || lags;
}

void RoutedFront::chooseSource(TimePoint now)
{
    const std::vector<InstanceName> heard = this->subscriptions->respondedWithin(contactGap, now);
    const auto cost = [this](const InstanceName &name) {
        // Among equally near ones, fronts spread over the control processes.
        return std::pair(this->controls[name].dataCentre != this->settings.dataCentre,
                         std::hash<std::string>()(name + this->settings.instance));
    };
    const auto nearest = std::ranges::min_element(heard, std::less<>(), cost);
    const InstanceName chosen = nearest == heard.end() ? InstanceName() : *nearest;
    if (chosen != this->source) {
        this->source = chosen;
        if (!chosen.empty()) {
            this->tables.setImpaired(this->controls[chosen].impaired);
        }
    }
}

void RoutedFront::learnFrom(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint now)
{
    ControlKnowledge &known = this->controls[control];
    known.dataCentre = reply.dataCentre;
    known.impairedVersion = reply.impairedVersion;
    if (reply.__isset.impaired) {
        known.impaired = reply.impaired;
        if (control == this->source) {
            this->tables.setImpaired(known.impaired);
        }
    }
    if (static_cast<std::uint64_t>(reply.revision) > this->namedRevision) {
        this->namedRevision = static_cast<std::uint64_t>(reply.revision);
        this->namedAt = now;
    }
    this->chooseSource(now);
}

void RoutedFront::handleReply(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint)
{
    const TimePoint now = MonotonicClock::now();
    if (this->contactSince == TimePoint()) {
        this->contactSince = now;
    }
    if (reply.__isset.laterRun && static_cast<Incarnation>(reply.laterRun) >= this->incarnation) {
        this->incarnation = static_cast<Incarnation>(reply.laterRun) + 1;
        logger.warn(control + " knows a later run of this front, so the clock was set back; it goes on as run "
                    + std::to_string(this->incarnation));
    }
    const auto run = static_cast<Incarnation>(reply.incarnation);
    this->registry.renewOrigin(control, run, now);
    if (reply.__isset.registry) {
        const Result<RegistryUpdate> update = fromMessage(reply.registry, control, run);
        if (update) {
            this->registry.applyUpdate(update.value(), now);
            this->rebuildNeeded = true;
        } else {
            logger.warn("a registry update of " + control + " can't be read: " + update.error().message());
        }
    }
    this->learnFrom(control, reply, now);
    const std::size_t counted = this->liveFronts.update(static_cast<std::size_t>(std::max(1, reply.liveFronts)), now);
    if (counted != this->frontCount) {
        this->frontCount = counted;
        this->metrics->set(GaugeName::LiveFronts, static_cast<double>(counted));
        this->rebuildNeeded = true;
    }
    if (reply.__isset.view) {
        const Result<ControlView> view = decodeControlView(reply.view);
        if (view) {
            this->install(view.value());
        } else {
            logger.error("a control view of " + control + " can't be read: " + view.error().message());
        }
    }
    if (this->rebuildNeeded && (this->planChanged || now - this->rebuiltAt >= tickInterval)) {
        this->rebuild();
    }
}

void RoutedFront::install(const ControlView &view)
{
    if (view.revision <= this->revision || view.configurationNumber == 0) {
        return;
    }
    Result<RouteConfiguration> parsed = this->readConfiguration(view.configurationContent);
    if (!parsed) {
        // The control processes check it before, so this is a difference between versions of the program.
        logger.error("configuration " + std::to_string(view.configurationNumber) + " can't be used: " + parsed.error().message());
        return;
    }
    const bool first = !this->ready();
    const auto isGone = [&plan = parsed.value()](const auto &entry) {
        return std::ranges::find(plan.routes(), entry.first, &Route::name) == plan.routes().end();
    };
    std::erase_if(this->hedges, isGone);
    std::erase_if(this->credits, isGone);
    this->revision = view.revision;
    this->plan = std::make_shared<const RouteConfiguration>(std::move(parsed.value()));
    this->callerServer->setLimits(HttpLimits{.maximumHeaderBytes = this->plan->limits().maximumHeaderBytes,
                                             .maximumBodyBytes = this->plan->limits().maximumBodyBytes,
                                             .requestReadTimeout = this->plan->limits().requestTimeout,
                                             .idleTimeout = this->plan->limits().idleTimeout});
    this->rebuildNeeded = true;
    this->planChanged = true;
    this->metrics->count(CounterName::ViewsApplied);
    this->metrics->set(GaugeName::Revision, static_cast<double>(view.revision));
    this->metrics->set(GaugeName::ConfigurationNumber, static_cast<double>(view.configurationNumber));
    this->events->write(EventKind::State,
                        Event("configuration_in_force")
                            .number("configuration", static_cast<std::int64_t>(view.configurationNumber))
                            .number("revision", static_cast<std::int64_t>(view.revision))
                            .number("routes", static_cast<std::int64_t>(this->plan->routes().size())));
    if (first && this->ready()) {
        this->subscriptions->sendUpdateToAll();
    }
}

void RoutedFront::rebuild()
{
    this->rebuildNeeded = false;
    this->planChanged = false;
    this->rebuiltAt = MonotonicClock::now();
    const std::vector<BackendRecord> servers = this->registry.visible();
    this->table = this->tables.build(*this->plan, servers, this->frontCount, this->revision, this->rebuiltAt);
    this->metrics->set(GaugeName::BackendServers, static_cast<double>(servers.size()));
    std::vector<std::string> addresses;
    addresses.reserve(servers.size());
    for (const BackendRecord &server : servers) {
        addresses.push_back(server.key.address);
    }
    this->client.retain(addresses);
}

Asio::awaitable<void> RoutedFront::tickLoop()
{
    while (!this->stopping) {
        co_await this->pause(tickInterval);
        const TimePoint now = MonotonicClock::now();
        if (now >= this->closeIdleAt) {
            this->closeIdleAt = now + closeIdleInterval;
            this->client.closeIdle(now);
        }
        if (this->rebuildNeeded) {
            this->rebuild();
        }
        if (now - this->subscriptions->lastReplyAt() > contactGap) {
            // Without control, the servers last known are kept: their own silence shows in requests.
            this->contactSince = TimePoint();
            continue;
        }
        const bool settled = this->contactSince != TimePoint() && now - this->contactSince > this->settings.serverLease();
        if (settled && this->registry.expire(now)) {
            this->rebuild();
        }
    }
}

} // namespace Galenawell
