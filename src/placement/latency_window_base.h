/** @file latency_window_base.h Recent response times of one route. */
#pragma once

#include "core/clock_type.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace teaselreach::proxy {

/** Size and age limits of a LatencyWindow. */
struct LatencyWindowOptions
{
    core::Micros maxAge {core::Seconds(30)}; ///< Older samples are dropped.
    std::size_t maxSamples = 1024;           ///< Above it, the oldest sample is dropped.
    std::size_t minSamples = 50;             ///< With fewer, no quantile is known.
    /** Age up to which computed quantiles are reused, so that a busy route does not sort its
     * samples for each request. */
    core::Micros refreshInterval {core::Millis(200)};
    /** Time constant of the usual median. It is longer than a typical slow period, so that such a
     * period does not pass for the usual state. */
    core::Micros usualTimeConstant {core::Seconds(300)};
};

/** Quantiles of the recent response times. */
struct LatencyQuantiles
{
    core::Micros median {0};
    core::Micros p95 {0};
    /** Median over the usual time constant. */
    core::Micros usualMedian {0};
};

/**
 * Response times in a sliding window. An attempt that was cancelled is added with the time that it
 * had lasted by then. That is less than its response would have taken, but it is longer than p95,
 * so p95 is unaffected, while leaving such attempts out would lower p95 with each hedge.
 */
class LatencyWindow
{
public:
    /** @param options Limits. */
    explicit LatencyWindow(LatencyWindowOptions options);

    /** Adds a response time. @param now End of the attempt; must not decrease. */
    void add(core::MonoTime now, core::Micros duration);
    /** @return The quantiles, or nothing with too few samples. */
    std::optional<LatencyQuantiles> quantiles(core::MonoTime now);

private:
    /** One response time. */
    struct Sample
    {
        core::MonoTime endedAt {};
        core::Micros duration {0};
    };

    void refresh(core::MonoTime now);
    void updateUsual(core::MonoTime now, core::Micros median);

    LatencyWindowOptions options_;
    std::deque<Sample> samples_; ///< Oldest first.
    std::optional<LatencyQuantiles> quantiles_;
    core::MonoTime refreshedAt_ {};
    double usualMicros_ = 0; ///< 0 until the first median.
    core::MonoTime usualAt_ {};
    std::vector<core::Micros> scratch_;
};

} // namespace teaselreach::proxy
