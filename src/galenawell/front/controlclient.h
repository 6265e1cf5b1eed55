// RPC client of a front for the control processes: finds the leader, and sends commands, polls and queries.
#pragma once

#include "galenawell/control/controlcommand.h"
#include "galenawell/core/error.h"
#include "galenawell/transport/peerlink.h"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Galenawell {

class ControlClient
{
public:
    explicit ControlClient(std::map<InstanceName, std::shared_ptr<PeerLink>> controlLinks);

    // Sends a command to the leader. After an error the outcome is unknown; the command may be sent again, because commands
    // are idempotent in the replicated state.
    Asio::awaitable<Result<Wire::ProposeReply>>
    propose(const ControlCommand &command, bool waitForFronts, std::chrono::milliseconds timeout);
    // Reads the state of a claim from the leader after a quorum confirmed the leadership.
    Asio::awaitable<Result<Wire::ProposeReply>> queryClaim(const RequestId &id, std::chrono::milliseconds timeout);
    // Asks one control process whether the revision in `poll` is the newest.
    Asio::awaitable<Result<Wire::ControlPollReply>>
    poll(const InstanceName &control, const Wire::ControlPoll &poll, std::chrono::milliseconds timeout);
    Asio::awaitable<Result<Wire::ControlStatusReply>>
    status(const InstanceName &control, const Wire::ControlStatusRequest &request, std::chrono::milliseconds timeout);
    Asio::awaitable<Result<Wire::MemberChangeReply>> changeMembers(const Wire::MemberChangeRequest &request,
                                                                   std::chrono::milliseconds timeout);

    // The next command is sent to this control process first.
    void updateLeaderHint(const InstanceName &leader);
    InstanceName leader() const;
    std::vector<InstanceName> controls() const;

private:
    // All control processes, the presumed leader first.
    std::vector<InstanceName> callOrder() const;
    Asio::awaitable<Result<Wire::ProposeReply>> callLeader(Wire::Envelope request, std::chrono::milliseconds timeout);

    std::map<InstanceName, std::shared_ptr<PeerLink>> links;
    mutable std::mutex mutex;
    InstanceName leaderHint;
};

} // namespace Galenawell
