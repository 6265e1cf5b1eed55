// Leader part of RaftNode: replication, heartbeats, commit, confirmed reads.
#include "galenawell/consensus/raftnodestate.h"

#include <algorithm>
#include <utility>

namespace Galenawell {

LogIndex RaftNode::State::appendAsLeader(EntryKind kind, std::string payload)
{
    const LogIndex index = this->log.lastIndex() + 1;
    this->log.append(LogEntry{.index = index, .term = this->hardState.term, .kind = kind, .payload = std::move(payload)});
    return index;
}

void RaftNode::State::broadcastHeartbeat(TimePoint now)
{
    this->lastHeartbeatAt = now;
    this->heartbeatRequested = false;
    ++this->heartbeatRound;
    for (Detail::PendingRead &read : this->pendingReads) {
        if (read.round == 0) {
            read.round = this->heartbeatRound;
        }
    }
    for (auto &[member, memberProgress] : this->progress) {
        this->sendHeartbeat(member, memberProgress, now);
    }
    // A single voter is its own majority.
    this->confirmReads();
}

void RaftNode::State::sendHeartbeat(MemberId member, Detail::Progress &memberProgress, TimePoint now)
{
    RaftMessage &message = this->send(RaftMessageKind::AppendRequest, member);
    message.round = this->heartbeatRound;
    if (memberProgress.snapshot) {
        // Index 0 matches every log; the member's log position is unknown until the snapshot is installed.
        if (now - memberProgress.snapshotSentAt >= this->options.electionTimeoutMinimum) {
            this->sendSnapshotChunk(member, memberProgress, now);
        }
        return;
    }
    if (!this->log.canSendFrom(memberProgress.nextIndex)) {
        this->sendSnapshotChunk(member, memberProgress, now);
        return;
    }
    message.logIndex = memberProgress.nextIndex - 1;
    message.logTerm = this->log.termAt(memberProgress.nextIndex - 1).value_or(0);
    message.commit = std::min(this->commitIndex, message.logIndex);
}

void RaftNode::State::sendEntries(MemberId member, Detail::Progress &memberProgress, TimePoint now)
{
    if (memberProgress.snapshot) {
        return;
    }
    if (!this->log.canSendFrom(memberProgress.nextIndex)) {
        this->sendSnapshotChunk(member, memberProgress, now);
        return;
    }
    while (memberProgress.nextIndex <= this->log.lastIndex()
           && memberProgress.nextIndex <= memberProgress.matchIndex + this->options.maximumEntriesInFlight) {
        std::vector<LogEntry> entries
            = this->log.slice(memberProgress.nextIndex, this->options.maximumEntriesPerMessage, this->options.maximumBytesPerMessage);
        RaftMessage &message = this->send(RaftMessageKind::AppendRequest, member);
        message.round = this->heartbeatRound;
        message.logIndex = memberProgress.nextIndex - 1;
        message.logTerm = this->log.termAt(memberProgress.nextIndex - 1).value_or(0);
        message.commit = this->commitIndex;
        memberProgress.nextIndex += entries.size();
        message.entries = std::move(entries);
    }
}

void RaftNode::State::sendSnapshotChunk(MemberId member, Detail::Progress &memberProgress, TimePoint now)
{
    if (!memberProgress.snapshot) {
        memberProgress.snapshot = this->log.snapshot();
        memberProgress.snapshotOffset = 0;
    }
    const RaftSnapshot &snapshot = *memberProgress.snapshot;
    memberProgress.snapshotSentAt = now;
    RaftMessage &message = this->send(RaftMessageKind::SnapshotRequest, member);
    message.round = this->heartbeatRound;
    message.snapshotOffset = memberProgress.snapshotOffset;
    message.snapshotBytes = snapshot.state.size();
    message.snapshot = RaftSnapshot{
        .index = snapshot.index,
        .term = snapshot.term,
        .membership = snapshot.membership,
        .state = snapshot.state.substr(memberProgress.snapshotOffset, this->options.maximumBytesPerMessage),
    };
}

void RaftNode::State::broadcastEntries(TimePoint now)
{
    for (auto &[member, memberProgress] : this->progress) {
        if (!memberProgress.probing) {
            this->sendEntries(member, memberProgress, now);
        }
    }
}

bool RaftNode::State::committedInOwnTerm() const
{
    return this->log.termAt(this->commitIndex) == this->hardState.term;
}

void RaftNode::State::advanceCommit(TimePoint now)
{
    if (this->role != RaftRole::Leader) {
        return;
    }
    std::vector<LogIndex> matches;
    for (const Member &member : this->log.membership().members) {
        if (!member.voter) {
            continue;
        }
        if (member.id == this->options.self) {
            matches.push_back(this->log.stableIndex());
            continue;
        }
        const auto found = this->progress.find(member.id);
        matches.push_back(found == this->progress.end() ? 0 : found->second.matchIndex);
    }
    if (matches.empty()) {
        return;
    }
    std::ranges::sort(matches, std::greater<>());
    // Stored by a majority of the voters.
    const LogIndex majorityIndex = matches[matches.size() / 2];
    // An entry of an earlier term may still be replaced by a later leader, even if a majority stores it.
    const bool ownTerm = this->log.termAt(majorityIndex) == this->hardState.term || !this->options.rules.commitsOnlyOwnTerm;
    if (majorityIndex <= this->commitIndex || !ownTerm) {
        return;
    }
    this->commitIndex = majorityIndex;
    this->afterCommit(now);
}

void RaftNode::State::afterCommit(TimePoint now)
{
    this->confirmReads();
    const bool removed = !this->isVoter(this->options.self) && this->log.membershipIndex() <= this->commitIndex;
    if (!removed) {
        return;
    }
    // Sends the commit index of the removal to the others before this member steps down.
    this->broadcastHeartbeat(now);
    this->becomeFollower(this->hardState.term, 0, now);
}

void RaftNode::State::confirmReads()
{
    if (this->pendingReads.empty() || !this->committedInOwnTerm()) {
        return;
    }
    std::vector<Detail::PendingRead> waiting;
    for (const Detail::PendingRead &read : this->pendingReads) {
        const bool confirmed
            = !this->options.rules.waitsForReadRounds || (read.round != 0 && this->majorityOfVoters([this, &read](MemberId id) {
                  if (id == this->options.self) {
                      return true;
                  }
                  const auto found = this->progress.find(id);
                  return found != this->progress.end() && found->second.acknowledgedRound >= read.round;
              }));
        if (confirmed) {
            this->output.confirmedReads.push_back(read.token);
        } else {
            waiting.push_back(read);
        }
    }
    this->pendingReads = std::move(waiting);
}

void RaftNode::State::failReads()
{
    for (const Detail::PendingRead &read : this->pendingReads) {
        this->output.failedReads.push_back(read.token);
    }
    this->pendingReads.clear();
}

} // namespace Galenawell
