// A front of an installation with dynamic membership: routes requests of callers by host and path to backend servers.
// Single-threaded: all coroutines run on one executor.
#pragma once

#include "galenawell/claims/crashwatch.h"
#include "galenawell/configuration/routeconfiguration.h"
#include "galenawell/control/controlstate.h"
#include "galenawell/control/viewpatch.h"
#include "galenawell/front/drainpolicy.h"
#include "galenawell/front/requestcodec.h"
#include "galenawell/front/routedrun.h"
#include "galenawell/front/routetables.h"
#include "galenawell/front/trafficsplits.h"
#include "galenawell/front/viewsources.h"
#include "galenawell/membership/controlsubscriptions.h"
#include "galenawell/registry/backendregistry.h"
#include "galenawell/settings/nodesettings.h"
#include "galenawell/telemetry/eventlog.h"
#include "galenawell/telemetry/metrics.h"
#include "galenawell/transport/httpserver.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Galenawell {

class RoutedFront : public std::enable_shared_from_this<RoutedFront>
{
public:
    // Parses the text of an accepted configuration.
    using ReadConfiguration = std::function<Result<RouteConfiguration>(const std::string &content)>;

    RoutedFront(Asio::any_io_executor executor,
                NodeSettings settings,
                std::shared_ptr<const RequestCodec> codec,
                ReadConfiguration readConfiguration,
                std::shared_ptr<Metrics> metrics,
                std::shared_ptr<EventLog> events);

    Status start();
    // Leaves the directory, keeps serving, and completes when no requests have arrived for a while or before the grace period
    // ends. Every request that was passed on to a server has been answered by then.
    Asio::awaitable<void> shutdown();
    void reload(const NodeSettings &settings);

    // True if this front has a configuration and is not draining.
    bool ready() const;
    // Shared by all listeners of the process.
    std::shared_ptr<RequestMemory> requestMemory() const;

private:
    Asio::awaitable<HttpResponse> handle(HttpRequest request);
    Asio::awaitable<HttpResponse> serve(std::shared_ptr<const RoutedRequest> request,
                                        std::shared_ptr<CallerConnection> caller,
                                        std::shared_ptr<RequestMemoryHolder> memory);
    HttpResponse refuse(const RoutedRequest &request, const Refusal &refusal);
    HttpResponse completeRequest(const RoutedRequest &request, const Route &route, ScatterOutcome outcome, const RoutedRun *run);
    ScatterOptions scatterOptionsFor(const RoutedRequest &request, const Route &route);
    std::shared_ptr<HedgePolicy> hedgeFor(const Route &route);
    // Table name of the service or the groups for the next request on the route.
    std::string chooseTarget(const Route &route);

    struct ControlPeer;

    Wire::Subscription subscriptionFor(const InstanceName &control);
    void handleReply(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint requestedAt);
    void updateControlPeer(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint now);
    void addCrashReport(const ControlPeer &peer, Wire::Subscription &subscription) const;
    void updateSuspects(const InstanceName &control, const Wire::SubscriptionReply &reply);
    // Forgets what a control process knows if it has restarted since.
    void updateControlRun(ControlPeer &peer, const Wire::SubscriptionReply &reply) const;
    void addLimitReport(const InstanceName &control, Wire::Subscription &subscription, TimePoint now);
    void updateLimits(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint requestedAt, TimePoint now);
    // Tells the control processes of a limit that a reply has changed, at once unless they were told just before.
    void reportLimitChange(TimePoint now);
    void chooseViewSource(TimePoint now);
    // Requests the view from another control process if the source is late.
    void requestLateView(TimePoint now);
    void installEncoded(const InstanceName &control, const Wire::SubscriptionReply &reply);
    void install(const ControlView &view, const InstanceName &control);
    void updateFrontCount(TimePoint now);
    void rebuild();
    // Logs the use of each limited server and forgets servers that are gone.
    void reviewLimits(TimePoint now);
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
    std::shared_ptr<RequestMemory> callerMemory;
    std::shared_ptr<HttpServer> callerServer;
    BackendClient client;
    // Raised if a control process reports a later incarnation of this front.
    Incarnation incarnation;
    BackendRegistry registry;
    CrashWatch crashes;
    RouteTables tables;
    // Shared with the requests in flight, whose routes point into it.
    std::shared_ptr<const RouteConfiguration> configuration;
    std::shared_ptr<const RoutingTable> table;
    // Revision of the installed view; only increases.
    std::uint64_t revision = 0;
    LiveFrontCount sharingFronts;
    TimePoint closeIdleAt;
    TimePoint reviewLimitsAt;
    TimePoint limitsReportedAt;
    bool limitReportDue = false;
    // Highest count of live fronts in the latest replies.
    std::size_t liveFronts = 1;
    // Number of scatter-gather requests; each sends one initial subrequest to every group.
    std::uint64_t scatterCount = 0;
    // Fronts that limits and budgets are divided among.
    std::size_t frontCount = 1;
    bool entryCountKnown = false;
    // Moving average of the time for which the tick is late, hence of the wait for the processor.
    std::chrono::microseconds loopDelay{0};
    // The installed view, encoded.
    ViewBase viewBase;
    // Set after a patch that couldn't be applied, until a whole view arrives.
    bool needsWholeView = false;
    // Start of the current period with replies from control processes; unset after a gap of controlContactTimeout.
    TimePoint controlContactSince;
    TrafficSplits splits;
    // Latencies of subrequests by route, because the cost of a request depends on its route.
    std::map<std::string, std::shared_ptr<HedgePolicy>> hedges;
    // State of the subscription to one control process.
    struct ControlPeer
    {
        std::string dataCentre;
        // Totals last reported to it.
        ReportedImpairments reported;
        std::uint64_t reportedScatterCount = 0;
        // Version of the list of impaired servers that it sent last; 0 for none.
        std::int64_t impairedVersion = 0;
        std::size_t liveFronts = 1;
        std::optional<std::size_t> entryFronts;
        // Whether it gives callers the address of this front.
        bool listsThisFront = true;
        // The run that holds the crash report, and the report's number.
        std::int64_t incarnation = 0;
        std::uint64_t crashReport = 0;
        // Version of its list of suspect contents; 0 for none.
        std::int64_t suspectsVersion = 0;
        // Newest change of this front's limits that it has, and of its limits that this front has.
        std::uint64_t limitReport = 0;
        std::int64_t limitsThrough = 0;
    };

    std::map<InstanceName, ControlPeer> controls;
    // The list of impaired servers is taken from the source of the views, too.
    ViewSources viewSources;
    std::uint64_t nextSeed = 1;
    // Registry changes come in bursts, so the table is rebuilt at most once a tick; a new configuration rebuilds it at once.
    bool rebuildNeeded = false;
    bool configurationChanged = false;
    TimePoint rebuiltAt;
    // Set once shutdown has begun.
    std::optional<DrainPolicy> drainPolicy;
    std::set<std::shared_ptr<RoutedRun>> activeRuns;
    bool stopping = false;
};

} // namespace Galenawell
