// Raft state machine of one member, without sockets, disk or clock: a driver performs the I/O and passes the time.
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

// State that a node starts from, as read from storage: hard state, newest snapshot and the entries after it.
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

    // Appends a command and returns its index, at which it commits unless another leader replaces it. NotLeader if this
    // member isn't the leader.
    Result<LogIndex> propose(std::string payload, TimePoint now);
    // One change at a time: a learner added, a learner promoted, or a member removed. MembershipBusy while another
    // change is uncommitted.
    Result<LogIndex> proposeMembership(const Membership &membership, TimePoint now);
    // Requests confirmation that this leader's committed state is the newest; a later output contains the token.
    void requestRead(std::uint64_t token, TimePoint now);

    // Returns the work for the driver that accumulated since the last call.
    RaftOutput takeOutput();
    // The entries and the hard state of the last output are synced; they count for a quorum only after this call.
    void persisted(TimePoint now);

    // A snapshot of the applied state, which must include exactly the entries that outputs returned as committed. Its
    // membership is the one in effect at the last of them, which may be older than membership().
    RaftSnapshot makeSnapshot(std::string appliedState) const;
    // The snapshot is stored; the entries that it covers may be dropped from memory.
    void compact(const RaftSnapshot &snapshot);

    RaftRole role() const;
    Term term() const;
    // 0 if unknown.
    MemberId leader() const;
    LogIndex commitIndex() const;
    LogIndex lastIndex() const;
    // The newest in the log; it takes effect when it is appended, committed or not.
    const Membership &membership() const;
    // True while the newest membership isn't committed.
    bool membershipChanging() const;
    // Leader only: last index up to which a member's log is known to match; shows whether a learner has caught up.
    LogIndex matchIndex(MemberId member) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Galenawell
