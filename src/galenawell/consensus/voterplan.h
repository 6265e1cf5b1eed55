// Decides how the leader of a log keeps its voters complete: which learner becomes a voter, and which lost voter makes
// room for it. One safe step at a time; it depends only on its arguments, so a new leader continues where the last stopped.
#pragma once

#include "galenawell/consensus/rafttypes.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

namespace Galenawell {

struct VoterPlanOptions
{
    MemberId leader = 0;
    // More learners than needed for this stay learners, ready to replace a lost voter.
    std::size_t targetVoterCount = 3;
    // A voter that was silent for this long may be replaced by a learner.
    std::chrono::milliseconds replaceAfter{2000};
    // A learner that was silent for this long is forgotten; it joins again when it returns.
    std::chrono::milliseconds forgetLearnerAfter{15000};
};

struct MemberProgress
{
    bool caughtUp = false;
    std::chrono::milliseconds timeSinceLastReply{0};
};

std::optional<Membership>
nextVoterStep(const Membership &membership, const std::map<MemberId, MemberProgress> &progress, const VoterPlanOptions &options);

} // namespace Galenawell
