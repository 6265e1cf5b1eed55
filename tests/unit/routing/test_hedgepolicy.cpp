#include "galenawell/routing/hedgepolicy.h"

#include "galenawell/core/randomsource.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <memory>
#include <numeric>
#include <rapidcheck.h>
#include <vector>

using namespace Galenawell;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(1));

} // namespace

// Guards against extra load beyond what the servers' operators allow, in any window, while the number of fronts that share
// the allowance changes and idle fronts begin to carry traffic. Fronts hear of a change after up to half a second.
Test(extra_load_budget, all_fronts_together_stay_within_the_allowance_in_every_window)
{
    cr_assert(rc::check([](std::uint64_t seed) {
        RandomSource random(seed);
        constexpr double slack = 400;
        constexpr std::size_t fleet = 60;
        constexpr std::size_t windowTicks = 100;
        std::vector<std::unique_ptr<ExtraLoadBudget>> budgets;
        for (std::size_t front = 0; front < fleet; ++front) {
            budgets.push_back(std::make_unique<ExtraLoadBudget>(20.0 * 0.95, 1.0));
        }
        std::size_t carrying = 1 + random.below(fleet);
        std::vector<std::size_t> counts;
        std::vector<std::size_t> extra;
        std::vector<std::size_t> requests;
        // One tick is 100 ms.
        for (std::size_t tick = 0; tick < 600; ++tick) {
            const TimePoint now = start + tick * std::chrono::milliseconds(100);
            if (random.below(60) == 0) {
                carrying = 1 + random.below(fleet);
            }
            counts.push_back(carrying);
            // The highest count of the last 10 s, as the directory counts entries that it removed.
            const std::size_t recent = std::min(windowTicks, counts.size());
            const std::size_t known = *std::max_element(counts.end() - static_cast<std::ptrdiff_t>(recent), counts.end());
            extra.push_back(0);
            requests.push_back(0);
            const bool allSpend = random.below(3) != 0;
            for (std::size_t front = 0; front < fleet; ++front) {
                if (random.below(5) == 0) {
                    // Fronts that carry no traffic take the share that they would have if all did.
                    const double share = slack / static_cast<double>(front < carrying ? known : fleet);
                    budgets[front]->setAllowance({.capacity = std::max(1.0, share * 0.4), .refillPerSecond = share * 0.4 / 10});
                }
                if (front >= carrying) {
                    continue;
                }
                for (std::size_t request = random.below(3); request > 0; --request) {
                    budgets[front]->earn(now);
                    ++requests.back();
                }
                while (allSpend && budgets[front]->spend(now)) {
                    ++extra.back();
                }
            }
            const std::size_t from = tick + 1 - std::min(tick + 1, windowTicks);
            const auto sum = [&](const std::vector<std::size_t> &values) {
                return static_cast<double>(
                    std::accumulate(values.begin() + static_cast<std::ptrdiff_t>(from), values.end(), std::size_t{0}));
            };
            RC_ASSERT(sum(extra) <= 0.2 * sum(requests) + slack);
        }
    }));
}

// Guards against an allowance that only requests refill: it would lie unused while servers are slow and few requests arrive.
Test(extra_load_budget, the_allowance_is_refilled_by_time_and_lost_by_idle_fronts)
{
    ExtraLoadBudget budget(0.0, 1.0);
    budget.setAllowance({.capacity = 4, .refillPerSecond = 2});
    budget.grant(0, start);
    cr_assert(!budget.spend(start));
    cr_assert(!budget.spend(start + std::chrono::milliseconds(400)));
    cr_assert(budget.spend(start + std::chrono::milliseconds(600)));
    // A pause counts for at most a second.
    cr_assert(budget.spend(start + std::chrono::milliseconds(3600)));
    cr_assert(budget.spend(start + std::chrono::milliseconds(3600)));
    cr_assert(!budget.spend(start + std::chrono::milliseconds(3600)));
    for (int step = 0; step < 40; ++step) {
        budget.earn(start + std::chrono::milliseconds(4000 + 100 * step));
    }
    int spent = 0;
    while (budget.spend(start + std::chrono::seconds(20))) {
        ++spent;
    }
    // What it held before the idle time is lost.
    cr_assert_eq(spent, 2);
}

// Guards against a change of configuration that resets the hedge delay and refills the budget.
Test(hedge_policy, keeps_the_measured_latencies_and_the_spent_budget_after_a_change_of_options)
{
    HedgePolicy before(HedgeOptions{});
    const auto initialDelay = before.delay();
    for (unsigned sample = 0; sample < 2000; ++sample) {
        before.recordLatency(std::chrono::milliseconds(7));
    }
    while (before.trySpend(TimePoint())) {
    }
    const auto measuredDelay = before.delay();
    cr_assert_lt(measuredDelay, initialDelay);
    HedgePolicy after(HedgeOptions{.budgetPercent = 10.0});
    after.copyStateFrom(before);
    cr_assert_eq(after.delay(), measuredDelay);
    cr_assert_not(after.trySpend(TimePoint()));
}
