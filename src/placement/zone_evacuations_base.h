/** @file zone_evacuations_base.h Availability zones whose upstreams get no traffic for a time. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <map>
#include <set>
#include <vector>

namespace teaselreach::proxy {

/** Ramp-up of traffic after an evacuation. */
struct ZoneEvacuationOptions
{
    /** Length of each step, and number of steps until the upstreams get their full concurrency. */
    core::Micros rampStep {core::Seconds(1)};
    int rampSteps = 3;
};

/** The zones that operators have evacuated, and the ramp-up after each evacuation. */
class ZoneEvacuations
{
public:
    /** @param options Ramp-up. */
    explicit ZoneEvacuations(ZoneEvacuationOptions options = {});

    /** Starts an evacuation. @return Whether the zone was not evacuated before. */
    bool begin(const core::AvailabilityZoneId &zone);
    /** Ends an evacuation and starts the ramp-up. @return Whether the zone was evacuated. */
    bool end(core::MonoTime now, const core::AvailabilityZoneId &zone);

    /** @return Whether a zone is evacuated. */
    bool isEvacuated(const core::AvailabilityZoneId &zone) const { return zones_.contains(zone); }
    /** @return Whether the ramp-up of any zone is in progress. */
    bool isRampingUp(core::MonoTime now) const { return now < lastRampEndsAt_; }
    /** @return The share of their concurrency that the upstreams of a zone may be used to: 0 while
     * the zone is evacuated, rising by steps from 0 to 1 after it. In the ramp-up, each upstream
     * takes at least one request of each VM. */
    double occupancyFactor(core::MonoTime now, const core::AvailabilityZoneId &zone) const;
    /** @return The evacuated zones. */
    const std::set<core::AvailabilityZoneId> &zones() const { return zones_; }

private:
    ZoneEvacuationOptions options_;
    std::set<core::AvailabilityZoneId> zones_;
    std::map<core::AvailabilityZoneId, core::MonoTime> endedAt_; ///< Of the ramp-ups.
    core::MonoTime lastRampEndsAt_ {};
};

} // namespace teaselreach::proxy
