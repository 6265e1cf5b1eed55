// A control process of an installation with a fixed list of peers: one member of the replicated log, a listener for fronts
// and other members, and an operator listener with metrics and health checks.
#pragma once

#include "galenawell/consensus/bootstrap.h"
#include "galenawell/control/replicatedlog.h"
#include "galenawell/settings/processsettings.h"
#include "galenawell/telemetry/metrics.h"
#include "galenawell/transport/httpserver.h"
#include "galenawell/transport/peerlink.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Galenawell {

class ControlProcess : public std::enable_shared_from_this<ControlProcess>
{
public:
    ControlProcess(Asio::any_io_executor executor, ProcessSettings settings);

    Status start();
    // Completes when the process may exit.
    Asio::awaitable<void> shutdown();
    // True after a failure that requires a restart.
    bool failed() const;

private:
    struct FrontReport
    {
        std::uint64_t revision = 0;
        std::uint64_t configurationNumber = 0;
        bool draining = false;
        TimePoint reportedAt;
    };

    Asio::awaitable<Wire::Envelope> handleCall(InstanceName peer, Wire::Envelope request);
    Asio::awaitable<Wire::ControlPollReply> handlePoll(const Wire::ControlPoll &poll);
    Asio::awaitable<Wire::ProposeReply> handlePropose(const Wire::ProposeRequest &request);
    Asio::awaitable<Wire::ProposeReply> handleClaimQuery(const Wire::ClaimQuery &query);
    Asio::awaitable<Wire::ControlStatusReply> handleStatus(const Wire::ControlStatusRequest &request);
    Asio::awaitable<Wire::MemberChangeReply> handleMemberChange(const Wire::MemberChangeRequest &request);
    Asio::awaitable<HttpResponse> handleHttp(HttpRequest request);

    // Asks the other control processes for their member identity and whether they have stored log state.
    Asio::awaitable<std::vector<BootstrapReport>> queryIdentities();
    // Waits until it is decided whether to resume, join or found the installation.
    Asio::awaitable<Result<BootstrapPlan>> waitForBootstrapPlan();
    Asio::awaitable<void> run();
    // Requests to be added as a learner while this member isn't in the membership.
    Asio::awaitable<void> joinLoop();
    // On the leader: promotes learners that have caught up to voters, replacing the lost member of the same instance.
    Asio::awaitable<void> repairLoop();
    // On the leader: proposes AdvanceTime while there are claims.
    Asio::awaitable<void> advanceTimeLoop();
    Asio::awaitable<bool> waitForFrontMajority(std::uint64_t revision);
    Asio::awaitable<Wire::ProposeReply> failureReply(const Error &error);
    Asio::awaitable<void> pause(std::chrono::milliseconds duration);
    void sendRaft(const InstanceName &instance, const RaftMessage &message);
    std::size_t configuredFrontCount() const;

    Asio::any_io_executor executor;
    ProcessSettings settings;
    std::shared_ptr<Metrics> metrics;
    std::shared_ptr<PeerTraffic> traffic;
    std::shared_ptr<ReplicatedLog> log;
    std::shared_ptr<PeerServer> peerServer;
    std::shared_ptr<HttpServer> operatorServer;
    std::map<InstanceName, std::shared_ptr<PeerLink>> controlLinks;
    std::mutex frontsMutex;
    std::map<InstanceName, FrontReport> fronts;
    std::atomic<bool> started{false};
    std::atomic<bool> stopping{false};
};

// Peer identity and links from the settings of a process.
PeerIdentity peerIdentity(const ProcessSettings &settings);
std::map<InstanceName, std::shared_ptr<PeerLink>> makeLinks(const Asio::any_io_executor &executor,
                                                            const ProcessSettings &settings,
                                                            ProcessRole role,
                                                            const std::shared_ptr<PeerTraffic> &traffic);

} // namespace Galenawell
