// Scatter over a fixed set of groups, as routed requests use it: answers with gaps, runs of one request, and work that must
// not run twice.
#include "galenawell/query/recordmerger.h"
#include "galenawell/query/scatter.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

class RoutedWorld
{
public:
    RoutedWorld(std::size_t groups, std::size_t replicas, double budgetTokens = 10)
    {
        const HedgeOptions hedging{.enabled = true, .budgetPercent = 0, .quantile = 0.95, .minimumDelay = 5ms};
        this->shared = std::make_shared<ServicePolicies>(hedging, 100.0, budgetTokens);
        this->service.options.kind = groups == 1 ? ServiceKind::Pool : ServiceKind::Sharded;
        this->service.options.subrequestTimeout = 10s;
        this->service.options.rampUp = 0ms;
        this->service.fixedGroups = PartitionMap{.service = "s", .epoch = 0, .groups = {}};
        for (std::size_t group = 0; group < groups; ++group) {
            const std::string name = "g" + std::to_string(group);
            this->service.fixedGroups->groups.push_back({.name = name, .range = {}});
            this->service.groupPolicies[name] = this->shared;
            for (std::size_t replica = 0; replica < replicas; ++replica) {
                BackendRecord record;
                record.key = {.service = name, .group = "", .address = name + "-" + std::to_string(replica)};
                record.state = BackendState::Ready;
                record.dataCentre = "z" + std::to_string(replica);
                this->service.groups[name].push_back(
                    {.record = record, .health = std::make_shared<ReplicaHealth>(EjectionOptions{}, start), .inFlightLimit = 5});
            }
        }
        // One token for each subrequest that was paid for by another request.
        for (int index = 0; index < 100; ++index) {
            this->shared->retries.earn();
        }
    }

    ScatterOptions options(std::size_t least) const
    {
        ScatterOptions made{
            .requestId = "r", .deadline = start + 1s, .minimumGroups = least, .softDeadline = start + 100ms, .maximumExecutions = 2};
        made.probesAfterLostConnection = false;
        made.makeCollector = [](const PartitionMap &map) { return std::make_unique<RecordMerger>(map, 10); };
        return made;
    }

    Scatter scatter(const ScatterOptions &options) const
    {
        return {options, std::make_shared<RoutingTable>(), this->service, this->shared, 7};
    }

    static Subreply reply(const SubrequestSend &send)
    {
        Subreply made{.subrequestId = send.subrequestId};
        made.proof = "p" + std::to_string(send.subrequestId);
        made.records = std::string(recordBytes, 'r');
        return made;
    }

    ServiceTable service;
    std::shared_ptr<ServicePolicies> shared;
};

std::size_t replicaHealths(const RoutedWorld &world, const std::string &group)
{
    std::size_t inFlight = 0;
    for (const Replica &replica : world.service.groups.at(group)) {
        inFlight += replica.health->inFlight();
    }
    return inFlight;
}

} // namespace

// Guards against one slow group making a whole answer late, when the caller accepts one with a true gap.
Test(routedscatter, an_answer_with_a_gap_is_given_at_the_objective)
{
    RoutedWorld world(4, 1);
    Scatter scatter = world.scatter(world.options(3));
    const ScatterActions first = scatter.start(start);
    cr_assert(first.send.size() == 4);
    for (std::size_t index = 0; index < 3; ++index) {
        const ScatterActions actions = scatter.onReply(RoutedWorld::reply(first.send[index]), 10ms, {}, start + 10ms);
        cr_assert(!actions.outcome.has_value());
        cr_assert(actions.wakeAt.has_value() && *actions.wakeAt <= start + 100ms);
    }
    const ScatterActions last = scatter.onTimer(start + 100ms);
    cr_assert(last.outcome.has_value() && last.outcome->answer.has_value());
    cr_assert(last.outcome->answer->coverage.answered == 3 && last.outcome->answer->coverage.missing.size() == 1);
    cr_assert(last.cancel.size() == 1);
}

// Guards against an answer below the least share while there is time left, and against waiting longer than needed then.
Test(routedscatter, below_the_least_share_it_waits_for_the_next_group_only)
{
    RoutedWorld world(4, 1);
    Scatter scatter = world.scatter(world.options(3));
    const ScatterActions first = scatter.start(start);
    scatter.onReply(RoutedWorld::reply(first.send[0]), 10ms, {}, start + 10ms);
    scatter.onReply(RoutedWorld::reply(first.send[1]), 10ms, {}, start + 10ms);
    cr_assert(!scatter.onTimer(start + 100ms).outcome.has_value());
    const ScatterActions third = scatter.onReply(RoutedWorld::reply(first.send[2]), 200ms, {}, start + 200ms);
    cr_assert(third.outcome.has_value() && third.outcome->answer.has_value());
}

