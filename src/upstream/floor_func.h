/** @file floor_func.h The number of upstreams that ejection must leave in use. */
#pragma once

#include <cstddef>

namespace teaselreach::upstream {

/**
 * @param listed Upstreams of a service that the VM list has as live.
 * @param floor Fraction that stays in use.
 * @return The least number in use, rounded up.
 */
std::size_t serviceFloor(std::size_t listed, double floor);

/**
 * The floor of one availability zone. It is rounded down, but to at least 1: rounded up, no
 * upstream of a zone with three upstreams or fewer could be ejected at the default floor of 0.7.
 * @param listed Upstreams of the service in the zone that the VM list has as live.
 * @param floor Fraction that stays in use.
 * @return The least number in use.
 */
std::size_t zoneFloor(std::size_t listed, double floor);

} // namespace teaselreach::upstream
