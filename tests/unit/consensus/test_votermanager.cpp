#include "galenawell/consensus/votermanager.h"

#include "galenawell/consensus/membershipplan.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

constexpr auto observationInterval = 150ms;

// Three voters, of which member 1 leads. Members in `talking` send a message before each observation.
struct Group
{
    VoterManager manager{VoterManagerOptions{.targetVoterCount = 3}};
    LeaderObservation observation{.leader = 1,
                                  .term = 1,
                                  .commitIndex = 10,
                                  .membership = {{{.id = 1, .instance = "a", .voter = true},
                                                  {.id = 2, .instance = "b", .voter = true},
                                                  {.id = 3, .instance = "c", .voter = true}}},
                                  .matchIndexes = {{1, 10}, {2, 10}, {3, 10}},
                                  .lastMessageAt = {}};
    std::vector<MemberId> talking{2, 3};
    TimePoint now{1h};

    std::optional<Membership> observe(std::chrono::milliseconds gap = observationInterval)
    {
        this->now += gap;
        return this->manager.nextStep(this->observation, this->now);
    }

    // Returns the first step.
    std::optional<Membership> run(std::chrono::milliseconds duration)
    {
        const TimePoint end = this->now + duration;
        while (this->now < end) {
            for (const MemberId member : this->talking) {
                this->observation.lastMessageAt[member] = this->now;
            }
            if (std::optional<Membership> step = this->observe()) {
                return step;
            }
        }
        return std::nullopt;
    }

    void add(MemberId id, const InstanceName &instance)
    {
        this->observation.membership.members.push_back({.id = id, .instance = instance, .voter = false});
        this->observation.matchIndexes[id] = 0;
    }
};

bool lists(const Membership &membership, MemberId id)
{
    return findMember(membership, id) != nullptr;
}

} // namespace

// Guards against a leader of a long time that takes a learner that has just joined for one that has been silent since then.
Test(votermanager, a_learner_is_not_silent_for_longer_than_it_has_been_listed)
{
    Group group;
    cr_assert(!group.run(60s).has_value());
    group.add(4, "d");
    cr_assert(!group.run(14s).has_value());
    const auto step = group.run(2s);
    cr_assert(step.has_value() && !lists(*step, 4));
}

// Guards against a leader that was paused and replaces members because it heard nothing in that time.
Test(votermanager, a_pause_of_the_leader_is_not_a_silence_of_the_others)
{
    Group group;
    group.add(4, "d");
    group.observation.matchIndexes[4] = 10;
    group.talking.push_back(4);
    cr_assert(!group.run(5s).has_value());
    cr_assert(!group.observe(60s).has_value());
    cr_assert(!group.run(5s).has_value());
    cr_assert(!group.observe(60s).has_value());
}

// Guards against evidence of an earlier term: a follower hears nothing of the other members.
Test(votermanager, a_new_term_starts_without_silences)
{
    Group group;
    group.add(4, "d");
    group.observation.matchIndexes[4] = 10;
    group.talking = {2, 4};
    cr_assert(!group.run(1500ms).has_value());
    group.observation.term = 2;
    cr_assert(!group.run(1500ms).has_value());
    const auto step = group.run(1s);
    cr_assert(step.has_value() && !lists(*step, 3) && lists(*step, 4));
}

// Guards against a lost identity that stays a voter until its successor holds the whole log.
Test(votermanager, the_earlier_identity_of_an_instance_is_removed_once_the_new_one_replies)
{
    Group group;
    cr_assert(!group.run(20s).has_value());
    group.add(4, "c");
    group.talking = {2};
    cr_assert(!group.run(1s).has_value());
    group.talking = {2, 4};
    const auto step = group.run(observationInterval);
    cr_assert(step.has_value() && !lists(*step, 3) && lists(*step, 4));
}

// Guards against a late request to join, of an identity that is lost, that removes the identity which replaced it.
Test(votermanager, an_identity_that_never_replies_replaces_no_other_of_its_instance)
{
    Group group;
    cr_assert(!group.run(20s).has_value());
    group.add(4, "c");
    const auto step = group.run(1s);
    cr_assert(step.has_value() && lists(*step, 3) && !lists(*step, 4));
}