// Guards against a request that waits for its deadline although too many groups have no server at all.
Test(routedscatter, too_many_groups_without_servers_are_refused_at_once_as_not_run)
{
    RoutedWorld world(4, 1);
    world.service.groups.erase("g0");
    world.service.groups.erase("g1");
    Scatter scatter = world.scatter(world.options(3));
    const ScatterActions actions = scatter.start(start);
    cr_assert(actions.outcome.has_value() && actions.outcome->refusal.has_value());
    cr_assert(actions.send.size() == actions.cancel.size() || actions.send.empty());
}

// Guards against a caller's attempt running on more replicas of a group than its route allows, hedges included.
Test(routedscatter, no_more_runs_than_the_route_allows)
{
    RoutedWorld world(1, 5);
    ScatterOptions options = world.options(1);
    options.softDeadline = TimePoint::max();
    Scatter scatter = world.scatter(options);
    ScatterActions actions = scatter.start(start);
    std::size_t sends = 0;
    for (int round = 1; round < 6 && !actions.outcome; ++round) {
        sends += actions.send.size();
        if (!actions.send.empty()) {
            actions = scatter.onFailure(actions.send.front().subrequestId, {.reason = RetryReason::ConnectionLost}, start + round * 10ms);
        } else {
            actions = scatter.onTimer(start + round * 50ms);
        }
    }
    cr_assert(sends == 2, "%zu", sends);
    cr_assert(actions.outcome.has_value() && actions.outcome->execution == Execution::Unknown);
}

// Guards against rejections that say "not run" using up the runs of a request.
Test(routedscatter, rejections_do_not_count_as_runs)
{
    RoutedWorld world(1, 5);
    ScatterOptions options = world.options(1);
    Scatter scatter = world.scatter(options);
    ScatterActions actions = scatter.start(start);
    for (int round = 1; round <= 3; ++round) {
        cr_assert(actions.send.size() == 1);
        actions = scatter.onFailure(actions.send.front().subrequestId, {.reason = RetryReason::Overloaded}, start + round * 1ms);
    }
    cr_assert(actions.send.size() == 1);
    const ScatterActions done = scatter.onReply(RoutedWorld::reply(actions.send.front()), 5ms, {}, start + 10ms);
    cr_assert(done.outcome.has_value() && done.outcome->answer.has_value());
}

// Guards against work that must run at most once being sent again after it may have run, or being hedged.
Test(routedscatter, what_may_have_run_once_is_not_sent_again)
{
    RoutedWorld world(1, 3);
    ScatterOptions options = world.options(1);
    options.idempotent = false;
    Scatter scatter = world.scatter(options);
    const ScatterActions first = scatter.start(start);
    cr_assert(first.send.size() == 1);
    cr_assert(scatter.onTimer(start + 90ms).send.empty());
    const ScatterActions lost = scatter.onFailure(first.send.front().subrequestId, {.reason = RetryReason::ConnectionLost}, start + 95ms);
    cr_assert(lost.send.empty());
    cr_assert(lost.outcome.has_value() && lost.outcome->execution == Execution::Unknown);
}

// Guards against a refusal that says "not run" for work that did run, and against giving up while it surely hasn't.
Test(routedscatter, work_that_was_never_sent_is_tried_elsewhere)
{
    RoutedWorld world(1, 3);
    ScatterOptions options = world.options(1);
    options.idempotent = false;
    Scatter scatter = world.scatter(options);
    const ScatterActions first = scatter.start(start);
    const ScatterActions second
        = scatter.onFailure(first.send.front().subrequestId, {.reason = RetryReason::ConnectionRefused}, start + 1ms);
    cr_assert(second.send.size() == 1);
    cr_assert(second.send.front().replica->record.key.address != first.send.front().replica->record.key.address);
}

// Guards against retries beyond the shared budget, whose bound holds over all fronts.
Test(routedscatter, without_budget_nothing_is_sent_again)
{
    RoutedWorld world(1, 3, 1);
    while (world.shared->retries.spend()) {
    }
    ScatterOptions options = world.options(1);
    Scatter scatter = world.scatter(options);
    const ScatterActions first = scatter.start(start);
    // The first subrequest earns a part of a token only.
    while (world.shared->retries.spend()) {
    }
    const ScatterActions failed = scatter.onFailure(first.send.front().subrequestId, {.reason = RetryReason::Overloaded}, start + 1ms);
    cr_assert(failed.send.empty() && !failed.outcome.has_value());
}

