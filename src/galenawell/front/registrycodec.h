// Converts registry updates and crash evidence to and from their messages, and parses announcements.
#pragma once

#include "galenawell/claims/crashsuspicions.h"
#include "galenawell/core/error.h"
#include "galenawell/registry/backendregistry.h"

#include "peer_types.h"

#include <nlohmann/json_fwd.hpp>

namespace Galenawell {

Wire::RegistryUpdateMessage toMessage(const RegistryUpdate &update);
Result<RegistryUpdate> fromMessage(const Wire::RegistryUpdateMessage &message, const InstanceName &origin, Incarnation incarnation);

Wire::CrashEvidenceMessage toMessage(const CrashEvidence &evidence);
CrashEvidence fromMessage(const Wire::CrashEvidenceMessage &message);

// Parses the announcement of a backend server. An error names the invalid field and its allowed values.
Result<BackendRecord> parseAnnouncement(const nlohmann::json &document);

std::string_view toString(BackendState state);

} // namespace Galenawell
