#include "fault/consensus/schedule.h"
#include "galenawell/consensus/raftcodec.h"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

namespace {

// GALENAWELL_FAULT_SEEDS asks for a longer run.
unsigned seedCount()
{
    const char *text = std::getenv("GALENAWELL_FAULT_SEEDS");
    return text == nullptr ? 300U : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

// The first violation that random schedules find, or an empty string.
std::string findViolation(ClusterOptions options, unsigned seeds)
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        const Outcome outcome = runRandomSchedule(options, 12);
        if (!outcome.violation.empty()) {
            return "seed " + std::to_string(seed) + ": " + outcome.violation;
        }
    }
    return {};
}

// A stalled cluster alone doesn't show that a missing defence breaks safety.
void expectSafetyViolation(const ClusterOptions &options)
{
    const std::string violation = findViolation(options, seedCount());
    std::printf("%s\n", violation.c_str());
    cr_assert(!violation.empty());
    cr_assert(!violation.ends_with("no progress after healing"), "%s", violation.c_str());
}

// One follower is cut off, the other crashes before it stores an entry, and the leader is lost right after.
std::string violationOfCrashBeforeStore(bool sendsBeforeStoring)
{
    RaftCluster cluster({.sendsBeforeStoring = sendsBeforeStoring});
    cluster.commitOne(10s);
    cluster.run(500ms);
    const InstanceName leader = cluster.leader()->name;
    const std::vector<InstanceName> followers = cluster.namesExcept({leader});
    cluster.cut({followers[1]}, {leader});
    cluster.at(followers[0]).crash = Instance::CrashPoint::BeforeStore;
    cluster.propose("one");
    cluster.run(100ms);
    cluster.at(leader).frozen = true;
    cluster.restart(followers[0]);
    cluster.runUntil(10s, [&] { return cluster.leader() != nullptr; });
    cluster.commitOne(10s);
    cluster.heal();
    cluster.run(2s);
    cluster.checkConverged();
    return cluster.violation;
}

// A leader's promotion of "e" reaches only "e"; the next leader removes the former one before it committed anything.
std::string violationOfOverlappingChanges(bool oneAtATime)
{
    RaftCluster cluster({.voters = 4, .defences = {.oneMembershipChangeAtATime = oneAtATime}});
    cluster.repairs = false;
    cluster.commitOne(10s);
    const InstanceName first = cluster.leader()->name;
    RaftNode &firstNode = *cluster.at(first).node;
    cluster.addInstance("e");
    Membership membership = firstNode.membership();
    membership.members.push_back(Member{.id = cluster.at("e").disk.identity, .instance = "e", .voter = false});
    cr_assert(firstNode.proposeMembership(membership, cluster.time()));
    cluster.run(1s);
    cluster.cut({first}, cluster.namesExcept({first, "e"}));
    membership.members.back().voter = true;
    cr_assert(firstNode.proposeMembership(membership, cluster.time()));
    cluster.run(100ms);
    cluster.cut({"e"}, cluster.namesExcept({first, "e"}));
    cluster.runUntil(10s, [&] { return cluster.leader() != nullptr && cluster.leader()->name != first; });
    const InstanceName second = cluster.leader()->name;
    const std::vector<InstanceName> rest = cluster.namesExcept({first, second, "e"});
    cluster.cut({rest[1]}, {second, rest[0]});
    RaftNode &secondNode = *cluster.at(second).node;
    membership = secondNode.membership();
    std::erase_if(membership.members, [&first](const Member &member) { return member.instance == first; });
    const Result<LogIndex> removal = secondNode.proposeMembership(membership, cluster.time());
    cr_assert_neq(removal.has_value(), oneAtATime);
    cluster.run(300ms);
    cluster.cuts.clear();
    cluster.cut({second, rest[0]}, {first, rest[1], "e"});
    cluster.run(10s);
    cluster.cuts.clear();
    cluster.run(3s);
    return cluster.violation;
}

// A leader of term 4 learns that two of four followers store entry 2 of term 2, and nothing of its own term.
LogIndex commitAfterOldEntryIsStored(bool commitsOnlyOwnTerm)
{
    Membership membership;
    for (MemberId id = 1; id <= 5; ++id) {
        membership.members.push_back(Member{.id = id, .instance = std::to_string(id), .voter = true});
    }
    RaftPersistentState restored;
    restored.hardState = HardState{.term = 3, .votedFor = 0};
    restored.entries.push_back({.index = 1, .term = 1, .kind = EntryKind::Membership, .payload = encodeMembership(membership)});
    restored.entries.push_back({.index = 2, .term = 2, .kind = EntryKind::Command, .payload = "old"});
    TimePoint now;
    RaftNode node({.self = 1, .defences = {.commitsOnlyOwnTerm = commitsOnlyOwnTerm}}, restored, 1, now);
    now += 2s;
    node.tick(now);
    for (const RaftMessageKind kind : {RaftMessageKind::PreVoteReply, RaftMessageKind::VoteReply}) {
        for (MemberId id = 2; id <= 3; ++id) {
            node.receive({.kind = kind, .from = id, .to = 1, .term = 4, .granted = true}, now);
        }
    }
    cr_assert_eq(node.role(), RaftRole::Leader);
    for (MemberId id = 2; id <= 3; ++id) {
        node.receive({.kind = RaftMessageKind::AppendReply, .from = id, .to = 1, .term = 4, .logIndex = 2, .granted = true}, now);
    }
    return node.commitIndex();
}

} // namespace

// Guards against invariants that hold only in short schedules.
Test(defences, all_together_pass_every_schedule)
{
    const std::string violation = findViolation({}, seedCount() / seedDivisor);
    cr_assert(violation.empty(), "%s", violation.c_str());
}

// Guards against an acknowledgement of an entry that the crashed member doesn't hold after its restart.
Test(defences, sending_before_storing_is_noticed)
{
    cr_assert(violationOfCrashBeforeStore(false).empty());
    cr_assert(!violationOfCrashBeforeStore(true).empty());
}

// Guards against two majorities that share no member: one of a change that was never committed, one of its successor.
Test(defences, overlapping_membership_changes_are_noticed)
{
    cr_assert(violationOfOverlappingChanges(true).empty(), "%s", violationOfOverlappingChanges(true).c_str());
    cr_assert(!violationOfOverlappingChanges(false).empty());
}

// Guards against the commit of an entry of an earlier term that a later leader may still replace.
Test(defences, commits_of_earlier_terms_are_noticed)
{
    cr_assert_eq(commitAfterOldEntryIsStored(true), 0U);
    cr_assert_eq(commitAfterOldEntryIsStored(false), 2U);
}

Test(defences, a_lost_disk_that_keeps_its_identity_is_noticed)
{
    expectSafetyViolation({.keepsIdentityOfLostDisk = true});
}

Test(defences, acknowledging_at_propose_is_noticed)
{
    expectSafetyViolation({.acknowledgesAtPropose = true});
}

Test(defences, votes_without_comparing_logs_are_noticed)
{
    expectSafetyViolation({.defences = {.comparesLogsBeforeVoting = false}});
}

Test(defences, forgotten_votes_are_noticed)
{
    expectSafetyViolation({.defences = {.remembersVotes = false}});
}

Test(defences, reads_without_a_round_are_noticed)
{
    expectSafetyViolation({.defences = {.waitsForReadRounds = false}});
}
