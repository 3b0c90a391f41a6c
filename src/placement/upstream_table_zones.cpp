/** @file upstream_table_zones.cpp Load sharing between zones by UpstreamTable. */
#include "placement/upstream_table_internal.h"

namespace teaselreach::proxy {

using namespace detail;

namespace {

/** @return A number in 0 to 1 that is evenly distributed over the values (SplitMix64). */
double drawOf(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    value ^= value >> 31U;
    return std::ldexp(static_cast<double>(value >> 11U), -53);
}

} // namespace

void UpstreamTable::requestArrived(core::MonoTime now, const core::ServiceId &service,
                                   const RegionSet &regions)
{
    if (zoneLoads_)
        zoneLoads_->requestArrived(now, service, regions.allows(options_.self.region));
}

void UpstreamTable::measureZoneLoad(core::MonoTime now)
{
    if (!zoneLoads_)
        return;
    for (const auto &[service, upstreams] : byService_) {
        double slots = 0;
        double freeSlots = 0;
        std::size_t inFlight = 0;
        for (const Upstream *upstream : upstreams)
            inFlight += upstream->inFlight.size();
        for (const Upstream *upstream : upstreams) {
            if (upstream->distance > 0)
                break;
            // Unhealthy upstreams fail fast and would always seem to have room.
            if (!isAccepting(*upstream) || isFailing(now, *upstream)
                || notices_.isHoldingOff(now, upstream->entry)
                || !limiter_.mayStart(now, upstream->entry.id, limitShareOf(*upstream)))
                continue;
            const double ofEntry = std::max(1, upstream->entry.slots);
            slots += ofEntry;
            freeSlots += std::max(0.0, ofEntry - occupancyOf(now, *upstream));
        }
        zoneLoads_->setOwn(
            now, service,
            {.slots = slots, .freeSlots = freeSlots, .inFlight = static_cast<double>(inFlight)});
    }
}

/** The draw is the same whenever the placement of a request is tried again. With a new draw each
 * time, all queued requests would end up in another zone. */
std::optional<double> UpstreamTable::spillDrawOf(core::MonoTime now,
                                                 const PlacementRequest &request) const
{
    if (!zoneLoads_ || request.freeSlotOnly || !zoneLoads_->isSpilling(request.service))
        return std::nullopt;
    // Requests that other regions have to serve are no part of the own zone's demand.
    if (!request.allowedRegions.allows(options_.self.region))
        return std::nullopt;
    const core::MonoTime arrivedAt = now - request.elapsed;
    const auto micros = static_cast<std::uint64_t>(arrivedAt.time_since_epoch().count());
    return drawOf(spillSeed_ ^ micros);
}

bool UpstreamTable::isSpilledTo(core::MonoTime now, const Upstream &upstream,
                                const PlacementRequest &request,
                                std::optional<double> spillDraw) const
{
    return spillDraw && upstream.distance > 0
        && zoneLoads_->distanceFactor(now, request.service, upstream.entry.availabilityZone,
                                      *spillDraw)
        < 1;
}

/** @return Whether a request may only use a free slot of an upstream, because the upstream's zone
 * is short of slots. Requests that have no zone of their own may queue there like the zone's own.
 */
bool UpstreamTable::takesFreeSlotOnly(core::MonoTime now, const Upstream &upstream,
                                      const PlacementRequest &request) const
{
    return zoneLoads_ && upstream.distance > 0 && zoneLoads_->hasOwnSlots(request.service)
        && request.allowedRegions.allows(options_.self.region)
        && (zoneLoads_->isShort(now, request.service, upstream.entry.availabilityZone)
            || zoneLoads_->areAllShort(now, request.service));
}

/** @return Whether an upstream of a zone that is short of slots has a free one. In a shortage the
 * load does not end within loadHalfLife. */
bool UpstreamTable::hasFreeSlotForOtherZone(core::MonoTime now, const Upstream &upstream) const
{
    const double others =
        upstream.othersLoad * decay(now - upstream.loadAt, options_.zoneLoad.remoteLoadHalfLife);
    return static_cast<double>(upstream.inFlight.size()) + others + 1
        <= std::max(1, upstream.entry.slots);
}

} // namespace teaselreach::proxy
