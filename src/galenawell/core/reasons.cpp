#include "galenawell/core/reasons.h"

namespace Galenawell {

namespace {

// In the order of RefusalReason.
constexpr std::array<RefusalText, refusalReasonCount> refusalTexts{{
    {"malformed_request", 400, "correct the named field"},
    {"request_too_large", 413, "send a smaller request"},
    {"sender_too_slow", 408, "send the whole request within the time limit"},
    {"too_many_connections", 503, "reuse connections, or use another entry instance"},
    {"unknown_service", 404, "use a service named in the configuration"},
    {"unknown_path", 404, "use a path of the API pages"},
    {"unconfirmed", 503, "use another entry instance"},
    {"shutting_down", 503, "use the entry instance named in this reply"},
    {"queue_full", 503, "try again after the stated time"},
    {"deadline_too_short", 503, "try again after the stated time, or allow a longer deadline"},
    {"deadline_exceeded", 504, "try again with a longer deadline"},
    {"incomplete_coverage", 503, "try again, or allow a partial answer"},
    {"no_replica", 503, "try again after the stated time"},
    {"no_partition_map", 503, "wait until the service's backend servers have announced themselves"},
    {"claim_unavailable", 503, "ask for the outcome by the request id, or send the same id again"},
    {"claim_running", 409, "ask for the outcome by the request id later"},
    {"claim_not_run", 409, "send the request again under a new id"},
    {"claim_unknown", 409, "check with the backend service whether the request took effect"},
    {"claim_expired", 410, "check with the backend service whether the request took effect; use a new id for new work"},
    {"claim_content_differs", 409, "use a new id for other content"},
    {"claim_id_malformed", 400, "use an id of the form <unix milliseconds>-<random>"},
    {"quarantined", 422, "change the request; this content made backend servers fail"},
    {"not_found", 404, "check the name"},
    {"unauthenticated", 401, "send the operator token as a bearer token"},
    {"no_configuration", 503, "try again once an operator has put a configuration into force"},
    {"server_failed", 502, "check with the backend service whether the request took effect"},
    {"attempts_exhausted", 502, "check with the backend service whether the request took effect"},
    {"caller_left", 499, "nothing; the caller closed the connection before the answer"},
    {"servers_paused", 503, "try again after the stated time"},
    {"servers_at_limit", 503, "try again after the stated time"},
    {"out_of_request_memory", 503, "try again after the stated time"},
}};

// In the order of RetryReason.
constexpr std::array<std::string_view, retryReasonCount> retryNames{
    "connection_refused",
    "connection_lost",
    "timeout",
    "draining",
    "overloaded",
    "wrong_version",
    "starting",
    "invalid_reply",
    "hedge",
    "server_failed",
    "wrong_server",
    "reply_too_large",
};

constexpr std::array<std::string_view, priorityCount> priorityNames{"urgent", "standard", "bulk"};

constexpr std::array<std::string_view, 4> executionNames{"not_run", "ran", "running", "unknown"};

} // namespace

const RefusalText &textFor(RefusalReason reason)
{
    return refusalTexts.at(static_cast<std::size_t>(reason));
}

std::string_view toString(RefusalReason reason)
{
    return textFor(reason).name;
}

std::string_view toString(RetryReason reason)
{
    return retryNames.at(static_cast<std::size_t>(reason));
}

std::string_view toString(Priority priority)
{
    return priorityNames.at(static_cast<std::size_t>(priority));
}

std::string_view toString(Execution execution)
{
    return executionNames.at(static_cast<std::size_t>(execution));
}

std::optional<Priority> priorityFromString(std::string_view name)
{
    for (std::size_t index = 0; index < priorityNames.size(); ++index) {
        if (priorityNames[index] == name) {
            return static_cast<Priority>(index);
        }
    }
    return std::nullopt;
}

} // namespace Galenawell
