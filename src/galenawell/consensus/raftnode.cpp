#include "galenawell/consensus/raftnode.h"

#include "galenawell/consensus/raftcodec.h"
#include "galenawell/consensus/raftnodestate.h"

#include <array>
#include <utility>

namespace Galenawell {

RaftNode::RaftNode(RaftOptions options, RaftPersistentState restored, std::uint64_t seed, TimePoint now)
    : state(std::make_unique<State>(options, std::move(restored), seed, now))
{
}

RaftNode::~RaftNode() = default;
RaftNode::RaftNode(RaftNode &&) noexcept = default;
RaftNode &RaftNode::operator=(RaftNode &&) noexcept = default;

void RaftNode::receive(const RaftMessage &message, TimePoint now)
{
    // In the order of RaftMessageKind.
    static constexpr std::array handlers{
        &State::receivePreVoteRequest,
        &State::receivePreVoteReply,
        &State::receiveVoteRequest,
        &State::receiveVoteReply,
        &State::receiveAppendRequest,
        &State::receiveAppendReply,
        &State::receiveSnapshotRequest,
        &State::receiveSnapshotReply,
    };
    // A message to an identity that this folder had before it was lost isn't for this member.
    if (message.to != this->state->options.self) {
        return;
    }
    (this->state.get()->*handlers.at(static_cast<std::size_t>(message.kind)))(message, now);
}

void RaftNode::tick(TimePoint now)
{
    if (this->state->role == RaftRole::Leader) {
        this->state->tickLeader(now);
        return;
    }
    if (now >= this->state->electionDeadline) {
        this->state->startPreVote(now);
    }
}

Result<LogIndex> RaftNode::propose(std::string payload, TimePoint now)
{
    State &node = *this->state;
    if (node.role != RaftRole::Leader) {
        return makeError(ErrorKind::NotLeader, "member " + std::to_string(node.leader) + " leads");
    }
    const LogIndex index = node.appendOwn(EntryKind::Command, std::move(payload));
    node.broadcastEntries(now);
    return index;
}

Result<LogIndex> RaftNode::proposeMembership(const Membership &membership, TimePoint now)
{
    State &node = *this->state;
    if (node.role != RaftRole::Leader) {
        return makeError(ErrorKind::NotLeader, "member " + std::to_string(node.leader) + " leads");
    }
    // Before an entry of its own term is committed, a leader may not know of a change that an earlier leader committed.
    const bool busy = !node.committedInOwnTerm() || node.log.membershipIndex() > node.commitIndex;
    if (busy && node.options.defences.oneMembershipChangeAtATime) {
        return makeError(ErrorKind::MembershipBusy, "the change at " + std::to_string(node.log.membershipIndex()) + " isn't committed");
    }
    Status valid = checkMembershipChange(node.log.membership(), membership);
    if (!valid) {
        return valid.error();
    }
    Status caughtUp = node.checkPromotion(membership, now);
    if (!caughtUp) {
        return caughtUp.error();
    }
    const LogIndex index = node.appendOwn(EntryKind::Membership, encodeMembership(membership));
    node.refreshProgress(now);
    node.broadcastEntries(now);
    return index;
}

void RaftNode::requestRead(std::uint64_t token, TimePoint)
{
    State &node = *this->state;
    if (node.role != RaftRole::Leader) {
        node.output.failedReads.push_back(token);
        return;
    }
    node.reads.push_back(Detail::PendingRead{.token = token, .round = 0});
    node.roundWanted = true;
}

RaftOutput RaftNode::takeOutput()
{
    State &node = *this->state;
    if (node.roundWanted && node.role == RaftRole::Leader) {
        node.broadcastHeartbeat(node.lastHeartbeat);
    }
    RaftOutput output = std::exchange(node.output, RaftOutput{});
    if (node.hardState != node.handedHardState) {
        output.hardState = node.hardState;
        node.handedHardState = node.hardState;
    }
    if (node.installed) {
        output.installSnapshot = *node.installed;
        node.installed.reset();
    }
    output.append = node.log.takeUnstable();
    for (LogIndex index = node.delivered + 1; index <= node.commitIndex; ++index) {
        output.committed.push_back(node.log.at(index));
    }
    node.delivered = node.commitIndex;
    return output;
}

void RaftNode::persisted(TimePoint now)
{
    this->state->log.markStable();
    this->state->advanceCommit(now);
}

RaftSnapshot RaftNode::makeSnapshot(std::string appliedState) const
{
    const State &node = *this->state;
    return RaftSnapshot{
        .index = node.delivered,
        .term = node.log.termAt(node.delivered).value_or(0),
        .membership = node.log.membershipAt(node.delivered),
        .state = std::move(appliedState),
    };
}

void RaftNode::compact(const RaftSnapshot &snapshot)
{
    if (snapshot.index > this->state->delivered) {
        return;
    }
    this->state->log.compact(std::make_shared<const RaftSnapshot>(snapshot), this->state->options.retainedBytes);
}

RaftRole RaftNode::role() const
{
    return this->state->role;
}

Term RaftNode::term() const
{
    return this->state->hardState.term;
}

MemberId RaftNode::leader() const
{
    return this->state->leader;
}

LogIndex RaftNode::commitIndex() const
{
    return this->state->commitIndex;
}

LogIndex RaftNode::lastIndex() const
{
    return this->state->log.lastIndex();
}

const Membership &RaftNode::membership() const
{
    return this->state->log.membership();
}

bool RaftNode::membershipChanging() const
{
    return this->state->log.membershipIndex() > this->state->commitIndex;
}

LogIndex RaftNode::matchIndex(MemberId member) const
{
    if (member == this->state->options.self) {
        return this->state->log.stableIndex();
    }
    const auto found = this->state->progress.find(member);
    return found == this->state->progress.end() ? 0 : found->second.match;
}

} // namespace Galenawell
