// Keeps one subscription to every control process of an installation whose processes find one another. Control processes
// are found through the seeds and through the replies of those already known. Runs on one executor without other threads.
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

// An instance that proves the installation's key is accepted under any name.
PeerIdentity identityAcceptingAnyPeer(const InstanceName &name, const std::string &key);

struct ControlSubscriptionsOptions
{
    InstanceName self;
    std::string peerKey;
    // How long a control process may hold back its reply while nothing changes.
    std::chrono::milliseconds wait{500};
    // Beyond the wait; a control process that takes longer counts as unreachable.
    std::chrono::milliseconds replyTimeout{700};
    // Between two attempts to reach a control process.
    std::chrono::milliseconds retryPause{100};
    PeerLinkOptions link{.connectTimeout = std::chrono::milliseconds(300), .reconnectPause = std::chrono::milliseconds(90)};
    // A control process that nobody else lists is forgotten after this silence.
    std::chrono::milliseconds forgetAfter{30000};
};

class ControlSubscriptions : public std::enable_shared_from_this<ControlSubscriptions>
{
public:
    using MakeSubscription = std::function<Wire::Subscription(const InstanceName &control)>;
    using HandleReply = std::function<void(const InstanceName &control, const Wire::SubscriptionReply &reply, TimePoint askedAt)>;

    ControlSubscriptions(Asio::any_io_executor executor,
                         ControlSubscriptionsOptions options,
                         std::shared_ptr<PeerTraffic> traffic,
                         MakeSubscription makeSubscription,
                         HandleReply handleReply);

    void addSeeds(const std::vector<InstanceName> &seeds);
    // A control process that was heard of by other means.
    void add(const InstanceName &control);
    // Tells every control process something that can't wait for the next round.
    void sendUpdateToAll();
    void stop();

    std::shared_ptr<PeerLink> link(const InstanceName &control);
    std::vector<InstanceName> known() const;
    // Those that replied within the time.
    std::vector<InstanceName> respondedWithin(std::chrono::milliseconds age, TimePoint now) const;
    // The latest reply of any control process; the start of time if there was none.
    TimePoint lastReplyAt() const;

private:
    struct Control
    {
        std::shared_ptr<PeerLink> link;
        TimePoint heardAt;
        TimePoint listedAt;
        bool seed = false;
        bool reachable = false;
    };

    Asio::awaitable<void> loop(InstanceName name);
    Asio::awaitable<bool> subscribe(InstanceName name, std::chrono::milliseconds wait);
    void noteReachable(const InstanceName &name, Control &control, bool reachable);
    bool forgotten(const InstanceName &name);

    Asio::any_io_executor executor;
    ControlSubscriptionsOptions options;
    std::shared_ptr<PeerTraffic> traffic;
    MakeSubscription makeSubscription;
    HandleReply handleReply;
    std::map<InstanceName, Control> controls;
    TimePoint heardAt;
    bool stopped = false;
};

} // namespace Galenawell
