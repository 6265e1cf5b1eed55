// Types of the replicated log: entries, members, messages, and the output of a node to its driver.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Galenawell {

// Random, stored in the data folder. An empty folder gets a new one, so an instance that lost its disk can't vote twice in
// a term under one identity.
using MemberId = std::uint64_t;
using LogIndex = std::uint64_t;
using Term = std::uint64_t;

enum class EntryKind : std::uint8_t {
    // Appended by a new leader, so that it can commit entries of earlier terms.
    NoOp,
    Command,
    Membership,
};

struct LogEntry
{
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::NoOp;
    std::string payload{};

    friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

struct Member
{
    MemberId id = 0;
    InstanceName instance{};
    // A learner receives the log but neither votes nor counts for a quorum.
    bool voter = false;

    friend bool operator==(const Member &, const Member &) = default;
};

struct Membership
{
    std::vector<Member> members;

    friend bool operator==(const Membership &, const Membership &) = default;
};

// Term and vote; synced before any message that depends on them is sent.
struct HardState
{
    Term term = 0;
    MemberId votedFor = 0;

    friend bool operator==(const HardState &, const HardState &) = default;
};

struct RaftSnapshot
{
    LogIndex index = 0;
    Term term = 0;
    Membership membership{};
    std::string state{};

    friend bool operator==(const RaftSnapshot &, const RaftSnapshot &) = default;
};

enum class RaftMessageKind : std::uint8_t {
    PreVoteRequest,
    PreVoteReply,
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotRequest,
    SnapshotReply,
};

struct RaftMessage
{
    RaftMessageKind kind = RaftMessageKind::AppendRequest;
    MemberId from = 0;
    MemberId to = 0;
    Term term = 0;
    // Log position before the entries, or the candidate's last position.
    LogIndex logIndex = 0;
    Term logTerm = 0;
    std::vector<LogEntry> entries{};
    LogIndex commit = 0;
    // Replies: whether the vote was granted or the log matched; on a mismatch logIndex is the next index to try.
    bool granted = false;
    // Heartbeat round, echoed by the reply; only rounds that began after a read request confirm it.
    std::uint64_t round = 0;
    // SnapshotRequest: one chunk of the state, since the whole state may be larger than a frame.
    std::optional<RaftSnapshot> snapshot{};
    // Offset of the chunk; in a reply, the expected offset of the next one.
    std::uint64_t snapshotOffset = 0;
    // Size of the whole state.
    std::uint64_t snapshotBytes = 0;

    friend bool operator==(const RaftMessage &, const RaftMessage &) = default;
};

// Work for the driver, in this order: store, sync, call persisted(), send, apply.
struct RaftOutput
{
    std::optional<HardState> hardState;
    // Installed before the entries are appended.
    std::optional<RaftSnapshot> installSnapshot;
    // Entries to append; those stored at or after the first index are replaced.
    std::vector<LogEntry> append;
    // Sent only after everything above is synced.
    std::vector<RaftMessage> messages;
    std::vector<LogEntry> committed;
    // Tokens of confirmed reads: the state applied up to `committed` is at least as new as when they were requested.
    std::vector<std::uint64_t> confirmedReads;
    // Tokens of reads that can't be confirmed, because leadership was lost.
    std::vector<std::uint64_t> failedReads;
};

// Rules of the protocol. Tests disable one to show that a fault test detects its absence; all apply otherwise.
struct RaftProtocolRules
{
    bool comparesLogsBeforeVoting = true;
    bool remembersVotes = true;
    bool commitsOnlyOwnTerm = true;
    bool waitsForReadRounds = true;
    bool oneMembershipChangeAtATime = true;
    bool preVotes = true;
    bool checksQuorum = true;
};

struct RaftOptions
{
    MemberId self = 0;
    std::chrono::milliseconds heartbeat{100};
    std::chrono::milliseconds electionTimeoutMinimum{500};
    std::chrono::milliseconds electionTimeoutMaximum{1000};
    // Entries in one append message.
    std::size_t maximumEntriesPerMessage = 64;
    // Payload of one append message or snapshot chunk, well below the frame limit of 4 MiB. A single larger entry is
    // still sent.
    std::size_t maximumBytesPerMessage = std::size_t(1024) * 1024;
    // Entries sent to one member and not yet acknowledged.
    std::size_t maximumEntriesInFlight = 512;
    // Payload of covered entries kept in memory after compact(), so that a member slightly behind needs no snapshot.
    std::size_t retainedBytes = std::size_t(4) * 1024 * 1024;
    RaftProtocolRules rules{};
};

} // namespace Galenawell
