// Conversion between registry and suspicion values and their messages.
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

// A backend server's announcement; the error names the field and what is allowed.
Result<BackendRecord> parseAnnouncement(const nlohmann::json &document);

std::string_view toString(BackendState state);

} // namespace Galenawell
