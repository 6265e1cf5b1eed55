// Messages between galenawell processes. Each frame on the wire is one Envelope in the compact protocol.
// Fields are never renumbered; new fields are optional, and readers of an adjacent version ignore them.
namespace cpp Galenawell.Wire

// First message in each direction of a connection. The proof is an HMAC over both nonces and both instance names.
struct Hello {
    1: required i32 lowestVersion
    2: required i32 highestVersion
    3: required string instance
    4: required binary nonce
    5: optional binary proof
}

struct BackendEntry {
    1: required string serviceName
    2: required string group
    3: required string address
    4: required string dataCentre
    5: required i64 incarnation
    6: required i64 sequence
    7: required i32 state
    8: required i64 epoch
    9: required string rangeBegin
    10: required string rangeEnd
    11: required list<i64> versions
    12: required i32 slots
    13: required i32 connections
    // Identifies this run of the server, to verify that a request reached the intended one.
    14: optional string identity
}

struct BackendChange {
    1: required i64 number
    2: required BackendEntry entry
    3: required bool removed
}

// A backend server that has announced its shutdown.
struct RetiredServerMessage {
    1: required string serviceName
    2: required string group
    3: required string address
    4: required string identity
    5: required i64 incarnation
    6: required i32 state
    // How much longer the sender keeps the entry.
    7: required i64 retentionMs
}

struct RegistryUpdateMessage {
    1: required bool full
    2: required i64 through
    3: required list<BackendChange> changes
    // Only with a full update.
    4: optional list<RetiredServerMessage> retired
}

struct CrashEvidenceMessage {
    1: required string digest
    2: required string serviceName
    3: required string group
    4: required string address
    5: required i64 replicaIncarnation
    // Milliseconds since the newest evidence against the content; absent if it is new.
    6: optional i64 ageMs
}

// A backend server's statement about its limit on the requests of all fronts together.
struct LimitStatementMessage {
    1: required string address
    2: required i64 incarnation
    3: required i64 order
    // Absent if the server has no limit.
    4: optional i64 perThousandSeconds
}

struct LimitReportMessage {
    1: required LimitStatementMessage statement
    // Requests that the front would send in 1000 s.
    2: required i64 demandPerThousandSeconds
    // Requests that it was granted, by any control process, and may still send.
    3: required i32 left
    // Requests that the receiver granted and that ended unused since the last report.
    4: optional i32 unused
}

struct LimitGrantMessage {
    1: required string address
    2: required i64 incarnation
    3: required i32 requests
    // Until when the subscriber may send them, from the receipt of its subscription.
    4: required i64 endMs
}

// Sent between fronts at a fixed interval and immediately after a registry change.
struct FrontHeartbeat {
    1: required string instance
    2: required i64 incarnation
    3: required bool draining
    // Revision of the sender's control view; 0 for none.
    4: required i64 revision
    5: required i64 configurationNumber
    6: optional RegistryUpdateMessage registry
    7: optional list<CrashEvidenceMessage> evidence
}

// State of the receiver, and the number up to which it has the sender's registry changes.
struct FrontHeartbeatReply {
    1: required string instance
    2: required i64 incarnation
    3: required bool draining
    4: required i64 revision
    5: required i64 configurationNumber
    6: required i64 registryThrough
    7: required bool needFullRegistry
}

// Sent by a front to a control process: what the front holds, to find out whether that is the newest.
struct ControlPoll {
    1: required string instance
    2: required i64 incarnation
    3: required bool draining
    4: required i64 revision
    5: required i64 configurationNumber
}

struct FrontStatus {
    1: required string instance
    2: required i64 revision
    3: required i64 configurationNumber
    4: required bool draining
    // Milliseconds since the front's last poll.
    5: required i64 ageMs
}

struct ControlPollReply {
    // True if the sender is the leader and a majority acknowledged it after the poll arrived.
    1: required bool confirmed
    2: required string leader
    3: required i64 term
    4: required i64 revision
    // The view, if it is newer than the one stated in the poll.
    5: optional binary view
}

enum ProposeStatus {
    Done = 0
    NotLeader = 1
    NoQuorum = 2
    Malformed = 3
    StorageFull = 4
}

// Proposes a command for the replicated log, a serialised ControlCommandRecord.
struct ProposeRequest {
    1: required binary command
    // True: reply only after a majority of fronts holds the new view.
    2: required bool waitForFronts
}

struct ProposeReply {
    1: required ProposeStatus status
    2: required string leader
    3: optional i32 verdict
    4: optional i64 newestNumber
    5: optional string acceptedDigest
    6: optional i32 claimState
    7: optional binary answer
    8: optional bool heldByFronts
}

struct ClaimQuery {
    1: required string id
}

struct ControlStatusRequest {
    // Maximum number of digests to list.
    1: required i32 historyLimit
    2: required i64 historyFrom
}

struct MemberStatus {
    1: required i64 id
    2: required string instance
    3: required bool voter
    4: required i64 matchIndex
}

struct HistoryEntry {
    1: required i64 number
    2: required string digest
}

struct ControlStatusReply {
    1: required string instance
    2: required string leader
    3: required i64 term
    4: required i64 commitIndex
    5: required i64 lastIndex
    6: required list<MemberStatus> members
    7: required list<FrontStatus> fronts
    8: required list<HistoryEntry> history
    9: required i64 newestNumber
    10: required i64 identity
}

enum MemberAction {
    AddLearner = 0
    Promote = 1
    Remove = 2
}

struct MemberChangeRequest {
    1: required MemberAction action
    2: required i64 id
    3: required string instance
}

