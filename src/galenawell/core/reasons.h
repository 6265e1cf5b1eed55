// Reasons for refusals and retries, each with a counter in the metrics.
#pragma once

#include "galenawell/core/identifiers.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace Galenawell {

enum class RefusalReason : std::uint8_t {
    MalformedRequest,
    RequestTooLarge,
    SenderTooSlow,
    TooManyConnections,
    UnknownService,
    UnknownPath,
    Unconfirmed,
    ShuttingDown,
    QueueFull,
    DeadlineTooShort,
    DeadlineExceeded,
    IncompleteCoverage,
    NoReplica,
    NoPartitionMap,
    ClaimUnavailable,
    ClaimRunning,
    ClaimNotRun,
    ClaimUnknown,
    ClaimExpired,
    ClaimContentDiffers,
    ClaimIdMalformed,
    Quarantined,
    NotFound,
    Unauthenticated,
    NoConfiguration,
    ServerFailed,
    AttemptsExhausted,
    CallerLeft,
    ServersPaused,
    ServersAtLimit,
    OutOfRequestMemory,
    Count,
};

enum class RetryReason : std::uint8_t {
    ConnectionRefused,
    ConnectionLost,
    Timeout,
    Draining,
    Overloaded,
    WrongVersion,
    Starting,
    InvalidReply,
    Hedge,
    ServerFailed,
    WrongServer,
    ReplyTooLarge,
    Count,
};

inline constexpr std::size_t refusalReasonCount = static_cast<std::size_t>(RefusalReason::Count);
inline constexpr std::size_t retryReasonCount = static_cast<std::size_t>(RetryReason::Count);

struct RefusalText
{
    std::string_view name;
    unsigned httpStatus;
    // What the caller can do.
    std::string_view remedy;
};

const RefusalText &textFor(RefusalReason reason);

std::string_view toString(RefusalReason reason);
std::string_view toString(RetryReason reason);
std::string_view toString(Priority priority);
std::string_view toString(Execution execution);

std::optional<Priority> priorityFromString(std::string_view name);

} // namespace Galenawell
