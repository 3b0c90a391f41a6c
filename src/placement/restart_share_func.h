/** @file restart_share_func.h What accounts may use after a restart, and what that relies on. */
#pragma once

#include "placement/account_limit_type.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace teaselreach::proxy {

/**
 * @param age Time since the restart, at most the window.
 * @return The part of its limit that an account may have used since a restart if it used its limit
 * steadily before; see steadyUse().
 */
inline double shareAfterRestart(const AccountRateLimiterOptions &options, core::Micros age)
{
    const double elapsed = std::chrono::duration<double>(age) / options.window;
    return options.shareAfterRestart + (1 - options.shareAfterRestart) * std::min(1.0, elapsed);
}

/**
 * @param overrun Tolerated overrun, as a part of the limit.
 * @param time Length of time, at most the window.
 * @return The largest part of its limit that an account may use within that time for its use to be
 * steady. A window that contains a restart then ends within limit and tolerated overrun: what was
 * used in its first part and shareAfterRestart() of its second part add up to 1 + overrun.
 */
inline double steadyUse(const AccountRateLimiterOptions &options, double overrun, core::Micros time)
{
    return 1 + overrun - shareAfterRestart(options, options.window - time);
}

/**
 * @param overrun Tolerated overrun, as a part of the limit. @param age Time since the restart.
 * @return The part of its limit that an account may have used since a restart if the rest of the
 * window may hold its earlier use.
 */
inline double partLeft(const AccountRateLimiterOptions &options, double overrun,
                       const AccountUseLevel &earlier, core::Micros age)
{
    const double time = 1 - std::chrono::duration<double>(age) / options.window;
    return std::max(0.0, 1 + overrun - earlier.within(time));
}

/** @param usedWithin As for isSteadyUse(). @return The use in all parts of the window. */
template <typename UsedWithin>
AccountUseLevel useLevels(const AccountRateLimiterOptions &options, core::ClientAccountId account,
                          const UsedWithin &usedWithin)
{
    AccountUseLevel use {.account = std::move(account)};
    core::Micros time {0};
    for (double &level : use.levels) {
        time += options.window / AccountUseLevel::parts;
        level = usedWithin(time);
    }
    return use;
}

/** Raises levels to those of another record. */
inline void raiseLevels(AccountUseLevel &use, const AccountUseLevel &other)
{
    for (std::size_t i = 0; i < use.levels.size(); ++i)
        use.levels.at(i) = std::max(use.levels.at(i), other.levels.at(i));
}

/**
 * @param usedWithin Returns the part of the limit that an account has used within a time.
 * @return Whether its use is steady, checked for times that halve from the window on.
 */
template <typename UsedWithin>
bool isSteadyUse(const AccountRateLimiterOptions &options, double overrun,
                 const UsedWithin &usedWithin)
{
    constexpr int checks = 4;
    core::Micros time = options.window;
    for (int i = 0; i < checks; ++i, time /= 2) {
        if (usedWithin(time) > steadyUse(options, overrun, time))
            return false;
    }
    return true;
}

} // namespace teaselreach::proxy
