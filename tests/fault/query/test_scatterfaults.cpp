// Each fault at each step of a scatter, and the limits that hold across steps.
#include "differential/query/scatterworld.h"
#include "fault/faultlog.h"

#include <array>
#include <criterion/criterion.h>

using namespace Galenawell;
using namespace Galenawell::Testing;

namespace {

enum class Step : std::uint8_t { ChooseSnapshot, Send, Wait, Hedge, Retry, Merge, End, Count };
enum class Fault : std::uint8_t {
    ReplicaLost,
    Straggler,
    ConnectionSilent,
    VersionSwitched,
    Repartition,
    DrainRefusal,
    OverloadRefusal,
    LateReply,
    DuplicateReply,
    ReorderedReplies,
    AllReplicasOfAGroupLost,
    Count,
};

constexpr std::array stepNames{"choose snapshot", "send", "wait", "hedge", "retry", "merge", "end"};
constexpr std::array faultNames{"replica lost",
                                "straggler",
                                "connection silent",
                                "version switched",
                                "repartition",
                                "drain refusal",
                                "overload refusal",
                                "late reply",
                                "duplicate reply",
                                "reordered replies",
                                "all replicas of one group lost"};

constexpr milliseconds normalLatency{4};
const std::string victim = "g1";

struct Cell
{
    Step step;
    Fault fault;
    bool partialAllowed;
    std::uint64_t seed;