// Guards against work for a caller that has gone, and against places that stay taken for it.
Test(routedscatter, cancelling_gives_up_everything_that_was_sent)
{
    RoutedWorld world(3, 2);
    Scatter scatter = world.scatter(world.options(3));
    const ScatterActions first = scatter.start(start);
    const ScatterActions cancelled = scatter.cancel(start + 5ms);
    cr_assert(cancelled.cancel.size() == first.send.size());
    cr_assert(replicaHealths(world, "g0") + replicaHealths(world, "g1") + replicaHealths(world, "g2") == 0);
}

// Guards against sending to a server that stands still while others of its group answer.
Test(routedscatter, an_overdue_replica_is_left_for_the_others_until_it_replies)
{
    RoutedWorld world(1, 3);
    const Replica &slow = world.service.groups.at("g0").front();
    slow.health->noteOverdue(start);
    for (int index = 0; index < 50; ++index) {
        Scatter scatter = world.scatter(world.options(1));
        const ScatterActions actions = scatter.start(start + 1ms);
        cr_assert(actions.send.front().replica->record.key.address != slow.record.key.address);
    }
    slow.health->recordSuccess(10ms, start + 2ms);
    cr_assert(!slow.health->overdue(start + 3ms, 400ms));
    slow.health->noteOverdue(start + 4ms);
    cr_assert(!slow.health->overdue(start + 10s, 2s));
}

// Guards against replicas that refuse or lose most of their work drawing as much of it as sound ones.
Test(routedscatter, unreliable_replicas_are_chosen_seldom_and_tried_again_later)
{
    RoutedWorld world(1, 2);
    std::vector<Replica> &replicas = world.service.groups.at("g0");
    for (int index = 0; index < 40; ++index) {
        const TimePoint now = start + index * 1ms;
        replicas[1].health->recordSuccess(10ms, now);
        if (index % 3 == 0) {
            replicas[0].health->recordSuccess(10ms, now);
        } else {
            replicas[0].health->recordRefusal(now);
        }
    }
    const auto chosenOf = [&world, &replicas](TimePoint now) {
        int unreliable = 0;
        for (int index = 0; index < 100; ++index) {
            Scatter scatter = world.scatter(world.options(1));
            unreliable += scatter.start(now).send.front().replica->record.key.address == replicas[0].record.key.address ? 1 : 0;
        }
        return unreliable;
    };
    cr_assert(chosenOf(start + 41ms) == 0);
    cr_assert(replicas[0].health->reliability(start + 41ms) < 0.6);
    cr_assert(replicas[0].health->reliability(start + 30s) > 0.99);
}

// Guards against bytes between data centres for replicas that are no better than a home.
Test(routedscatter, a_home_is_chosen_unless_another_replica_is_better)
{
    RoutedWorld world(1, 3);
    world.service.groups.at("g0")[1].preferred = true;
    ScatterOptions options = world.options(1);
    options.usesPreferredReplicas = true;
    options.selection = Selection::ThreeChoices;
    for (const Replica &replica : world.service.groups.at("g0")) {
        replica.health->recordSuccess(10ms, start);
    }
    const auto chosen = [&] {
        Scatter scatter(options, std::make_shared<RoutingTable>(), world.service, world.shared, 7);
        return scatter.start(start + 1ms).send.front().replica->record.dataCentre;
    };
    cr_assert(chosen() == "z1");
    for (int index = 0; index < 3; ++index) {
        cr_assert(world.service.groups.at("g0")[1].health->acquire(Priority::Urgent, {.total = 5, .ownAndLower = 5}));
    }
    cr_assert(chosen() != "z1");
}

// Guards against a process that stood still for a moment hedging everything, and blaming every server, before it reads the
// replies that came meanwhile.
Test(routedscatter, a_late_timer_leaves_time_to_read_replies_before_hedging)
{
    RoutedWorld world(4, 3);
    for (int index = 0; index < 2000; ++index) {
        world.shared->hedge.recordLatency(10ms);
    }
    ScatterOptions options = world.options(4);
    options.softDeadline = start + 900ms;
    Scatter scatter = world.scatter(options);
    const ScatterActions first = scatter.start(start);
    const ScatterActions late = scatter.onTimer(start + 80ms);
    cr_assert(late.send.empty());
    for (std::size_t index = 0; index < 3; ++index) {
        scatter.onReply(RoutedWorld::reply(first.send[index]), 10ms, {}, start + 81ms);
    }
    cr_assert(late.wakeAt.has_value() && *late.wakeAt <= start + 90ms);
    const ScatterActions hedged = scatter.onTimer(*late.wakeAt);
    cr_assert_eq(hedged.send.size(), 1);
    cr_assert(hedged.send.front().hedge && hedged.send.front().group == first.send[3].group);
}
