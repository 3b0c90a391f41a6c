/** @file clock_type.h Points on a monotonic clock that goes on while the VM is suspended. */
#pragma once

#include <chrono>
#include <concepts>

namespace teaselreach::core {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

/** Tag of the clock that all decisions measure time on; never compared between machines. */
struct MonoClock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonoClock>;
    // The standard's Clock requirements fix this name.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    /** @return The present time of CLOCK_BOOTTIME, microsecond resolution. */
    static time_point now() noexcept;
};

using MonoTime = MonoClock::time_point;

/** Something that tells the time: the real clock in the daemon, a virtual one in tests. */
template <typename T>
concept MonotonicClock = requires(T &clock)
{
    {
        clock.now()
        } -> std::convertible_to<MonoTime>;
};

/** Largest relative drift between the monotonic clocks of two VMs. */
inline constexpr double maxClockDrift = 0.01;

/**
 * Lengthens a duration by the drift bound, for the side that must wait at least as long.
 * @param duration The duration as the other VM measures it.
 * @return A duration on the own clock after which the other's has surely passed.
 */
constexpr Micros withDrift(Micros duration)
{
    return duration + std::chrono::duration_cast<Micros>(duration * maxClockDrift) + Micros(1);
}

} // namespace teaselreach::core