    milliseconds deadline() const
    {
        return this->step == Step::End ? milliseconds(50) : milliseconds(8000);
    }
};

void strike(const Cell &cell, const SubrequestSend &send, Driver &driver, Duration after)
{
    Subreply reply = driver.world.reply(send);
    switch (cell.fault) {
    case Fault::ReplicaLost:
        driver.failAfter(after, send.subrequestId, RetryReason::ConnectionLost);
        return;
    case Fault::Straggler:
        driver.replyAfter(after + milliseconds(300), reply);
        return;
    case Fault::ConnectionSilent:
        return;
    case Fault::VersionSwitched:
        driver.replyAfter(after, driver.world.reply(send, World::newest + 1));
        return;
    case Fault::Repartition:
        reply.snapshot.epoch += 1;
        reply.range.end += "5";
        driver.replyAfter(after, reply);
        return;
    case Fault::DrainRefusal:
        driver.failAfter(after, send.subrequestId, RetryReason::Draining);
        return;
    case Fault::OverloadRefusal:
        driver.failAfter(after, send.subrequestId, RetryReason::Overloaded);
        return;
    case Fault::LateReply:
        driver.replyAfter(after + driver.world.service.options.subrequestTimeout + milliseconds(1), reply);
        return;
    case Fault::DuplicateReply:
        driver.replyAfter(after, reply);
        driver.replyAfter(after + milliseconds(1), reply);
        return;
    case Fault::ReorderedReplies:
        driver.replyAfter(after + normalLatency - microseconds(send.subrequestId * 100), reply);
        return;
    default:
        driver.failAfter(after, send.subrequestId, RetryReason::ConnectionRefused);
    }
}

// The time after its send at which the fault strikes this subrequest; nothing if it runs normally.
std::optional<Duration> strikeTime(const Cell &cell, const SubrequestSend &send, std::size_t sendsToVictim)
{
    if (send.group != victim) {
        return std::nullopt;
    }
    const bool always = cell.fault == Fault::AllReplicasOfAGroupLost;
    const bool first = sendsToVictim == 1;
    switch (cell.step) {
    case Step::ChooseSnapshot:
    case Step::Send:
        return first || always ? std::optional<Duration>(Duration::zero()) : std::nullopt;
    case Step::Wait:
        return first || always ? std::optional<Duration>(normalLatency / 2) : std::nullopt;
    case Step::Hedge:
        return send.hedge || (always && !first) ? std::optional<Duration>(normalLatency) : std::nullopt;
    case Step::Retry:
        return sendsToVictim == 2 || (always && !first) ? std::optional<Duration>(normalLatency) : std::nullopt;
    case Step::Merge:
        return first || always ? std::optional<Duration>(normalLatency * 2) : std::nullopt;
    default:
        return cell.deadline();
    }
}

// What the registry already shows of the fault when the query begins.
void showInTable(const Cell &cell, World &world)
{
    std::vector<Replica> &replicas = world.service.groups[victim];
    BackendRecord &record = replicas.front().record;
    switch (cell.fault) {
    case Fault::ReplicaLost:
        record.state = BackendState::Stopped;
        return;
    case Fault::VersionSwitched:
        record.versions = {World::newest + 1};
        return;
    case Fault::Repartition:
        record.epoch += 1;
        return;
    case Fault::DrainRefusal:
        record.state = BackendState::Draining;
        return;
    case Fault::OverloadRefusal:
        replicas.front().health->startBackoff(testStart + milliseconds(20));
        return;
    case Fault::AllReplicasOfAGroupLost:
        replicas.clear();
        return;
    default:
        return;
    }
}

void teachLatency(ServicePolicies &policies)
{
    for (int sample = 0; sample < 256; ++sample) {
        policies.hedge.recordLatency(normalLatency);
    }
}

void runCell(const Cell &cell)
{
    World world({.groups = 4});
    if (cell.step == Step::ChooseSnapshot) {
        showInTable(cell, world);
    }
    std::size_t sendsToVictim = 0;
    const auto behaviour = [&](const SubrequestSend &send, Driver &driver) {
        sendsToVictim += send.group == victim ? 1 : 0;
        const bool firstToVictim = send.group == victim && sendsToVictim == 1;
        const std::optional<Duration> struckAfter = strikeTime(cell, send, sendsToVictim);
        if (struckAfter) {
            strike(cell, send, driver, *struckAfter);
        } else if (firstToVictim && cell.step == Step::Hedge) {
            // Silent, so that the hedge is sent.
        } else if (firstToVictim && cell.step == Step::Retry) {
            driver.failAfter(milliseconds(1), send.subrequestId, RetryReason::ConnectionRefused);
        } else {
            driver.replyAfter(normalLatency, world.reply(send));
        }
    };
    const ScatterOptions options{.requestId = "r", .deadline = testStart + cell.deadline(), .partialAllowed = cell.partialAllowed};
    Driver driver(world, options, behaviour, cell.seed);
    teachLatency(*driver.policies);
    if (cell.step == Step::ChooseSnapshot) {
        // A reply from before the query, as after a reused connection.
        driver.scatter.onReply(
            Subreply{.subrequestId = 1, .snapshot = {}, .group = victim, .range = {}, .rows = {}, .aggregates = {}}, {}, {}, testStart);
    }
    driver.run();

    const std::string name
        = std::string(faultNames.at(static_cast<std::size_t>(cell.fault))) + " at " + stepNames.at(static_cast<std::size_t>(cell.step));
    cr_assert_eq(driver.outcomes, 1, "%s: %zu outcomes", name.c_str(), driver.outcomes);
    cr_assert_eq(world.placesTaken(), 0, "%s: places stay taken", name.c_str());
    // The fault must have met its step, or the cell proves nothing.
    cr_assert(cell.step != Step::Hedge || driver.scatter.hedgesSent() > 0, "%s: no hedge", name.c_str());
    cr_assert(cell.step != Step::Retry || driver.countOf(RetryReason::ConnectionRefused) > 0, "%s: no retry", name.c_str());
    const bool groupMissing = cell.step == Step::End || cell.fault == Fault::AllReplicasOfAGroupLost;
    cr_assert_eq(driver.outcome->answer.has_value(), !groupMissing || cell.partialAllowed, "%s: wrong kind of outcome", name.c_str());
    const Coverage &coverage = driver.outcome->answer ? driver.outcome->answer->coverage : driver.outcome->coverage;
    cr_assert_eq(coverage.complete(), !groupMissing, "%s: wrong coverage", name.c_str());
    if (driver.outcome->answer) {
        const std::string problem = problemOf(*driver.outcome->answer, world, cell.partialAllowed);
        cr_assert(problem.empty(), "%s: %s", name.c_str(), problem.c_str());
        cr_assert(!groupMissing || coverage.missing == std::vector<std::string>{victim}, "%s: another group is missing", name.c_str());
    } else {
        cr_assert(driver.outcome->refusal == RefusalReason::IncompleteCoverage, "%s: wrong refusal", name.c_str());
    }
}

ScatterOptions longQuery(bool partialAllowed = false)
{
    return {.requestId = "r", .deadline = testStart + std::chrono::seconds(5), .partialAllowed = partialAllowed};
}

} // namespace

