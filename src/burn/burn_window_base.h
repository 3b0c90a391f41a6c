/** @file burn_window_base.h Sliding-window request counter over up to three days. */
#pragma once

#include "burn/burn_type.h"

#include <array>
#include <cstdint>

namespace teaselreach::burn {

/**
 * Counts requests in two ring buffers: one-minute buckets for six hours and half-hour buckets for
 * three days, about 6 kB in all. The start of a window is rounded to the minute, or to the half
 * hour if the window is longer than six hours.
 */
class SlidingWindowCounter
{
public:
    /** Counts one request. @param good Whether it met the objective. @param now Current time. */
    void add(bool good, core::MonoTime now);
    /**
     * @param length Length of the window, at most three days.
     * @param now Current time, not before that of the last add().
     * @return The requests counted in the window that ends at `now`.
     */
    RequestCounts count(core::Seconds length, core::MonoTime now) const;

private:
    /** Counts of one time step. `step` is the number of the step since the clock's epoch. */
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
