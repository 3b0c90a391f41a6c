/** @file burn_window.cpp Ring of counts that covers the longest burn window. */
#include "burn/burn_window_base.h"

namespace teaselreach::burn {

namespace {

/** @return The number of the step that a point in time falls into. */
std::int64_t stepNumber(core::MonoTime now, core::Seconds step)
{
    return now.time_since_epoch() / core::Micros(step);
}

} // namespace

void SlidingWindowCounter::add(bool good, core::MonoTime now)
{
    addToRing(minutes_, minuteStep, good, now);
    addToRing(halfHours_, halfHourStep, good, now);
}

RequestCounts SlidingWindowCounter::count(core::Seconds length, core::MonoTime now) const
{
    if (length <= minuteStep * minuteBuckets)
        return sumRing(minutes_, minuteStep, length, now);
    return sumRing(halfHours_, halfHourStep, length, now);
}

/** Counts one request in a ring. A bucket of an older lap is cleared first. */
template <std::size_t Size>
void SlidingWindowCounter::addToRing(std::array<Bucket, Size> &ring, core::Seconds step, bool good,
                                     core::MonoTime now)
{
    const std::int64_t number = stepNumber(now, step);
    Bucket &bucket = ring[static_cast<std::size_t>(number) % Size];
    if (bucket.step != number)
        bucket = Bucket {.step = number};
    bucket.good += good ? 1 : 0;
    ++bucket.total;
}

/** Sums the buckets of a ring that belong to a window. */
template <std::size_t Size>
RequestCounts SlidingWindowCounter::sumRing(const std::array<Bucket, Size> &ring,
                                            core::Seconds step, core::Seconds length,
                                            core::MonoTime now)
{
    const std::int64_t last = stepNumber(now, step);
    const std::int64_t first = last - length / step + 1;
    RequestCounts sum;
    for (const Bucket &bucket : ring) {
        if (bucket.step < first || bucket.step > last)
            continue;
        sum += {.good = bucket.good, .total = bucket.total};
    }
    return sum;
}

} // namespace teaselreach::burn
