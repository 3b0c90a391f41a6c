/** @file zone_load_type.h Load of a service in an availability zone, as VMs report it. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <cstdint>
#include <map>

namespace teaselreach::proxy {

/** Load of a service in a zone. */
struct ZoneLoad
{
    double demandPerSecond = 0;  ///< Requests of callers in the last second.
    double slots = 0;            ///< Of the upstreams that can be used.
    double freeSlots = 0;        ///< Part of slots.
    double refusedPerSecond = 0; ///< Attempts refused by the zone's upstreams in the last second.
};

/** What a VM measures of a service. */
struct OwnZoneLoad
{
    double slots = 0;     ///< Of the upstreams of its zone that can be used.
    double freeSlots = 0; ///< Part of slots.
    double inFlight = 0;  ///< Attempts of this VM in all zones.
};

/** What a VM reports of a service in a zone. For receivers in the zone's region the demand and the
 * refusals are those of the sender alone, for others those of the whole zone. */
struct ZoneLoadReport
{
    core::VmId sender;
    core::ServiceId service;
    core::AvailabilityZoneId zone;
    core::Micros age {0}; ///< Time since the measurement.
    ZoneLoad load;
};

/** State of a service in a zone, by its utilization. */
enum class ZoneState : std::uint8_t { Free, Busy, Full };

/** Parameters of ZoneLoadTable. Utilizations are parts of the slots. */
struct ZoneLoadOptions
{
    bool enabled = false; ///< Whether zones share load.
    core::Location self;  ///< Location of this VM.
    std::map<core::AvailabilityZoneId, core::RegionId> regionOfZone;
    /** Age from which a report counts no longer. */
    core::Micros reportLifetime {core::Seconds(3)};
    /** Thresholds of the states. Demand measured over a second varies by about a tenth, which is
     * less than the distance between the thresholds to enter and to leave a state. */
    double busyFrom = 0.9;
    double freeBelow = 0.75;
    double fullFrom = 1.0;
    /** Refused attempts, as a part of the demand, from which a zone counts as full. */
    double refusedShare = 0.1;
    /** Utilization up to which a zone takes requests of others. */
    double receiverLimit = 0.95;
    /** Free slots, as a part of all, below which a zone takes fewer requests of others, and below
     * which it takes none. */
    double scarceFree = 0.05;
    double exhaustedFree = 0.01;
    /** Time constant of the measured rates, of the processing time, which varies less but is a
     * ratio of two small numbers, and of the part of the requests sent elsewhere. */
    core::Micros rateTime {core::Seconds(1)};
    core::Micros processingTime {core::Seconds(4)};
    core::Micros shiftTime {core::Millis(500)};
    /** Parts of the requests from which a zone counts as a target, and below which no longer. */
    double startPart = 0.02;
    double endPart = 0.005;
    /** Half-life of the load that other VMs put on an upstream of a zone that is short, as last
     * reported by it. With 300 ms (loadHalfLife) requests queued there; with 3 s they passed by
     * free slots and went to other regions. */
    core::Micros remoteLoadHalfLife {core::Seconds(1)};
    /** Shortest interval between two messages to other regions. */
    core::Micros otherRegionInterval {core::Seconds(1)};
};

} // namespace teaselreach::proxy
