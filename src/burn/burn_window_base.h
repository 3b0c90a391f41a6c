/** @file burn_window_base.h Ring of counts that covers the longest burn window. */
#pragma once

#include "burn/burn_type.h"

#include <array>
#include <cstdint>

namespace teaselreach::burn {

/**
 * Counts by minute for six hours and by half hour for three days, about 6 kB. A window's start is
 * rounded to the minute, beyond six hours to the half hour.
 */
class SlidingWindowCounter
{
public:
    /** Counts one request. @param good Whether it met the objective. @param now Present time. */
    void add(bool good, core::MonoTime now);
    /**
     * @param length Length of the window, at most three days.
     * @param now Present time, not before that of the last add().
     * @return The requests of that window.
     */
    RequestCounts count(core::Seconds length, core::MonoTime now) const;

private:
    /** Counts of one step of a ring; they belong to the step with this number since time 0. */
    struct Bucket
    {
        std::int64_t step = -1;
        std::uint32_t good = 0;
        std::uint32_t total = 0;
    };

    static constexpr core::Seconds minuteStep {60};
    static constexpr core::Seconds halfHourStep {30 * 60};
    static constexpr std::size_t minuteBuckets = 360;
    static constexpr std::size_t halfHourBuckets = 144;

    template <std::size_t Size>
    static void addToRing(std::array<Bucket, Size> &ring, core::Seconds step, bool good,
                          core::MonoTime now);
    template <std::size_t Size>
    static RequestCounts sumRing(const std::array<Bucket, Size> &ring, core::Seconds step,
                                 core::Seconds length, core::MonoTime now);

    std::array<Bucket, minuteBuckets> minutes_ {};
    std::array<Bucket, halfHourBuckets> halfHours_ {};
};

} // namespace teaselreach::burn
