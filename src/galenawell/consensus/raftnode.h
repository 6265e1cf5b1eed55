// One member of the replicated log, as a state machine without sockets, disk or clock.
#pragma once

#include "galenawell/consensus/rafttypes.h"
#include "galenawell/core/error.h"
#include "galenawell/core/randomsource.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace Galenawell {

enum class RaftRole : std::uint8_t {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

// What a node starts from: the newest snapshot and the log after it, as read from storage.
struct RaftPersistentState
{
    HardState hardState;
    std::optional<RaftSnapshot> snapshot;
    std::vector<LogEntry> entries;
};

class RaftNode
{
public:
    RaftNode(RaftOptions options, RaftPersistentState restored, std::uint64_t seed, TimePoint now);
    ~RaftNode();
    RaftNode(RaftNode &&) noexcept;
    RaftNode &operator=(RaftNode &&) noexcept;

    void receive(const RaftMessage &message, TimePoint now);
    void tick(TimePoint now);

    // Appends a command at the leader; the index is where it will commit if this leader stays. NotLeader elsewhere.
    Result<LogIndex> propose(std::string payload, TimePoint now);
    // One change at a time: a learner added, a learner promoted, or a member removed. MembershipBusy while another runs.
    Result<LogIndex> proposeMembership(const Membership &membership, TimePoint now);
    // Asks for confirmation that this leader's committed state is the newest; the token comes back in an output.
    void requestRead(std::uint64_t token, TimePoint now);

    // Everything to do since the last call.
    RaftOutput takeOutput();
    // The entries and the hard state of the last output are synced; only now do they count for a quorum.
    void persisted(TimePoint now);

    // A snapshot of the applied state: everything handed out as committed and nothing else. Its membership is the one in
    // force at that entry, which may be older than membership().
    RaftSnapshot makeSnapshot(std::string appliedState) const;
    // Entries up to this index are covered by a stored snapshot and may be dropped from memory.
    void compact(const RaftSnapshot &snapshot);

    RaftRole role() const;
    Term term() const;
    // 0 if unknown.
    MemberId leader() const;
    LogIndex commitIndex() const;
    LogIndex lastIndex() const;
    // The newest in the log; it is in force from the moment it is appended, committed or not.
    const Membership &membership() const;
    // True while the newest membership isn't committed.
    bool membershipChanging() const;
    // Leader only: how far a member's log is known to match; for judging whether a learner caught up.
    LogIndex matchIndex(MemberId member) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Galenawell
