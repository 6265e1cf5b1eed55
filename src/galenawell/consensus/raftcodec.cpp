#include "galenawell/consensus/raftcodec.h"

#include "galenawell/consensus/raftrecords.h"

namespace Galenawell {

namespace Detail {

Wire::LogRecord toRecord(const LogEntry &entry)
{
    Wire::LogRecord record;
    record.index = static_cast<std::int64_t>(entry.index);
    record.term = static_cast<std::int64_t>(entry.term);
    record.kind = static_cast<std::int32_t>(entry.kind);
    record.payload = entry.payload;
    return record;
}

Result<LogEntry> fromRecord(Wire::LogRecord &&record)
{
    if (record.kind < 0 || record.kind > static_cast<std::int32_t>(EntryKind::Membership)) {
        return makeError(ErrorKind::MalformedFrame, "log entry has unknown kind " + std::to_string(record.kind));
    }
    return LogEntry{
        .index = static_cast<LogIndex>(record.index),
        .term = static_cast<Term>(record.term),
        .kind = static_cast<EntryKind>(record.kind),
        .payload = std::move(record.payload),
    };
}

Result<std::vector<LogEntry>> fromRecords(std::vector<Wire::LogRecord> &&records)
{
    std::vector<LogEntry> entries;
    entries.reserve(records.size());
    for (Wire::LogRecord &record : records) {
        Result<LogEntry> entry = fromRecord(std::move(record));
        if (!entry) {
            return entry.error();
        }
        entries.push_back(std::move(entry).value());
    }
    return entries;
}

Wire::MembershipRecord toRecord(const Membership &membership)
{
    Wire::MembershipRecord record;
    for (const Member &member : membership.members) {
        Wire::MemberRecord item;
        item.id = static_cast<std::int64_t>(member.id);
        item.instance = member.instance;
        item.voter = member.voter;
        record.members.push_back(std::move(item));
    }
    return record;
}

Membership fromRecord(Wire::MembershipRecord &&record)
{
    Membership membership;
    for (Wire::MemberRecord &item : record.members) {
        membership.members.push_back(Member{
            .id = static_cast<MemberId>(item.id),
            .instance = std::move(item.instance),
            .voter = item.voter,
        });
    }
    return membership;
}

Wire::SnapshotRecord toRecord(const RaftSnapshot &snapshot)
{
    Wire::SnapshotRecord record;
    record.index = static_cast<std::int64_t>(snapshot.index);
    record.term = static_cast<std::int64_t>(snapshot.term);
    record.membership = toRecord(snapshot.membership);
    record.state = snapshot.state;
    return record;
}

RaftSnapshot fromRecord(Wire::SnapshotRecord &&record)
{
    return RaftSnapshot{
        .index = static_cast<LogIndex>(record.index),
        .term = static_cast<Term>(record.term),
        .membership = fromRecord(std::move(record.membership)),
        .state = std::move(record.state),
    };
}

Wire::RaftMessageRecord toRecord(const RaftMessage &message)
{
    Wire::RaftMessageRecord record;
    record.kind = static_cast<std::int32_t>(message.kind);
    record.sender = static_cast<std::int64_t>(message.from);
    record.recipient = static_cast<std::int64_t>(message.to);
    record.term = static_cast<std::int64_t>(message.term);
    record.logIndex = static_cast<std::int64_t>(message.logIndex);
    record.logTerm = static_cast<std::int64_t>(message.logTerm);
    for (const LogEntry &entry : message.entries) {
        record.entries.push_back(toRecord(entry));
    }
    record.commit = static_cast<std::int64_t>(message.commit);
    record.granted = message.granted;
    record.round = static_cast<std::int64_t>(message.round);
    if (message.snapshot) {
        record.__set_snapshot(toRecord(*message.snapshot));
    }
    record.snapshotOffset = static_cast<std::int64_t>(message.snapshotOffset);
    record.snapshotBytes = static_cast<std::int64_t>(message.snapshotBytes);
    return record;
}

Result<RaftMessage> fromRecord(Wire::RaftMessageRecord &&record)
{
    if (record.kind < 0 || record.kind > static_cast<std::int32_t>(RaftMessageKind::SnapshotReply)) {
        return makeError(ErrorKind::MalformedFrame, "raft message has unknown kind " + std::to_string(record.kind));
    }
    Result<std::vector<LogEntry>> entries = fromRecords(std::move(record.entries));
    if (!entries) {
        return entries.error();
    }
    RaftMessage message{
        .kind = static_cast<RaftMessageKind>(record.kind),
        .from = static_cast<MemberId>(record.sender),
        .to = static_cast<MemberId>(record.recipient),
        .term = static_cast<Term>(record.term),
        .logIndex = static_cast<LogIndex>(record.logIndex),
        .logTerm = static_cast<Term>(record.logTerm),
        .entries = std::move(entries).value(),
        .commit = static_cast<LogIndex>(record.commit),
        .granted = record.granted,
        .round = static_cast<std::uint64_t>(record.round),
        .snapshot = std::nullopt,
        .snapshotOffset = static_cast<std::uint64_t>(record.snapshotOffset),
        .snapshotBytes = static_cast<std::uint64_t>(record.snapshotBytes),
    };
    if (record.__isset.snapshot) {
        message.snapshot = fromRecord(std::move(record.snapshot));
    }
    return message;
}

} // namespace Detail

std::string encodeRaftMessage(const RaftMessage &message)
{
    return encodeThrift(Detail::toRecord(message));
}

Result<RaftMessage> decodeRaftMessage(std::string_view bytes)
{
    Result<Wire::RaftMessageRecord> record = decodeThrift<Wire::RaftMessageRecord>(bytes, Detail::maximumRecordBytes);
    if (!record) {
        return record.error();
    }
    return Detail::fromRecord(std::move(record).value());
}

std::string encodeLogEntry(const LogEntry &entry)
{
    return encodeThrift(Detail::toRecord(entry));
}

Result<LogEntry> decodeLogEntry(std::string_view bytes)
{
    Result<Wire::LogRecord> record = decodeThrift<Wire::LogRecord>(bytes, Detail::maximumRecordBytes);
    if (!record) {
        return record.error();
    }
    return Detail::fromRecord(std::move(record).value());
}

std::string encodeRaftSnapshot(const RaftSnapshot &snapshot)
{
    return encodeThrift(Detail::toRecord(snapshot));
}

Result<RaftSnapshot> decodeRaftSnapshot(std::string_view bytes)
{
    Result<Wire::SnapshotRecord> record = decodeThrift<Wire::SnapshotRecord>(bytes, Detail::maximumRecordBytes);
    if (!record) {
        return record.error();
    }
    return Detail::fromRecord(std::move(record).value());
}

std::string encodeMembership(const Membership &membership)
{
    return encodeThrift(Detail::toRecord(membership));
}

Result<Membership> decodeMembership(std::string_view bytes)
{
    Result<Wire::MembershipRecord> record = decodeThrift<Wire::MembershipRecord>(bytes, Detail::maximumRecordBytes);
    if (!record) {
        return record.error();
    }
    return Detail::fromRecord(std::move(record).value());
}

} // namespace Galenawell
