/** @file home_choice_func.h Share of a home slot, loan lifetime, choice of the home to ask. */
#pragma once

#include "limit/limit_type.h"
#include "record/record_type.h"

#include <span>

namespace teaselreach::limit {

/** @return The share of a limit that each of its home slots enforces. */
Share shareOf(const record::Limit &limit);

/**
 * Time in which a lent token must be used once it is usable. Tokens on loan count against the
 * burst, so a long lifetime withholds rate * lifetime of the burst from other borrowers.
 * @return Time in which half of the burst is refilled, clamped to minLoanLifetime and
 * maxLoanLifetime.
 */
core::Micros loanLifetime(const Share &share);

/** Estimate of the token bucket of a home slot. */
struct HomeEstimate
{
    bool available = false; ///< Whether the home can be asked now.
    Share share;
    double level = 0; ///< As last reported, less the tokens requested since; initially the burst.
    core::MonoTime reportedAt; ///< Time at which the level was valid.

    /** @return The level expected now. */
    double expectedLevel(core::MonoTime now) const;
    /** @return Expected time until the home has a token; at most one hour. */
    core::Micros expectedDelay(core::MonoTime now) const;
};

/** Result of chooseHome() if no slot is suitable. */
inline constexpr int noSlot = -1;

/**
 * Chooses the home to ask for one token: the one with the shortest expected delay, and among those
 * with the same delay the one with the highest level.
 * @param estimates One for each slot of the account.
 * @param maxDelay Longest time until the token is usable.
 * @return The slot, or noSlot if none is expected to have a token in time.
 */
int chooseHome(std::span<const HomeEstimate> estimates, core::Micros maxDelay, core::MonoTime now);

} // namespace teaselreach::limit
