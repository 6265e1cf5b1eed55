// At-most-once execution: which non-idempotent request ids were claimed, by which attempt, and with what outcome. Part of
// the replicated state machine, so every method is deterministic and takes the time from the log.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/error.h"
#include "galenawell/core/identifiers.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace Galenawell {

// A running claim becomes Unknown this long after its request's deadline.
inline constexpr std::chrono::milliseconds claimGrace{5000};

// Ids issued further ahead of the log's time are refused, as they would outlive the retention.
inline constexpr std::chrono::milliseconds maximumIssueLead{std::chrono::hours(1)};

// Bounds the length of an id and thus the memory of a claim.
inline constexpr std::size_t maximumRandomPart = 100;

enum class ClaimState : std::uint8_t {
    Running,
    Ran,
    NotRun,
    Unknown,
};

// The only attempt that may send the request.
struct ClaimOwner
{
    InstanceName front;
    Incarnation incarnation = 0;
    std::uint64_t attempt = 0;

    friend bool operator==(const ClaimOwner &, const ClaimOwner &) = default;
};

struct Claim
{
    RequestId id;
    std::string service;
    // Digest of service and content. A repeated id with different content is refused.
    std::string contentDigest;
    ClaimOwner owner;
    WallTime deadline;
    ClaimState state = ClaimState::Running;
    // Set in state Ran, unless it was too long to record.
    std::string answer;

    friend bool operator==(const Claim &, const Claim &) = default;
};

enum class ClaimVerdict : std::uint8_t {
    // This attempt owns the claim and may send the request.
    Granted,
    // The id was claimed before; the reply carries its state and answer.
    Existing,
    ContentDiffers,
    // Issued at or before the watermark: never granted, and its outcome is unknown.
    Expired,
    MalformedId,
};

struct ClaimDecision
{
    ClaimVerdict verdict = ClaimVerdict::Existing;
    ClaimState state = ClaimState::Running;
    std::string answer;
};

enum class RecordVerdict : std::uint8_t {
    Recorded,
    // The same outcome was recorded before.
    AlreadyRecorded,
    NotOwner,
    // Another outcome is final; a status query returns it.
    Final,
    NotFound,
};

// The issue time in an id of the form "<unix milliseconds>-<random>". The time has 13 digits, so that ids sort by it; the
// random part has 1 to maximumRandomPart letters, digits, '-', '_' or '.'.
std::optional<WallTime> issueTimeOf(const RequestId &id);

class ClaimLedger
{
public:
    // `logTime` is zero before the first AdvanceTime of a log; the issue time is then not compared with it.
    ClaimDecision claim(const Claim &request, WallTime logTime);
    // Only the owner may record. Running changes to any state and Unknown to Ran; Ran and NotRun are final.
    RecordVerdict record(const RequestId &id, const ClaimOwner &owner, ClaimState state, const std::string &answer);
    // Sets running claims to Unknown once deadline plus grace have passed, as their owner must have failed.
    std::size_t closeOverdue(WallTime logTime, std::chrono::milliseconds grace);
    // Removes claims issued at or before the watermark and never grants them again. An earlier watermark is ignored.
    void advanceWatermark(WallTime watermark);

    // nullptr if there is no claim of this id.
    const Claim *find(const RequestId &id) const;
    bool expired(const RequestId &id) const;
    std::size_t size() const;
    WallTime watermark() const;
    const std::map<RequestId, Claim> &claims() const;

    static ClaimLedger restore(std::map<RequestId, Claim> claims, WallTime watermark);

private:
    std::map<RequestId, Claim> byId;
    // Exactly the claims in state Running, by deadline.
    std::set<std::pair<WallTime, RequestId>> running;
    // Ids issued at or before this are refused as expired.
    WallTime expiryWatermark{};
};

} // namespace Galenawell
