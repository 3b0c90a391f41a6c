/** @file home_choice_func.h Share of a home, loan lifetime, order of homes asked. */
#pragma once

#include "limit/limit_type.h"
#include "record/record_type.h"

#include <span>

namespace teaselreach::limit {

/** @return The part of a limit that each of its home slots owns. */
Share shareOf(const record::Limit &limit);

/**
 * Time in which a lent token must be used. Tokens on loan count against the burst, so a long
 * lifetime takes rate * lifetime of the burst away from other borrowers.
 * @return Time that half of the burst takes to refill, from minLoanLifetime to maxLoanLifetime.
 */
core::Micros loanLifetime(const Share &share);

/** What a VM knows of a home slot that it may ask. */
struct HomeEstimate
{
    bool available = false;
    Share share;
    double level = 0;          ///< As the home last said; the full share if it never said.
    core::MonoTime reportedAt; ///< When the level was valid.

    /** @return The level that is expected now. */
    double expectedLevel(core::MonoTime now) const;
    /** @return Expected time until the home has a token. */
    core::Micros expectedDelay(core::MonoTime now) const;
};

/** No slot can be chosen. */
inline constexpr int noSlot = -1;

/**
 * Chooses the home to ask for one token: the fullest of those that have one, otherwise the one
 * that has it first.
 * @param estimates One for each slot of the account.
 * @param maxDelay Longest time until the token is usable.
 * @return The slot, or noSlot if none is expected to have a token in time.
 */
int chooseHome(std::span<const HomeEstimate> estimates, core::Micros maxDelay, core::MonoTime now);

} // namespace teaselreach::limit