struct MemberChangeReply {
    1: required ProposeStatus status
    2: required string leader
    3: required string message
}

// Exchanged by control processes before the first control group exists.
struct IdentityRequest {
    1: required string instance
}

struct IdentityReply {
    1: required string instance
    2: required i64 identity
    // True if the process has no log yet.
    3: required bool empty
}

// Long poll of a control process by a front or another control process, in installations with peer discovery. Answered
// when the receiver has something newer than the stated revision and versions, or after waitMs.
struct Subscription {
    1: required string instance
    2: required i64 incarnation
    // The caller address and data centre of a front; both are empty for a control process.
    3: required bool front
    // True while the front accepts requests from new callers.
    4: required bool accepting
    5: required string callerAddress
    6: required string dataCentre
    // Revision of the sender's control view; 0 for none.
    7: required i64 revision
    // Position up to which the sender has the receiver's registry changes.
    8: required i64 registryIncarnation
    9: required i64 registryThrough
    10: required i64 waitMs
    // Version of the receiver's list of impaired servers that the sender has; 0 for none.
    12: required i64 impairedVersion
    // Member id in the Raft group, if the sender is a control process that has one.
    13: optional i64 identity
    // Number of subrequests since the sender's last subscription that were latency outliers, by backend server address.
    14: optional map<string, i32> outliers
    // False if the sender gets the view from another control process.
    15: optional bool wantsView
    // Number of subrequests since the sender's last subscription that failed, by backend server address.
    16: optional map<string, i32> failures
    // Number of scatter-gather requests since the sender's last subscription.
    17: optional i32 scatters
    // Recent mean time in microseconds for which the sender's event loop is late.
    18: optional i32 loopDelay
    // True if the sender can decode viewPatch.
    19: optional bool acceptsPatch
    // Set if the receiver shall reply at once when it has a revision above this one, also if the sender doesn't want the view.
    20: optional i64 notifyAbove
    // Number of the sender's report of requests that may crash backend servers. With the report, unless the receiver has it.
    21: optional i64 crashReport
    22: optional list<CrashEvidenceMessage> crashes
    // Digests of suspect contents that have run without a crash.
    23: optional list<binary> clearedContents
    // Version of the receiver's list of suspect contents that the sender has; 0 for none.
    24: optional i64 suspectsVersion
    // Limits that the receiver may not have, and the need of each limited server. With the number of the newest change in it.
    25: optional list<LimitReportMessage> limits
    26: optional i64 limitReport
    // Number of the receiver's newest change of limits that the sender has.
    27: optional i64 limitsThrough
}

struct SubscriptionReply {
    1: required i64 incarnation
    // The view, if it is newer than the one stated in the subscription.
    2: optional binary view
    3: optional RegistryUpdateMessage registry
    // Peer addresses of the control processes that the sender knows.
    4: required list<string> controls
    5: required i32 liveFronts
    // Version of the list of impaired servers.
    7: required i64 impairedVersion
    // Ids of the Raft members; empty while the sender has no information about them.
    8: required list<i64> members
    9: required string leader
    // Addresses of backend servers that many fronts report as slow or failing, if the subscriber's version differs.
    10: optional list<string> impaired
    // Newest revision known to the sender, also if the view isn't included.
    11: optional i64 revision
    12: optional string dataCentre
    // Incarnation of a later run of the subscriber than the stated one, if the sender has a record of one.
    13: optional i64 laterRun
    // Number of fronts that carry traffic; absent while the sender doesn't know.
    14: optional i32 entryFronts
    // Whether the sender gives callers the subscriber's address.
    15: optional bool entry
    // The view, compressed with the subscriber's one as the dictionary; instead of view.
    16: optional binary viewPatch
    // Number of the subscriber's crash report that the sender has.
    17: optional i64 crashReport
    // Digests of contents that crashed several backend servers, if the subscriber's version differs. Not for control processes.
    18: optional list<binary> suspects
    19: optional i64 suspectsVersion
    // Limits that have changed after the subscriber's limitsThrough, and the number of the newest change.
    20: optional list<LimitStatementMessage> limits
    21: optional i64 limitsThrough
    // Number of the subscriber's report that the sender has.
    22: optional i64 limitReport
    // Requests that the subscriber may send.
    23: optional list<LimitGrantMessage> grants
    // For control processes in place of suspects: the evidence against the suspect contents, so that one that starts can tell the
    // next one.
    24: optional list<CrashEvidenceMessage> crashes
}

struct DrainRequest {
    1: required string instance
}

struct Empty {
}

struct Envelope {
    // Chosen by the requester and repeated in the reply.
    1: required i64 correlation
    2: required bool reply
    3: optional Hello hello
    4: optional binary raftMessage
    5: optional FrontHeartbeat frontHeartbeat
    6: optional FrontHeartbeatReply frontHeartbeatReply
    7: optional ControlPoll controlPoll
    8: optional ControlPollReply controlPollReply
    9: optional ProposeRequest proposeRequest
    10: optional ProposeReply proposeReply
    11: optional ClaimQuery claimQuery
    12: optional ControlStatusRequest controlStatusRequest
    13: optional ControlStatusReply controlStatusReply
    14: optional MemberChangeRequest memberChangeRequest
    15: optional MemberChangeReply memberChangeReply
    16: optional IdentityRequest identityRequest
    17: optional IdentityReply identityReply
    18: optional DrainRequest drainRequest
    19: optional Empty acknowledgement
    20: optional Subscription subscription
    21: optional SubscriptionReply subscriptionReply
}
