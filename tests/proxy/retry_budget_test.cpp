/** @file retry_budget_test.cpp Retry budget: bound over all VMs, reserves and use of the rest. */
#include "placement/retry_budget_base.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace teaselreach;
using namespace teaselreach::proxy;

namespace {

constexpr core::MonoTime start {core::Seconds(1000)};
constexpr RetryBudgetOptions plain = RetryBudgetOptions::withoutReserves();

/** @return Number of times in the window that ends at a time. */
double countUntil(const std::vector<core::MonoTime> &times, core::MonoTime end)
{
    const auto first =
        std::upper_bound(times.begin(), times.end(), end - RetryBudgetOptions().window);
    return static_cast<double>(std::upper_bound(first, times.end(), end) - first);
}

/** Callers move between VMs, the traffic jumps, and each VM takes all retries that it gets.
 * @return The largest number of retries of a window, relative to the rule. */
double worstWindow(RetryBudgetOptions options, std::uint64_t seed)
{
    constexpr int vms = 6;
    constexpr core::Millis step {50};
    std::mt19937_64 random(seed);
    const auto below = [&](int bound) { return static_cast<int>(random() % bound); };
    std::vector<RetryBudget> budgets(vms, RetryBudget(options));
    std::vector<core::MonoTime> requests;
    std::vector<core::MonoTime> retries;
    std::vector<int> weights(vms, 1);
    int rate = 10;
    bool failing = false;
    double worst = 0;
    for (core::MonoTime now = start; now < start + core::Seconds(90); now += step) {
        if (below(60) == 0)
            rate = below(2) == 0 ? below(60) : below(6);
        if (below(60) == 0)
            failing = !failing;
        if (below(100) == 0) {
            for (int &weight : weights)
                weight = below(3) == 0 ? 1 + below(8) : 0;
            weights[below(vms)] = 5;
        }
        std::discrete_distribution<int> caller(weights.begin(), weights.end());
        for (int i = 0; i < rate; ++i) {
            budgets[caller(random)].requestStarted(now);
            requests.push_back(now);
        }
        for (RetryBudget &budget : budgets) {
            while (failing && budget.take(now, 1.0 / vms, RetryPurpose::Failure, below(3)))
                retries.push_back(now);
        }
        const double most =
            std::max({countUntil(requests, now), countUntil(requests, now - options.window / 2),
                      countUntil(requests, now - options.window)});
        worst = std::max(worst, countUntil(retries, now) / (options.ratio * most + options.slack));
    }
    return worst;
}

/** @return Number of retries granted out of a number of attempts to take one. */
int takeMany(RetryBudget &budget, core::MonoTime now, int count, RetryPurpose purpose, int priority)
{
    int granted = 0;
    for (int i = 0; i < count; ++i)
        granted += budget.take(now, 1, purpose, priority) ? 1 : 0;
    return granted;
}

/** @return A budget after 30 s of 50 requests per second. */
RetryBudget steadyBudget()
{
    RetryBudget budget({});
    for (int i = 0; i < 1500; ++i)
        budget.requestStarted(start + i * core::Millis(20));
    return budget;
}

constexpr core::MonoTime steadyEnd = start + core::Seconds(30);

} // namespace

TEST_CASE("the retries of all VMs stay within the rule in every window")
{
    // Guards against a budget that counts callers at two VMs after they moved, or that checks only
    // the window that ends with the retry.
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
        worst = std::max(worst, worstWindow({}, seed));
    MESSAGE("most retries of a window, relative to the rule: " << worst);
    CHECK(worst <= 1);
    CHECK(worst > 0.7); // Otherwise the loads do not use the budget up and prove nothing.
}

TEST_CASE("the check of one window only exceeds the rule")
{
    // The baseline of the test above: it must be able to see a budget that is too large.
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
        worst = std::max(worst, worstWindow(plain, seed));
    MESSAGE("most retries of a window, relative to the rule: " << worst);
    CHECK(worst > 1);
}

TEST_CASE("trials and hedges get no retries while less than half of the budget is left")
{
    // Guards against optional attempts that use up the retries of refused requests.
    RetryBudget budget = steadyBudget();
    CHECK(budget.take(steadyEnd, 1, RetryPurpose::Hedge, 0));
    while (budget.left(steadyEnd, 1) >= 0.5)
        REQUIRE(budget.take(steadyEnd, 1, RetryPurpose::NotExecuted, 0));
    CHECK(!budget.take(steadyEnd, 1, RetryPurpose::Hedge, 0));
    CHECK(!budget.take(steadyEnd, 1, RetryPurpose::Trial, 0));
    CHECK(budget.take(steadyEnd, 1, RetryPurpose::NotExecuted, 0));
    CHECK(budget.counts(RetryPurpose::Hedge).denied == 1);
}

TEST_CASE("the last part of the budget goes to the highest priority that asks for it")
{
    // Guards against refusals of high priority after lower ones took the whole budget.
    RetryBudget budget = steadyBudget();
    takeMany(budget, steadyEnd, 60, RetryPurpose::NotExecuted, 0);
    takeMany(budget, steadyEnd, 1000, RetryPurpose::NotExecuted, 2);
    CHECK(!budget.take(steadyEnd, 1, RetryPurpose::NotExecuted, 2));
    CHECK(takeMany(budget, steadyEnd, 1000, RetryPurpose::NotExecuted, 0) >= 10);
}

TEST_CASE("a reserve is not held back from lower priorities without demand of higher ones")
{
    // Guards against a fixed reserve that stays unused while requests are refused.
    RetryBudget alone = steadyBudget();
    RetryBudget high = steadyBudget();
    const int granted = takeMany(alone, steadyEnd, 1000, RetryPurpose::NotExecuted, 2);
    CHECK(granted == takeMany(high, steadyEnd, 1000, RetryPurpose::NotExecuted, 0));
    // One retry of high priority in 10 s does not hold back a quarter.
    RetryBudget rare = steadyBudget();
    REQUIRE(rare.take(steadyEnd, 1, RetryPurpose::NotExecuted, 0));
    CHECK(takeMany(rare, steadyEnd, 1000, RetryPurpose::NotExecuted, 2) >= granted - 2);
}

TEST_CASE("a restarted VM assumes no requests of the time before")
{
    // Guards against a budget from requests whose retries are no longer known.
    RetryBudget budget({});
    const double slack = RetryBudgetOptions().slack;
    CHECK(takeMany(budget, start, 1000, RetryPurpose::NotExecuted, 0) <= slack);
}
