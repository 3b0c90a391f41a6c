/** @file retry_base.h Retry decisions and the retry budget. */
#pragma once

#include "table/refusal_table.h"
#include "upstream/evidence_base.h"
#include "upstream/upstream_type.h"

#include <optional>

namespace teaselreach::upstream {

/** @return Whether the upstream ran the request, as far as the outcome of the attempt shows. */
table::Execution executionOf(Outcome outcome);

/**
 * Retry budget: a token bucket that bounds the additional load by retries to 10% of requests plus 1
 * per second.
 */
class RetryBudget
{
public:
    /** Records the first attempt of a request, which adds to the budget. */
    void requestStarted(core::MonoTime now);
    /** @return Whether the budget allows a retry; if so, a token is taken. */
    bool tryTake(core::MonoTime now);
    /** @return Whether half of the budget stays for retries of refused and failed requests; if so,
     * a token is taken for a hedge. */
    bool tryTakeOptional(core::MonoTime now);
    /** @return Tokens available at a time; each retry takes one. */
    double available(core::MonoTime now) const;

private:
    void refill(core::MonoTime now);

    double tokens_ = maxTokens;
    core::MonoTime refilledAt_ {};

    static constexpr double tokensPerRequest = 0.1;
    static constexpr double tokensPerSecond = 1;
    static constexpr double maxTokens = 10;
};

/** Whether an attempt is followed by a retry, or the reason why not. */
enum class RetryDecision : std::uint8_t {
    Retry,
    NotNeeded,           ///< The attempt succeeded or the caller disconnected.
    MayHaveRun,          ///< The request is not idempotent and an upstream may have run it.
    AttemptLimitReached, ///< The request has had maxAttempts attempts.
    DeadlineTooClose, ///< The expected duration of another attempt reaches or passes the deadline.
    BudgetExhausted,  ///< The retry budget of the service is used up.
};

/** An attempt that has ended, and the request it was made for. */
struct RetryRequest
{
    Outcome outcome = Outcome::Failed;
    bool idempotent = false;
    bool mayHaveRunBefore = false;     ///< An upstream may have run an earlier attempt.
    int attempts = 1;                  ///< Attempts made so far.
    core::Micros timeLeft {0};         ///< Until the deadline.
    core::Micros expectedDuration {0}; ///< Median duration of the service.
};

/** Most attempts for one request. */
inline constexpr int maxAttempts = 3;

/** Decides whether to retry; RetryDecision::Retry takes a token from the budget. */
RetryDecision decideRetry(core::MonoTime now, const RetryRequest &request, RetryBudget &budget);

} // namespace teaselreach::upstream
