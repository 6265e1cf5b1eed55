#include "galenawell/consensus/membershipplan.h"

#include <algorithm>
#include <set>

namespace Galenawell {

namespace {

Status refuse(const std::string &detail)
{
    return makeError(ErrorKind::InvalidConfiguration, "membership change refused: " + detail);
}

Status checkMembers(const Membership &membership)
{
    std::set<MemberId> ids;
    for (const Member &member : membership.members) {
        if (member.id == 0) {
            return refuse("identity 0 is reserved");
        }
        if (!ids.insert(member.id).second) {
            return refuse("identity " + std::to_string(member.id) + " is listed twice");
        }
    }
    if (voterCount(membership) == 0) {
        return refuse("no voter would be left");
    }
    return boost::outcome_v2::success();
}

} // namespace

const Member *findMember(const Membership &membership, MemberId id)
{
    for (const Member &member : membership.members) {
        if (member.id == id) {
            return &member;
        }
    }
    return nullptr;
}

std::size_t voterCount(const Membership &membership)
{
    return static_cast<std::size_t>(std::ranges::count_if(membership.members, [](const Member &member) { return member.voter; }));
}

Status checkMembershipChange(const Membership &from, const Membership &to)
{
    Status valid = checkMembers(to);
    if (!valid) {
        return valid;
    }
    std::size_t steps = 0;
    for (const Member &member : to.members) {
        const Member *before = findMember(from, member.id);
        if (before == nullptr) {
            if (member.voter) {
                return refuse("member " + std::to_string(member.id) + " must be added as a learner first");
            }
            ++steps;
            continue;
        }
        if (before->instance != member.instance) {
            return refuse("member " + std::to_string(member.id) + " can't move to another instance");
        }
        if (before->voter && !member.voter) {
            return refuse("voter " + std::to_string(member.id) + " can't become a learner; remove it");
        }
        if (!before->voter && member.voter) {
            ++steps;
        }
    }
    for (const Member &member : from.members) {
        if (findMember(to, member.id) == nullptr) {
            ++steps;
        }
    }
    if (steps != 1) {
        return refuse(std::to_string(steps) + " steps at once, exactly one is allowed");
    }
    return boost::outcome_v2::success();
}

std::optional<Membership> nextReplacementStep(const Membership &membership, const Member &joining, bool caughtUp)
{
    Membership next = membership;
    const auto own = std::ranges::find(next.members, joining.id, &Member::id);
    if (own == next.members.end()) {
        next.members.push_back(Member{.id = joining.id, .instance = joining.instance, .voter = false});
        return next;
    }
    if (!own->voter && !caughtUp) {
        return std::nullopt;
    }
    const auto older = std::ranges::find_if(
        next.members, [&joining](const Member &member) { return member.instance == joining.instance && member.id != joining.id; });
    // The only voter can't be removed before another one exists.
    const bool removable = older != next.members.end() && (!older->voter || voterCount(next) > 1);
    if (removable) {
        next.members.erase(older);
        return next;
    }
    if (own->voter) {
        return std::nullopt;
    }
    own->voter = true;
    return next;
}

} // namespace Galenawell
