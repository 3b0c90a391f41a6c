/** @file zone_load_table_base.h Load of the zones, and which part of it goes to another zone. */
#pragma once

#include "placement/zone_load_type.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselreach::proxy {

/**
 * Knows the load of each zone from this VM and the reports of others. While the own zone is short
 * of slots and others have room, assigns a part of the requests to the others; see
 * docs/design/zone-load.md. Uses no threads, sockets or clocks.
 */
class ZoneLoadTable
{
public:
    /** @param options Location of this VM and parameters. */
    explicit ZoneLoadTable(ZoneLoadOptions options);

    /** Counts a request of a caller.
     * @param isLocal Whether it may be served in this VM's region. */
    void requestArrived(core::MonoTime now, const core::ServiceId &service, bool isLocal = true);
    /** Counts an attempt refused by an upstream of the own zone. */
    void attemptRefused(core::MonoTime now, const core::ServiceId &service);
    /** Counts an attempt sent to another zone because of this table. */
    void requestSpilled() { ++spilled_; }
    /** Sets this VM's measurement and updates what is sent elsewhere. Call it several times a
     * second for each service. */
    void setOwn(core::MonoTime now, const core::ServiceId &service, const OwnZoneLoad &load);
    /** Records a report of another VM. @return Whether it is valid; if not, it is only counted. */
    bool reported(core::MonoTime now, const ZoneLoadReport &report);
    /** Counts a report that could not be read. */
    void reportMalformed() { ++rejected_; }

    /** @return Whether any requests of a service are assigned to other zones. */
    bool isSpilling(const core::ServiceId &service) const;
    /** @param draw Uniformly distributed in 0 to 1, the same for all decisions on one request.
     * @return Factor on the fixed loss of another zone: 0 if the request is assigned to it, else
     * 1. */
    double distanceFactor(core::MonoTime now, const core::ServiceId &service,
                          const core::AvailabilityZoneId &zone, double draw) const;
    /** @return Whether a zone is known to be short of slots for a service. */
    bool isShort(core::MonoTime now, const core::ServiceId &service,
                 const core::AvailabilityZoneId &zone) const;
    /** @return Whether the own zone and at least one other are known, and all known ones are
     * short. */
    bool areAllShort(core::MonoTime now, const core::ServiceId &service) const;
    /** @return Whether the own zone has slots for a service. */
    bool hasOwnSlots(const core::ServiceId &service) const;
    /** @return The part of a service's requests that is assigned to other zones. */
    double spilledPart(const core::ServiceId &service) const;

    /** @return This VM's share of the load of its zone, for VMs of the region: the busiest services
     * first. */
    std::vector<ZoneLoadReport> ownReports(core::MonoTime now, std::size_t maxReports) const;
    /** @return The total of the own zone for the services whose state has changed since it was last
     * returned, for other regions; at most once per otherRegionInterval. */
    std::vector<ZoneLoadReport> takeStateChanges(core::MonoTime now, std::size_t maxReports);
    /** Calls a function with each service of this VM, zone and its utilization; -1 if nothing is
     * known of the zone, which is not the same as an idle one. */
    void forEachUtilization(const auto &visit) const
    {
        for (const auto &[id, service] : services_) {
            if (!service.isMeasured)
                continue;
            for (const auto &[zone, state] : service.zones)
                visit(id, zone, state.weight > 0 ? state.utilization : -1);
        }
    }

    /** @return Attempts sent to other zones since the last call. */
    std::uint64_t takeSpilled() { return std::exchange(spilled_, 0); }
    /** @return Reports that were dropped. */
    std::uint64_t rejected() const { return rejected_; }
    /** @return How often this VM has started or ceased to send requests of any service to another
     * zone. */
    std::uint64_t directionChanges() const { return directionChanges_; }

private:
    /** Events per second as an exponentially decaying average. */
    struct Rate
    {
        double perSecond = 0;
        core::MonoTime at {};
    };

    /** A report and the time of its measurement. */
    struct Record
    {
        core::VmId sender;
        ZoneLoad load;
        core::MonoTime measuredAt {};
    };

    /** What is known of a service in a zone. */
    struct Zone
    {
        std::vector<Record> records; ///< Of other VMs, one of each.
        ZoneLoad total;
        double weight = 0; ///< Of the newest record; 0 if nothing is known.
        core::MonoTime knownUntil {};
        double offered = 0; ///< Slots that the demand needs.
        double utilization = 0;
        ZoneState state = ZoneState::Free;
        bool isRefusing = false;   ///< Whether its upstreams refuse many attempts.
        bool isOverloaded = false; ///< Whether its demand exceeds its slots, with hysteresis.
        double part = 0;           ///< Part of this VM's requests that is assigned to the zone.
        bool isTarget = false;     ///< Whether the log shows it as a target.
    };

    struct Service
    {
        Rate arrivals;
        Rate allArrivals; ///< Over processingTime, with those that other regions have to serve.
        Rate refusals;
        double slots = 0;     ///< Of the own zone.
        double busySlots = 0; ///< Average over rateTime; the requests in flight vary fast.
        core::MonoTime measuredAt {};
        bool isMeasured = false;
        double inFlight = 0;          ///< Average over processingTime.
        double processingSeconds = 0; ///< Last known; 0 before the first demand.
        ZoneState announced = ZoneState::Free;
        std::map<core::AvailabilityZoneId, Zone> zones;
    };

    /** A zone that takes requests of others, in one calculation. */
    struct Receiver
    {
        const core::AvailabilityZoneId *id = nullptr;
        const Zone *zone = nullptr;
        double slots = 0; ///< Slots that it takes for others.
    };

    static void count(core::MonoTime now, Rate &rate, core::Micros time);
    static double rateAt(core::MonoTime now, const Rate &rate, core::Micros time);
    double weightOf(core::Micros age) const;
    bool isOwnRegion(const core::AvailabilityZoneId &zone) const;
    bool isValid(const ZoneLoadReport &report) const;
    ZoneLoad ownLoad(core::MonoTime now, const Service &service) const;
    ZoneLoadReport makeReport(core::MonoTime now, const core::ServiceId &id, const Service &service,
                              const ZoneLoad &load) const;
    void updateTotals(core::MonoTime now, Service &service) const;
    void updateProcessingTime(core::MonoTime now, Service &service) const;
    void updateStates(Service &service) const;
    void updateParts(core::MonoTime now, const core::ServiceId &id, Service &service,
                     core::Micros elapsed);
    std::map<core::AvailabilityZoneId, double> wantedParts(const Service &service) const;
    std::vector<Receiver> receivers(const Service &service, bool inOwnRegion) const;
    double roomOf(const Zone &zone, double level) const;
    void logTarget(const core::ServiceId &id, const Service &service,
                   const core::AvailabilityZoneId &zone, const Zone &target);

    ZoneLoadOptions options_;
    std::unordered_map<core::ServiceId, Service, core::StrongHash> services_;
    core::MonoTime announcedAt_ {};
    std::uint64_t spilled_ = 0;
    std::uint64_t rejected_ = 0;
    std::uint64_t directionChanges_ = 0;
};

} // namespace teaselreach::proxy
