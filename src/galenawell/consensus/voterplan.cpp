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

// A member whose instance runs under another identity now: that instance lost its disk, so this identity never returns.
const Member *supersededMember(const Membership &membership, const std::map<MemberId, MemberProgress> &progress, MemberId leader)
{
    const auto supersedes = [&](const Member &other, const Member &member) {
        if (other.instance != member.instance || other.id == member.id || member.id == leader) {
            return false;
        }
        const MemberProgress own = progressOf(progress, member.id);
        const MemberProgress others = progressOf(progress, other.id);
        const bool otherRuns = other.id == leader || others.heard;
        return otherRuns && (!own.heard || others.timeSinceLastReply < own.timeSinceLastReply);
    };
    const std::size_t voters = voterCount(membership);
    const auto found = std::ranges::find_if(membership.members, [&](const Member &member) {
        const bool removable = !member.voter || voters > 1;
        return removable && std::ranges::any_of(membership.members, [&](const Member &other) { return supersedes(other, member); });
    });
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
    // First, because a lost identity that still counts as a voter leaves less of the majority for the next loss.
    if (const Member *lost = supersededMember(membership, progress, options.leader); lost != nullptr) {
        return withoutMember(membership, lost->id);
    }
    const std::size_t voters = voterCount(membership);
    for (const Member &member : membership.members) {
        const MemberProgress memberProgress = progressOf(progress, member.id);
        if (member.voter || !memberProgress.caughtUp || memberProgress.timeSinceLastReply >= options.replaceVoterAfter) {
            continue;
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