// Guards against a fault that, at one step, costs the answer, its truth, or a place on a replica.
Test(scatterfaults, each_fault_at_each_step_ends_with_the_true_outcome)
{
    constexpr unsigned seeds = 10;
    for (std::size_t step = 0; step < static_cast<std::size_t>(Step::Count); ++step) {
        for (std::size_t fault = 0; fault < static_cast<std::size_t>(Fault::Count); ++fault) {
            for (std::uint64_t seed = 0; seed < seeds; ++seed) {
                runCell({static_cast<Step>(step), static_cast<Fault>(fault), false, seed});
                runCell({static_cast<Step>(step), static_cast<Fault>(fault), true, seed});
            }
            recordFaultCell("query", faultNames.at(fault), stepNames.at(step), 2 * seeds);
        }
    }
}

// Guards against a query that crashes every replica of every group by being retried everywhere.
Test(scatterfaults, a_crashing_query_costs_one_replica_per_group_and_one_more)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        World world({.groups = 8});
        std::set<std::pair<std::string, std::string>> crashed;
        Driver driver(
            world,
            longQuery(seed % 2 == 0),
            [&](const SubrequestSend &send, Driver &to) {
                crashed.emplace(send.group, send.replica->record.key.address);
                to.failAfter(milliseconds(1 + send.subrequestId % 3), send.subrequestId, RetryReason::ConnectionLost);
            },
            seed);
        teachLatency(*driver.policies);
        driver.run();
        cr_assert_leq(crashed.size(), 9);
        cr_assert(driver.outcome->refusal == RefusalReason::IncompleteCoverage);
        cr_assert(driver.outcome->execution == Execution::Unknown);
    }
}

// Guards against hedges that spread a query to more replicas while it is suspected of crashing them.
Test(scatterfaults, no_hedge_is_sent_until_the_probe_is_answered)
{
    World world({.groups = 3});
    Driver driver(
        world,
        longQuery(),
        [&world](const SubrequestSend &send, Driver &to) {
            if (to.sends.size() == 1) {
                to.failAfter(milliseconds(1), send.subrequestId, RetryReason::ConnectionLost);
            } else {
                to.replyAfter(milliseconds(500), world.reply(send));
            }
        },
        1);
    teachLatency(*driver.policies);
    driver.run();
    cr_assert(driver.outcome->answer.has_value());
    cr_assert_eq(driver.scatter.hedgesSent(), 0);
}

// Guards against retry amplification: refusals that cost the server nothing must not be answered without limit.
Test(scatterfaults, without_budget_each_group_retries_once_after_a_refusal)
{
    World world({.groups = 6});
    world.service.options.retryBudgetPercent = 0;
    Driver driver(
        world,
        longQuery(),
        [](const SubrequestSend &send, Driver &to) { to.failAfter(milliseconds(1), send.subrequestId, RetryReason::Overloaded); },
        1);
    driver.run();
    cr_assert_eq(driver.sends.size(), 12);
    cr_assert(driver.outcome->refusal == RefusalReason::IncompleteCoverage);
    cr_assert(driver.outcome->execution == Execution::NotRun);
}

