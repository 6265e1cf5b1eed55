// Encodes and decodes log entries, snapshots and messages in Thrift's compact protocol.
#pragma once

#include "galenawell/consensus/rafttypes.h"
#include "galenawell/core/error.h"

#include <string>
#include <string_view>

namespace Galenawell {

std::string encodeRaftMessage(const RaftMessage &message);
Result<RaftMessage> decodeRaftMessage(std::string_view bytes);
std::string encodeLogEntry(const LogEntry &entry);
Result<LogEntry> decodeLogEntry(std::string_view bytes);
std::string encodeRaftSnapshot(const RaftSnapshot &snapshot);
Result<RaftSnapshot> decodeRaftSnapshot(std::string_view bytes);
std::string encodeMembership(const Membership &membership);
Result<Membership> decodeMembership(std::string_view bytes);

} // namespace Galenawell
