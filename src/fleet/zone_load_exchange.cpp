/** @file zone_load_exchange.cpp Exchange of reports on the load of zones between VMs. */
#include "fleet/zone_load_exchange_base.h"

namespace teaselreach::proxy {

std::vector<ZoneLoadReport> ZoneLoadExchange::reportsForRegion(core::MonoTime now) const
{
    const ZoneLoadTable *table = upstreams_.zoneLoads();
    return table == nullptr ? std::vector<ZoneLoadReport> {}
                            : table->ownReports(now, maxZoneLoadReports);
}

std::vector<ZoneLoadReport> ZoneLoadExchange::reportsForOtherRegions(core::MonoTime now)
{
    ZoneLoadTable *table = upstreams_.zoneLoads();
    return table == nullptr ? std::vector<ZoneLoadReport> {}
                            : table->takeStateChanges(now, maxZoneLoadReports);
}

void ZoneLoadExchange::receive(core::MonoTime now, const PeerMessage &message)
{
    ZoneLoadTable *table = upstreams_.zoneLoads();
    if (table == nullptr)
        return;
    for (const ZoneLoadReport &report : message.zoneLoads)
        table->reported(now, report);
    for (std::size_t i = 0; i < message.malformedZoneLoads; ++i)
        table->reportMalformed();
}

void ZoneLoadExchange::publishMetrics(metrics::Registry &registry)
{
    ZoneLoadTable *table = upstreams_.zoneLoads();
    if (table == nullptr)
        return;
    table->forEachUtilization(
        [&](const core::ServiceId &service, const core::AvailabilityZoneId &zone, double value) {
            registry.setGauge("teaselreach_zone_utilization",
                              {{"service", service.str()}, {"zone", zone.str()}}, value);
        });
    registry.addCounter("teaselreach_spilled_requests_total", {},
                        static_cast<double>(table->takeSpilled()));
    registry.setGauge("teaselreach_zone_reports_rejected", {},
                      static_cast<double>(table->rejected()));
}

} // namespace teaselreach::proxy
