/** @file clock_type.h Monotonic clock that keeps running while the VM is suspended. */
#pragma once

#include <chrono>
#include <concepts>

namespace teaselreach::core {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

/** Clock for all time measurements; its time points are not comparable between machines. */
struct MonoClock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonoClock>;
    // The standard's Clock requirements fix this name.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    /** @return The current time of CLOCK_BOOTTIME, microsecond resolution. */
    static time_point now() noexcept;
};

using MonoTime = MonoClock::time_point;

/** A source of the current time: the real clock in the daemon, a virtual clock in tests. */
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
 * Extends a duration by the maximum drift, for the VM that must wait at least as long.
 * @param duration The duration as the other VM measures it.
 * @return A duration on the local clock that outlasts it on the other VM's clock.
 */
constexpr Micros withDrift(Micros duration)
{
    return duration + std::chrono::duration_cast<Micros>(duration * maxClockDrift) + Micros(1);
}

} // namespace teaselreach::core
