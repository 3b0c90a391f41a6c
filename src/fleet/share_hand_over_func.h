/** @file share_hand_over_func.h How a VM that stops as planned hands its share of the limits over.
 */
#pragma once

#include "core/clock_type.h"

#include <algorithm>
#include <chrono>

namespace teaselreach::proxy {

/** Part of its share that a leaving VM keeps as long as it serves, for callers that stay. */
inline constexpr double leastKeptPart = 0.25;

/**
 * @param elapsed Time since a VM has begun to leave.
 * @param servesFor How long it serves new requests from then on; callers leave it meanwhile.
 * @return The part of its share of the limits that it keeps.
 */
inline double keptPart(core::Micros elapsed, core::Micros servesFor)
{
    if (elapsed >= servesFor)
        return 0;
    const double handedOver = std::chrono::duration<double>(elapsed) / servesFor;
    return std::min(1.0, 1 - (1 - leastKeptPart) * handedOver);
}

} // namespace teaselreach::proxy
