// Performs the actions of one Scatter over connections to backend servers and reports the results to it.
#pragma once

#include "galenawell/front/frontstate.h"
#include "galenawell/front/subrequestcodec.h"
#include "galenawell/query/scatter.h"
#include "galenawell/transport/backendclient.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace Galenawell {

struct ScatterRunOptions
{
    ScatterOptions scatter;
    std::string service;
    nlohmann::json body;
    ContentDigest digest;
    std::uint64_t seed = 0;
};

// Sends the crash evidence to the live fronts and waits for a bounded time until they have acknowledged it.
using EvidenceSharer = std::function<Asio::awaitable<void>()>;

class ScatterRun : public std::enable_shared_from_this<ScatterRun>
{
public:
    ScatterRun(ScatterRunOptions options,
               std::shared_ptr<const RoutingTable> table,
               const ServiceTable &service,
               FrontState &state,
               BackendClient &client,
               Metrics &metrics,
               EvidenceSharer shareEvidence);

    // Runs on the strand of the calling coroutine.
    Asio::awaitable<ScatterOutcome> run();

private:
    void perform(ScatterActions actions);
    void startSubrequest(const SubrequestSend &send);
    Asio::awaitable<void>
    exchange(SubrequestSend send, ReplicaKey replica, Incarnation incarnation, std::shared_ptr<ExchangeHandle> handle);
    Asio::awaitable<bool> recordCrash(const ReplicaKey &replica, Incarnation incarnation);
    // A completed exchange has a reply to the subrequest.
    void handleResult(std::uint64_t subrequestId, const ExchangeResult &result, std::optional<ParsedReply> reply);
    void finish(ScatterOutcome result);

    ScatterRunOptions options;
    FrontState &state;
    BackendClient &client;
    Metrics &metrics;
    EvidenceSharer shareEvidence;
    Scatter scatter;
    std::map<std::uint64_t, std::shared_ptr<ExchangeHandle>> inFlight;
    std::optional<Asio::steady_timer> timer;
    std::optional<ScatterOutcome> outcome;
    Asio::any_io_executor strand;
};

// The failure to report to the scatter for an exchange without a complete reply.
SubrequestFailure failureFor(const ExchangeResult &result);

} // namespace Galenawell
