/** @file standstill_base.h Notices that this process has stood still. */
#pragma once

#include "core/clock_type.h"

#include <optional>

namespace teaselreach::proxy {

/**
 * Notices that this process or its VM stood still, for example suspended, so long that its
 * registration may have lapsed. The other VMs may then have taken over its share of the limits.
 * Uses no threads, sockets or clocks.
 */
class Standstill
{
public:
    /** @param longest Longest time between two observations that is no standstill. */
    explicit Standstill(core::Micros longest)
        : longest_(longest)
    { }

    /** Call it before each decision that relies on the registration, and regularly.
     * @param now Of a clock that goes on while the VM is suspended.
     * @return Whether the process has stood still since the last call. */
    bool observed(core::MonoTime now)
    {
        const bool stoodStill = observedAt_ && now - *observedAt_ > longest_;
        observedAt_ = now;
        return stoodStill;
    }

private:
    core::Micros longest_;
    std::optional<core::MonoTime> observedAt_;
};

} // namespace teaselreach::proxy
