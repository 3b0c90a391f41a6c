/** @file retry.cpp Retry decisions and the retry budget. */
#include "upstream/retry_base.h"

#include <algorithm>

namespace teaselreach::upstream {

namespace { } // namespace

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
    tokens_ = std::min(maxTokens, tokens_ + tokensPerRequest);
}

bool RetryBudget::tryTake(core::MonoTime now)
{
    refill(now);
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

bool RetryBudget::tryTakeOptional(core::MonoTime now)
{
    return available(now) >= 1 + maxTokens / 2 && tryTake(now);
}

double RetryBudget::available(core::MonoTime now) const
{
    const double elapsed = std::chrono::duration<double>(now - refilledAt_).count();
    return std::min(maxTokens, tokens_ + std::max(0.0, elapsed) * tokensPerSecond);
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
        return RetryDecision::AttemptLimitReached;
    if (request.timeLeft <= std::max(core::Micros(0), request.expectedDuration))
        return RetryDecision::DeadlineTooClose;
    return budget.tryTake(now) ? RetryDecision::Retry : RetryDecision::BudgetExhausted;
}

} // namespace teaselreach::upstream
