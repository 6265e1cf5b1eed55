// Elections, changes of role, and what the membership says about quorums.
#include "galenawell/consensus/raftnodestate.h"

#include <utility>

namespace Galenawell {

RaftNode::State::State(RaftOptions raftOptions, RaftPersistentState restored, std::uint64_t seed, TimePoint now)
    : options(raftOptions)
    , random(seed)
    , hardState(restored.hardState)
    , handedHardState(restored.hardState)
    , log(std::move(restored.snapshot), std::move(restored.entries))
{
    // A crash between storing a received snapshot and the hard state leaves the term behind; no vote was given in it.
    if (this->log.lastTerm() > this->hardState.term) {
        this->hardState = HardState{.term = this->log.lastTerm(), .votedFor = 0};
    }
    if (this->log.snapshot()) {
        this->commitIndex = this->log.snapshot()->index;
        this->delivered = this->commitIndex;
    }
    this->resetElectionDeadline(now);
}

void RaftNode::State::resetElectionDeadline(TimePoint now)
{
    const auto spread = this->options.electionTimeoutMaximum - this->options.electionTimeoutMinimum;
    const auto extra = this->random.below(static_cast<std::size_t>(spread.count()) + 1);
    this->electionDeadline = now + this->options.electionTimeoutMinimum + std::chrono::milliseconds(extra);
}

void RaftNode::State::becomeFollower(Term newTerm, MemberId newLeader, TimePoint now)
{
    if (newTerm > this->hardState.term) {
        this->hardState = HardState{.term = newTerm, .votedFor = 0};
    }
    if (this->role != RaftRole::Follower) {
        this->resetElectionDeadline(now);
    }
    this->role = RaftRole::Follower;
    this->leader = newLeader;
    this->progress.clear();
    this->votes.clear();
    this->failReads();
}

void RaftNode::State::startPreVote(TimePoint now)
{
    this->resetElectionDeadline(now);
    this->leader = 0;
    if (!this->isVoter(this->options.self)) {
        return;
    }
    this->role = RaftRole::PreCandidate;
    this->votes = {this->options.self};
    const bool alone = this->majorityOfVoters([this](MemberId id) { return this->votes.contains(id); });
    if (alone || !this->options.defences.preVotes) {
        this->startElection(now);
        return;
    }
    for (const Member &member : this->log.membership().members) {
        if (!member.voter || member.id == this->options.self) {
            continue;
        }
        RaftMessage &message = this->send(RaftMessageKind::PreVoteRequest, member.id);
        message.term = this->hardState.term + 1;
        message.logIndex = this->log.lastIndex();
        message.logTerm = this->log.lastTerm();
    }
}

void RaftNode::State::startElection(TimePoint now)
{
    this->resetElectionDeadline(now);
    this->role = RaftRole::Candidate;
    this->hardState = HardState{.term = this->hardState.term + 1, .votedFor = this->options.self};
    this->votes = {this->options.self};
    if (this->majorityOfVoters([this](MemberId id) { return this->votes.contains(id); })) {
        this->becomeLeader(now);
        return;
    }
    for (const Member &member : this->log.membership().members) {
        if (!member.voter || member.id == this->options.self) {
            continue;
        }
        RaftMessage &message = this->send(RaftMessageKind::VoteRequest, member.id);
        message.logIndex = this->log.lastIndex();
        message.logTerm = this->log.lastTerm();
    }
}

void RaftNode::State::becomeLeader(TimePoint now)
{
    this->role = RaftRole::Leader;
    this->leader = this->options.self;
    this->round = 0;
    this->roundWanted = false;
    this->lastHeartbeat = now;
    this->progress.clear();
    this->refreshProgress(now);
    this->appendOwn(EntryKind::NoOp, {});
    this->broadcastHeartbeat(now);
}

void RaftNode::State::tickLeader(TimePoint now)
{
    this->checkQuorum(now);
    if (this->role == RaftRole::Leader && now - this->lastHeartbeat >= this->options.heartbeat) {
        this->broadcastHeartbeat(now);
    }
}

void RaftNode::State::checkQuorum(TimePoint now)
{
    const bool heard = this->majorityOfVoters([this, now](MemberId id) {
        if (id == this->options.self) {
            return true;
        }
        const auto found = this->progress.find(id);
        return found != this->progress.end() && now - found->second.lastReply < this->options.electionTimeoutMaximum;
    });
    if (!heard && this->options.defences.checksQuorum) {
        this->becomeFollower(this->hardState.term, 0, now);
    }
}

bool RaftNode::State::isVoter(MemberId id) const
{
    const Member *member = findMember(this->log.membership(), id);
    return member != nullptr && member->voter;
}

void RaftNode::State::refreshProgress(TimePoint now)
{
    const Membership &membership = this->log.membership();
    std::erase_if(this->progress, [&membership](const auto &item) { return findMember(membership, item.first) == nullptr; });
    for (const Member &member : membership.members) {
        if (member.id == this->options.self || this->progress.contains(member.id)) {
            continue;
        }
        Detail::Progress added;
        added.next = this->log.lastIndex() + 1;
        added.lastReply = now;
        this->progress.emplace(member.id, std::move(added));
    }
}

// A learner that lags behind or is silent would make the changed majority slower or unreachable.
Status RaftNode::State::checkPromotion(const Membership &to, TimePoint now) const
{
    for (const Member &member : to.members) {
        const Member *before = findMember(this->log.membership(), member.id);
        if (!member.voter || before == nullptr || before->voter) {
            continue;
        }
        const auto found = this->progress.find(member.id);
        if (found == this->progress.end()) {
            continue;
        }
        const Detail::Progress &learner = found->second;
        const bool silent = now - learner.lastReply >= this->options.electionTimeoutMaximum;
        if (silent || learner.match + this->options.maximumEntriesPerMessage < this->log.lastIndex()) {
            return makeError(ErrorKind::MembershipBusy,
                             "learner " + std::to_string(member.id) + " holds the log up to " + std::to_string(learner.match) + " of "
                                 + std::to_string(this->log.lastIndex()));
        }
    }
    return boost::outcome_v2::success();
}

} // namespace Galenawell
