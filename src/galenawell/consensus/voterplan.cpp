#include "galenawell/consensus/voterplan.h"

#include "galenawell/consensus/membershipplan.h"

#include <algorithm>

namespace Galenawell {

namespace {

Membership withoutMember(const Membership &membership, MemberId id)
{
    Membership next = membership;
    std::erase_if(next.members, [id](const Member &member) { return member.id == id; });
    return next;
}

Membership withPromoted(const Membership &membership, MemberId id)
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

// Another member at the learner's instance: the instance lost its disk, so that identity never returns.
const Member *earlierIdentityOf(const Membership &membership, const Member &learner)
{
    const auto found = std::ranges::find_if(
        membership.members, [&learner](const Member &member) { return member.instance == learner.instance && member.id != learner.id; });
    return found == membership.members.end() ? nullptr : &*found;
}

const Member *
longestUnresponsiveVoter(const Membership &membership, const std::map<MemberId, MemberProgress> &progress, const VoterPlanOptions &options)
{
    const Member *longest = nullptr;
    std::chrono::milliseconds longestTime = options.replaceVoterAfter;
    for (const Member &member : membership.members) {
        const std::chrono::milliseconds timeSinceReply = progressOf(progress, member.id).timeSinceLastReply;
        if (member.voter && member.id != options.leader && timeSinceReply >= longestTime) {
            longest = &member;
            longestTime = timeSinceReply;
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
        const MemberProgress memberProgress = progressOf(progress, member.id);
        if (member.voter || !memberProgress.caughtUp || memberProgress.timeSinceLastReply >= options.replaceVoterAfter) {
            continue;
        }
        if (const Member *earlier = earlierIdentityOf(membership, member); earlier != nullptr && voters > 1) {
            return withoutMember(membership, earlier->id);
        }
        if (voters < options.targetVoterCount) {
            return withPromoted(membership, member.id);
        }
        if (const Member *lost = longestUnresponsiveVoter(membership, progress, options); lost != nullptr && voters > 1) {
            return withoutMember(membership, lost->id);
        }
    }
    for (const Member &member : membership.members) {
        if (!member.voter && progressOf(progress, member.id).timeSinceLastReply >= options.removeLearnerAfter) {
            return withoutMember(membership, member.id);
        }
    }
    return std::nullopt;
}

} // namespace Galenawell
