#include "galenawell/front/controlclient.h"

#include <algorithm>

namespace Galenawell {

namespace {

// Limit of one attempt, so that an unresponsive control process does not use up the whole timeout.
constexpr std::chrono::milliseconds attemptTimeout{1500};
constexpr std::chrono::milliseconds retryInterval{100};

} // namespace

ControlClient::ControlClient(std::map<InstanceName, std::shared_ptr<PeerLink>> controlLinks)
    : links(std::move(controlLinks))
{
}

void ControlClient::updateLeaderHint(const InstanceName &leader)
{
    if (!leader.empty()) {
        const std::lock_guard lock(this->mutex);
        this->leaderHint = leader;
    }
}

InstanceName ControlClient::leader() const
{
    const std::lock_guard lock(this->mutex);
    return this->leaderHint;
}

std::vector<InstanceName> ControlClient::controls() const
{
    std::vector<InstanceName> names;
    for (const auto &[name, link] : this->links) {
        names.push_back(name);
    }
    return names;
}

std::vector<InstanceName> ControlClient::callOrder() const
{
    std::vector<InstanceName> names = this->controls();
    const InstanceName first = this->leader();
    std::stable_partition(names.begin(), names.end(), [&](const InstanceName &name) { return name == first; });
    return names;
}

Asio::awaitable<Result<Wire::ProposeReply>> ControlClient::callLeader(Wire::Envelope request, std::chrono::milliseconds timeout)
{
    const auto expiry = std::chrono::steady_clock::now() + timeout;
    Error lastError = makeError(ErrorKind::NoQuorum, "no control process answered");
    while (std::chrono::steady_clock::now() < expiry) {
        for (const InstanceName &name : this->callOrder()) {
            const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(expiry - std::chrono::steady_clock::now());
            if (remaining <= std::chrono::milliseconds::zero()) {
                break;
            }
            // A call that waits for the fronts takes longer than attemptTimeout.
            const bool waitsForFronts = request.__isset.proposeRequest && request.proposeRequest.waitForFronts;
            Result<Wire::Envelope> reply
                = co_await this->links.at(name)->call(request, waitsForFronts ? remaining : std::min(remaining, attemptTimeout));
            if (!reply) {
                lastError = reply.error();
                continue;
            }
            if (!reply.value().__isset.proposeReply) {
                lastError = makeError(ErrorKind::MalformedFrame, "control process " + name + " sent a reply of an unexpected type");
                continue;
            }
            const Wire::ProposeReply &propose = reply.value().proposeReply;
            if (propose.status == Wire::ProposeStatus::NotLeader) {
                this->updateLeaderHint(propose.leader);
                lastError = makeError(ErrorKind::NoQuorum, "the control group has no leader");
                continue;
            }
            if (propose.status == Wire::ProposeStatus::NoQuorum) {
                lastError = makeError(ErrorKind::NoQuorum, "the control leader has no quorum");
                continue;
            }
            this->updateLeaderHint(name);
            co_return propose;
        }
        Asio::steady_timer pause(co_await Asio::this_coro::executor, retryInterval);
        co_await pause.async_wait(awaitResult);
    }
    co_return lastError;
}

Asio::awaitable<Result<Wire::ProposeReply>>
ControlClient::propose(const ControlCommand &command, bool waitForFronts, std::chrono::milliseconds timeout)
{
    Wire::Envelope request;
    Wire::ProposeRequest propose;
    propose.command = encodeControlCommand(command);
    propose.waitForFronts = waitForFronts;
    request.__set_proposeRequest(propose);
    co_return co_await this->callLeader(std::move(request), timeout);
}

Asio::awaitable<Result<Wire::ProposeReply>> ControlClient::queryClaim(const RequestId &id, std::chrono::milliseconds timeout)
{
    Wire::Envelope request;
    Wire::ClaimQuery query;
    query.id = id;
    request.__set_claimQuery(query);
    co_return co_await this->callLeader(std::move(request), timeout);
}

Asio::awaitable<Result<Wire::ControlPollReply>>
ControlClient::poll(const InstanceName &control, const Wire::ControlPoll &poll, std::chrono::milliseconds timeout)
{
    Wire::Envelope request;
    request.__set_controlPoll(poll);
    Result<Wire::Envelope> reply = co_await this->links.at(control)->call(std::move(request), timeout);
    if (!reply) {
        co_return reply.error();
    }
    if (!reply.value().__isset.controlPollReply) {
        co_return makeError(ErrorKind::MalformedFrame, "control process " + control + " sent a reply of an unexpected type");
    }
    co_return reply.value().controlPollReply;
}

Asio::awaitable<Result<Wire::ControlStatusReply>>
ControlClient::status(const InstanceName &control, const Wire::ControlStatusRequest &statusRequest, std::chrono::milliseconds timeout)
{
    Wire::Envelope request;
    request.__set_controlStatusRequest(statusRequest);
    Result<Wire::Envelope> reply = co_await this->links.at(control)->call(std::move(request), timeout);
    if (!reply) {
        co_return reply.error();
    }
    if (!reply.value().__isset.controlStatusReply) {
        co_return makeError(ErrorKind::MalformedFrame, "control process " + control + " sent a reply of an unexpected type");
    }
    co_return reply.value().controlStatusReply;
}

Asio::awaitable<Result<Wire::MemberChangeReply>> ControlClient::changeMembers(const Wire::MemberChangeRequest &change,
                                                                              std::chrono::milliseconds timeout)
{
    Error lastError = makeError(ErrorKind::NoQuorum, "the control group has no leader");
    for (const InstanceName &name : this->callOrder()) {
        Wire::Envelope request;
        request.__set_memberChangeRequest(change);
        Result<Wire::Envelope> reply = co_await this->links.at(name)->call(std::move(request), timeout);
        if (!reply) {
            lastError = reply.error();
            continue;
        }
        if (reply.value().__isset.memberChangeReply && reply.value().memberChangeReply.status != Wire::ProposeStatus::NotLeader) {
            co_return reply.value().memberChangeReply;
        }
    }
    co_return lastError;
}

} // namespace Galenawell
