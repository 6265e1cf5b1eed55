// Compares routing decisions with reference implementations.
#include "galenawell/routing/hedgepolicy.h"
#include "galenawell/routing/replicachooser.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <thread>

using namespace Galenawell;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));
const Snapshot snapshot{3, 9};

Replica makeReplica(std::size_t number, std::uint32_t inFlightLimit = 4)
{
    Replica replica;
    replica.record.key = {"search", "g", std::to_string(number)};
    replica.record.dataCentre = number % 2 == 0 ? "even" : "odd";
    replica.record.state = BackendState::Ready;
    replica.record.epoch = snapshot.epoch;
    replica.record.versions = {snapshot.version};
    replica.health = std::make_shared<ReplicaHealth>(EjectionOptions{}, start - std::chrono::minutes(5));
    replica.inFlightLimit = inFlightLimit;
    return replica;
}

std::vector<Replica> makeGroup(std::size_t size, std::uint32_t inFlightLimit = 4)
{
    std::vector<Replica> group;
    for (std::size_t number = 0; number < size; ++number) {
        group.push_back(makeReplica(number, inFlightLimit));
    }
    return group;
}

void failUntilEjected(const Replica &replica)
{
    for (int failure = 0; failure < 3; ++failure) {
        replica.health->recordFailure(start);
    }
}

ReplicaQuery anyQuery(Priority priority = Priority::Urgent)
{
    ReplicaQuery query;
    query.snapshot = snapshot;
    query.priority = priority;
    return query;
}

} // namespace

// Guards against the choice of a replica that is draining, of another version, excluded, in backoff or at its limit, and
// against none although one is eligible. The reference scans all replicas.
Test(replicachooser, chooses_exactly_when_a_scan_finds_an_eligible_replica)
{
    std::size_t chosenCount = 0;
    std::size_t refusedCount = 0;
    cr_assert(rc::check([&](std::uint64_t seed, bool excludeTried) {
        RandomSource random(seed);
        std::vector<Replica> group = makeGroup(1 + random.below(4), 2);
        ReplicaQuery query = anyQuery();
        query.excludeTried = excludeTried;
        std::set<std::string> eligible;
        for (Replica &replica : group) {
            const std::string &address = replica.record.key.address;
            const std::size_t defect = random.below(8);
            replica.record.state = defect == 0 ? BackendState::Draining : BackendState::Ready;
            replica.record.epoch += defect == 1 ? 1 : 0;
            replica.record.versions = {snapshot.version - (defect == 2 ? 1U : 0U)};
            if (defect == 3) {
                query.excluded.push_back(address);
            } else if (defect == 4) {
                replica.health->startBackoff(start + milliseconds(1));
            } else if (defect == 5) {
                query.triedAddresses.push_back(address);
            } else if (defect == 6) {
                for (int slot = 0; slot < 2; ++slot) {
                    replica.health->acquire(Priority::Urgent, {.total = 2, .ownAndLower = 2});
                }
            }
            if (defect == 7 || (defect == 5 && !excludeTried)) {
                eligible.insert(address);
            }
        }
        const Replica *chosen = chooseReplica(group, ServiceOptions{}, query, random, start);
        RC_ASSERT((chosen != nullptr) == !eligible.empty());
        RC_ASSERT((chosen == nullptr || eligible.contains(chosen->record.key.address)));
        RC_ASSERT((chosen == nullptr || chosen->health->inFlight() == 1U));
        ++(chosen == nullptr ? refusedCount : chosenCount);
    }));
    cr_assert(chosenCount > 0 && refusedCount > 0);
}

// Guards against a front that ejects so many replicas that the rest is overloaded.
Test(replicachooser, at_most_a_third_of_a_group_is_ejected)
{
    for (std::size_t size = 1; size <= 9; ++size) {
        const std::vector<Replica> group = makeGroup(size, 1000);
        for (const Replica &replica : group) {
            failUntilEjected(replica);
        }
        RandomSource random(size);
        std::set<std::string> used;
        for (int draw = 0; draw < 500; ++draw) {
            used.insert(chooseReplica(group, ServiceOptions{}, anyQuery(), random, start)->record.key.address);
        }
        cr_assert_eq(used.size(), size - size / 3);
    }
}

// Guards against an ejection that never ends, doesn't grow, or is prolonged by requests sent before it.
Test(replicahealth, ejections_double_up_to_the_longest_and_end)
{
    ReplicaHealth health(EjectionOptions{}, start);
    TimePoint now = start;
    for (const int seconds : {1, 2, 4, 8, 16, 32, 60, 60}) {
        while (!health.ejected(now)) {
            health.recordFailure(now);
        }
        cr_assert(health.ejectionEnd() == now + std::chrono::seconds(seconds));
        health.recordFailure(now);
        now = health.ejectionEnd();
        cr_assert(!health.ejected(now));
    }
}

