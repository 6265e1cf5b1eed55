// HTTP API for operators: configuration, status, backend servers, entries, draining, control members, metrics, health.
#pragma once

#include "galenawell/front/controlclient.h"
#include "galenawell/front/frontstate.h"
#include "galenawell/settings/processsettings.h"
#include "galenawell/transport/httpserver.h"
#include "galenawell/transport/peerlink.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Galenawell {

class OperatorApi : public std::enable_shared_from_this<OperatorApi>
{
public:
    OperatorApi(const ProcessSettings &settings,
                std::shared_ptr<FrontState> state,
                std::shared_ptr<ControlClient> control,
                std::shared_ptr<Metrics> metrics,
                std::shared_ptr<PeerTraffic> traffic,
                std::map<InstanceName, std::shared_ptr<PeerLink>> frontLinks);

    Asio::awaitable<HttpResponse> handle(HttpRequest request);
    HttpResponse refuse(RefusalReason reason, const std::string &detail);

private:
    using Handler = Asio::awaitable<HttpResponse> (OperatorApi::*)(HttpRequest request);

    struct Route
    {
        std::string_view method;
        std::string_view path;
        Handler handler;
    };

    static const std::vector<Route> &routes();

    Asio::awaitable<HttpResponse> showConfiguration(HttpRequest request);
    Asio::awaitable<HttpResponse> showHistory(HttpRequest request);
    Asio::awaitable<HttpResponse> applyConfiguration(HttpRequest request);
    Asio::awaitable<HttpResponse> showStatus(HttpRequest request);
    Asio::awaitable<HttpResponse> showBackends(HttpRequest request);
    Asio::awaitable<HttpResponse> showEntries(HttpRequest request);
    Asio::awaitable<HttpResponse> drainEntry(HttpRequest request);
    Asio::awaitable<HttpResponse> showMembers(HttpRequest request);
    Asio::awaitable<HttpResponse> changeMembers(HttpRequest request);
    HttpResponse showMetrics();
    // The status of the leader, or of any control process if none leads.
    Asio::awaitable<Result<Wire::ControlStatusReply>> leaderStatus(const Wire::ControlStatusRequest &request);

    std::string token;
    std::shared_ptr<FrontState> state;
    std::shared_ptr<ControlClient> control;
    std::shared_ptr<Metrics> metrics;
    std::shared_ptr<PeerTraffic> traffic;
    std::map<InstanceName, std::shared_ptr<PeerLink>> frontLinks;
};

} // namespace Galenawell
