/** @file latency_window.cpp Recent response times of one route. */
#include "placement/latency_window_base.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::proxy {

namespace {

constexpr double medianRank = 0.5;
constexpr double tailRank = 0.95;

/** @return The smallest value that is not below a fraction of all. Reorders the values. */
core::Micros valueAtRank(std::vector<core::Micros> &values, double rank)
{
    const auto count = static_cast<double>(values.size());
    const auto index = static_cast<std::ptrdiff_t>(std::ceil(rank * count)) - 1;
    const auto place = values.begin() + std::max<std::ptrdiff_t>(0, index);
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

} // namespace

LatencyWindow::LatencyWindow(LatencyWindowOptions options)
    : options_(options)
{ }

void LatencyWindow::add(core::MonoTime now, core::Micros duration)
{
    samples_.push_back({.endedAt = now, .duration = duration});
    if (samples_.size() > options_.maxSamples)
        samples_.pop_front();
}

std::optional<LatencyQuantiles> LatencyWindow::quantiles(core::MonoTime now)
{
    if (!quantiles_ || now - refreshedAt_ >= options_.refreshInterval)
        refresh(now);
    return quantiles_;
}

void LatencyWindow::refresh(core::MonoTime now)
{
    while (!samples_.empty() && now - samples_.front().endedAt > options_.maxAge)
        samples_.pop_front();
    refreshedAt_ = now;
    quantiles_.reset();
    if (samples_.size() < options_.minSamples)
        return;
    scratch_.clear();
    for (const Sample &sample : samples_)
        scratch_.push_back(sample.duration);
    const core::Micros median = valueAtRank(scratch_, medianRank);
    updateUsual(now, median);
    quantiles_ = {.median = median,
                  .p95 = valueAtRank(scratch_, tailRank),
                  .usualMedian = core::Micros(std::llround(usualMicros_))};
}

/** Moves the usual median towards the current one. */
void LatencyWindow::updateUsual(core::MonoTime now, core::Micros median)
{
    const auto current = static_cast<double>(median.count());
    if (usualMicros_ <= 0) {
        usualMicros_ = current;
    } else {
        const double periods = std::chrono::duration<double>(now - usualAt_)
            / std::chrono::duration<double>(options_.usualTimeConstant);
        usualMicros_ += (current - usualMicros_) * (1 - std::exp(-periods));
    }
    usualAt_ = now;
}

} // namespace teaselreach::proxy
