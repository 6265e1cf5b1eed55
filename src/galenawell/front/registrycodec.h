// Converts registry updates, crash evidence and request limits to and from their messages, and parses announcements.
#pragma once

#include "galenawell/claims/crashsuspicions.h"
#include "galenawell/core/error.h"
#include "galenawell/registry/backendregistry.h"
#include "galenawell/routing/requestlimit.h"

#include "peer_types.h"

#include <nlohmann/json_fwd.hpp>

namespace Galenawell {

Wire::RegistryUpdateMessage toMessage(const RegistryUpdate &update);
// Entries that can't be used are marked with their defect, so that one of them doesn't hold back the others.
RegistryUpdate fromMessage(const Wire::RegistryUpdateMessage &message, const InstanceName &origin, Incarnation incarnation);
// One line about the entries with a defect; nothing if there are none.
std::optional<std::string> describeDefects(const RegistryUpdate &update);

Wire::CrashEvidenceMessage toMessage(const CrashEvidence &evidence);
CrashEvidence fromMessage(const Wire::CrashEvidenceMessage &message);

Wire::LimitStatementMessage toMessage(const LimitStatement &statement);
LimitStatement fromMessage(const Wire::LimitStatementMessage &message);
Wire::LimitReportMessage toMessage(const LimitReport &report);
LimitReport fromMessage(const Wire::LimitReportMessage &message);
// A message counts the lifetime from an earlier time.
Wire::LimitGrantMessage toMessage(const LimitGrant &grant, Duration sinceEarlier);
LimitGrant fromMessage(const Wire::LimitGrantMessage &message);

// Parses the announcement of a backend server. An error names the invalid field and its allowed values.
Result<BackendRecord> parseAnnouncement(const nlohmann::json &document);

std::string_view toString(BackendState state);

} // namespace Galenawell
