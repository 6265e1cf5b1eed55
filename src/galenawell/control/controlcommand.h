// Commands of the replicated log and their results, encoded in Thrift's compact protocol.
#pragma once

#include "galenawell/claims/claimledger.h"
#include "galenawell/configuration/configurationhistory.h"
#include "galenawell/core/error.h"
#include "galenawell/registry/partitionmap.h"

#include <string>
#include <string_view>
#include <variant>

namespace Galenawell {

struct ProposeConfiguration
{
    ConfigurationProposal proposal;
};

struct RecordPartitionMap
{
    PartitionMap map;
};

struct ClaimRequest
{
    Claim claim;
};

struct RecordOutcome
{
    RequestId id;
    ClaimOwner owner;
    ClaimState state = ClaimState::Unknown;
    std::string answer;
};

// Records the leader's wall clock in the log, closes overdue claims and advances the watermark.
struct AdvanceTime
{
    WallTime now;
    WallTime watermark;
};

using ControlCommand = std::variant<ProposeConfiguration, RecordPartitionMap, ClaimRequest, RecordOutcome, AdvanceTime>;

std::string encodeControlCommand(const ControlCommand &command);
Result<ControlCommand> decodeControlCommand(std::string_view bytes);

struct MapRecorded
{
    bool recorded = false;
};

struct TimeAdvanced
{
    std::size_t closedClaims = 0;
};

// Alternatives in the order of ControlCommand.
using ControlResult = std::variant<ProposalOutcome, MapRecorded, ClaimDecision, RecordVerdict, TimeAdvanced>;

} // namespace Galenawell
