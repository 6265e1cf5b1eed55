#include "galenawell/consensus/membershipplan.h"
#include "galenawell/consensus/voterplan.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

using Progress = std::map<MemberId, MemberProgress>;

Membership membersOf(std::size_t voters, std::size_t learners)
{
    Membership membership;
    for (std::size_t index = 1; index <= voters + learners; ++index) {
        membership.members.push_back({.id = index, .instance = "i" + std::to_string(index), .voter = index <= voters});
    }
    return membership;
}

Progress allFresh(const Membership &membership)
{
    Progress progress;
    for (const Member &member : membership.members) {
        progress[member.id] = {.caughtUp = true, .heard = true, .timeSinceLastReply = 100ms};
    }
    return progress;
}

const VoterPlanOptions threeVoters{.leader = 1, .targetVoterCount = 3};

} // namespace

// Guards against membership changes while every member replies.
Test(voterplan, the_target_number_of_voters_and_a_spare_learner_need_no_change)
{
    const Membership membership = membersOf(3, 1);
    cr_assert(!nextVoterStep(membership, allFresh(membership), threeVoters).has_value());
}

// Guards against a lost control process staying a voter, so that the next loss leaves no quorum.
Test(voterplan, a_learner_replaces_a_voter_that_does_not_reply)
{
    Membership membership = membersOf(3, 1);
    Progress progress = allFresh(membership);
    progress[3].timeSinceLastReply = 2500ms;
    const auto removed = nextVoterStep(membership, progress, threeVoters);
    cr_assert(removed.has_value() && findMember(*removed, 3) == nullptr);
    const auto promoted = nextVoterStep(*removed, progress, threeVoters);
    cr_assert(promoted.has_value() && findMember(*promoted, 4)->voter);
    cr_assert(!nextVoterStep(*promoted, progress, threeVoters).has_value());
}

// Guards against the removal of a voter that no learner is ready to replace.
Test(voterplan, a_voter_that_does_not_reply_stays_without_a_learner_that_caught_up)
{
    const Membership membership = membersOf(3, 1);
    Progress progress = allFresh(membership);
    progress[3].timeSinceLastReply = 5000ms;
    progress[4].caughtUp = false;
    cr_assert(!nextVoterStep(membership, progress, threeVoters).has_value());
    cr_assert(!nextVoterStep(membersOf(3, 0), progress, threeVoters).has_value());
}

// Guards against a member that lost its disk being counted twice, once under its old identity.
Test(voterplan, a_new_identity_of_an_instance_replaces_the_old_one)
{
    Membership membership = membersOf(3, 1);
    membership.members[3].instance = "i3";
    Progress progress = allFresh(membership);
    progress[3].heard = false;
    const auto removed = nextVoterStep(membership, progress, threeVoters);
    cr_assert(removed.has_value() && findMember(*removed, 3) == nullptr && findMember(*removed, 4) != nullptr);
}

// Guards against a list of members that grows with every process that ever joined.
Test(voterplan, a_learner_that_does_not_reply_is_removed)
{
    const Membership membership = membersOf(3, 1);
    Progress progress = allFresh(membership);
    progress[4].timeSinceLastReply = 20s;
    const auto next = nextVoterStep(membership, progress, threeVoters);
    cr_assert(next.has_value() && findMember(*next, 4) == nullptr);
}

// Guards against steps that the log rejects as unsafe, against steps that remove the last voter or more than one voter,
// and against a plan that never ends.
Test(voterplan, every_step_is_safe_and_the_plan_ends)
{
    const bool held = rc::check("voter plan", [] {
        const auto voters = *rc::gen::inRange<std::size_t>(1, 8);
        const auto learners = *rc::gen::inRange<std::size_t>(0, 5);
        Membership membership = membersOf(voters, learners);
        const VoterPlanOptions options{.leader = 1, .targetVoterCount = *rc::gen::element<std::size_t>(1, 3, 5, 7)};
        Progress progress = allFresh(membership);
        for (Member &member : membership.members) {
            progress[member.id].caughtUp = *rc::gen::arbitrary<bool>();
            progress[member.id].timeSinceLastReply = *rc::gen::element(0ms, 1999ms, 2000ms, 60000ms);
            if (!member.voter && *rc::gen::inRange(0, 3) == 0) {
                member.instance = "i" + std::to_string(*rc::gen::inRange<std::size_t>(1, voters + 1));
            }
        }
        progress[1].timeSinceLastReply = 0ms;
        std::size_t steps = 0;
        while (const auto next = nextVoterStep(membership, progress, options)) {
            RC_ASSERT(checkMembershipChange(membership, *next).has_value());
            RC_ASSERT(voterCount(*next) >= 1);
            RC_ASSERT(voterCount(*next) + 1 >= voterCount(membership));
            membership = *next;
            RC_ASSERT(++steps <= 2 * (voters + learners));
        }
    });
    cr_assert(held);
}
