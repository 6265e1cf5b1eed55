// In-memory log of one member: the newest snapshot, the entries after it, and the index up to which they are synced.
#pragma once

#include "galenawell/consensus/rafttypes.h"

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace Galenawell::Detail {

class RaftLog
{
public:
    RaftLog(std::optional<RaftSnapshot> snapshot, std::vector<LogEntry> entries);

    // Last index of the log, or the snapshot's if no entry follows it.
    LogIndex lastIndex() const;
    Term lastTerm() const;
    // Term of the entry at this index; nullopt if it was compacted away or isn't appended yet.
    std::optional<Term> termAt(LogIndex index) const;
    const LogEntry &at(LogIndex index) const;
    // True if the entries from this index on can be sent, which needs the term of the entry before them.
    bool canSendFrom(LogIndex index) const;
    std::vector<LogEntry> slice(LogIndex first, std::size_t maximumEntries, std::size_t maximumBytes) const;

    void append(LogEntry entry);
    // Removes the entries from this index on, which must lie after the snapshot.
    void truncateFrom(LogIndex index);

    // Replaces the log by the snapshot; keeps the entries after it only if the log holds the snapshot's last entry.
    void install(std::shared_ptr<const RaftSnapshot> snapshot);
    // Replaces the snapshot by a newer one of this member's own state; keeps up to `retainedBytes` of covered entries.
    void compact(std::shared_ptr<const RaftSnapshot> snapshot, std::size_t retainedBytes);
    // Null before the first snapshot.
    const std::shared_ptr<const RaftSnapshot> &snapshot() const;

    // Entries that no earlier call returned, for storage.
    std::vector<LogEntry> takeUnstable();
    // The entries that takeUnstable() returned are synced.
    void markStable();
    LogIndex stableIndex() const;

    // The newest membership in the log, committed or not, and the index of its entry (or of the snapshot).
    const Membership &membership() const;
    LogIndex membershipIndex() const;
    // The membership in force at this entry, which must not lie before the snapshot.
    Membership membershipAt(LogIndex index) const;

private:
    LogIndex snapshotIndex() const;
    // Index of the last membership entry up to this one, or of the snapshot.
    LogIndex membershipEntryBefore(LogIndex index) const;
    void refreshMembership();

    std::shared_ptr<const RaftSnapshot> newestSnapshot;
    // Index before entries.front(); at most the snapshot's index.
    LogIndex baseIndex = 0;
    Term baseTerm = 0;
    std::deque<LogEntry> entries;
    // syncedIndex <= takenIndex <= lastIndex().
    LogIndex takenIndex = 0;
    LogIndex syncedIndex = 0;
    Membership newestMembership;
    LogIndex newestMembershipIndex = 0;
};

} // namespace Galenawell::Detail
