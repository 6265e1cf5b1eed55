// Compares Scatter under random replies and failures with a reference implementation that queries the groups in sequence.
#include "differential/query/scatterharness.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <thread>

using namespace Galenawell;
using namespace Galenawell::Testing;

namespace {

// Responses to a subrequest. Good has several entries, so that most queries end with an answer.
enum class Response : std::uint8_t {
    Good,
    AlsoGood,
    StillGood,
    Slow,
    Twice,
    OlderVersion,
    OtherRange,
    RowOutsideRange,
    OtherGroup,
    Repartitioned,
    Silent,
    Refused,
    Draining,
    Overloaded,
    Lost,
    Count,
};

void schedule(const SubrequestSend &send, ScatterDriver &driver, RandomSource &random)
{
    const auto response = static_cast<Response>(random.below(static_cast<std::size_t>(Response::Count)));
    const microseconds delay(100 + random.below(9000));
    Subreply reply = driver.service.reply(send);
    switch (response) {
    case Response::Slow:
        driver.replyAfter(delay * 50, reply);
        return;
    case Response::Twice:
        driver.replyAfter(delay, reply);
        driver.replyAfter(delay + microseconds(random.below(5000)), reply);
        return;
    case Response::OlderVersion:
        driver.replyAfter(delay, driver.service.reply(send, TestService::newest - 1));
        return;
    case Response::OtherRange:
        // A server with another range holds other rows.
        reply.range.end += "x";
        reply.rows.pop_back();
        driver.replyAfter(delay, reply);
        return;
    case Response::RowOutsideRange:
        // No key is outside the whole key space, so that the reply stays good.
        if (reply.range != KeyRange{}) {
            reply.rows.push_back({reply.range.end.empty() ? "!" : "~", 5.0});
        }
        driver.replyAfter(delay, reply);
        return;
    case Response::OtherGroup:
        reply.group = "g0";
        reply.range = driver.service.table.maps.front().groups.front().range;
        reply.rows = driver.service.rowsOf("g0", reply.snapshot.version);
        driver.replyAfter(delay, reply);
        return;
    case Response::Repartitioned:
        reply.snapshot.epoch += 1;
        driver.replyAfter(delay, reply);
        return;
    case Response::Silent:
        return;
    case Response::Refused:
        driver.failAfter(delay, send.subrequestId, RetryReason::ConnectionRefused);
        return;
    case Response::Draining:
        driver.failAfter(delay, send.subrequestId, RetryReason::Draining);
        return;
    case Response::Overloaded:
        driver.failAfter(delay, send.subrequestId, RetryReason::Overloaded);
        return;
    case Response::Lost:
        driver.failAfter(delay, send.subrequestId, RetryReason::ConnectionLost);
        return;
    default:
        driver.replyAfter(delay, reply);
    }
}

// Merges every reply without checking its snapshot, range or group.
Answer mergeUnchecked(const std::vector<Subreply> &replies, const Snapshot &snapshot, std::size_t total)
{
    Answer answer{.snapshot = snapshot, .coverage = {.total = total, .answered = total, .missing = {}}, .rows = {}, .aggregates = {}};
    for (const Subreply &reply : replies) {
        answer.rows.insert(answer.rows.end(), reply.rows.begin(), reply.rows.end());
    }
    std::sort(answer.rows.begin(), answer.rows.end(), [](const Row &left, const Row &right) { return left.key < right.key; });
    answer.aggregates = TestService::aggregatesOf(answer.rows);
    return answer;
}

SubrequestSend sendTo(const std::string &group)
{
    return {.subrequestId = 1,
            .group = group,
            .replica = nullptr,
            .snapshot = {TestService::epoch, TestService::newest},
            .expiry = {},
            .hedge = false};
}

} // namespace

