// Message handlers of RaftNode.
#include "galenawell/consensus/raftnodestate.h"

#include <algorithm>
#include <utility>

namespace Galenawell {

RaftMessage &RaftNode::State::send(RaftMessageKind kind, MemberId to)
{
    RaftMessage message;
    message.kind = kind;
    message.from = this->options.self;
    message.to = to;
    message.term = this->hardState.term;
    this->output.messages.push_back(std::move(message));
    return this->output.messages.back();
}

bool RaftNode::State::hasRecentLeader(TimePoint now) const
{
    if (this->role == RaftRole::Leader) {
        return true;
    }
    return this->leader != 0 && now - this->lastLeaderContactAt < this->options.electionTimeoutMinimum;
}

bool RaftNode::State::isUpToDate(const RaftMessage &message) const
{
    if (!this->options.rules.comparesLogsBeforeVoting) {
        return true;
    }
    if (message.logTerm != this->log.lastTerm()) {
        return message.logTerm > this->log.lastTerm();
    }
    return message.logIndex >= this->log.lastIndex();
}

void RaftNode::State::receivePreVoteRequest(const RaftMessage &message, TimePoint now)
{
    const bool granted = message.term > this->hardState.term && this->isUpToDate(message) && !this->hasRecentLeader(now);
    RaftMessage &reply = this->send(RaftMessageKind::PreVoteReply, message.from);
    reply.granted = granted;
    // A granted reply carries the requested term; a rejection carries this member's term, which may be newer.
    if (granted) {
        reply.term = message.term;
    }
}

void RaftNode::State::receivePreVoteReply(const RaftMessage &message, TimePoint now)
{
    if (!message.granted) {
        if (message.term > this->hardState.term) {
            this->becomeFollower(message.term, 0, now);
        }
        return;
    }
    if (this->role != RaftRole::PreCandidate || message.term != this->hardState.term + 1) {
        return;
    }
    this->votes.insert(message.from);
    if (this->majorityOfVoters([this](MemberId id) { return this->votes.contains(id); })) {
        this->startElection(now);
    }
}

void RaftNode::State::receiveVoteRequest(const RaftMessage &message, TimePoint now)
{
    // A removed or isolated member must not depose a leader that still reaches the others.
    if (message.term > this->hardState.term && this->hasRecentLeader(now)) {
        return;
    }
    if (message.term > this->hardState.term) {
        this->becomeFollower(message.term, 0, now);
    }
    const bool mayVote = !this->options.rules.remembersVotes || this->hardState.votedFor == 0 || this->hardState.votedFor == message.from;
    const bool granted = message.term == this->hardState.term && mayVote && this->isUpToDate(message);
    if (granted) {
        this->hardState.votedFor = message.from;
        this->resetElectionDeadline(now);
    }
    RaftMessage &reply = this->send(RaftMessageKind::VoteReply, message.from);
    reply.granted = granted;
}

void RaftNode::State::receiveVoteReply(const RaftMessage &message, TimePoint now)
{
    if (message.term > this->hardState.term) {
        this->becomeFollower(message.term, 0, now);
        return;
    }
    if (this->role != RaftRole::Candidate || message.term != this->hardState.term || !message.granted) {
        return;
    }
    this->votes.insert(message.from);
    if (this->majorityOfVoters([this](MemberId id) { return this->votes.contains(id); })) {
        this->becomeLeader(now);
    }
}

bool RaftNode::State::acceptLeaderRequest(const RaftMessage &message, RaftMessageKind replyKind, TimePoint now)
{
    if (message.term < this->hardState.term) {
        // The higher term in the reply makes the former leader step down.
        this->send(replyKind, message.from);
        return false;
    }
    if (this->role == RaftRole::Leader && message.term == this->hardState.term) {
        return false;
    }
    if (message.term > this->hardState.term || this->role != RaftRole::Follower) {
        this->becomeFollower(message.term, message.from, now);
    }
    this->leader = message.from;
    this->lastLeaderContactAt = now;
    this->resetElectionDeadline(now);
    return true;
}

bool RaftNode::State::matchesLog(const RaftMessage &message) const
{
    // Committed entries are the same in the log of every leader.
    if (message.logIndex <= this->commitIndex) {
        return true;
    }
    return this->log.termAt(message.logIndex) == message.logTerm;
}

LogIndex RaftNode::State::conflictHint(const RaftMessage &message) const
{
    if (message.logIndex > this->log.lastIndex()) {
        return this->log.lastIndex() + 1;
    }
    // Skips the whole conflicting term, since the leader can't hold any later entry of it either.
    const std::optional<Term> conflicting = this->log.termAt(message.logIndex);
    LogIndex hint = message.logIndex;
    while (hint > this->commitIndex + 1 && this->log.termAt(hint - 1) == conflicting) {
        --hint;
    }
    return hint;
}

void RaftNode::State::appendReceived(const RaftMessage &message)
{
    for (const LogEntry &entry : message.entries) {
        if (entry.index <= this->commitIndex || this->log.termAt(entry.index) == entry.term) {
            continue;
        }
        if (entry.index <= this->log.lastIndex()) {
            this->log.truncateFrom(entry.index);
        }
        this->log.append(entry);
    }
}

void RaftNode::State::receiveAppendRequest(const RaftMessage &message, TimePoint now)
{
    if (!this->acceptLeaderRequest(message, RaftMessageKind::AppendReply, now)) {
        return;
    }
    for (std::size_t offset = 0; offset < message.entries.size(); ++offset) {
        if (message.entries[offset].index != message.logIndex + 1 + offset) {
            return;
        }
    }
    const bool matched = this->matchesLog(message);
    LogIndex position = 0;
    if (matched) {
        this->appendReceived(message);
        position = message.logIndex + message.entries.size();
        // Entries after the position may still be those of an earlier leader.
        this->commitIndex = std::max(this->commitIndex, std::min(message.commit, position));
    } else {
        position = this->conflictHint(message);
    }
    RaftMessage &reply = this->send(RaftMessageKind::AppendReply, message.from);
    reply.granted = matched;
    reply.logIndex = position;
    reply.round = message.round;
}

Detail::Progress *RaftNode::State::acceptFollowerReply(const RaftMessage &message, TimePoint now)
{
    if (message.term > this->hardState.term) {
        this->becomeFollower(message.term, 0, now);
        return nullptr;
    }
    if (this->role != RaftRole::Leader || message.term != this->hardState.term) {
        return nullptr;
    }
    const auto found = this->progress.find(message.from);
    if (found == this->progress.end()) {
        return nullptr;
    }
    found->second.lastReplyAt = now;
    found->second.acknowledgedRound = std::max(found->second.acknowledgedRound, message.round);
    return &found->second;
}

void RaftNode::State::receiveAppendReply(const RaftMessage &message, TimePoint now)
{
    Detail::Progress *member = this->acceptFollowerReply(message, now);
    if (member == nullptr) {
        return;
    }
    if (message.granted) {
        member->matchIndex = std::max(member->matchIndex, message.logIndex);
        member->nextIndex = std::max(member->nextIndex, member->matchIndex + 1);
        if (!member->snapshot) {
            member->probing = false;
        }
    } else if (!member->snapshot) {
        member->nextIndex = std::clamp(message.logIndex, member->matchIndex + 1, std::max(member->nextIndex, member->matchIndex + 1));
        member->probing = true;
        this->sendHeartbeat(message.from, *member, now);
    }
    if (!member->probing) {
        this->sendEntries(message.from, *member, now);
    }
    this->confirmReads();
    // May step down, which clears the progress.
    this->advanceCommit(now);
}

void RaftNode::State::receiveSnapshotRequest(const RaftMessage &message, TimePoint now)
{
    if (!message.snapshot || !this->acceptLeaderRequest(message, RaftMessageKind::SnapshotReply, now)) {
        return;
    }
    const RaftSnapshot &chunk = *message.snapshot;
    RaftMessage &reply = this->send(RaftMessageKind::SnapshotReply, message.from);
    reply.round = message.round;
    reply.logIndex = chunk.index;
    if (chunk.index <= this->commitIndex) {
        reply.granted = true;
        return;
    }
    const bool continuesTransfer = this->incomingSnapshot.from == message.from && this->incomingSnapshot.leaderTerm == message.term
        && this->incomingSnapshot.index == chunk.index;
    if (!continuesTransfer) {
        this->incomingSnapshot
            = Detail::IncomingSnapshot{.from = message.from, .leaderTerm = message.term, .index = chunk.index, .state = {}};
    }
    if (message.snapshotOffset == this->incomingSnapshot.state.size()) {
        this->incomingSnapshot.state += chunk.state;
    }
    reply.snapshotOffset = this->incomingSnapshot.state.size();
    if (this->incomingSnapshot.state.size() < message.snapshotBytes) {
        return;
    }
    reply.granted = true;
    this->installSnapshot(RaftSnapshot{
        .index = chunk.index,
        .term = chunk.term,
        .membership = chunk.membership,
        .state = std::move(this->incomingSnapshot.state),
    });
    this->incomingSnapshot = Detail::IncomingSnapshot{};
}

void RaftNode::State::installSnapshot(RaftSnapshot snapshot)
{
    this->commitIndex = snapshot.index;
    this->deliveredIndex = snapshot.index;
    this->installedSnapshot = std::make_shared<const RaftSnapshot>(std::move(snapshot));
    this->log.install(this->installedSnapshot);
}

void RaftNode::State::receiveSnapshotReply(const RaftMessage &message, TimePoint now)
{
    Detail::Progress *member = this->acceptFollowerReply(message, now);
    if (member == nullptr) {
        return;
    }
    const bool inTransfer = member->snapshot && member->snapshot->index == message.logIndex;
    if (inTransfer && message.granted) {
        member->matchIndex = std::max(member->matchIndex, message.logIndex);
        member->nextIndex = member->matchIndex + 1;
        member->snapshot.reset();
        member->probing = false;
        this->sendEntries(message.from, *member, now);
    } else if (inTransfer && message.snapshotOffset <= member->snapshot->state.size() && message.snapshotOffset != member->snapshotOffset) {
        member->snapshotOffset = message.snapshotOffset;
        this->sendSnapshotChunk(message.from, *member, now);
    }
    this->confirmReads();
    this->advanceCommit(now);
}

} // namespace Galenawell
