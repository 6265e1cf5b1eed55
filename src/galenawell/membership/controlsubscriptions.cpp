#include "galenawell/membership/controlsubscriptions.h"

#include "galenawell/core/endpoint.h"
#include "galenawell/telemetry/log.h"

namespace Galenawell {

namespace {

const Log logger("membership");

} // namespace

PeerIdentity identityAcceptingAnyPeer(const InstanceName &name, const std::string &key)
{
    return PeerIdentity{.instance = name, .key = key, .accepted = {}, .acceptAny = true};
}

ControlSubscriptions::ControlSubscriptions(Asio::any_io_executor ioExecutor,
                                           ControlSubscriptionsOptions subscriptionOptions,
                                           std::shared_ptr<PeerTraffic> sharedTraffic,
                                           MakeSubscription subscriptionMaker,
                                           HandleReply replyHandler)
    : executor(std::move(ioExecutor))
    , options(std::move(subscriptionOptions))
    , traffic(std::move(sharedTraffic))
    , makeSubscription(std::move(subscriptionMaker))
    , handleReply(std::move(replyHandler))
{
}

void ControlSubscriptions::addSeeds(const std::vector<InstanceName> &seeds)
{
    for (auto &[name, control] : this->controls) {
        control.seed = false;
    }
    for (const InstanceName &seed : seeds) {
        this->add(seed);
        if (const auto found = this->controls.find(seed); found != this->controls.end()) {
            found->second.seed = true;
        }
    }
}

void ControlSubscriptions::add(const InstanceName &name)
{
    const TimePoint now = MonotonicClock::now();
    if (const auto found = this->controls.find(name); found != this->controls.end()) {
        found->second.lastListedAt = now;
        return;
    }
    const auto endpoint = parseEndpoint(name);
    if (name == this->options.self || !endpoint || this->stopped) {
        return;
    }
    const auto link = std::make_shared<PeerLink>(this->executor,
                                                 *endpoint,
                                                 identityAcceptingAnyPeer(this->options.self, this->options.peerKey),
                                                 name,
                                                 this->traffic,
                                                 this->options.link);
    this->controls.emplace(name, Control{.link = link, .lastReplyAt = {}, .lastListedAt = now});
    Asio::co_spawn(
        this->executor, [self = this->shared_from_this(), name] { return self->pollLoop(name); }, Asio::detached);
}

Asio::awaitable<bool> ControlSubscriptions::subscribe(InstanceName name, std::chrono::milliseconds wait)
{
    const auto found = this->controls.find(name);
    if (found == this->controls.end()) {
        co_return false;
    }
    const std::shared_ptr<PeerLink> link = found->second.link;
    Wire::Envelope request;
    Wire::Subscription subscription = this->makeSubscription(name);
    subscription.waitMs = wait.count();
    request.__set_subscription(subscription);
    const TimePoint requestedAt = MonotonicClock::now();
    const Result<Wire::Envelope> reply = co_await link->call(std::move(request), wait + this->options.replyTimeout);
    const auto control = this->controls.find(name);
    if (this->stopped || control == this->controls.end()) {
        co_return false;
    }
    const bool answered = reply && reply.value().__isset.subscriptionReply;
    this->updateReachability(name, control->second, answered);
    if (!answered) {
        co_return false;
    }
    this->latestReplyAt = MonotonicClock::now();
    control->second.lastReplyAt = this->latestReplyAt;
    for (const std::string &listed : reply.value().subscriptionReply.controls) {
        this->add(listed);
    }
    this->handleReply(name, reply.value().subscriptionReply, requestedAt);
    co_return true;
}

void ControlSubscriptions::updateReachability(const InstanceName &name, Control &control, bool reachable)
{
    if (control.reachable != reachable) {
        logger.info("control process " + name + (reachable ? " is reached" : " is lost"));
    }
    control.reachable = reachable;
}

bool ControlSubscriptions::removeIfExpired(const InstanceName &name)
{
    const auto found = this->controls.find(name);
    if (found == this->controls.end()) {
        return true;
    }
    const TimePoint now = MonotonicClock::now();
    const Control &control = found->second;
    if (control.seed || now - control.lastReplyAt < this->options.removeAfter || now - control.lastListedAt < this->options.removeAfter) {
        return false;
    }
    this->controls.erase(found);
    return true;
}

Asio::awaitable<void> ControlSubscriptions::pollLoop(InstanceName name)
{
    Asio::steady_timer timer(this->executor);
    while (!this->stopped && !this->removeIfExpired(name)) {
        const bool answered = co_await this->subscribe(name, this->options.longPollWait);
        if (!answered) {
            timer.expires_after(this->options.retryPause);
            co_await timer.async_wait(awaitResult);
        }
    }
}

void ControlSubscriptions::sendUpdate(const InstanceName &control)
{
    Asio::co_spawn(
        this->executor,
        [self = this->shared_from_this(), control]() -> Asio::awaitable<void> {
            co_await self->subscribe(control, std::chrono::milliseconds(0));
        },
        Asio::detached);
}

void ControlSubscriptions::sendUpdateToAll()
{
    for (const auto &[name, control] : this->controls) {
        this->sendUpdate(name);
    }
}

void ControlSubscriptions::setLongPollWait(std::chrono::milliseconds wait)
{
    this->options.longPollWait = wait;
}

std::chrono::milliseconds ControlSubscriptions::longPollWait() const
{
    return this->options.longPollWait;
}

void ControlSubscriptions::stop()
{
    this->stopped = true;
    for (auto &[name, control] : this->controls) {
        control.link->close();
    }
}

std::shared_ptr<PeerLink> ControlSubscriptions::link(const InstanceName &name)
{
    const auto found = this->controls.find(name);
    return found == this->controls.end() ? nullptr : found->second.link;
}

std::vector<InstanceName> ControlSubscriptions::known() const
{
    std::vector<InstanceName> names;
    for (const auto &[name, control] : this->controls) {
        names.push_back(name);
    }
    return names;
}

std::vector<InstanceName> ControlSubscriptions::respondedWithin(std::chrono::milliseconds age, TimePoint now) const
{
    std::vector<InstanceName> names;
    for (const auto &[name, control] : this->controls) {
        if (control.lastReplyAt != TimePoint() && now - control.lastReplyAt <= age) {
            names.push_back(name);
        }
    }
    return names;
}

TimePoint ControlSubscriptions::lastReplyAt() const
{
    return this->latestReplyAt;
}

} // namespace Galenawell
