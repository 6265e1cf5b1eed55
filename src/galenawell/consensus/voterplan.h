// Plans the membership changes by which a leader keeps the number of voters: promotes learners and removes lost voters.
// Returns one safe step at a time, which depends only on the arguments, so a new leader can continue.
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
    // Learners beyond this number of voters stay learners, as spares for a lost voter.
    std::size_t targetVoterCount = 3;
    // A voter that hasn't replied for this long may be replaced by a learner.
    std::chrono::milliseconds replaceVoterAfter{2000};
    // A learner that hasn't replied for this long is removed; it joins again when it returns.
    std::chrono::milliseconds removeLearnerAfter{15000};
};

struct MemberProgress
{
    bool caughtUp = false;
    // Whether the member has sent a message since it and all other members of its instance were listed. Until then nothing
    // shows that the instance runs under this identity.
    bool heard = false;
    std::chrono::milliseconds timeSinceLastReply{0};
};

std::optional<Membership>
nextVoterStep(const Membership &membership, const std::map<MemberId, MemberProgress> &progress, const VoterPlanOptions &options);

} // namespace Galenawell
