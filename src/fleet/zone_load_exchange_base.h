/** @file zone_load_exchange_base.h Exchange of reports on the load of zones between VMs. */
#pragma once

#include "fleet/peer_messenger_base.h"
#include "metrics/registry_base.h"

namespace teaselreach::proxy {

/** Connects the ZoneLoadTable of a VM with those of the others. Does nothing if zones do not share
 * load. Uses no threads, sockets or clocks. */
class ZoneLoadExchange
{
public:
    /** @param upstreams Has the table, if zones share load; must outlive the object. */
    explicit ZoneLoadExchange(UpstreamTable &upstreams)
        : upstreams_(upstreams)
    { }

    /** Measures the load of the own zone. Call it several times a second. */
    void measure(core::MonoTime now) { upstreams_.measureZoneLoad(now); }
    /** @return Reports for VMs of the own zone and region. */
    std::vector<ZoneLoadReport> reportsForRegion(core::MonoTime now) const;
    /** @return Reports for VMs of other regions; mostly none. */
    std::vector<ZoneLoadReport> reportsForOtherRegions(core::MonoTime now);
    /** Reads the reports of a message. */
    void receive(core::MonoTime now, const PeerMessage &message);
    /** Publishes the utilization of each zone and the counters. */
    void publishMetrics(metrics::Registry &registry);

private:
    UpstreamTable &upstreams_;
};

} // namespace teaselreach::proxy