// Guards against a burst of requests to a replica that still fails when its ejection ends.
Test(replicachooser, after_an_ejection_one_request_at_a_time_probes_the_replica)
{
    const std::vector<Replica> group = makeGroup(3, 5);
    failUntilEjected(group[0]);
    const TimePoint later = group[0].health->ejectionEnd();
    RandomSource random(1);
    const auto fillGroup = [&] {
        std::uint32_t taken = 0;
        while (chooseReplica(group, ServiceOptions{}, anyQuery(), random, later) != nullptr) {
            ++taken;
        }
        return taken;
    };
    cr_assert_eq(fillGroup(), 11);
    group[0].health->recordSuccess(milliseconds(5), later);
    cr_assert_eq(fillGroup(), 4);
}

// Guards against in-flight slots that concurrent updates lose or grant twice.
Test(replicahealth, threads_never_hold_more_slots_than_the_limits)
{
    ReplicaHealth health(EjectionOptions{}, start);
    const InFlightLimits limits[] = {{8, 8}, {8, 6}, {8, 4}};
    std::atomic<bool> exceeded{false};
    const auto work = [&](Priority priority) {
        const InFlightLimits &own = limits[static_cast<std::size_t>(priority)];
        for (int round = 0; round < 20'000; ++round) {
            if (health.acquire(priority, own)) {
                if (health.inFlight() > 8 || health.inFlightAndLower(Priority::Bulk) > 4
                    || health.inFlightAndLower(Priority::Standard) > 6) {
                    exceeded = true;
                }
                health.release(priority);
            }
        }
    };
    std::vector<std::thread> threads;
    for (int index = 0; index < 6; ++index) {
        threads.emplace_back(work, static_cast<Priority>(index % 3));
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    cr_assert(!exceeded);
    cr_assert_eq(health.inFlight(), 0);
}

// Guards against bulk requests taking every slot of a group, at any in-flight limit, and against bulk requests getting none.
Test(replicachooser, lower_priorities_get_their_part_of_the_slots)
{
    for (const std::uint32_t limit : {1U, 2U, 3U, 10U}) {
        for (const auto &[priority, percent] : {std::pair{Priority::Bulk, 50U}, std::pair{Priority::Standard, 80U}}) {
            const std::vector<Replica> group = makeGroup(3, limit);
            RandomSource random(limit);
            std::size_t taken = 0;
            while (chooseReplica(group, ServiceOptions{}, anyQuery(priority), random, start) != nullptr) {
                ++taken;
            }
            cr_assert_geq(taken, 1);
            cr_assert_leq(taken, 3 * limit * percent / 100);
            cr_assert_not_null(chooseReplica(group, ServiceOptions{}, anyQuery(), random, start));
        }
    }
}

// Guards against a slow replica that gets as much work as the others, and against one that is never tried again.
Test(replicachooser, a_slow_replica_is_avoided_until_its_latency_has_decayed)
{
    const std::vector<Replica> group = makeGroup(3, 1000);
    for (const Replica &replica : group) {
        replica.health->recordSuccess(milliseconds(replica.record.key.address == "0" ? 50 : 5), start);
    }
    RandomSource random(1);
    const auto drawsOfSlow = [&](TimePoint now) {
        int slow = 0;
        for (int draw = 0; draw < 300; ++draw) {
            const Replica *chosen = chooseReplica(group, ServiceOptions{}, anyQuery(), random, now);
            slow += chosen->record.key.address == "0" ? 1 : 0;
            chosen->health->release(Priority::Urgent);
            if (chosen->record.key.address != "0") {
                chosen->health->recordSuccess(milliseconds(5), now);
            }
        }
        return slow;
    };
    cr_assert_eq(drawsOfSlow(start), 0);
    cr_assert_gt(drawsOfSlow(start + std::chrono::seconds(60)), 0);
}

// Guards against overflow to a slow replica while a fast one will soon have a free slot.
Test(replicachooser, a_slow_replica_is_used_only_if_allowed)
{
    const std::vector<Replica> group = makeGroup(3, 1);
    for (const Replica &replica : group) {
        replica.health->recordSuccess(milliseconds(replica.record.key.address == "0" ? 50 : 5), start);
    }
    RandomSource random(1);
    ReplicaQuery query = anyQuery();
    query.allowSlow = false;
    cr_assert_not_null(chooseReplica(group, ServiceOptions{}, query, random, start));
    cr_assert_not_null(chooseReplica(group, ServiceOptions{}, query, random, start));
    cr_assert_null(chooseReplica(group, ServiceOptions{}, query, random, start));
    query.allowSlow = true;
    cr_assert_eq(chooseReplica(group, ServiceOptions{}, query, random, start), &group[0]);
}

// Guards against a new replica that gets its full load at once.
Test(replicachooser, a_new_replica_ramps_up)
{
    std::vector<Replica> group = makeGroup(2, 100);
    group[0].health = std::make_shared<ReplicaHealth>(EjectionOptions{}, start);
    group[1].health->recordSuccess(milliseconds(5), start);
    RandomSource random(1);
    const auto inFlightOfNew = [&](TimePoint now) {
        std::vector<const Replica *> held;
        for (int draw = 0; draw < 60; ++draw) {
            held.push_back(chooseReplica(group, ServiceOptions{}, anyQuery(), random, now));
        }
        const std::uint32_t inFlight = group[0].health->inFlight();
        for (const Replica *replica : held) {
            replica->health->release(Priority::Urgent);
        }
        return inFlight;
    };
    cr_assert_leq(inFlightOfNew(start), 10);
    cr_assert_geq(inFlightOfNew(start + std::chrono::seconds(5)), 28);
}

// Guards against a delay that isn't the quantile. The reference sorts all samples.
Test(hedgepolicy, the_delay_is_the_quantile_within_one_bucket)
{
    cr_assert(rc::check([](std::uint64_t seed) {
        RandomSource random(seed);
        HedgePolicy policy({.enabled = true, .budgetPercent = 5, .quantile = 0.95, .minimumDelay = milliseconds(0)});
        std::vector<std::int64_t> samples;
        for (int index = 0; index < 3200; ++index) {
            samples.push_back(static_cast<std::int64_t>(100 + random.below(1000) * random.below(1000)));
            policy.recordLatency(microseconds(samples.back()));
        }
        std::sort(samples.begin(), samples.end());
        const auto exact = static_cast<double>(samples[samples.size() * 95 / 100]);
        const double bucket = std::exp2(1.0 / 8.0);
        RC_ASSERT(static_cast<double>(policy.delay().count()) <= exact * bucket);
        RC_ASSERT(static_cast<double>(policy.delay().count()) >= exact / bucket);
    }));
}

// Guards against hedges of the normal tail that use up the budget for stragglers.
Test(hedgepolicy, a_half_empty_budget_lengthens_the_delay)
{
    HedgePolicy policy(HedgeOptions{});
    for (int index = 0; index < 1000; ++index) {
        policy.recordLatency(milliseconds(index % 100 < 94 ? 10 : (index % 100 < 98 ? 40 : 80)));
    }
    cr_assert_lt(policy.delay().count(), 50'000);
    for (int spent = 0; spent < 26; ++spent) {
        cr_assert(policy.trySpend(start));
    }
    cr_assert_gt(policy.delay().count(), 75'000);
}

// Guards against a delay that stays at outdated latencies.
Test(hedgepolicy, the_delay_follows_a_change_of_latency)
{
    HedgePolicy policy(HedgeOptions{});
    cr_assert_geq(policy.delay().count(), 500'000);
    for (int index = 0; index < 20'000; ++index) {
        policy.recordLatency(milliseconds(10));
    }
    cr_assert_leq(policy.delay().count(), 11'000);
    for (int index = 0; index < 20'000; ++index) {
        policy.recordLatency(milliseconds(80));
    }
    cr_assert_geq(policy.delay().count(), 79'000);
}

// Guards against extra load beyond the percentage. The reference counts thousandths of a token without atomics.
Test(extraloadbudget, spends_like_a_plain_counter)
{
    cr_assert(rc::check([](std::uint64_t seed) {
        RandomSource random(seed);
        const std::size_t percent = random.below(20);
        ExtraLoadBudget budget(static_cast<double>(percent));
        const std::size_t capacity = percent * 10 * 1000;
        std::size_t expectedTokens = capacity;
        for (int step = 0; step < 2000; ++step) {
            if (random.below(4) != 0) {
                budget.earn(start);
                expectedTokens = std::min(capacity, expectedTokens + percent * 10);
            } else {
                RC_ASSERT(budget.spend(start) == (expectedTokens >= 1000));
                expectedTokens -= expectedTokens >= 1000 ? 1000 : 0;
            }
        }
    }));
}

// Guards against shares that together exceed a replica's limit while one front joins, unless they are at the minimum of 1.
Test(connectionshare, the_shares_of_all_fronts_and_one_more_fit)
{
    for (std::uint32_t limit = 1; limit <= 100; ++limit) {
        for (std::size_t fronts = 1; fronts <= 20; ++fronts) {
            const std::uint32_t share = connectionShare(limit, fronts);
            cr_assert_geq(share, 1);
            cr_assert(share == 1 || share * (fronts + 1) <= limit);
        }
    }
}

// Guards against shares that grow before the number of fronts was stable.
Test(livefrontcount, follows_a_larger_count_at_once_and_a_smaller_one_once_stable)
{
    cr_assert(rc::check([](std::uint64_t seed) {
        RandomSource random(seed);
        LiveFrontCount count(milliseconds(2000));
        std::size_t expected = 1;
        std::size_t previous = 1;
        int stable = 0;
        for (int second = 0; second < 60; ++second) {
            const std::size_t observed = random.below(3) == 0 ? 1 + random.below(4) : previous;
            stable = observed == previous ? stable + 1 : 0;
            previous = observed;
            if (observed >= expected || stable >= 2) {
                expected = observed;
            }
            RC_ASSERT(count.update(observed, start + std::chrono::seconds(second)) == expected);
        }
    }));
}
