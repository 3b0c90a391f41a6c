/** @file retry_base.h Retries, and the budget that bounds them. */
#pragma once

#include "table/refusal_table.h"
#include "upstream/evidence_base.h"
#include "upstream/upstream_type.h"

#include <optional>

namespace teaselreach::upstream {

/** @return What is known of the execution of an attempt that ended in an outcome. */
table::Execution executionOf(Outcome outcome);

/** Bounds the additional load by retries: 10% of requests plus 1 per second. */
class RetryBudget
{
public:
    /** Records a first attempt. */
    void requestStarted(core::MonoTime now);
    /** @return Whether a further attempt is granted; takes it from the budget. */
    bool tryTake(core::MonoTime now);
    /** @return Attempts available at a time. */
    double available(core::MonoTime now) const;

private:
    void refill(core::MonoTime now);

    double tokens_ = maxTokens;
    core::MonoTime refilledAt_ {};

    static constexpr double tokensPerRequest = 0.1;
    static constexpr double tokensPerSecond = 1;
    static constexpr double maxTokens = 10;
};

/** Whether a failed attempt is followed by another. */
enum class RetryDecision : std::uint8_t {
    Retry,
    NotNeeded,           ///< The attempt succeeded or the caller is gone.
    MayHaveRun,          ///< The request is not idempotent and may have been run.
    AttemptLimitReached, ///< maxAttempts reached.
    DeadlineTooClose,    ///< The deadline leaves no time for another attempt.
    BudgetExhausted,     ///< The service's retry budget is used up.
};

/** A failed attempt that may be retried. */
struct RetryRequest
{
    Outcome outcome = Outcome::Failed;
    bool idempotent = false;
    bool mayHaveRunBefore = false;     ///< An earlier attempt of the same request may have run.
    int attempts = 1;                  ///< Attempts made so far.
    core::Micros timeLeft {0};         ///< Until the deadline.
    core::Micros expectedDuration {0}; ///< Median duration of the service.
};

/** Most attempts for one request. */
inline constexpr int maxAttempts = 3;

/** Decides on a retry and takes it from the budget if granted. */
RetryDecision decideRetry(core::MonoTime now, const RetryRequest &request, RetryBudget &budget);

} // namespace teaselreach::upstream
