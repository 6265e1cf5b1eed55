// Injects each fault at each step of a scatter, and tests the limits on extra load.
#include "differential/query/scatterharness.h"
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
const std::string targetGroup = "g1";

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

void injectFault(const Cell &cell, const SubrequestSend &send, ScatterDriver &driver, Duration after)
{
    Subreply reply = driver.service.reply(send);
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
        driver.replyAfter(after, driver.service.reply(send, TestService::newest + 1));
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
        driver.replyAfter(after + driver.service.table.options.subrequestTimeout + milliseconds(1), reply);
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

// Delay after the send at which the fault is injected into this subrequest; nullopt if it runs normally.
std::optional<Duration> injectionDelay(const Cell &cell, const SubrequestSend &send, std::size_t sendsToTarget)
{
    if (send.group != targetGroup) {
        return std::nullopt;
    }
    const bool always = cell.fault == Fault::AllReplicasOfAGroupLost;
    const bool first = sendsToTarget == 1;
    switch (cell.step) {
    case Step::ChooseSnapshot:
    case Step::Send:
        return first || always ? std::optional<Duration>(Duration::zero()) : std::nullopt;
    case Step::Wait:
        return first || always ? std::optional<Duration>(normalLatency / 2) : std::nullopt;
    case Step::Hedge:
        return send.hedge || (always && !first) ? std::optional<Duration>(normalLatency) : std::nullopt;
    case Step::Retry:
        return sendsToTarget == 2 || (always && !first) ? std::optional<Duration>(normalLatency) : std::nullopt;
    case Step::Merge:
        return first || always ? std::optional<Duration>(normalLatency * 2) : std::nullopt;
    default:
        return cell.deadline();
    }
}

// Applies the part of the fault that the registry shows when the query starts.
void applyToTable(const Cell &cell, TestService &service)
{
    std::vector<Replica> &replicas = service.table.groups[targetGroup];
    BackendRecord &record = replicas.front().record;
    switch (cell.fault) {
    case Fault::ReplicaLost:
        record.state = BackendState::Stopped;
        return;
    case Fault::VersionSwitched:
        record.versions = {TestService::newest + 1};
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

void trainHedgeDelay(ServicePolicies &policies)
{
    for (int sample = 0; sample < 256; ++sample) {
        policies.hedge.recordLatency(normalLatency);
    }
}

void runCell(const Cell &cell)
{
    TestService service({.groups = 4});
    if (cell.step == Step::ChooseSnapshot) {
        applyToTable(cell, service);
    }
    std::size_t sendsToTarget = 0;
    const auto behaviour = [&](const SubrequestSend &send, ScatterDriver &driver) {
        sendsToTarget += send.group == targetGroup ? 1 : 0;
        const bool firstToTarget = send.group == targetGroup && sendsToTarget == 1;
        const std::optional<Duration> faultDelay = injectionDelay(cell, send, sendsToTarget);
        if (faultDelay) {
            injectFault(cell, send, driver, *faultDelay);
        } else if (firstToTarget && cell.step == Step::Hedge) {
            // No reply, so that a hedge is sent.
        } else if (firstToTarget && cell.step == Step::Retry) {
            driver.failAfter(milliseconds(1), send.subrequestId, RetryReason::ConnectionRefused);
        } else {
            driver.replyAfter(normalLatency, service.reply(send));
        }
    };
    const ScatterOptions options{.requestId = "r", .deadline = testStart + cell.deadline(), .partialAllowed = cell.partialAllowed};
    ScatterDriver driver(service, options, behaviour, cell.seed);
    trainHedgeDelay(*driver.policies);
    if (cell.step == Step::ChooseSnapshot) {
        // A reply to an earlier query, as on a reused connection.
        driver.scatter.onReply(Subreply{.subrequestId = 1, .snapshot = {}, .group = targetGroup, .range = {}, .rows = {}, .aggregates = {}},
                               {},
                               {},
                               testStart);
    }
    driver.run();

    const std::string name
        = std::string(faultNames.at(static_cast<std::size_t>(cell.fault))) + " at " + stepNames.at(static_cast<std::size_t>(cell.step));
    cr_assert_eq(driver.outcomes, 1, "%s: %zu outcomes", name.c_str(), driver.outcomes);
    cr_assert_eq(service.slotsInUse(), 0, "%s: slots were not released", name.c_str());
    // The scatter must have reached the step, or the cell proves nothing.
    cr_assert(cell.step != Step::Hedge || driver.scatter.hedgesSent() > 0, "%s: no hedge", name.c_str());
    cr_assert(cell.step != Step::Retry || driver.countOf(RetryReason::ConnectionRefused) > 0, "%s: no retry", name.c_str());
    const bool groupMissing = cell.step == Step::End || cell.fault == Fault::AllReplicasOfAGroupLost;
    cr_assert_eq(driver.outcome->answer.has_value(), !groupMissing || cell.partialAllowed, "%s: wrong kind of outcome", name.c_str());
    const Coverage &coverage = driver.outcome->answer ? driver.outcome->answer->coverage : driver.outcome->coverage;
    cr_assert_eq(coverage.complete(), !groupMissing, "%s: wrong coverage", name.c_str());
    if (driver.outcome->answer) {
        const std::string mismatch = describeMismatch(*driver.outcome->answer, service, cell.partialAllowed);
        cr_assert(mismatch.empty(), "%s: %s", name.c_str(), mismatch.c_str());
        cr_assert(!groupMissing || coverage.missing == std::vector<std::string>{targetGroup}, "%s: another group is missing", name.c_str());
    } else {
        cr_assert(driver.outcome->refusal == RefusalReason::IncompleteCoverage, "%s: wrong refusal", name.c_str());
    }
}

ScatterOptions longQuery(bool partialAllowed = false)
{
    return {.requestId = "r", .deadline = testStart + std::chrono::seconds(5), .partialAllowed = partialAllowed};
}

} // namespace

// Guards against a fault that, at any step, loses or falsifies the answer or leaks a slot.
Test(scatterfaults, each_fault_at_each_step_ends_with_the_correct_outcome)
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

// Guards against retries that let a query crash every replica of every group.
Test(scatterfaults, a_crashing_query_reaches_one_replica_per_group_and_the_probe)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        TestService service({.groups = 8});
        std::set<std::pair<std::string, std::string>> crashed;
        ScatterDriver driver(
            service,
            longQuery(seed % 2 == 0),
            [&](const SubrequestSend &send, ScatterDriver &to) {
                crashed.emplace(send.group, send.replica->record.key.address);
                to.failAfter(milliseconds(1 + send.subrequestId % 3), send.subrequestId, RetryReason::ConnectionLost);
            },
            seed);
        trainHedgeDelay(*driver.policies);
        driver.run();
        cr_assert_leq(crashed.size(), 9);
        cr_assert(driver.outcome->refusal == RefusalReason::IncompleteCoverage);
        cr_assert(driver.outcome->execution == Execution::Unknown);
    }
}

