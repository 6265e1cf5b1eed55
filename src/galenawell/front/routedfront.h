// A front of an installation whose processes find one another: takes callers' requests by host and path, and answers them
// from backend servers by the routes in force. Runs on one executor without other threads.
#pragma once

#include "galenawell/configuration/routeconfiguration.h"
#include "galenawell/control/controlstate.h"
#include "galenawell/front/requestcodec.h"
#include "galenawell/front/routedrun.h"
#include "galenawell/front/routetables.h"
#include "galenawell/membership/controlsubscriptions.h"
#include "galenawell/registry/backendregistry.h"
#include "galenawell/settings/nodesettings.h"
#include "galenawell/telemetry/eventlog.h"
#include "galenawell/telemetry/metrics.h"
#include "galenawell/transport/httpserver.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Galenawell {

class RoutedFront : public std::enable_shared_from_this<RoutedFront>
{
public:
    // Reads the text of an accepted configuration.
    using ReadConfiguration = std::function<Result<RouteConfiguration>(const std::string &content)>;

    RoutedFront(Asio::any_io_executor executor,
                NodeSettings settings,
                std::shared_ptr<const RequestCodec> codec,
                ReadConfiguration readConfiguration,
                std::shared_ptr<Metrics> metrics,
                std::shared_ptr<EventLog> events);

    Status start();
    // Leaves the directory, goes on answering, and ends when callers have left or the grace period is over.
    Asio::awaitable<void> shutdown();
    void reload(const NodeSettings &settings);

    // True while this front is fit for new callers.
    bool ready() const;

private:
    Asio::awaitable<HttpResponse> handle(HttpRequest request);
    Asio::awaitable<HttpResponse> serve(std::shared_ptr<const RoutedRequest> request, std::shared_ptr<CallerConnection> caller);
    HttpResponse refuse(const RoutedRequest &request, const Refusal &refusal);
    HttpResponse conclude(const RoutedRequest &request, const Route &route, ScatterOutcome outcome, const RoutedRun *run);
    ScatterOptions scatterOptionsFor(const RoutedRequest &request, const Route &route);
    std::shared_ptr<HedgePolicy> hedgeFor(const Route &route);
    // The table's name of the service that takes this request, by the weights of the route.
    std::string chooseTarget(const Route &route);

    Wire::Subscription subscriptionFor(const InstanceName &control);
    void handleReply(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint askedAt);
    void learnFrom(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint now);
    void chooseSource(TimePoint now);
    bool wantsViewFrom(const InstanceName &control, TimePoint now) const;
    void install(const ControlView &view);
    void rebuild();
    Asio::awaitable<void> tickLoop();
    Asio::awaitable<void> pause(std::chrono::milliseconds duration);

    Asio::any_io_executor executor;
    NodeSettings settings;
    std::shared_ptr<const RequestCodec> codec;
    ReadConfiguration readConfiguration;
    std::shared_ptr<Metrics> metrics;
    std::shared_ptr<EventLog> events;
    std::shared_ptr<PeerTraffic> traffic;
    std::shared_ptr<ControlSubscriptions> subscriptions;
    std::shared_ptr<HttpServer> callerServer;
    BackendClient client;
    // Raised when a control process knows a later run of this front.
    Incarnation incarnation;
    BackendRegistry registry;
    RouteTables tables;
    // Routes point into the plan; a request in flight keeps the plan it began with.
    std::shared_ptr<const RouteConfiguration> plan;
    std::shared_ptr<const RoutingTable> table;
    // Never goes back.
    std::uint64_t revision = 0;
    LiveFrontCount liveFronts;
    TimePoint closeIdleAt;
    // Requests to sets of groups, each of which has sent one first subrequest to each group.
    std::uint64_t scatters = 0;
    std::size_t frontCount = 1;
    // Since when some control process has been heard without a longer gap.
    TimePoint contactSince;
    std::map<std::string, std::vector<double>> credits;
    // Latencies of subrequests by route: each kind of request has its own work.
    std::map<std::string, std::shared_ptr<HedgePolicy>> hedges;
    // What is known of one control process.
    struct ControlKnowledge
    {
        std::string dataCentre;
        // What was reported to it.
        ReportedTroubles reported;
        std::uint64_t reportedScatters = 0;
        std::int64_t impairedVersion = 0;
        std::vector<std::string> impaired;
    };

    std::map<InstanceName, ControlKnowledge> controls;
    // The control process whose views and list of impaired servers are used; the others are asked only while it lags.
    InstanceName source;
    // The newest revision that any control process named, and since when it is missing here.
    std::uint64_t namedRevision = 0;
    TimePoint namedAt;
    std::uint64_t nextSeed = 1;
    // Servers come and go many at a time, so a table takes up all changes of a tick; a new plan has its table at once.
    bool rebuildNeeded = false;
    bool planChanged = false;
    TimePoint rebuiltAt;
    bool draining = false;
    bool stopping = false;
};

} // namespace Galenawell
