// Encodes subrequests to backend servers as JSON and parses the replies.
#pragma once

#include "galenawell/core/error.h"
#include "galenawell/core/reasons.h"
#include "galenawell/query/answer.h"
#include "galenawell/query/scatter.h"
#include "galenawell/routing/replicahealth.h"

#include <chrono>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace Galenawell {

struct SubrequestFields
{
    RequestId requestId;
    std::uint64_t subrequestId = 0;
    std::string service;
    std::string group;
    Snapshot snapshot;
    std::chrono::milliseconds deadline{0};
    const nlohmann::json &body;
};

std::string encodeSubrequest(const SubrequestFields &fields);

struct ParsedReply
{
    std::uint64_t subrequestId = 0;
    // Present for a reply with content.
    std::optional<Subreply> subreply;
    // Present if the reply states that the subrequest has not run.
    std::optional<RetryReason> refusal;
    LoadReport load;
};

// Returns an error for a reply that is incomplete or violates the protocol.
Result<ParsedReply> parseReply(unsigned httpStatus, const std::string &body);
// Also for a reply that has another subrequest id.
Result<ParsedReply> parseReply(unsigned httpStatus, const std::string &body, std::uint64_t expectedId);

} // namespace Galenawell
