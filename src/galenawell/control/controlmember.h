// A control process of an installation with seed-based discovery: one member of the replicated log, the registry of backend
// servers that announce themselves to it, and the directory of fronts. Everything but the log runs on one executor.
#pragma once

#include "galenawell/claims/suspectcontents.h"
#include "galenawell/consensus/bootstrap.h"
#include "galenawell/consensus/votermanager.h"
#include "galenawell/control/frontdirectory.h"
#include "galenawell/control/recoveryfile.h"
#include "galenawell/control/replicatedlog.h"
#include "galenawell/control/viewpatch.h"
#include "galenawell/membership/controlsubscriptions.h"
#include "galenawell/registry/backendregistry.h"
#include "galenawell/registry/impairedservers.h"
#include "galenawell/registry/limitedservers.h"
#include "galenawell/settings/nodesettings.h"
#include "galenawell/telemetry/eventlog.h"
#include "galenawell/telemetry/metrics.h"
#include "galenawell/transport/peerlink.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Galenawell {

// Result of a backend server's request to leave.
enum class LeaveOutcome : std::uint8_t {
    // The server is marked as stopped, and the change goes to all fronts.
    Retired,
    // No control process has the server, so no front uses it.
    NotRegistered,
    // Another control process may have the server and must get the request too.
    UnknownLocally,
};

class ControlMember : public std::enable_shared_from_this<ControlMember>
{
public:
    // Validates the text of a configuration; the error states what the operator must correct.
    using CheckConfiguration = std::function<Status(const std::string &content)>;

    ControlMember(Asio::any_io_executor executor,
                  NodeSettings settings,
                  CheckConfiguration check,
                  std::shared_ptr<Metrics> metrics,
                  std::shared_ptr<EventLog> events);

    Status start();
    Asio::awaitable<void> shutdown();
    // Adds the seeds of changed settings.
    void reload(const NodeSettings &settings);

    // Completes once the configuration, or a newer one, is in the log. NoQuorum: the outcome is unknown.
    Asio::awaitable<Result<ProposalOutcome>> propose(ConfigurationProposal proposal);
    // The newest accepted configuration, confirmed by a majority of the log after the call.
    Asio::awaitable<Result<std::shared_ptr<const ControlView>>> newestView();

    // Counts and logs an announcement that can't be read.
    void noteInvalidAnnouncement(const std::string &identity, const Error &error);
    // Registers a backend server that announced itself to this process. Fails for an outdated announcement.
    Status announce(const BackendRecord &record);
    // Marks a server that is about to shut down as stopped, so that it gets no more requests.
    LeaveOutcome retire(const std::string &identity);

    std::vector<std::string> entryAddresses(const std::string &dataCentre) const;
    // False if no front has subscribed recently, so that announcements would reach none. True shortly after the start.
    bool hasSubscribedFronts() const;
    // Whether the registry includes the servers known to all other members of the log.
    bool hasCompleteRegistry() const;
    // True after a failure that requires a restart.
    bool failed() const;

private:
    using View = std::shared_ptr<const ControlView>;

    Asio::awaitable<void> run();
    Asio::awaitable<Result<BootstrapPlan>> waitForBootstrapPlan();
    Asio::awaitable<std::vector<BootstrapReport>> queryIdentities();
    Asio::awaitable<Wire::Envelope> handleCall(InstanceName peer, Wire::Envelope request);
    Asio::awaitable<Wire::SubscriptionReply> handleSubscription(InstanceName peer, Wire::Subscription subscription);
    Asio::awaitable<Wire::ProposeReply> handlePropose(Wire::ProposeRequest request);
    Asio::awaitable<Wire::ControlPollReply> handlePoll(Wire::ControlPoll poll);
    Asio::awaitable<Wire::MemberChangeReply> handleJoin(Wire::MemberChangeRequest request);
    Wire::IdentityReply identityReply() const;