// Guards against hedges that send a query to more replicas while it may be crashing them.
Test(scatterfaults, no_hedge_is_sent_until_the_probe_is_answered)
{
    TestService service({.groups = 3});
    ScatterDriver driver(
        service,
        longQuery(),
        [&service](const SubrequestSend &send, ScatterDriver &to) {
            if (to.sends.size() == 1) {
                to.failAfter(milliseconds(1), send.subrequestId, RetryReason::ConnectionLost);
            } else {
                to.replyAfter(milliseconds(500), service.reply(send));
            }
        },
        1);
    trainHedgeDelay(*driver.policies);
    driver.run();
    cr_assert(driver.outcome->answer.has_value());
    cr_assert_eq(driver.scatter.hedgesSent(), 0);
}

// Guards against retry amplification: refusals are cheap for the server, but their retries are limited all the same.
Test(scatterfaults, without_budget_each_group_retries_once_after_a_refusal)
{
    TestService service({.groups = 6});
    service.table.options.retryBudgetPercent = 0;
    ScatterDriver driver(
        service,
        longQuery(),
        [](const SubrequestSend &send, ScatterDriver &to) { to.failAfter(milliseconds(1), send.subrequestId, RetryReason::Overloaded); },
        1);
    driver.run();
    cr_assert_eq(driver.sends.size(), 12);
    cr_assert(driver.outcome->refusal == RefusalReason::IncompleteCoverage);
    cr_assert(driver.outcome->execution == Execution::NotRun);
}

