#include "galenawell/consensus/bootstrap.h"
#include "galenawell/consensus/membershipplan.h"
#include "temporaryfolder.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace Galenawell::Testing;

namespace {

const Membership three{{{1, "a", true}, {2, "b", true}, {3, "c", true}}};

BootstrapReport report(const InstanceName &instance, MemberId identity, bool hasHistory)
{
    return BootstrapReport{.instance = instance, .identity = identity, .hasHistory = hasHistory};
}

BootstrapStep stepFor(const BootstrapOptions &options, const std::vector<BootstrapReport> &reports)
{
    return planBootstrap(options, report(options.self, 1, false), reports).value().step;
}

} // namespace

// Guards against changes whose majorities before and after share no member.
Test(membershipPlan, accepts_single_steps_only)
{
    Membership added = three;
    added.members.push_back({4, "d", false});
    cr_assert(checkMembershipChange(three, added));
    Membership promoted = added;
    promoted.members.back().voter = true;
    cr_assert(checkMembershipChange(added, promoted));
    cr_assert_not(checkMembershipChange(three, promoted));
    Membership removed = three;
    removed.members.pop_back();
    cr_assert(checkMembershipChange(three, removed));
    cr_assert_not(checkMembershipChange(added, removed));
    cr_assert_not(checkMembershipChange(three, three));
    Membership demoted = three;
    demoted.members.back().voter = false;
    cr_assert_not(checkMembershipChange(three, demoted));
    cr_assert_not(checkMembershipChange(Membership{{{1, "a", true}}}, Membership{}));
    Membership twice = three;
    twice.members.push_back({3, "d", false});
    cr_assert_not(checkMembershipChange(three, twice));
}

// Guards against a repair that needs more members than are left, or that never ends.
Test(membershipPlan, repair_adds_then_removes_then_promotes)
{
    const Member joining{.id = 9, .instance = "c", .voter = false};
    const Membership learner = nextReplacementStep(three, joining, false).value();
    cr_assert_eq(learner.members.size(), 4U);
    cr_assert_not(nextReplacementStep(learner, joining, false).has_value());
    const Membership without = nextReplacementStep(learner, joining, true).value();
    cr_assert_eq(voterCount(without), 2U);
    cr_assert_null(findMember(without, 3));
    const Membership done = nextReplacementStep(without, joining, true).value();
    cr_assert_eq(voterCount(done), 3U);
    cr_assert_not(nextReplacementStep(done, joining, true).has_value());
}

// Guards against a second installation that is founded by an instance which lost its disk, and against one that nobody
// asked for.
Test(bootstrap, founds_only_when_asked_and_when_nobody_has_a_history)
{
    const BootstrapOptions options{.self = "a", .newInstallation = true, .initialVoters = {"a", "b", "c"}};
    cr_assert_eq(stepFor(options, {report("b", 2, false)}), BootstrapStep::Wait);
    cr_assert_eq(stepFor(options, {report("b", 2, true)}), BootstrapStep::Join);
    cr_assert_eq(stepFor(options, {report("b", 2, false), report("c", 3, true)}), BootstrapStep::Join);
    cr_assert_eq(stepFor(options, {report("b", 2, false), report("c", 3, false)}), BootstrapStep::FoundInstallation);
    cr_assert_eq(stepFor({.self = "a", .newInstallation = false, .initialVoters = {"a"}}, {}), BootstrapStep::Join);
    cr_assert_eq(stepFor({.self = "b", .newInstallation = true, .initialVoters = {"a", "b"}}, {report("a", 2, false)}),
                 BootstrapStep::Join);
    cr_assert_eq(planBootstrap(options, report("a", 1, true), {}).value().step, BootstrapStep::Resume);
    cr_assert(planBootstrap({.self = "a", .newInstallation = true, .initialVoters = {}}, report("a", 1, false), {}).has_error());
    cr_assert(planBootstrap({.self = "a", .newInstallation = true, .initialVoters = {"a", "a"}}, report("a", 1, false), {}).has_error());
}

// Guards against a first membership that is stored twice or without its author.
Test(bootstrap, stores_the_first_membership_once)
{
    const TemporaryFolder folder;
    {
        LogStorage storage = LogStorage::open({.folder = folder.path}).value();
        cr_assert(foundInstallation(storage, three).has_error());
        const Membership membership{{{storage.identity(), "a", true}}};
        cr_assert_eq(foundInstallation(storage, membership).value().entries.size(), 1U);
    }
    LogStorage storage = LogStorage::open({.folder = folder.path}).value();
    cr_assert(hasHistory(storage.restored()));
    cr_assert(foundInstallation(storage, Membership{{{storage.identity(), "a", true}}}).has_error());
}
