// Converts log values to and from Thrift records, for messages and the log's files.
#pragma once

#include "galenawell/consensus/rafttypes.h"
#include "galenawell/core/error.h"
#include "galenawell/core/thriftcodec.h"

#include "raft_types.h"

#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace Galenawell::Detail {

// A snapshot of the control state may reach Thrift's maximum size, unlike a frame between processes.
inline constexpr int maximumRecordBytes = std::numeric_limits<int>::max();

Wire::LogRecord toRecord(const LogEntry &entry);
Result<LogEntry> fromRecord(Wire::LogRecord &&record);
Wire::MembershipRecord toRecord(const Membership &membership);
Membership fromRecord(Wire::MembershipRecord &&record);
Wire::SnapshotRecord toRecord(const RaftSnapshot &snapshot);
RaftSnapshot fromRecord(Wire::SnapshotRecord &&record);
Wire::RaftMessageRecord toRecord(const RaftMessage &message);
Result<RaftMessage> fromRecord(Wire::RaftMessageRecord &&record);
Result<std::vector<LogEntry>> fromRecords(std::vector<Wire::LogRecord> &&records);

} // namespace Galenawell::Detail
