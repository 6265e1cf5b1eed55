// Storage records and messages of the Raft log.
namespace cpp Galenawell.Wire

struct LogRecord {
    1: required i64 index
    2: required i64 term
    3: required i32 kind
    4: required binary payload
}

struct MemberRecord {
    1: required i64 id
    2: required string instance
    3: required bool voter
}

struct MembershipRecord {
    1: required list<MemberRecord> members
}

struct HardStateRecord {
    1: required i64 term
    2: required i64 votedFor
}

struct SnapshotRecord {
    1: required i64 index
    2: required i64 term
    3: required MembershipRecord membership
    4: required binary state
}

struct RaftMessageRecord {
    1: required i32 kind
    2: required i64 sender
    3: required i64 recipient
    4: required i64 term
    5: required i64 logIndex
    6: required i64 logTerm
    7: required list<LogRecord> entries
    8: required i64 commit
    9: required bool granted
    10: required i64 round
    11: optional SnapshotRecord snapshot
    12: required i64 snapshotOffset
    13: required i64 snapshotBytes
}

// All data of one storage call, under one checksum: after a crash, all of it is present or none.
struct StoredBatch {
    1: optional HardStateRecord hardState
    2: required list<LogRecord> entries
    // Previously stored entries are discarded, because a received snapshot up to this index replaced them.
    3: optional i64 restartAfter
}
