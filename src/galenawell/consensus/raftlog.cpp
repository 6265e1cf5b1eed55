#include "galenawell/consensus/raftlog.h"

#include "galenawell/consensus/raftcodec.h"

#include <algorithm>

namespace Galenawell::Detail {

RaftLog::RaftLog(std::optional<RaftSnapshot> snapshot, std::vector<LogEntry> restored)
{
    if (snapshot) {
        this->newestSnapshot = std::make_shared<const RaftSnapshot>(std::move(*snapshot));
        this->baseIndex = this->newestSnapshot->index;
        this->baseTerm = this->newestSnapshot->term;
    }
    for (LogEntry &entry : restored) {
        if (entry.index == this->lastIndex() + 1) {
            this->entries.push_back(std::move(entry));
        }
    }
    this->takenIndex = this->lastIndex();
    this->syncedIndex = this->lastIndex();
    this->refreshMembership();
}

LogIndex RaftLog::lastIndex() const
{
    return this->baseIndex + this->entries.size();
}

Term RaftLog::lastTerm() const
{
    return this->entries.empty() ? this->baseTerm : this->entries.back().term;
}

std::optional<Term> RaftLog::termAt(LogIndex index) const
{
    if (index == this->baseIndex) {
        return this->baseTerm;
    }
    if (index < this->baseIndex || index > this->lastIndex()) {
        return std::nullopt;
    }
    return this->at(index).term;
}

const LogEntry &RaftLog::at(LogIndex index) const
{
    return this->entries.at(index - this->baseIndex - 1);
}

bool RaftLog::canSendFrom(LogIndex index) const
{
    return index > this->baseIndex;
}

std::vector<LogEntry> RaftLog::slice(LogIndex first, std::size_t maximumEntries, std::size_t maximumBytes) const
{
    std::vector<LogEntry> result;
    std::size_t bytes = 0;
    for (LogIndex index = first; index <= this->lastIndex() && result.size() < maximumEntries; ++index) {
        const LogEntry &entry = this->at(index);
        bytes += entry.payload.size();
        if (!result.empty() && bytes > maximumBytes) {
            break;
        }
        result.push_back(entry);
    }
    return result;
}

void RaftLog::append(LogEntry entry)
{
    const bool changesMembership = entry.kind == EntryKind::Membership;
    this->entries.push_back(std::move(entry));
    if (changesMembership) {
        this->refreshMembership();
    }
}

void RaftLog::truncateFrom(LogIndex index)
{
    while (this->lastIndex() >= index && !this->entries.empty()) {
        this->entries.pop_back();
    }
    this->takenIndex = std::min(this->takenIndex, this->lastIndex());
    this->syncedIndex = std::min(this->syncedIndex, this->lastIndex());
    this->refreshMembership();
}

void RaftLog::install(std::shared_ptr<const RaftSnapshot> snapshot)
{
    const LogIndex index = snapshot->index;
    const bool containsSnapshotEntry = this->termAt(index) == snapshot->term;
    if (containsSnapshotEntry) {
        while (this->baseIndex < index) {
            this->entries.pop_front();
            ++this->baseIndex;
        }
    } else {
        this->entries.clear();
        this->takenIndex = index;
        this->syncedIndex = index;
    }
    this->baseIndex = index;
    this->baseTerm = snapshot->term;
    this->takenIndex = std::max(this->takenIndex, index);
    this->newestSnapshot = std::move(snapshot);
    this->refreshMembership();
}

void RaftLog::compact(std::shared_ptr<const RaftSnapshot> snapshot, std::size_t retainedBytes)
{
    if (snapshot->index <= this->snapshotIndex() || snapshot->index > this->lastIndex()) {
        return;
    }
    this->newestSnapshot = std::move(snapshot);
    // Walks back from the snapshot to find how many covered entries fit into the retained size.
    LogIndex firstKept = this->newestSnapshot->index + 1;
    std::size_t bytes = 0;
    while (firstKept > this->baseIndex + 1) {
        bytes += this->at(firstKept - 1).payload.size() + sizeof(LogEntry);
        if (bytes > retainedBytes) {
            break;
        }
        --firstKept;
    }
    while (this->baseIndex + 1 < firstKept) {
        this->baseTerm = this->entries.front().term;
        this->entries.pop_front();
        ++this->baseIndex;
    }
}

const std::shared_ptr<const RaftSnapshot> &RaftLog::snapshot() const
{
    return this->newestSnapshot;
}

std::vector<LogEntry> RaftLog::takeUnstable()
{
    std::vector<LogEntry> result;
    for (LogIndex index = this->takenIndex + 1; index <= this->lastIndex(); ++index) {
        result.push_back(this->at(index));
    }
    this->takenIndex = this->lastIndex();
    return result;
}

void RaftLog::markStable()
{
    this->syncedIndex = this->takenIndex;
}

LogIndex RaftLog::stableIndex() const
{
    return this->syncedIndex;
}

const Membership &RaftLog::membership() const
{
    return this->newestMembership;
}

LogIndex RaftLog::membershipIndex() const
{
    return this->newestMembershipIndex;
}

LogIndex RaftLog::snapshotIndex() const
{
    return this->newestSnapshot ? this->newestSnapshot->index : 0;
}

LogIndex RaftLog::membershipEntryBefore(LogIndex last) const
{
    LogIndex index = last;
    while (index > this->snapshotIndex() && this->at(index).kind != EntryKind::Membership) {
        --index;
    }
    return index;
}

Membership RaftLog::membershipAt(LogIndex last) const
{
    const LogIndex index = this->membershipEntryBefore(last);
    if (index > this->snapshotIndex()) {
        // The codec wrote the payload and a checksum protects it, so decoding can't fail on an undamaged log.
        Result<Membership> membership = decodeMembership(this->at(index).payload);
        return membership ? std::move(membership).value() : Membership{};
    }
    return this->newestSnapshot ? this->newestSnapshot->membership : Membership{};
}

void RaftLog::refreshMembership()
{
    this->newestMembership = this->membershipAt(this->lastIndex());
    this->newestMembershipIndex = this->membershipEntryBefore(this->lastIndex());
}

} // namespace Galenawell::Detail
