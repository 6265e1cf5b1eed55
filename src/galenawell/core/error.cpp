#include "galenawell/core/error.h"

#include <array>

namespace Galenawell {

namespace {

struct KindText
{
    ErrorKind kind;
    std::string_view name;
    std::string_view remedy;
};

constexpr std::array kindTexts{
    KindText{ErrorKind::InvalidSetting, "invalid_setting", "correct the named key in the settings folder"},
    KindText{ErrorKind::UnreadableFile, "unreadable_file", "check that the file exists and that the process may read it"},
    KindText{ErrorKind::MalformedJson, "malformed_json", "correct the JSON at the named position"},
    KindText{ErrorKind::MalformedFrame, "malformed_frame", "check that both ends run adjacent versions"},
    KindText{ErrorKind::FrameTooLarge, "frame_too_large", "send less in one message"},
    KindText{ErrorKind::Unauthenticated, "unauthenticated", "check the peer key or the operator token at both ends"},
    KindText{ErrorKind::VersionMismatch, "version_mismatch", "upgrade the older process to an adjacent version"},
    KindText{ErrorKind::NotLeader, "not_leader", "send the request to the named leader"},
    KindText{ErrorKind::NoQuorum, "no_quorum", "restore a majority of the control processes, then try again"},
    KindText{ErrorKind::NumberTaken, "number_taken", "read the accepted change, rebase on it, and submit under the next number"},
    KindText{ErrorKind::NumberOutOfOrder, "number_out_of_order", "submit under the next number"},
    KindText{ErrorKind::InvalidConfiguration,
             "invalid_configuration",
             "correct the named key; run `galenawell config check` before `apply`"},
    KindText{ErrorKind::StorageCorrupt, "storage_corrupt", "move the data folder away and let this member rejoin under a new identity"},
    KindText{ErrorKind::StorageFull, "storage_full", "free space on the data folder's file system, then submit again"},
    KindText{ErrorKind::StorageLocked, "storage_locked", "stop the other process that uses this data folder"},
    KindText{ErrorKind::StorageFailed, "storage_failed", "check the data folder's disk and its permissions"},
    KindText{ErrorKind::ConnectionFailed, "connection_failed", "check that the other process runs and that its address is right"},
    KindText{ErrorKind::ConnectionLost, "connection_lost", "ask for the outcome by the request id"},
    KindText{ErrorKind::DeadlineExceeded, "deadline_exceeded", "try again with a longer deadline"},
    KindText{ErrorKind::Cancelled, "cancelled", "none is needed; the requester gave up"},
    KindText{ErrorKind::ServerRefused, "server_refused", "try another replica"},
    KindText{ErrorKind::InvalidReply, "invalid_reply", "check the backend server's version against the protocol page"},
    KindText{ErrorKind::NotFound, "not_found", "check the name"},
    KindText{ErrorKind::MembershipBusy, "membership_busy", "wait until the running membership change is committed"},
    KindText{ErrorKind::RegistryFull, "registry_full", "announce to another control process; check who announces so many servers"},
    KindText{ErrorKind::Internal, "internal", "report this with the process's log"},
};

const KindText &textFor(ErrorKind kind)
{
    for (const KindText &text : kindTexts) {
        if (text.kind == kind) {
            return text;
        }
    }
    return kindTexts.back();
}

} // namespace

std::string_view toString(ErrorKind kind)
{
    return textFor(kind).name;
}

std::string_view remedyFor(ErrorKind kind)
{
    return textFor(kind).remedy;
}

std::string Error::message() const
{
    std::string text = this->detail;
    text += "; ";
    text += remedyFor(this->kind);
    return text;
}

} // namespace Galenawell
