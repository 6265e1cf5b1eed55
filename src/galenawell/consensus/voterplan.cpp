#include "galenawell/consensus/voterplan.h"

#include "galenawell/consensus/membershipplan.h"

#include <algorithm>

namespace Galenawell {

namespace {

Membership without(const Membership &membership, MemberId id)
{
    Membership next = membership;
    std::erase_if(next.members, [id](const Member &member) { return member.id == id; });
    return next;
}

Membership promoted(const Membership &membership, MemberId id)
{
    Membership next = membership;
    std::ranges::find(next.members, id, &Member::id)->voter = true;
    return next;
}

MemberProgress progressOf(const std::map<MemberId, MemberProgress> &progress, MemberId id)
{
    const auto found = progress.find(id);
    return found == progress.end() ? MemberProgress{} : found->second;
}

// The voter at the learner's own instance lost its disk, so its identity never comes back.
const Member *predecessorOf(const Membership &membership, const Member &learner)
{
    const auto found = std::ranges::find_if(
        membership.members, [&learner](const Member &member) { return member.instance == learner.instance && member.id != learner.id; });
    return found == membership.members.end() ? nullptr : &*found;
}

const Member *
longestSilentVoter(const Membership &membership, const std::map<MemberId, MemberProgress> &progress, const VoterPlanOptions &options)
{
    const Member *longest = nullptr;
    std::chrono::milliseconds silence = options.replaceAfter;
    for (const Member &member : membership.members) {
        const std::chrono::milliseconds own = progressOf(progress, member.id).timeSinceLastReply;
        if (member.voter && member.id != options.leader && own >= silence) {
            longest = &member;
            silence = own;
        }
    }
    return longest;
}

} // namespace

std::optional<Membership>
nextVoterStep(const Membership &membership, const std::map<MemberId, MemberProgress> &progress, const VoterPlanOptions &options)
{
    const std::size_t voters = voterCount(membership);
    for (const Member &member : membership.members) {
        const MemberProgress own = progressOf(progress, member.id);
        if (member.voter || !own.caughtUp || own.timeSinceLastReply >= options.replaceAfter) {
            continue;
        }
        if (const Member *predecessor = predecessorOf(membership, member); predecessor != nullptr && voters > 1) {
            return without(membership, predecessor->id);
        }
        if (voters < options.targetVoterCount) {
            return promoted(membership, member.id);
        }
        if (const Member *lost = longestSilentVoter(membership, progress, options); lost != nullptr && voters > 1) {
            return without(membership, lost->id);
        }
    }
    for (const Member &member : membership.members) {
        if (!member.voter && progressOf(progress, member.id).timeSinceLastReply >= options.forgetLearnerAfter) {
            return without(membership, member.id);
        }
    }
    return std::nullopt;
}

} // namespace Galenawell
