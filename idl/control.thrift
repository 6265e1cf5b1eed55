// Commands and state of the control processes, and the view of that state that fronts keep. Times are Unix milliseconds.
// Fields are never renumbered; new fields are optional.
namespace cpp Galenawell.Wire

struct ConfigurationProposalRecord {
    1: required i64 number
    2: required string digest
    3: required string content
}

struct PartitionGroupRecord {
    1: required string name
    2: required binary rangeBegin
    3: required binary rangeEnd
}

struct PartitionMapRecord {
    1: required string serviceName
    2: required i64 epoch
    3: required list<PartitionGroupRecord> groups
}

struct ClaimOwnerRecord {
    1: required string front
    2: required i64 incarnation
    3: required i64 attempt
}

struct ClaimRecord {
    1: required string id
    2: required string serviceName
    3: required binary contentDigest
    4: required ClaimOwnerRecord owner
    5: required i64 deadline
    6: required i32 state
    7: required binary answer
}

struct OutcomeRecord {
    1: required string id
    2: required ClaimOwnerRecord owner
    3: required i32 state
    4: required binary answer
}

struct TimeRecord {
    1: required i64 now
    2: required i64 watermark
}

// Exactly one field is set.
union ControlCommandRecord {
    1: ConfigurationProposalRecord configuration
    2: PartitionMapRecord partitionMap
    3: ClaimRecord claim
    4: OutcomeRecord outcome
    5: TimeRecord time
}

struct ControlViewRecord {
    1: required i64 revision
    2: required i64 configurationNumber
    3: required string configurationDigest
    4: required string configurationContent
    // Sorted by service, newest epoch first.
    5: required list<PartitionMapRecord> partitionMaps
}

// Header of a state snapshot; `claimCount` ClaimRecords follow it, sorted by id. They are separate so that a snapshot
// needs no second copy of the claims in memory.
struct ControlStateRecord {
    1: required i64 newestNumber
    2: required string newestContent
    // Digests of consecutive numbers, ending with newestNumber.
    3: required list<string> digests
    4: required list<PartitionMapRecord> partitionMaps
    5: required i64 logTime
    6: required i64 watermark
    7: required i64 viewRevision
    8: required i64 claimCount
}
