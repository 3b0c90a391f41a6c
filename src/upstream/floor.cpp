/** @file floor.cpp The number of upstreams that outlier ejection must leave in use. */
#include "upstream/floor_func.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::upstream {

namespace {

/**
 * Compensates for floating-point errors, so that products such as 0.7 * 10 round to the exact
 * integer.
 */
constexpr double roundingSlack = 1e-9;

} // namespace

std::size_t serviceFloor(std::size_t listed, double floor)
{
    return static_cast<std::size_t>(std::ceil(static_cast<double>(listed) * floor - roundingSlack));
}

std::size_t zoneFloor(std::size_t listed, double floor)
{
    if (listed == 0)
        return 0;
    const auto whole =
        static_cast<std::size_t>(std::floor(static_cast<double>(listed) * floor + roundingSlack));
    return std::max<std::size_t>(1, whole);
}

} // namespace teaselreach::upstream
