// A control process of an installation whose processes find one another: one member of the replicated log, holder of the
// announcements that backend servers make to it, and directory of the fronts. Everything but the log runs on one executor.
#pragma once

#include "galenawell/consensus/bootstrap.h"
#include "galenawell/control/frontdirectory.h"
#include "galenawell/control/recoveryfile.h"
#include "galenawell/control/replicatedlog.h"
#include "galenawell/membership/controlsubscriptions.h"
#include "galenawell/registry/backendregistry.h"
#include "galenawell/registry/impairedservers.h"
#include "galenawell/registry/retiredservers.h"
#include "galenawell/settings/nodesettings.h"
#include "galenawell/telemetry/eventlog.h"
#include "galenawell/telemetry/metrics.h"
#include "galenawell/transport/peerlink.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Galenawell {

// What a server's word that it ends came to.
enum class LeaveOutcome : std::uint8_t {
    // All fronts are told.
    Retired,
    // Nobody knows the server, so no front uses it.
    NotRegistered,
    // Another control process may know the server, and must be told.
    UnknownLocally,
};

class ControlMember : public std::enable_shared_from_this<ControlMember>
{
public:
    // Checks the text of a configuration; the error tells the operator what to change.
    using CheckConfiguration = std::function<Status(const std::string &content)>;

    ControlMember(Asio::any_io_executor executor,
                  NodeSettings settings,
                  CheckConfiguration check,
                  std::shared_ptr<Metrics> metrics,
                  std::shared_ptr<EventLog> events);

    Status start();
    Asio::awaitable<void> shutdown();
    // New seeds of changed settings.
    void reload(const NodeSettings &settings);

    // Ends once the configuration, or a newer one, is in the log. NoQuorum: the outcome is unknown.
    Asio::awaitable<Result<ProposalOutcome>> propose(ConfigurationProposal proposal);
    // The newest accepted configuration, confirmed by a majority of the log after the call.
    Asio::awaitable<Result<std::shared_ptr<const ControlView>>> newestView();

    // An announcement that was made to this process. Fails for an outdated one.
    Status announce(const BackendRecord &record);
    // The server with this identity takes no new work and ends soon.
    LeaveOutcome retire(const std::string &identity);

    std::vector<std::string> entryAddresses(const std::string &dataCentre) const;
    // False while no front hears this process, so that what is announced here would reach nobody.
    bool hasSubscribedFronts() const;
    // Whether this process has heard what every other one knows of servers.
    bool knowsAllServers() const;
    // True after a failure that only a restart can cure.
    bool failed() const;

private:
    using View = std::shared_ptr<const ControlView>;

    Asio::awaitable<void> run();
    Asio::awaitable<Result<BootstrapPlan>> waitForPlan();
    Asio::awaitable<std::vector<BootstrapReport>> askForIdentities();
    Asio::awaitable<Wire::Envelope> handleCall(InstanceName peer, Wire::Envelope request);
    Asio::awaitable<Wire::SubscriptionReply> handleSubscription(InstanceName peer, Wire::Subscription subscription);
    Asio::awaitable<Wire::ProposeReply> handlePropose(Wire::ProposeRequest request);
    Asio::awaitable<Wire::ControlPollReply> handlePoll(Wire::ControlPoll poll);
    Asio::awaitable<Wire::MemberChangeReply> handleJoin(Wire::MemberChangeRequest request);
    Wire::IdentityReply identityReply() const;

    Wire::Subscription subscriptionFor(const InstanceName &control);
    void handleReply(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint askedAt);
    bool hasNews(const Wire::Subscription &subscription) const;
    void noteTroubles(const InstanceName &front, const Wire::Subscription &subscription, TimePoint now);
    Wire::SubscriptionReply replyTo(const Wire::Subscription &subscription);

    Asio::awaitable<Result<ProposalOutcome>> proposeOnce(std::string command);
    Asio::awaitable<Result<View>> readOnce();
    Asio::awaitable<void> refreshLoop();
    // Takes over what an earlier run of this process knew.
    void recall();
    void remember(TimePoint now);
    void logImpairedServers(TimePoint now);
    // Asks for a place in the log while this process has none.
    Asio::awaitable<void> joinLoop();
    Asio::awaitable<void> planVoters();
    Asio::awaitable<void> pause(std::chrono::milliseconds duration);
    Asio::awaitable<void> waitForChange(TimePoint until);
    void notifyChange();
    void sendRaft(const InstanceName &instance, const RaftMessage &message);
    bool leads() const;

    Asio::any_io_executor executor;
    NodeSettings settings;
    CheckConfiguration checkConfiguration;
    std::shared_ptr<Metrics> metrics;
    std::shared_ptr<EventLog> events;
    std::shared_ptr<PeerTraffic> traffic;
    std::shared_ptr<ReplicatedLog> log;
    std::shared_ptr<PeerServer> peerServer;
    std::shared_ptr<ControlSubscriptions> subscriptions;
    // Raised when others know a later run of this process.
    Incarnation incarnation;
    BackendRegistry registry;
    FrontDirectory fronts;
    ImpairedServers impairedServers;
    // Those that were retired here or, as far as their holders told, at another control process.
    RetiredServers retired;
    std::int64_t loggedImpairedVersion = 1;
    RecoveryFile recoveryFile;
    TimePoint rememberedAt;
    bool changedSinceRemembered = false;
    const TimePoint createdAt;
    // Newest state that is known to be committed; null before the first. Never goes back.
    View view;
    LogStatus status;
    // Identities of the log's members as another member stated them last.
    std::vector<MemberId> statedMembers;
    // Timers of those that wait for a change; a change cancels them all.
    std::set<Asio::steady_timer *> waiting;
    TimePoint leaderSince;
    bool refreshRequested = false;
    bool started = false;
    bool stopping = false;
};

} // namespace Galenawell
