// Rules for membership changes: which single steps are safe, and which step replaces an earlier identity of an instance.
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

// The next change that makes `joining` a voter in place of earlier identities of its instance, or nullopt if none is
// left. The result depends only on the arguments, so a new leader can continue the replacement.
//
// The order is: add as learner, remove the earlier identities once it has caught up, promote. Removing first doesn't
// raise the quorum. Promoting first would: with one of three voters lost, every other voter would have to acknowledge
// the removal.
std::optional<Membership> nextReplacementStep(const Membership &membership, const Member &joining, bool caughtUp);

} // namespace Galenawell
