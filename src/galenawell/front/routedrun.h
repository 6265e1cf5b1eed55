// Performs the actions of one Scatter for a routed request over connections to backend servers and reports the results to
// it. Runs on the strand of the caller's connection.
#pragma once

#include "galenawell/claims/crashwatch.h"
#include "galenawell/front/requestcodec.h"
#include "galenawell/query/scatter.h"
#include "galenawell/routing/serverlimits.h"
#include "galenawell/telemetry/eventlog.h"
#include "galenawell/telemetry/metrics.h"
#include "galenawell/transport/backendclient.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Galenawell {

struct RoutedRunOptions
{
    std::shared_ptr<const RoutedRequest> request;
    std::shared_ptr<const Route> route;
    ScatterOptions scatter;
    std::shared_ptr<const RoutingTable> table;
    // Name of the service in the table.
    std::string target;
    // Points into the table.
    const ServiceTable *service = nullptr;
    std::shared_ptr<ServicePolicies> policies;
    std::uint64_t seed = 0;
};

// Objects shared by all runs of a front.
struct RoutedRunContext
{
    const RequestCodec *codec = nullptr;
    BackendClient *client = nullptr;
    CrashWatch *crashes = nullptr;
    ServerLimits *limits = nullptr;
    Metrics *metrics = nullptr;
    EventLog *events = nullptr;
    // Called after a reply has shown that a server's limit changed much.
    std::function<void()> onLargeLimitChange;
};

class RoutedRun : public std::enable_shared_from_this<RoutedRun>
{
public:
    RoutedRun(RoutedRunOptions options, RoutedRunContext context);

    Asio::awaitable<ScatterOutcome> run();
    // Cancels all subrequests after the caller disconnected.
    void cancel();
    // Ends the run now, as if its deadline had passed.
    void expire();

    const std::string &target() const;
    std::uint64_t sends() const;
    std::uint64_t hedges() const;

private:
    void perform(ScatterActions actions);
    void startSubrequest(const SubrequestSend &send);
    Asio::awaitable<void> exchange(SubrequestSend send, std::shared_ptr<ExchangeHandle> handle);
    // Applies what the server says of itself, also if the request has ended meanwhile.
    void noteServerState(const SubrequestSend &send, const ServerState &state);
    void noteServerLimit(const SubrequestSend &send, const ServerState &state, TimePoint sentAt);
    void noteSkippedReplies(const SubrequestSend &send, const ExchangeResult &result);
    // Tells the crash watch what the end of an exchange shows.
    void noteExchange(const SubrequestSend &send, const ExchangeResult &result, TimePoint sentAt);
    void noteCrashes(const SubrequestSend &send, std::size_t count);
    ContentDigest digestFor(const std::string &group);
    ScatterOptions limitedScatterOptions();
    void handleReply(const SubrequestSend &send, ServerReply reply, std::chrono::microseconds latency);
    void handleFailure(const SubrequestSend &send, const SubrequestFailure &failure);
    void finish(ScatterOutcome result);
    bool accepts(const ServerReply &reply) const;

    RoutedRunOptions options;
    RoutedRunContext context;
    // Of the request without the group; empty until it is needed.
    ContentDigest contentDigest;
    Scatter scatter;
    // Of all sends of the request.
    std::shared_ptr<ConnectionHistory> connections = std::make_shared<ConnectionHistory>();
    std::map<std::uint64_t, std::shared_ptr<ExchangeHandle>> inFlight;
    std::optional<Asio::steady_timer> timer;
    std::optional<ScatterOutcome> outcome;
    Asio::any_io_executor strand;
};

} // namespace Galenawell