    Wire::Subscription subscriptionFor(const InstanceName &control);
    void handleReply(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint requestedAt);
    bool hasUpdates(const Wire::Subscription &subscription) const;
    bool hasNewerView(const Wire::Subscription &subscription) const;
    void addView(const Wire::Subscription &subscription, Wire::SubscriptionReply &reply);
    void recordImpairments(const InstanceName &front, const Wire::Subscription &subscription, TimePoint now);
    void recordCrashes(const Wire::Subscription &subscription, TimePoint now);
    bool hasNewerSuspects(const Wire::Subscription &subscription) const;
    void addSuspects(const Wire::Subscription &subscription, Wire::SubscriptionReply &reply) const;
    // Takes over the evidence that another control process holds. `requestedAt`: before the other one made its reply.
    void learnSuspects(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint requestedAt, TimePoint now);
    void recordLimits(const Wire::Subscription &subscription, TimePoint now);
    bool hasNewerLimits(const Wire::Subscription &subscription) const;
    // `receivedAt`: when the subscription was received.
    void addLimits(const Wire::Subscription &subscription, Wire::SubscriptionReply &reply, TimePoint receivedAt, TimePoint now);
    void updateGrantors(TimePoint now);
    Wire::SubscriptionReply makeReply(const Wire::Subscription &subscription, TimePoint receivedAt);

    Asio::awaitable<Result<ProposalOutcome>> proposeUntil(std::string command, TimePoint end);
    Asio::awaitable<Result<ProposalOutcome>> proposeOnce(std::string command);
    void updateStorageState();
    Asio::awaitable<Result<View>> readOnce();
    Asio::awaitable<void> refreshLoop();
    // Restores the view and the backend servers that an earlier run of this process saved.
    void loadRecoveryHint();
    void saveRecoveryHint(TimePoint now);
    void updateEntries(TimePoint now);
    void logImpairedServers(TimePoint now);
    // Brings the list of suspect contents up to date, and logs and announces a change of it.
    void updateSuspects(TimePoint now);
    // Requests to be added as a learner while this process isn't a member of the log.
    Asio::awaitable<void> joinLoop();
    Asio::awaitable<void> adjustVoters();
    // Runs adjustVoters() beside the refresh of the view, which mustn't wait for a membership change.
    void startVoterAdjustment();
    Asio::awaitable<void> pause(std::chrono::milliseconds duration);
    Asio::awaitable<void> waitForChange(TimePoint until);
    void notifyChange();
    void sendRaft(const InstanceName &instance, const RaftMessage &message);
    bool isLeader() const;

    Asio::any_io_executor executor;
    NodeSettings settings;
    CheckConfiguration checkConfiguration;
    std::shared_ptr<Metrics> metrics;
    std::shared_ptr<EventLog> events;
    std::shared_ptr<PeerTraffic> traffic;
    std::shared_ptr<ReplicatedLog> log;
    std::shared_ptr<PeerServer> peerServer;
    std::shared_ptr<ControlSubscriptions> subscriptions;
    // Raised when a peer reports a higher incarnation of this process.
    Incarnation incarnation;
    BackendRegistry registry;
    FrontDirectory fronts;
    ImpairedServers impairedServers;
    SuspectContents suspectContents;
    // What this process has of the suspect contents of another control process.
    struct KnownSuspects
    {
        std::int64_t incarnation = 0;
        std::int64_t version = 0;
    };
    std::map<InstanceName, KnownSuspects> knownSuspects;
    LimitedServers limitedServers;
    std::int64_t loggedSuspectsVersion = 1;
    std::int64_t loggedImpairedVersion = 1;
    RecoveryFile recoveryFile;
    TimePoint hintSavedAt;
    bool hintOutdated = false;
    const TimePoint createdAt;
    // Newest view that is known to be committed; null before the first. Its revision never decreases.
    View view;
    ViewPatches viewPatches;
    LogStatus logStatus;
    // Identities of the log's members as last received from the leader.
    std::vector<MemberId> listedMembers;
    // Timers of the coroutines in waitForChange; notifyChange cancels them.
    std::set<Asio::steady_timer *> waitingTimers;
    // Observes the members while this process leads.
    VoterManager voterManager;
    bool adjustingVoters = false;
    bool storageAvailable = true;
    bool refreshRequested = false;
    bool started = false;
    bool stopping = false;
};

} // namespace Galenawell
