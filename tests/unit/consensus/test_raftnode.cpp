#include "fault/consensus/raftcluster.h"
#include "temporaryfolder.h"

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

// Guards against a cluster that can't elect, replicate, or restart from its files.
Test(raftNode, three_members_elect_replicate_and_restart_from_disk)
{
    const TemporaryFolder folder;
    RaftCluster cluster({.seed = 1, .folder = folder.path});
    for (int entry = 0; entry < 50; ++entry) {
        cr_assert(cluster.commitOne(10s));
    }
    for (const InstanceName &name : cluster.names()) {
        cluster.kill(name);
    }
    cluster.heal();
    cr_assert(cluster.commitOne(10s));
    cluster.run(1s);
    cluster.checkConverged();
    cr_assert_eq(cluster.acknowledged, 51U);
    cr_assert(cluster.violation.empty(), "%s", cluster.violation.c_str());
}

// Guards against a quorum that is never reached with one voter.
Test(raftNode, a_single_voter_commits_alone)
{
    RaftCluster cluster({.voters = 1});
    cr_assert(cluster.commitOne(5s));
    cluster.read();
    cluster.run(100ms);
    cr_assert_eq(cluster.confirmedReads, 1U);
    cr_assert(cluster.violation.empty(), "%s", cluster.violation.c_str());
}

namespace {

// Elects a leader and returns the name of a follower.
InstanceName startWithFollower(RaftCluster &cluster)
{
    cr_assert(cluster.commitOne(10s));
    return cluster.leader()->name == "b" ? "c" : "b";
}

// Number of terms that begin because a follower was isolated for ten seconds and returned.
Term termsAfterIsolation(bool preVotes)
{
    RaftCluster cluster({.rules = {.preVotes = preVotes}});
    const InstanceName follower = startWithFollower(cluster);
    const Term before = cluster.leader()->node->term();
    cluster.cut({follower}, cluster.names());
    cluster.run(10s);
    cluster.cutLinks.clear();
    cr_assert(cluster.commitOne(10s));
    cluster.run(2s);
    return cluster.leader()->node->term() - before;
}

// Whether an isolated leader still acts as leader after two seconds.
bool leadsAfterIsolation(bool checksQuorum)
{
    RaftCluster cluster({.rules = {.checksQuorum = checksQuorum}});
    startWithFollower(cluster);
    Instance &leader = *cluster.leader();
    cluster.cut({leader.name}, cluster.names());
    cluster.run(2s);
    return leader.node->role() == RaftRole::Leader;
}

} // namespace

// Guards against a returning member that deposes a working leader.
Test(raftNode, a_returning_member_starts_no_new_term)
{
    cr_assert_eq(termsAfterIsolation(true), 0U);
    cr_assert_gt(termsAfterIsolation(false), 0U);
}

// Guards against an isolated leader that accepts commands forever.
Test(raftNode, an_isolated_leader_steps_down)
{
    cr_assert_not(leadsAfterIsolation(true));
    cr_assert(leadsAfterIsolation(false));
}

// Guards against a quorum that a learner, which may have an empty disk, completes.
Test(raftNode, a_learner_does_not_count_for_a_quorum)
{
    RaftCluster cluster({});
    startWithFollower(cluster);
    cluster.membershipChangesEnabled = false;
    cluster.addInstance("d");
    RaftNode &node = *cluster.leader()->node;
    Membership membership = node.membership();
    membership.members.push_back({.id = cluster.at("d").disk.identity, .instance = "d", .voter = false});
    cr_assert(node.proposeMembership(membership, cluster.time()));
    cluster.run(500ms);
    cr_assert_eq(cluster.at("d").node->commitIndex(), node.commitIndex());
    for (const InstanceName &name : cluster.namesExcept({cluster.leader()->name, "d"})) {
        cluster.at(name).frozen = true;
    }
    cr_assert_not(cluster.commitOne(900ms));
}

// Guards against a leader that continues after its removal from the membership.
Test(raftNode, a_removed_leader_is_replaced)
{
    RaftCluster cluster({});
    startWithFollower(cluster);
    const InstanceName removed = cluster.leader()->name;
    cluster.retire(removed);
    cr_assert(cluster.runUntil(5s, [&] { return cluster.leader() != nullptr && cluster.leader()->name != removed; }));
    cr_assert(cluster.commitOne(5s));
    cluster.run(5s);
    cr_assert_eq(cluster.leader()->node->membership().members.size(), 2U);
    cr_assert(cluster.violation.empty(), "%s", cluster.violation.c_str());
}

// Guards against a member that votes for the earlier identity of its instance, whose folder was lost.
Test(raftNode, ignores_messages_to_another_identity)
{
    TimePoint now;
    RaftNode node({.self = 2}, {}, 1, now);
    node.receive({.kind = RaftMessageKind::VoteRequest, .from = 1, .to = 3, .term = 5}, now);
    cr_assert(node.takeOutput().messages.empty());
    node.receive({.kind = RaftMessageKind::VoteRequest, .from = 1, .to = 2, .term = 5}, now);
    const RaftOutput output = node.takeOutput();
    cr_assert_eq(output.hardState->votedFor, 1U);
    cr_assert(output.messages.front().granted);
}

// Guards against a read that never completes because this member can no longer confirm it.
Test(raftNode, reads_fail_when_leadership_is_lost)
{
    TimePoint now;
    RaftNode node({.self = 2}, {}, 1, now);
    node.requestRead(7, now);
    cr_assert(node.takeOutput().failedReads == std::vector<std::uint64_t>{7});
}

// Guards against a snapshot that contains a membership which isn't committed.
Test(raftNode, a_snapshot_holds_the_membership_of_its_entry)
{
    RaftCluster cluster({});
    startWithFollower(cluster);
    cluster.membershipChangesEnabled = false;
    RaftNode &node = *cluster.leader()->node;
    Membership membership = node.membership();
    membership.members.push_back({.id = 99, .instance = "d", .voter = false});
    cr_assert(node.proposeMembership(membership, cluster.time()));
    cr_assert(node.membershipChanging());
    cr_assert_eq(node.membership().members.size(), 4U);
    cr_assert_eq(node.makeSnapshot("").membership.members.size(), 3U);
    const Result<LogIndex> second = node.proposeMembership(membership, cluster.time());
    cr_assert_eq(second.error().kind, ErrorKind::MembershipBusy);
}