// Guards against a hedge or retry that is sent without budget.
Test(scatterfaults, extra_subrequests_stay_within_the_budgets)
{
    World world({.groups = 10});
    const auto policies = std::make_shared<ServicePolicies>(world.service.options);
    std::size_t hedges = 0;
    std::size_t retries = 0;
    constexpr std::size_t queries = 500;
    for (std::size_t query = 0; query < queries; ++query) {
        // Keeps the delay short, so that only the budget limits the hedges.
        teachLatency(*policies);
        Driver driver(
            world,
            {.requestId = "r", .deadline = testStart + milliseconds(3000), .partialAllowed = true},
            [&world](const SubrequestSend &send, Driver &to) {
                if (send.hedge || send.subrequestId % 3 == 0) {
                    to.replyAfter(normalLatency, world.reply(send));
                } else if (send.subrequestId % 3 == 1) {
                    to.replyAfter(milliseconds(200), world.reply(send));
                } else {
                    to.replyAfter(normalLatency, world.reply(send, World::newest - 1));
                }
            },
            query,
            policies);
        driver.run();
        hedges += driver.countOf(RetryReason::Hedge);
        retries += driver.retries.size() - driver.countOf(RetryReason::Hedge);
    }
    // The earnings of all first subrequests, and of the thousand remembered ones that the bucket begins with.
    const double earning = queries * 10 + 1000;
    cr_assert_leq(hedges, earning * 0.05);
    cr_assert_leq(retries, earning * 0.10);
    cr_assert_gt(hedges, earning * 0.04);
    cr_assert_gt(retries, earning * 0.09);
}

// Guards against a group that is given up because its replicas are busy for a moment.
Test(scatterfaults, a_group_without_a_free_replica_waits_for_one)
{
    World world({.groups = 2, .replicas = 2, .share = 1});
    for (Replica &replica : world.service.groups["g1"]) {
        cr_assert(replica.health->acquire(Priority::Urgent, {}));
    }
    Driver driver(
        world,
        longQuery(),
        [&world](const SubrequestSend &send, Driver &to) {
            to.replyAfter(milliseconds(30), world.reply(send));
            if (send.group == "g0") {
                world.service.groups["g1"].front().health->release(Priority::Urgent);
            }
        },
        1);
    driver.run();
    cr_assert(driver.outcome->answer.has_value());
    cr_assert_eq(world.placesTaken(), 1);
}

// Guards against bulk work that leaves urgent work no place on any replica.
Test(scatterfaults, urgent_finds_room_while_bulk_floods)
{
    for (const std::uint32_t share : {1U, 2U, 4U, 10U}) {
        World world({.groups = 1, .share = share});
        std::vector<std::unique_ptr<Driver>> floods;
        for (std::uint64_t seed = 0; seed < 50; ++seed) {
            ScatterOptions options = longQuery();
            options.priority = Priority::Bulk;
            floods.push_back(std::make_unique<Driver>(
                world, options, [](const SubrequestSend &, Driver &) {}, seed));
            floods.back()->scatter.start(testStart);
        }
        ScatterOptions options = longQuery();
        options.priority = Priority::Urgent;
        Scatter urgent(options, nullptr, world.service, std::make_shared<ServicePolicies>(world.service.options), 1);
        cr_assert_eq(urgent.start(testStart).send.size(), 1, "no room at share %u", share);
    }
}

// Guards against a flood of urgent work that blocks lower priorities although a place is free.
Test(scatterfaults, bulk_takes_a_free_place_while_urgent_floods)
{
    World world({.groups = 1, .replicas = 1, .share = 4});
    ReplicaHealth &health = *world.service.groups["g0"].front().health;
    for (int place = 0; place < 3; ++place) {
        cr_assert(health.acquire(Priority::Urgent, {.total = 4, .ownAndLower = 4}));
    }
    ScatterOptions options = longQuery();
    options.priority = Priority::Bulk;
    Scatter bulk(options, nullptr, world.service, std::make_shared<ServicePolicies>(world.service.options), 1);
    cr_assert_eq(bulk.start(testStart).send.size(), 1);
}