// Guards against mixed snapshots, duplicate rows, wrong coverage, leaked slots and queries that never end, under every
// combination of faults.
Test(scatter, random_faults_end_with_the_reference_answer_or_a_correct_refusal)
{
    std::size_t answers = 0;
    std::size_t partials = 0;
    std::size_t refusals = 0;
    const bool passed = rc::check([&](std::uint64_t seed, bool partialAllowed) {
        RandomSource random(seed);
        TestService service({.groups = 1 + random.below(8),
                             .replicas = 1 + random.below(4),
                             .inFlightLimit = static_cast<std::uint32_t>(1 + random.below(3))});
        const ScatterOptions options{
            .requestId = "r", .priority = Priority::Urgent, .deadline = testStart + milliseconds(400), .partialAllowed = partialAllowed};
        ScatterDriver driver(
            service, options, [&random](const SubrequestSend &send, ScatterDriver &to) { schedule(send, to, random); }, seed);
        driver.run();
        RC_ASSERT(driver.outcomes == 1U);
        RC_ASSERT(*driver.endedAt <= options.deadline);
        RC_ASSERT(service.slotsInUse() == 0U);
        if (driver.outcome->answer) {
            RC_ASSERT(describeMismatch(*driver.outcome->answer, service, partialAllowed) == "");
            for (const std::string &group : driver.outcome->answer->coverage.missing) {
                RC_ASSERT(service.table.groups.contains(group));
            }
            ++(driver.outcome->answer->coverage.complete() ? answers : partials);
            return;
        }
        RC_ASSERT(driver.outcome->refusal == RefusalReason::IncompleteCoverage);
        RC_ASSERT(driver.outcome->coverage.total == service.table.groups.size());
        RC_ASSERT(driver.outcome->coverage.answered + driver.outcome->coverage.missing.size() == driver.outcome->coverage.total);
        RC_ASSERT(!driver.outcome->coverage.complete());
        ++refusals;
    });
    cr_assert(passed);
    // The cases must include each kind of outcome, or the property proves nothing.
    cr_assert(answers > 0 && partials > 0 && refusals > 0);
}

// Guards against a scatter that gives up although retry budget and time are left.
Test(scatter, one_failing_replica_per_group_never_reduces_coverage)
{
    cr_assert(rc::check([](std::uint64_t seed) {
        RandomSource random(seed);
        TestService service({.groups = 1 + random.below(10)});
        const auto failureKind = random.below(4);
        const ScatterOptions options{.requestId = "r", .deadline = testStart + std::chrono::seconds(5)};
        ScatterDriver driver(
            service,
            options,
            [&](const SubrequestSend &send, ScatterDriver &to) {
                const bool bad = send.replica->record.key.address.ends_with("0");
                if (!bad) {
                    to.replyAfter(milliseconds(3), service.reply(send));
                } else if (failureKind == 0) {
                    to.failAfter(milliseconds(1), send.subrequestId, RetryReason::ConnectionRefused);
                } else if (failureKind == 1) {
                    to.failAfter(milliseconds(1), send.subrequestId, RetryReason::ConnectionLost);
                } else if (failureKind == 2) {
                    to.replyAfter(milliseconds(1), service.reply(send, TestService::newest - 1));
                }
            },
            seed);
        driver.run();
        RC_ASSERT(driver.outcome->answer.has_value());
        RC_ASSERT(describeMismatch(*driver.outcome->answer, service, false) == "");
        RC_ASSERT(service.slotsInUse() == 0U);
    }));
}

