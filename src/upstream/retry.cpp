/** @file retry.cpp Retries and hedges, and the budget that bounds both. */
#include "upstream/retry_base.h"

#include <algorithm>

namespace teaselreach::upstream {

namespace {

/** Earliest second copy, so that a fast service is not hedged because of scheduling noise. */
constexpr core::Millis minHedgeDelay {10};

} // namespace

table::Execution executionOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Success:
    case Outcome::Failed:
        return table::Execution::Ran;
    case Outcome::ConnectFailed:
    case Outcome::Shed:
        return table::Execution::NotRun;
    case Outcome::Truncated:
    case Outcome::TimedOut:
    case Outcome::Cancelled:
    case Outcome::Superseded:
        return table::Execution::Unknown;
    }
    return table::Execution::Unknown;
}

void RetryBudget::requestStarted(core::MonoTime now)
{
    refill(now);
    tokens_ = std::min(maxTokens, tokens_ + perRequest);
}

bool RetryBudget::take(core::MonoTime now)
{
    refill(now);
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

double RetryBudget::available(core::MonoTime now) const
{
    const double elapsed = std::chrono::duration<double>(now - refilledAt_).count();
    return std::min(maxTokens, tokens_ + std::max(0.0, elapsed) * perSecond);
}

void RetryBudget::refill(core::MonoTime now)
{
    tokens_ = available(now);
    refilledAt_ = now;
}

RetryDecision decideRetry(core::MonoTime now, const RetryRequest &request, RetryBudget &budget)
{
    if (request.outcome == Outcome::Success || request.outcome == Outcome::Cancelled
        || request.outcome == Outcome::Superseded)
        return RetryDecision::NotNeeded;
    const bool notRun =
        executionOf(request.outcome) == table::Execution::NotRun && !request.mayHaveRunBefore;
    if (!request.idempotent && !notRun)
        return RetryDecision::MayHaveRun;
    if (request.attempts >= maxAttempts)
        return RetryDecision::TooManyTries;
    if (request.timeLeft <= std::max(core::Micros(0), request.expected))
        return RetryDecision::NoTimeLeft;
    return budget.take(now) ? RetryDecision::Retry : RetryDecision::BudgetSpent;
}

std::optional<core::Micros> HedgePolicy::delay(const MedianDuration &durations, bool idempotent,
                                               core::Micros timeLeft) const
{
    const core::Micros slow = durations.quantile95();
    if (!idempotent || slow == core::Micros(0))
        return std::nullopt;
    const core::Micros delay = std::max<core::Micros>(slow, minHedgeDelay);
    if (delay + durations.median() >= timeLeft)
        return std::nullopt;
    return delay;
}

} // namespace teaselreach::upstream
