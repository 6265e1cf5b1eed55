#include "galenawell/routing/serverstate.h"

namespace Galenawell {

namespace {

// A pause is prolonged by up to one in this many of it.
constexpr std::int64_t pauseJitterDivisor = 4;

} // namespace

bool applyServerState(const ServerState &state, ReplicaHealth &health, RandomSource &random, TimePoint now)
{
    if (state.pause) {
        const auto jitterLimit = static_cast<std::size_t>(state.pause->count() / pauseJitterDivisor + 1);
        health.pauseUntil(now + *state.pause + std::chrono::milliseconds(random.below(jitterLimit)));
    }
    const bool isNew = state.leaving && !health.leaving();
    if (isNew) {
        health.setLeaving();
    }
    return isNew;
}

} // namespace Galenawell