// Guards against hedges and retries beyond their budgets.
Test(scatterfaults, extra_subrequests_stay_within_the_budgets)
{
    TestService service({.groups = 10});
    const auto policies = std::make_shared<ServicePolicies>(service.table.options);
    std::size_t hedges = 0;
    std::size_t retries = 0;
    constexpr std::size_t queries = 500;
    for (std::size_t query = 0; query < queries; ++query) {
        // Keeps the hedge delay short, so that only the budget limits hedges.
        trainHedgeDelay(*policies);
        ScatterDriver driver(
            service,
            {.requestId = "r", .deadline = testStart + milliseconds(3000), .partialAllowed = true},
            [&service](const SubrequestSend &send, ScatterDriver &to) {
                if (send.hedge || send.subrequestId % 3 == 0) {
                    to.replyAfter(normalLatency, service.reply(send));
                } else if (send.subrequestId % 3 == 1) {
                    to.replyAfter(milliseconds(200), service.reply(send));
                } else {
                    to.replyAfter(normalLatency, service.reply(send, TestService::newest - 1));
                }
            },
            query,
            policies);
        driver.run();
        hedges += driver.countOf(RetryReason::Hedge);
        retries += driver.retries.size() - driver.countOf(RetryReason::Hedge);
    }
    // Earned by the first subrequests, plus the initial budget, worth 1000 subrequests.
    const double earning = queries * 10 + 1000;
    cr_assert_leq(hedges, earning * 0.05);
    cr_assert_leq(retries, earning * 0.10);
    cr_assert_gt(hedges, earning * 0.04);
    cr_assert_gt(retries, earning * 0.09);
}

// Guards against a group that is given up because its replicas are temporarily busy.
Test(scatterfaults, a_group_without_a_free_slot_waits_for_one)
{
    TestService service({.groups = 2, .replicas = 2, .inFlightLimit = 1});
    for (Replica &replica : service.table.groups["g1"]) {
        cr_assert(replica.health->acquire(Priority::Urgent, {}));
    }
    ScatterDriver driver(
        service,
        longQuery(),
        [&service](const SubrequestSend &send, ScatterDriver &to) {
            to.replyAfter(milliseconds(30), service.reply(send));
            if (send.group == "g0") {
                service.table.groups["g1"].front().health->release(Priority::Urgent);
            }
        },
        1);
    driver.run();
    cr_assert(driver.outcome->answer.has_value());
    cr_assert_eq(service.slotsInUse(), 1);
}

// Guards against bulk queries that take every slot and block urgent ones.
Test(scatterfaults, urgent_gets_a_slot_while_bulk_queries_take_all_of_theirs)
{
    for (const std::uint32_t inFlightLimit : {1U, 2U, 4U, 10U}) {
        TestService service({.groups = 1, .inFlightLimit = inFlightLimit});
        std::vector<std::unique_ptr<ScatterDriver>> bulkQueries;
        for (std::uint64_t seed = 0; seed < 50; ++seed) {
            ScatterOptions options = longQuery();
            options.priority = Priority::Bulk;
            bulkQueries.push_back(std::make_unique<ScatterDriver>(
                service, options, [](const SubrequestSend &, ScatterDriver &) {}, seed));
            bulkQueries.back()->scatter.start(testStart);
        }
        ScatterOptions options = longQuery();
        options.priority = Priority::Urgent;
        Scatter urgent(options, nullptr, service.table, std::make_shared<ServicePolicies>(service.table.options), 1);
        cr_assert_eq(urgent.start(testStart).send.size(), 1, "no slot at in-flight limit %u", inFlightLimit);
    }
}

