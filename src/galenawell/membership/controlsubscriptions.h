// Keeps one long-poll subscription to every control process of an installation. Control processes are discovered through
// the seeds and the replies of those already known. Not thread-safe: all calls must run on the one executor.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"
#include "galenawell/transport/peerlink.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Galenawell {

// Accepts a peer under any name if it proves the installation's key.
PeerIdentity identityAcceptingAnyPeer(const InstanceName &name, const std::string &key);

struct ControlSubscriptionsOptions
{
    InstanceName self;
    std::string peerKey;
    // How long a control process may delay its reply while nothing changes.
    std::chrono::milliseconds longPollWait{500};
    // Added to longPollWait; a control process that takes longer counts as unreachable.
    std::chrono::milliseconds replyTimeout{700};
    // Pause between two attempts to reach a control process.
    std::chrono::milliseconds retryPause{100};
    PeerLinkOptions link{.connectTimeout = std::chrono::milliseconds(300), .reconnectPause = std::chrono::milliseconds(90)};
    // A control process other than a seed is removed if for this long it neither replied nor was listed by another one.
    std::chrono::milliseconds removeAfter{30000};
};

class ControlSubscriptions : public std::enable_shared_from_this<ControlSubscriptions>
{
public:
    using MakeSubscription = std::function<Wire::Subscription(const InstanceName &control)>;
    using HandleReply = std::function<void(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint requestedAt)>;

    ControlSubscriptions(Asio::any_io_executor executor,
                         ControlSubscriptionsOptions options,
                         std::shared_ptr<PeerTraffic> traffic,
                         MakeSubscription makeSubscription,
                         HandleReply handleReply);

    void addSeeds(const std::vector<InstanceName> &seeds);
    // Adds a control process that was discovered by other means.
    void add(const InstanceName &control);
    // Sends the current subscription to a control process now, instead of with the next long poll.
    void sendUpdate(const InstanceName &control);
    void sendUpdateToAll();
    void stop();
    // How long a control process may delay its reply while nothing changes; from the next subscription on.
    void setLongPollWait(std::chrono::milliseconds wait);
    std::chrono::milliseconds longPollWait() const;

    std::shared_ptr<PeerLink> link(const InstanceName &control);
    std::vector<InstanceName> known() const;
    // Control processes whose last reply is at most `age` old.
    std::vector<InstanceName> respondedWithin(std::chrono::milliseconds age, TimePoint now) const;
    // Time of the latest reply of any control process; TimePoint() if there was none.
    TimePoint lastReplyAt() const;

private:
    struct Control
    {
        std::shared_ptr<PeerLink> link;
        TimePoint lastReplyAt;
        TimePoint lastListedAt;
        bool seed = false;
        bool reachable = false;
    };

    Asio::awaitable<void> pollLoop(InstanceName name);
    Asio::awaitable<bool> subscribe(InstanceName name, std::chrono::milliseconds wait);
    void updateReachability(const InstanceName &name, Control &control, bool reachable);
    bool removeIfExpired(const InstanceName &name);

    Asio::any_io_executor executor;
    ControlSubscriptionsOptions options;
    std::shared_ptr<PeerTraffic> traffic;
    MakeSubscription makeSubscription;
    HandleReply handleReply;
    std::map<InstanceName, Control> controls;
    TimePoint latestReplyAt;
    bool stopped = false;
};

} // namespace Galenawell
