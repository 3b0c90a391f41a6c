/** @file zone_evacuations.cpp Availability zones whose upstreams get no traffic for a time. */
#include "placement/zone_evacuations_base.h"

#include <algorithm>

namespace teaselreach::proxy {

ZoneEvacuations::ZoneEvacuations(ZoneEvacuationOptions options)
    : options_(options)
{ }

bool ZoneEvacuations::begin(const core::AvailabilityZoneId &zone)
{
    endedAt_.erase(zone);
    return zones_.insert(zone).second;
}

bool ZoneEvacuations::end(core::MonoTime now, const core::AvailabilityZoneId &zone)
{
    if (zones_.erase(zone) == 0)
        return false;
    const core::Micros rampTime = options_.rampStep * options_.rampSteps;
    std::erase_if(endedAt_, [&](const auto &entry) { return now - entry.second >= rampTime; });
    endedAt_[zone] = now;
    lastRampEndsAt_ = std::max(lastRampEndsAt_, now + rampTime);
    return true;
}

double ZoneEvacuations::occupancyFactor(core::MonoTime now,
                                        const core::AvailabilityZoneId &zone) const
{
    if (isEvacuated(zone))
        return 0;
    const auto ended = endedAt_.find(zone);
    if (ended == endedAt_.end())
        return 1;
    const auto completedSteps = (now - ended->second) / options_.rampStep;
    return std::min(1.0, static_cast<double>(completedSteps) / options_.rampSteps);
}

} // namespace teaselreach::proxy
