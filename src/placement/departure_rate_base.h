/** @file departure_rate_base.h Measures how fast the wait queue of one service drains. */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <vector>

namespace teaselreach::proxy {

/** Parameters of DepartureRate. */
struct DepartureRateOptions
{
    /** Age up to which departures count. A shorter span gives noisy rates at a few departures per
     * second, a longer one reacts late to lost upstreams. */
    core::Micros span {core::Seconds(2)};
    /** Time with a backlog that weighs as much as the estimate from the slots. */
    core::Micros priorTime {core::Millis(500)};
};

/**
 * Measures the rate at which queued requests leave for an upstream while requests wait. Departures
 * without a backlog show the demand instead of the capacity and are not counted. Attempts that
 * upstreams refuse count, since their requests have left the queue too. Uses no clock.
 */
class DepartureRate
{
public:
    /** @param options Parameters. */
    explicit DepartureRate(DepartureRateOptions options);

    /** Records whether requests wait from now on. */
    void setBacklogged(core::MonoTime now, bool backlogged);
    /** Records that a queued request was sent to an upstream. */
    void departed(core::MonoTime now) { ++currentSlice(now).departures; }
    /** Records that an attempt of any request ended, including one that the upstream refused. */
    void completed(core::MonoTime now) { ++currentSlice(now).completions; }
    /**
     * @param fromSlots Departures per second that the slots of the upstreams suggest.
     * @return Departures per second of the last seconds. Without a measurement, the estimate from
     * the slots or the rate of completed attempts, whichever is higher.
     */
    double perSecond(core::MonoTime now, double fromSlots) const;

private:
    /** Counts of a short time. */
    struct Slice
    {
        std::int64_t index = -1; ///< Time divided by the length of a slice.
        int departures = 0;
        int completions = 0;
        core::Micros backlogged {0}; ///< Part of the slice in which requests waited.
    };

    std::int64_t sliceOf(core::MonoTime now) const { return now.time_since_epoch() / slice_; }
    Slice &sliceAt(std::int64_t index);
    Slice &currentSlice(core::MonoTime now) { return sliceAt(sliceOf(now)); }
    void addBacklog(core::MonoTime from, core::MonoTime to);

    DepartureRateOptions options_;
    core::Micros slice_;
    std::vector<Slice> slices_; ///< Ring by index.
    bool backlogged_ = false;
    core::MonoTime backlogCountedAt_ {}; ///< Backlog up to here is in the slices.
};

} // namespace teaselreach::proxy
