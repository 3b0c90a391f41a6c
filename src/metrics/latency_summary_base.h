/** @file latency_summary_base.h Running statistics of durations, with Boost.Accumulators. */
#pragma once

#include "core/clock_type.h"

#include <array>
#include <cstdint>
#include <memory>

namespace teaselreach::metrics {

/** The quantiles that every summary estimates, in ascending order. */
inline constexpr std::array<double, 3> summaryQuantiles {0.5, 0.9, 0.99};

/** Count, sum and estimated quantiles of durations. Not thread-safe. */
class LatencySummary
{
public:
    LatencySummary();
    ~LatencySummary();
    LatencySummary(LatencySummary &&) noexcept;
    LatencySummary &operator=(LatencySummary &&) noexcept;

    /** Adds one measured duration. */
    void add(core::Micros duration);
    /** @return Number of durations added. */
    std::uint64_t count() const;
    /** @return Sum of all durations, in seconds. */
    double sumSeconds() const;
    /**
     * @param index Index into summaryQuantiles.
     * @return The estimate of that quantile in seconds. With too few durations for an estimate, the
     *     longest one; without any, 0.
     */
    double quantileSeconds(std::size_t index) const;

private:
    struct Statistics;
    std::unique_ptr<Statistics> statistics_;
};

} // namespace teaselreach::metrics
