/** @file latency_summary_base.h Running statistics of durations, by Boost.Accumulators. */
#pragma once

#include "core/clock_type.h"

#include <array>
#include <cstdint>
#include <memory>

namespace teaselreach::metrics {

/** The quantiles that every summary estimates, in ascending order. */
inline constexpr std::array<double, 3> summaryQuantiles {0.5, 0.9, 0.99};

/** Count, sum and estimated quantiles of durations. Not for use by several threads. */
class LatencySummary
{
public:
    LatencySummary();
    ~LatencySummary();
    LatencySummary(LatencySummary &&) noexcept;
    LatencySummary &operator=(LatencySummary &&) noexcept;

    /** @param duration One measured duration. */
    void add(core::Micros duration);
    /** @return Number of durations added. */
    std::uint64_t count() const;
    /** @return Sum of all durations, in seconds. */
    double sumSeconds() const;
    /**
     * @param index Index into summaryQuantiles.
     * @return Estimate of that quantile in seconds; 0 without durations.
     */
    double quantileSeconds(std::size_t index) const;

private:
    struct Statistics;
    std::unique_ptr<Statistics> statistics_;
};

} // namespace teaselreach::metrics
