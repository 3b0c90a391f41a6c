/** @file home_choice.cpp Share of a home slot, loan lifetime, choice of the home to ask. */
#include "limit/home_choice_func.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::limit {

Share shareOf(const record::Limit &limit)
{
    return {.ratePerSecond = limit.ratePerSecond / limit.homes, .burst = limit.burst / limit.homes};
}

core::Micros loanLifetime(const Share &share)
{
    constexpr double burstFractionOnLoan = 0.5;
    const std::chrono::duration<double> time(burstFractionOnLoan * share.burst
                                             / share.ratePerSecond);
    const std::chrono::duration<double> longest = maxLoanLifetime;
    return std::max(std::chrono::duration_cast<core::Micros>(std::min(time, longest)),
                    minLoanLifetime);
}

double HomeEstimate::expectedLevel(core::MonoTime now) const
{
    const double elapsed = std::chrono::duration<double>(now - reportedAt).count();
    return std::min(level + share.ratePerSecond * elapsed, share.burst);
}

core::Micros HomeEstimate::expectedDelay(core::MonoTime now) const
{
    const double missing = 1 - expectedLevel(now);
    if (missing <= 0)
        return core::Micros(0);
    const std::chrono::duration<double> time(missing / share.ratePerSecond);
    const std::chrono::duration<double> longest = std::chrono::hours(1);
    return std::chrono::duration_cast<core::Micros>(std::min(time, longest));
}

int chooseHome(std::span<const HomeEstimate> estimates, core::Micros maxDelay, core::MonoTime now)
{
    int best = noSlot;
    core::Micros bestDelay {};
    double bestLevel = 0;
    for (int slot = 0; slot < static_cast<int>(estimates.size()); ++slot) {
        const HomeEstimate &estimate = estimates[static_cast<std::size_t>(slot)];
        const core::Micros delay = estimate.expectedDelay(now);
        const double level = estimate.expectedLevel(now);
        if (!estimate.available || delay > maxDelay)
            continue;
        const bool better = delay < bestDelay || (delay == bestDelay && level > bestLevel);
        if (best != noSlot && !better)
            continue;
        best = slot;
        bestDelay = delay;
        bestLevel = level;
    }
    return best;
}

} // namespace teaselreach::limit