// Guards against slots leaked by threads that share the replicas' health and the budgets.
Test(scatter, queries_on_several_threads_share_the_replicas)
{
    TestService service({.groups = 4, .inFlightLimit = 2});
    const auto policies = std::make_shared<ServicePolicies>(service.table.options);
    std::atomic<int> wrong{0};
    const auto work = [&](std::uint64_t firstSeed) {
        for (std::uint64_t seed = firstSeed; seed < firstSeed + 100; ++seed) {
            RandomSource random(seed);
            const ScatterOptions options{.requestId = "r",
                                         .priority = static_cast<Priority>(seed % 3),
                                         .deadline = testStart + milliseconds(300),
                                         .partialAllowed = true};
            ScatterDriver driver(
                service, options, [&random](const SubrequestSend &send, ScatterDriver &to) { schedule(send, to, random); }, seed, policies);
            driver.run();
            const bool bad = driver.outcome->answer && !describeMismatch(*driver.outcome->answer, service, true).empty();
            wrong += bad || driver.outcomes != 1 ? 1 : 0;
        }
    };
    std::vector<std::thread> threads;
    for (std::uint64_t index = 0; index < 4; ++index) {
        threads.emplace_back(work, index * 1000);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    cr_assert_eq(wrong, 0);
    cr_assert_eq(service.slotsInUse(), 0);
}

// Guards against a comparison that accepts mixed snapshots, duplicates or rows outside the range.
Test(scatter, the_comparison_rejects_an_unchecked_merge)
{
    const TestService service({.groups = 2});
    const Snapshot snapshot{TestService::epoch, TestService::newest};
    const Subreply first = service.reply(sendTo("g0"));
    const Subreply second = service.reply(sendTo("g1"));
    const Subreply old = service.reply(sendTo("g1"), TestService::newest - 1);
    Subreply stray = second;
    stray.rows.push_back({"~", 5.0});
    cr_assert_eq(describeMismatch(mergeUnchecked({second, first}, snapshot, 2), service, false), "");
    cr_assert_neq(describeMismatch(mergeUnchecked({first, old}, snapshot, 2), service, false), "");
    cr_assert_neq(describeMismatch(mergeUnchecked({first, second, second}, snapshot, 2), service, false), "");
    cr_assert_neq(describeMismatch(mergeUnchecked({first, stray}, snapshot, 2), service, false), "");
    cr_assert_neq(describeMismatch(mergeUnchecked({first}, snapshot, 2), service, false), "");
}

// Guards against a snapshot that isn't the newest complete one.
Test(snapshotchooser, agrees_with_an_exhaustive_search)
{
    cr_assert(rc::check([](std::uint64_t seed) {
        RandomSource random(seed);
        TestService service({.groups = 1 + random.below(4), .replicas = 1 + random.below(3)});
        PartitionMap older = service.table.maps.front();
        older.epoch = TestService::epoch - 1;
        service.table.maps.push_back(older);
        for (auto &[name, replicas] : service.table.groups) {
            for (Replica &replica : replicas) {
                replica.record.epoch = TestService::epoch - random.below(2);
                replica.record.versions.clear();
                for (std::size_t count = random.below(3); count > 0; --count) {
                    replica.record.versions.insert(random.below(3));
                }
                replica.record.state = random.below(4) == 0 ? BackendState::Draining : BackendState::Ready;
            }
        }
        std::tuple<bool, std::size_t, Snapshot> best{false, 0, {}};
        for (std::uint64_t epoch = TestService::epoch - 1; epoch <= TestService::epoch; ++epoch) {
            for (std::uint64_t version = 0; version < 3; ++version) {
                std::size_t ready = 0;
                for (const auto &[name, replicas] : service.table.groups) {
                    ready += std::any_of(replicas.begin(), replicas.end(), [&](const Replica &replica) {
                        return replica.record.state == BackendState::Ready && replica.record.epoch == epoch
                            && replica.record.versions.contains(version);
                    });
                }
                const std::tuple<bool, std::size_t, Snapshot> candidate{
                    ready == service.table.groups.size(), ready, Snapshot{epoch, version}};
                best = ready > 0 ? std::max(best, candidate) : best;
            }
        }
        const std::optional<ChosenSnapshot> chosen = chooseSnapshot(service.table);
        RC_ASSERT(chosen.has_value());
        RC_ASSERT(chosen->readyGroups == std::get<1>(best));
        RC_ASSERT((chosen->readyGroups == 0U || chosen->snapshot == std::get<2>(best)));
    }));
}
