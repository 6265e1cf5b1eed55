// Rules for membership changes: which single steps are safe, and which step brings a new identity of an instance in.
#pragma once

#include "galenawell/consensus/rafttypes.h"
#include "galenawell/core/error.h"

#include <optional>

namespace Galenawell {

const Member *findMember(const Membership &membership, MemberId id);
std::size_t voterCount(const Membership &membership);

// Accepts exactly one of: a learner added, a learner promoted, a member removed. Majorities before and after such a
// step always share a member, so two leaders can't commit under different memberships.
Status checkMembershipChange(const Membership &from, const Membership &to);

// The next change that makes `joining` a voter in place of older identities of its instance, or nullopt if none is
// left. It depends only on the membership, so a new leader continues where the last one stopped.
//
// The order is: add as learner, remove the older identities once it caught up, promote. Removing first needs no more
// members than were needed before; promoting first would need every remaining voter of three to commit the removal.
std::optional<Membership> nextReplacementStep(const Membership &membership, const Member &joining, bool caughtUp);

} // namespace Galenawell