// Guards against new work for a draining server by a query that began before the drain.
Test(scatterfaults, a_running_query_sends_nothing_to_a_server_that_began_to_drain)
{
    World world({.groups = 1, .replicas = 3});
    std::size_t sendsAfterDrain = 0;
    Driver driver(
        world,
        longQuery(),
        [&](const SubrequestSend &send, Driver &to) {
            sendsAfterDrain += send.replica->health->accepting() ? 0 : 1;
            for (Replica &replica : world.service.groups["g0"]) {
                replica.health->setAccepting(false);
            }
            to.failAfter(milliseconds(1), send.subrequestId, RetryReason::ConnectionRefused);
        },
        1);
    driver.run();
    cr_assert_eq(driver.sends.size(), 1);
    cr_assert_eq(sendsAfterDrain, 0);
    cr_assert(driver.outcome->refusal == RefusalReason::IncompleteCoverage);
}

// Guards against ejecting a replica for silent connections while its other connections work.
Test(scatterfaults, silent_connections_are_not_held_against_a_working_replica)
{
    for (const bool works : {true, false}) {
        World world({.groups = 1});
        const auto policies = std::make_shared<ServicePolicies>(world.service.options);
        std::vector<std::unique_ptr<Scatter>> scatters;
        ScatterOptions options = longQuery();
        options.priority = Priority::Urgent;
        for (std::uint64_t seed = 0; seed < 12; ++seed) {
            scatters.push_back(std::make_unique<Scatter>(options, nullptr, world.service, policies, seed));
            scatters.back()->start(testStart);
        }
        const std::vector<Replica> &replicas = world.service.groups["g0"];
        for (const Replica &replica : replicas) {
            cr_assert_eq(replica.health->inFlight(), 4);
            if (works) {
                replica.health->recordSuccess(normalLatency, testStart + milliseconds(1));
            }
        }
        for (const std::unique_ptr<Scatter> &scatter : scatters) {
            scatter->onTimer(testStart + world.service.options.subrequestTimeout);
        }
        for (const Replica &replica : replicas) {
            cr_assert_eq(replica.health->ejected(testStart + world.service.options.subrequestTimeout), !works);
        }
    }
}

// Guards against a pool query that needs a map or a version.
Test(scatterfaults, a_pool_query_is_answered_by_one_replica)
{
    World world({.groups = 1, .replicas = 5, .kind = ServiceKind::Pool});
    Driver driver(
        world,
        longQuery(),
        [&world](const SubrequestSend &send, Driver &to) {
            if (to.sends.size() == 1) {
                to.failAfter(milliseconds(1), send.subrequestId, RetryReason::ConnectionRefused);
            } else {
                to.replyAfter(normalLatency, world.reply(send));
            }
        },
        3);
    driver.run();
    cr_assert_eq(driver.sends.size(), 2);
    cr_assert(driver.outcome->answer.has_value());
    cr_assert(driver.outcome->answer->coverage.complete());
    cr_assert(!toJson(*driver.outcome->answer).contains("snapshot"));
}

// Guards against an invented map.
Test(scatterfaults, without_a_recorded_map_the_query_is_refused_unrun)
{
    World world({.groups = 2});
    world.service.maps.clear();
    Driver driver(
        world, longQuery(true), [](const SubrequestSend &, Driver &) {}, 1);
    driver.run();
    cr_assert(driver.outcome->refusal == RefusalReason::NoPartitionMap);
    cr_assert(driver.outcome->execution == Execution::NotRun);
}

