// Drives one Scatter for a routed request: performs its actions over connections to backend servers and feeds back what
// happened. Runs on the strand of the caller's connection.
#pragma once

#include "galenawell/front/requestcodec.h"
#include "galenawell/query/scatter.h"
#include "galenawell/telemetry/eventlog.h"
#include "galenawell/telemetry/metrics.h"
#include "galenawell/transport/backendclient.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Galenawell {

struct RoutedRunOptions
{
    std::shared_ptr<const RoutedRequest> request;
    std::shared_ptr<const Route> route;
    ScatterOptions scatter;
    std::shared_ptr<const RoutingTable> table;
    // Part of the table.
    const ServiceTable *service = nullptr;
    std::shared_ptr<ServicePolicies> policies;
    std::uint64_t seed = 0;
};

// What a front's runs share.
struct RoutedRunServices
{
    const RequestCodec *codec = nullptr;
    BackendClient *client = nullptr;
    Metrics *metrics = nullptr;
    EventLog *events = nullptr;
};

class RoutedRun : public std::enable_shared_from_this<RoutedRun>
{
public:
    RoutedRun(RoutedRunOptions options, RoutedRunServices services);

    Asio::awaitable<ScatterOutcome> run();
    // The caller went away: everything that was sent is given up.
    void abandon();

    std::uint64_t sends() const;
    std::uint64_t hedges() const;

private:
    void perform(ScatterActions actions);
    void begin(const SubrequestSend &send);
    Asio::awaitable<void> exchange(SubrequestSend send, std::shared_ptr<ExchangeHandle> handle);
    void handleResult(const SubrequestSend &send, ExchangeResult result);
    void handleReply(const SubrequestSend &send, ServerReply reply, std::chrono::microseconds latency);
    void fail(const SubrequestSend &send, const SubrequestFailure &failure);
    void finish(ScatterOutcome result);
    bool accepts(const ServerReply &reply) const;

    RoutedRunOptions options;
    RoutedRunServices services;
    Scatter scatter;
    std::map<std::uint64_t, std::shared_ptr<ExchangeHandle>> running;
    std::optional<Asio::steady_timer> timer;
    std::optional<ScatterOutcome> outcome;
    Asio::any_io_executor strand;
};

} // namespace Galenawell
