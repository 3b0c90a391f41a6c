/** @file clock.cpp Implementation of MonoClock on CLOCK_BOOTTIME. */
#include "core/clock_type.h"

#include <ctime>

namespace teaselreach::core {

MonoTime MonoClock::now() noexcept
{
    timespec ts {};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return MonoTime(std::chrono::duration_cast<duration>(std::chrono::seconds(ts.tv_sec)
                                                         + std::chrono::nanoseconds(ts.tv_nsec)));
}

} // namespace teaselreach::core
