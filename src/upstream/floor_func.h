/** @file floor_func.h The number of upstreams that outlier ejection must leave in use. */
#pragma once

#include <cstddef>

namespace teaselreach::upstream {

/**
 * @param listed Upstreams of a service that the VM list shows as live.
 * @param floor Fraction that stays in use.
 * @return The number of upstreams that must stay in use, rounded up.
 */
std::size_t serviceFloor(std::size_t listed, double floor);

/**
 * The floor of one availability zone. It is rounded down, but never below 1. If it were rounded up,
 * no upstream of a zone with three or fewer could be ejected at the default floor of 0.7.
 * @param listed Upstreams of the service in the zone that the VM list shows as live.
 * @param floor Fraction that stays in use.
 * @return The number of upstreams that must stay in use; 0 if none is listed.
 */
std::size_t zoneFloor(std::size_t listed, double floor);

} // namespace teaselreach::upstream
