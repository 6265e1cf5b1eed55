// State of RaftNode, shared by the sources that implement its roles, its leadership and its message handlers.
#pragma once

#include "galenawell/consensus/membershipplan.h"
#include "galenawell/consensus/raftlog.h"
#include "galenawell/consensus/raftnode.h"

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace Galenawell {

namespace Detail {

// What the leader knows about one other member.
struct Progress
{
    // Known to be stored by the member; only grows within a term.
    LogIndex match = 0;
    LogIndex next = 1;
    // While the member's position is unknown, one request at a time is sent and `next` doesn't advance with it.
    bool probing = true;
    std::uint64_t ackedRound = 0;
    TimePoint lastReply;
    // Set while this snapshot is transferred; a newer one doesn't replace it in the middle.
    std::shared_ptr<const RaftSnapshot> snapshot;
    std::uint64_t snapshotOffset = 0;
    TimePoint snapshotSent;
};

struct PendingRead
{
    std::uint64_t token = 0;
    // Acknowledgements of this round or a later one confirm the read; 0 until a round began after the request.
    std::uint64_t round = 0;
};

// Chunks received so far of a snapshot that a leader transfers.
struct IncomingSnapshot
{
    MemberId from = 0;
    Term leaderTerm = 0;
    LogIndex index = 0;
    std::string state;
};

} // namespace Detail

struct RaftNode::State
{
    State(RaftOptions raftOptions, RaftPersistentState restored, std::uint64_t seed, TimePoint now);

    using Handler = void (State::*)(const RaftMessage &, TimePoint);

    // Roles.
    void becomeFollower(Term newTerm, MemberId newLeader, TimePoint now);
    void becomeLeader(TimePoint now);
    void startPreVote(TimePoint now);
    void startElection(TimePoint now);
    void tickLeader(TimePoint now);
    void checkQuorum(TimePoint now);
    void resetElectionDeadline(TimePoint now);

    // Membership.
    bool isVoter(MemberId id) const;
    template<typename Predicate>
    bool majorityOfVoters(Predicate predicate) const;
    void refreshProgress(TimePoint now);
    Status checkPromotion(const Membership &to, TimePoint now) const;

    // Leader.
    LogIndex appendOwn(EntryKind kind, std::string payload);
    void broadcastHeartbeat(TimePoint now);
    void sendHeartbeat(MemberId member, Detail::Progress &progress, TimePoint now);
    void sendEntries(MemberId member, Detail::Progress &progress, TimePoint now);
    void sendSnapshotChunk(MemberId member, Detail::Progress &progress, TimePoint now);
    void broadcastEntries(TimePoint now);
    void advanceCommit(TimePoint now);
    void afterCommit(TimePoint now);
    bool committedInOwnTerm() const;
    void confirmReads();
    void failReads();

    // Messages.
    void receivePreVoteRequest(const RaftMessage &message, TimePoint now);
    void receivePreVoteReply(const RaftMessage &message, TimePoint now);
    void receiveVoteRequest(const RaftMessage &message, TimePoint now);
    void receiveVoteReply(const RaftMessage &message, TimePoint now);
    void receiveAppendRequest(const RaftMessage &message, TimePoint now);
    void receiveAppendReply(const RaftMessage &message, TimePoint now);
    void receiveSnapshotRequest(const RaftMessage &message, TimePoint now);
    void receiveSnapshotReply(const RaftMessage &message, TimePoint now);
    bool hasRecentLeader(TimePoint now) const;
    bool isUpToDate(const RaftMessage &message) const;
    // Handles the term of a request of a leader; false if the sender is no leader any more.
    bool acceptLeader(const RaftMessage &message, RaftMessageKind replyKind, TimePoint now);
    // Handles the term of a reply to a leader; null if the reply has no effect.
    Detail::Progress *acceptReply(const RaftMessage &message, TimePoint now);
    bool matches(const RaftMessage &message) const;
    LogIndex mismatchHint(const RaftMessage &message) const;
    void appendReceived(const RaftMessage &message);
    void installSnapshot(RaftSnapshot snapshot);
    RaftMessage &send(RaftMessageKind kind, MemberId to);

    RaftOptions options;
    RandomSource random;
    HardState hardState;
    HardState handedHardState;
    Detail::RaftLog log;
    RaftRole role = RaftRole::Follower;
    MemberId leader = 0;
    TimePoint lastLeaderContact;
    TimePoint electionDeadline;
    std::set<MemberId> votes;

    // Never decreases; entries up to it are never truncated.
    LogIndex commitIndex = 0;
    // Last entry that an output handed out as committed.
    LogIndex delivered = 0;

    // Leader only.
    std::map<MemberId, Detail::Progress> progress;
    std::uint64_t round = 0;
    bool roundWanted = false;
    TimePoint lastHeartbeat;
    std::vector<Detail::PendingRead> reads;

    Detail::IncomingSnapshot incoming;
    std::shared_ptr<const RaftSnapshot> installed;
    RaftOutput output;
};

template<typename Predicate>
bool RaftNode::State::majorityOfVoters(Predicate predicate) const
{
    std::size_t voters = 0;
    std::size_t counted = 0;
    for (const Member &member : this->log.membership().members) {
        if (!member.voter) {
            continue;
        }
        ++voters;
        if (predicate(member.id)) {
            ++counted;
        }
    }
    return counted * 2 > voters;
}

} // namespace Galenawell
