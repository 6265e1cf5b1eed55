#include "galenawell/routing/hedgepolicy.h"

#include <criterion/criterion.h>

using namespace Galenawell;

// Guards against a change of configuration that resets the hedge delay and refills the budget.
Test(hedge_policy, keeps_the_measured_latencies_and_the_spent_budget_after_a_change_of_options)
{
    HedgePolicy before(HedgeOptions{});
    const auto initialDelay = before.delay();
    for (unsigned sample = 0; sample < 2000; ++sample) {
        before.recordLatency(std::chrono::milliseconds(7));
    }
    while (before.trySpend()) {
    }
    const auto measuredDelay = before.delay();
    cr_assert_lt(measuredDelay, initialDelay);
    HedgePolicy after(HedgeOptions{.budgetPercent = 10.0});
    after.copyStateFrom(before);
    cr_assert_eq(after.delay(), measuredDelay);
    cr_assert_not(after.trySpend());
}
