/** @file departure_rate.cpp Measures how fast the wait queue of one service drains. */
#include "placement/departure_rate_base.h"

#include <algorithm>

namespace teaselreach::proxy {

namespace {

/** Slices in the span of the measurement. */
constexpr std::int64_t spanSlices = 20;

double seconds(core::Micros time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

DepartureRate::DepartureRate(DepartureRateOptions options)
    : options_(options)
    , slice_(std::max(core::Micros(1), options.span / spanSlices))
    , slices_(spanSlices)
{ }

DepartureRate::Slice &DepartureRate::sliceAt(std::int64_t index)
{
    Slice &slice = slices_[static_cast<std::size_t>(index % spanSlices)];
    if (slice.index != index)
        slice = {.index = index};
    return slice;
}

void DepartureRate::setBacklogged(core::MonoTime now, bool backlogged)
{
    if (backlogged_)
        addBacklog(std::max(backlogCountedAt_, now - options_.span), now);
    backlogCountedAt_ = now;
    backlogged_ = backlogged;
}

/** Adds the time from one moment to another to the slices that it covers. */
void DepartureRate::addBacklog(core::MonoTime from, core::MonoTime to)
{
    while (from < to) {
        const std::int64_t index = sliceOf(from);
        const core::MonoTime next = std::min(to, core::MonoTime((index + 1) * slice_));
        sliceAt(index).backlogged += next - from;
        from = next;
    }
}

double DepartureRate::perSecond(core::MonoTime now, double fromSlots) const
{
    const std::int64_t oldest = sliceOf(now) - spanSlices + 1;
    double departures = 0;
    double completions = 0;
    core::Micros backlogged {0};
    for (const Slice &slice : slices_) {
        if (slice.index < oldest)
            continue;
        if (slice.backlogged <= core::Micros(0))
            continue;
        departures += slice.departures;
        completions += slice.completions;
        backlogged += slice.backlogged;
    }
    if (backlogged_)
        backlogged += now - std::max(backlogCountedAt_, now - options_.span);
    const double priorTime = seconds(options_.priorTime);
    const double left = std::min(departures, completions);
    return (left + fromSlots * priorTime) / (seconds(backlogged) + priorTime);
}

} // namespace teaselreach::proxy
