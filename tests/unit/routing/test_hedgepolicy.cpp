#include "galenawell/routing/hedgepolicy.h"

#include <criterion/criterion.h>

using namespace Galenawell;

// Guards against a change of configuration that brings back the unlearnt delay and a full budget.
Test(hedge_policy, goes_on_with_learnt_latencies_and_a_spent_budget_after_a_change_of_options)
{
    HedgePolicy before(HedgeOptions{});
    const auto unlearnt = before.delay();
    for (unsigned sample = 0; sample < 2000; ++sample) {
        before.recordLatency(std::chrono::milliseconds(7));
    }
    while (before.trySpend()) {
    }
    const auto learnt = before.delay();
    cr_assert_lt(learnt, unlearnt);
    HedgePolicy after(HedgeOptions{.budgetPercent = 10.0});
    after.copyStateFrom(before);
    cr_assert_eq(after.delay(), learnt);
    cr_assert_not(after.trySpend());
}