// Guards against urgent queries that block lower priorities although a slot is free.
Test(scatterfaults, bulk_gets_a_free_slot_while_urgent_queries_take_the_others)
{
    TestService service({.groups = 1, .replicas = 1, .inFlightLimit = 4});
    ReplicaHealth &health = *service.table.groups["g0"].front().health;
    for (int slot = 0; slot < 3; ++slot) {
        cr_assert(health.acquire(Priority::Urgent, {.total = 4, .ownAndLower = 4}));
    }
    ScatterOptions options = longQuery();
    options.priority = Priority::Bulk;
    Scatter bulk(options, nullptr, service.table, std::make_shared<ServicePolicies>(service.table.options), 1);
    cr_assert_eq(bulk.start(testStart).send.size(), 1);
}

// Guards against a query that started before a drain and still sends to the draining server.
Test(scatterfaults, a_running_query_sends_nothing_to_a_draining_server)
{
    TestService service({.groups = 1, .replicas = 3});
    std::size_t sendsAfterDrain = 0;
    ScatterDriver driver(
        service,
        longQuery(),
        [&](const SubrequestSend &send, ScatterDriver &to) {
            sendsAfterDrain += send.replica->health->accepting() ? 0 : 1;
            for (Replica &replica : service.table.groups["g0"]) {
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
Test(scatterfaults, silent_connections_do_not_eject_a_working_replica)
{
    for (const bool works : {true, false}) {
        TestService service({.groups = 1});
        const auto policies = std::make_shared<ServicePolicies>(service.table.options);
        std::vector<std::unique_ptr<Scatter>> scatters;
        ScatterOptions options = longQuery();
        options.priority = Priority::Urgent;
        for (std::uint64_t seed = 0; seed < 12; ++seed) {
            scatters.push_back(std::make_unique<Scatter>(options, nullptr, service.table, policies, seed));
            scatters.back()->start(testStart);
        }
        const std::vector<Replica> &replicas = service.table.groups["g0"];
        for (const Replica &replica : replicas) {
            cr_assert_eq(replica.health->inFlight(), 4);
            if (works) {
                replica.health->recordSuccess(normalLatency, testStart + milliseconds(1));
            }
        }
        for (const std::unique_ptr<Scatter> &scatter : scatters) {
            scatter->onTimer(testStart + service.table.options.subrequestTimeout);
        }
        for (const Replica &replica : replicas) {
            cr_assert_eq(replica.health->ejected(testStart + service.table.options.subrequestTimeout), !works);
        }
    }
}

// Guards against a pool query that requires a partition map or a version.
Test(scatterfaults, a_pool_query_is_answered_by_one_replica)
{
    TestService service({.groups = 1, .replicas = 5, .kind = ServiceKind::Pool});
    ScatterDriver driver(
        service,
        longQuery(),
        [&service](const SubrequestSend &send, ScatterDriver &to) {
            if (to.sends.size() == 1) {
                to.failAfter(milliseconds(1), send.subrequestId, RetryReason::ConnectionRefused);
            } else {
                to.replyAfter(normalLatency, service.reply(send));
            }
        },
        3);
    driver.run();
    cr_assert_eq(driver.sends.size(), 2);
    cr_assert(driver.outcome->answer.has_value());
    cr_assert(driver.outcome->answer->coverage.complete());
    cr_assert(!toJson(*driver.outcome->answer).contains("snapshot"));
}

// Guards against a query that runs without a recorded partition map.
Test(scatterfaults, without_a_recorded_map_the_query_is_refused_as_not_run)
{
    TestService service({.groups = 2});
    service.table.maps.clear();
    ScatterDriver driver(
        service, longQuery(true), [](const SubrequestSend &, ScatterDriver &) {}, 1);
    driver.run();
    cr_assert(driver.outcome->refusal == RefusalReason::NoPartitionMap);
    cr_assert(driver.outcome->execution == Execution::NotRun);
}

// Guards against slots leaked when the caller disconnects or the scatter is destroyed.
Test(scatterfaults, cancel_and_destruction_release_every_slot)
{
    TestService service({.groups = 5});
    {
        ScatterDriver driver(
            service, longQuery(), [](const SubrequestSend &, ScatterDriver &) {}, 1);
        cr_assert_eq(driver.scatter.start(testStart).send.size(), 5);
        cr_assert_eq(driver.scatter.cancel(testStart + milliseconds(1)).cancel.size(), 5);
        cr_assert_eq(service.slotsInUse(), 0);
        ScatterDriver dropped(
            service, longQuery(), [](const SubrequestSend &, ScatterDriver &) {}, 2);
        dropped.scatter.start(testStart);
        cr_assert_eq(service.slotsInUse(), 5);
    }
    cr_assert_eq(service.slotsInUse(), 0);
}

// Guards against a hedge to the same slow replica, and a hedge left running after the group was answered.
Test(scatterfaults, a_hedge_goes_to_another_replica_and_the_slower_one_is_cancelled)
{
    for (const std::size_t replicas : {std::size_t{1}, std::size_t{2}}) {
        TestService service({.groups = 1, .replicas = replicas});
        ScatterDriver driver(
            service,
            longQuery(),
            [&service](const SubrequestSend &send, ScatterDriver &to) {
                to.replyAfter(send.hedge ? normalLatency : milliseconds(500), service.reply(send));
            },
            1);
        trainHedgeDelay(*driver.policies);
        driver.run();
        cr_assert(driver.outcome->answer.has_value());
        cr_assert_eq(driver.scatter.hedgesSent(), replicas - 1);
        cr_assert_eq(driver.cancelled.size(), replicas - 1);
        cr_assert_eq(driver.scatter.lateReplies(), replicas - 1);
    }
}

// Guards against a hedge, or its original, that keeps running after its group was answered while other groups wait.
Test(scatterfaults, the_slower_of_two_is_cancelled_when_its_group_is_answered)
{
    TestService service({.groups = 2});
    ScatterDriver driver(
        service,
        longQuery(),
        [&service](const SubrequestSend &send, ScatterDriver &to) {
            const milliseconds originalLatency = send.group == "g0" ? milliseconds(50) : milliseconds(100);
            to.replyAfter(send.hedge && send.group == "g0" ? normalLatency : originalLatency, service.reply(send));
        },
        1);
    trainHedgeDelay(*driver.policies);
    driver.run();
    cr_assert(driver.outcome->answer.has_value());
    cr_assert_eq(driver.countOf(RetryReason::InvalidReply), 0);
    cr_assert(driver.cancelled.contains(1));
}

// Guards against a minimum or maximum from a group that has no values.
Test(scatterfaults, a_group_without_values_does_not_change_the_aggregates)
{
    const TestService service({.groups = 2});
    AnswerMerger merger(service.table.maps.front(), {TestService::epoch, TestService::newest});
    const SubrequestSend send{.subrequestId = 1,
                              .group = "g0",
                              .replica = nullptr,
                              .snapshot = {TestService::epoch, TestService::newest},
                              .expiry = {},
                              .hedge = false};
    SubrequestSend other = send;
    other.group = "g1";
    Subreply empty = service.reply(other);
    empty.rows.clear();
    empty.aggregates = Aggregates{.count = 0, .sum = 0, .minimum = 0, .maximum = 0};
    cr_assert(merger.merge(service.reply(send)) == MergeVerdict::Merged);
    cr_assert(merger.merge(empty) == MergeVerdict::Merged);
    cr_assert_gt(*merger.take().aggregates->minimum, 0);
}

// Guards against placeholder values in aggregates without rows.
Test(scatterfaults, aggregates_without_rows_have_no_value)
{
    const Answer answer{
        .snapshot = {1, 1}, .coverage = {.total = 2, .answered = 1, .missing = {"g1"}}, .rows = {}, .aggregates = Aggregates{}};
    const nlohmann::json expected{{"count", 0}, {"partial", true}};
    cr_assert(toJson(answer)["aggregates"] == expected);
}
