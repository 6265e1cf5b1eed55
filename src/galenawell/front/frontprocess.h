// A front process: listeners for callers, backend servers, operators and peers, and the loops that exchange state with
// the other fronts and the control processes.
#pragma once

#include "galenawell/front/controlclient.h"
#include "galenawell/front/frontstate.h"
#include "galenawell/front/operatorapi.h"
#include "galenawell/front/queryservice.h"
#include "galenawell/settings/processsettings.h"
#include "galenawell/transport/httpserver.h"
#include "galenawell/transport/peerlink.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace Galenawell {

class FrontProcess : public std::enable_shared_from_this<FrontProcess>
{
public:
    FrontProcess(Asio::any_io_executor executor, ProcessSettings settings);

    Status start();
    // Leaves the entry list, serves until the cached lists of callers expire, then refuses new requests and completes when
    // none is in flight.
    Asio::awaitable<void> shutdown();

private:
    // One loop per other front. Wakes before the interval ends if the local state has changed.
    struct HeartbeatLoop
    {
        explicit HeartbeatLoop(const Asio::any_io_executor &executor)
            : strand(Asio::make_strand(executor))
            , timer(strand)
        {
        }

        Asio::strand<Asio::any_io_executor> strand;
        Asio::steady_timer timer;
        // The state changed since the last heartbeat was sent.
        bool sendAgain = false;
    };

    void startServers();
    void startLoops();
    void wakeHeartbeats();
    Asio::awaitable<void> heartbeatLoop(std::shared_ptr<PeerLink> link, std::shared_ptr<HeartbeatLoop> loop);
    Asio::awaitable<void> pollLoop(InstanceName controlInstance);
    Asio::awaitable<void> tickLoop();
    Asio::awaitable<void> partitionMapLoop();
    // Fetches newer views from other fronts, so that queries are served while control has no quorum.
    Asio::awaitable<void> catchUpLoop();
    Asio::awaitable<void> shareEvidence();
    Asio::awaitable<Wire::Envelope> handleCall(InstanceName peer, Wire::Envelope request);
    Asio::awaitable<HttpResponse> handleBackend(HttpRequest request);
    void installFrom(const Wire::ControlPollReply &reply, TimePoint requestedAt);
    Asio::awaitable<void> pause(std::chrono::milliseconds duration);
    Wire::ControlPoll makePoll();

    Asio::any_io_executor executor;
    ProcessSettings settings;
    std::shared_ptr<Metrics> metrics;
    std::shared_ptr<PeerTraffic> traffic;
    std::map<InstanceName, std::shared_ptr<PeerLink>> frontLinks;
    std::shared_ptr<ControlClient> control;
    std::shared_ptr<FrontState> state;
    std::shared_ptr<QueryService> queryService;
    std::shared_ptr<OperatorApi> operatorApi;
    std::shared_ptr<HttpServer> callerServer;
    std::shared_ptr<HttpServer> backendServer;
    std::shared_ptr<HttpServer> operatorServer;
    std::shared_ptr<PeerServer> peerServer;
    std::map<InstanceName, std::shared_ptr<HeartbeatLoop>> heartbeats;
    std::atomic<bool> stopping{false};
};

} // namespace Galenawell
