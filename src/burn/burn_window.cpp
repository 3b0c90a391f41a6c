/** @file burn_window.cpp Sliding-window request counter over up to three days. */
#include "burn/burn_window_base.h"

namespace teaselreach::burn {

namespace {

/** @return The number of the time step that contains `now`, counted from the clock's epoch. */
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

/** Counts one request in a ring. A bucket that still holds an older step is cleared first. */
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

/** @return The sum of the buckets that lie within the window of this length. */
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