// Guards against places that stay taken when the caller goes away or the scatter is destroyed.
Test(scatterfaults, cancel_and_destruction_release_every_place)
{
    World world({.groups = 5});
    {
        Driver driver(
            world, longQuery(), [](const SubrequestSend &, Driver &) {}, 1);
        cr_assert_eq(driver.scatter.start(testStart).send.size(), 5);
        cr_assert_eq(driver.scatter.cancel(testStart + milliseconds(1)).cancel.size(), 5);
        cr_assert_eq(world.placesTaken(), 0);
        Driver dropped(
            world, longQuery(), [](const SubrequestSend &, Driver &) {}, 2);
        dropped.scatter.start(testStart);
        cr_assert_eq(world.placesTaken(), 5);
    }
    cr_assert_eq(world.placesTaken(), 0);
}

// Guards against a hedge to the replica that is slow already, and a hedge left running after the group's answer.
Test(scatterfaults, a_hedge_goes_to_another_replica_and_the_slower_one_is_cancelled)
{
    for (const std::size_t replicas : {std::size_t{1}, std::size_t{2}}) {
        World world({.groups = 1, .replicas = replicas});
        Driver driver(
            world,
            longQuery(),
            [&world](const SubrequestSend &send, Driver &to) {
                to.replyAfter(send.hedge ? normalLatency : milliseconds(500), world.reply(send));
            },
            1);
        teachLatency(*driver.policies);
        driver.run();
        cr_assert(driver.outcome->answer.has_value());
        cr_assert_eq(driver.scatter.hedgesSent(), replicas - 1);
        cr_assert_eq(driver.cancelled.size(), replicas - 1);
        cr_assert_eq(driver.scatter.lateReplies(), replicas - 1);
    }
}

// Guards against a hedge or its original that runs on, and replies, while other groups still wait.
Test(scatterfaults, the_slower_of_two_is_cancelled_with_its_groups_answer)
{
    World world({.groups = 2});
    Driver driver(
        world,
        longQuery(),
        [&world](const SubrequestSend &send, Driver &to) {
            const milliseconds originalLatency = send.group == "g0" ? milliseconds(50) : milliseconds(100);
            to.replyAfter(send.hedge && send.group == "g0" ? normalLatency : originalLatency, world.reply(send));
        },
        1);
    teachLatency(*driver.policies);
    driver.run();
    cr_assert(driver.outcome->answer.has_value());
    cr_assert_eq(driver.countOf(RetryReason::InvalidReply), 0);
    cr_assert(driver.cancelled.contains(1));
}

// Guards against a minimum or maximum from a group that has no values.
Test(scatterfaults, a_group_without_values_adds_nothing_to_the_aggregates)
{
    const World world({.groups = 2});
    AnswerMerger merger(world.service.maps.front(), {World::epoch, World::newest});
    const SubrequestSend send{
        .subrequestId = 1, .group = "g0", .replica = nullptr, .snapshot = {World::epoch, World::newest}, .expiry = {}, .hedge = false};
    SubrequestSend other = send;
    other.group = "g1";
    Subreply empty = world.reply(other);
    empty.rows.clear();
    empty.aggregates = Aggregates{.count = 0, .sum = 0, .minimum = 0, .maximum = 0};
    cr_assert(merger.merge(world.reply(send)) == MergeVerdict::Merged);
    cr_assert(merger.merge(empty) == MergeVerdict::Merged);
    cr_assert_gt(*merger.take().aggregates->minimum, 0);
}

// Guards against a value that stands for "no rows".
Test(scatterfaults, aggregates_without_rows_have_no_value)
{
    const Answer answer{
        .snapshot = {1, 1}, .coverage = {.total = 2, .answered = 1, .missing = {"g1"}}, .rows = {}, .aggregates = Aggregates{}};
    const nlohmann::json expected{{"count", 0}, {"partial", true}};
    cr_assert(toJson(answer)["aggregates"] == expected);
}
