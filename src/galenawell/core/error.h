// Typed errors. Every kind has a remedy, so that each message says how to correct the error.
#pragma once

// Included before the policy header, which needs its traits.
#include <boost/outcome/result.hpp>

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>

namespace Galenawell {

enum class ErrorKind {
    InvalidSetting,
    UnreadableFile,
    MalformedJson,
    MalformedFrame,
    FrameTooLarge,
    Unauthenticated,
    VersionMismatch,
    NotLeader,
    NoQuorum,
    NumberTaken,
    NumberOutOfOrder,
    InvalidConfiguration,
    StorageCorrupt,
    StorageFull,
    StorageLocked,
    StorageFailed,
    ConnectionFailed,
    ConnectionLost,
    DeadlineExceeded,
    Cancelled,
    ServerRefused,
    InvalidReply,
    NotFound,
    MembershipBusy,
    RegistryFull,
    Internal,
};

// Name of the kind in JSON replies and logs.
std::string_view toString(ErrorKind kind);

// How an operator or caller can correct an error of this kind.
std::string_view remedyFor(ErrorKind kind);

struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    // One short sentence without a full stop that names the affected objects and values.
    std::string detail;

    // The detail, followed by the remedy of the kind.
    std::string message() const;
};

template<typename T>
using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

using Status = Result<void>;

inline Error makeError(ErrorKind kind, std::string detail)
{
    return Error{.kind = kind, .detail = std::move(detail)};
}

} // namespace Galenawell
