// What backend servers say of themselves in their replies, and its effect on a front's use of them.
#pragma once

#include "galenawell/core/randomsource.h"
#include "galenawell/routing/replicahealth.h"
#include "galenawell/routing/requestlimit.h"

#include <chrono>
#include <optional>

namespace Galenawell {

struct ServerState
{
    // The server is about to shut down and wants no more requests.
    bool leaving = false;
    // The server refused the request and wants no other for this time.
    std::optional<std::chrono::milliseconds> pause{};
    // The server asked for a pause that can't be read, or that was cut to the longest one.
    bool pauseIsInvalid = false;
    // Whether the reply shows if the server has a limit. A reply with an unreadable limit doesn't, nor does a failure without one.
    bool statesLimit = false;
    // The limit, if it has one.
    std::optional<RequestRate> limit{};
    bool limitIsInvalid = false;
};

// A pause is prolonged by a random part, so that fronts don't return in one instant. True if the server wasn't known to leave.
bool applyServerState(const ServerState &state, ReplicaHealth &health, RandomSource &random, TimePoint now);

} // namespace Galenawell
