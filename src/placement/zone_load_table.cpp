/** @file zone_load_table.cpp Load of the zones, and which part of it goes to another zone. */
#include "core/log_func.h"
#include "placement/zone_load_table_base.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace teaselreach::proxy {

namespace {

/** Largest plausible number in a report. */
constexpr double maxPlausible = 1e6;
/** Services from whose number on reports of others are dropped. */
constexpr std::size_t maxServices = 256;
/** Utilization of a zone with demand and without slots. */
constexpr double maxUtilization = 100;

double seconds(core::Micros time)
{
    return std::chrono::duration<double>(time).count();
}

bool isPlausible(double value)
{
    return value >= 0 && value <= maxPlausible; // False for a value that is not a number.
}

double busySlots(const ZoneLoad &load)
{
    return std::max(0.0, load.slots - load.freeSlots);
}

/** Sorts reports by demand and cuts the list. */
void keepBusiest(std::vector<ZoneLoadReport> &reports, std::size_t maxReports)
{
    std::sort(reports.begin(), reports.end(),
              [](const ZoneLoadReport &left, const ZoneLoadReport &right) {
                  return left.load.demandPerSecond > right.load.demandPerSecond;
              });
    if (reports.size() > maxReports)
        reports.resize(maxReports);
}

std::int64_t percent(double part)
{
    return static_cast<std::int64_t>(std::lround(100 * part));
}

} // namespace

ZoneLoadTable::ZoneLoadTable(ZoneLoadOptions options)
    : options_(std::move(options))
{ }

void ZoneLoadTable::count(core::MonoTime now, Rate &rate, core::Micros time)
{
    rate.perSecond = rateAt(now, rate, time) + 1 / seconds(time);
    rate.at = now;
}

double ZoneLoadTable::rateAt(core::MonoTime now, const Rate &rate, core::Micros time)
{
    const double age = std::max(0.0, seconds(now - rate.at));
    return rate.perSecond * std::exp(-age / seconds(time));
}

double ZoneLoadTable::weightOf(core::Micros age) const
{
    const double part = std::max(0.0, seconds(age)) / seconds(options_.reportLifetime);
    return std::max(0.0, 1 - part * part);
}

bool ZoneLoadTable::isOwnRegion(const core::AvailabilityZoneId &zone) const
{
    const auto region = options_.regionOfZone.find(zone);
    return region != options_.regionOfZone.end() && region->second == options_.self.region;
}

void ZoneLoadTable::requestArrived(core::MonoTime now, const core::ServiceId &service, bool isLocal)
{
    Service &state = services_[service];
    count(now, state.allArrivals, options_.processingTime);
    if (isLocal)
        count(now, state.arrivals, options_.rateTime);
}

void ZoneLoadTable::attemptRefused(core::MonoTime now, const core::ServiceId &service)
{
    count(now, services_[service].refusals, options_.rateTime);
}

bool ZoneLoadTable::isValid(const ZoneLoadReport &report) const
{
    const ZoneLoad &load = report.load;
    return report.age >= core::Micros(0) && !report.service.empty()
        && options_.regionOfZone.contains(report.zone) && isPlausible(load.demandPerSecond)
        && isPlausible(load.slots) && isPlausible(load.freeSlots)
        && isPlausible(load.refusedPerSecond) && load.freeSlots <= load.slots;
}

bool ZoneLoadTable::reported(core::MonoTime now, const ZoneLoadReport &report)
{
    // Names of services are not checked otherwise, and each takes memory.
    const bool isTooMany = services_.size() >= maxServices && !services_.contains(report.service);
    if (isTooMany || !isValid(report)) {
        ++rejected_;
        return false;
    }
    if (report.age >= options_.reportLifetime)
        return true;
    std::vector<Record> &records = services_[report.service].zones[report.zone].records;
    const Record record {
        .sender = report.sender, .load = report.load, .measuredAt = now - report.age};
    const auto known = std::find_if(records.begin(), records.end(), [&](const Record &other) {
        return other.sender == report.sender;
    });
    if (known == records.end()) {
        std::erase_if(records, [&](const Record &other) {
            return now - other.measuredAt >= options_.reportLifetime;
        });
        records.push_back(record);
    } else if (known->measuredAt <= record.measuredAt)
        *known = record; // A datagram may overtake an earlier one.
    return true;
}

ZoneLoad ZoneLoadTable::ownLoad(core::MonoTime now, const Service &service) const
{
    return {.demandPerSecond = rateAt(now, service.arrivals, options_.rateTime),
            .slots = service.slots,
            .freeSlots = std::max(0.0, service.slots - service.busySlots),
            .refusedPerSecond = rateAt(now, service.refusals, options_.rateTime)};
}

void ZoneLoadTable::setOwn(core::MonoTime now, const core::ServiceId &service,
                           const OwnZoneLoad &load)
{
    Service &state = services_[service];
    const core::Micros elapsed = state.isMeasured ? now - state.measuredAt : core::Micros(0);
    // All averages rise from zero after a start, so that their ratio is right from the beginning.
    const auto gain = [&](core::Micros time) {
        return 1 - std::exp(-seconds(elapsed) / seconds(time));
    };
    const double busy = std::max(0.0, load.slots - load.freeSlots);
    state.slots = std::max(0.0, load.slots);
    state.busySlots += gain(options_.rateTime) * (busy - state.busySlots);
    state.inFlight += gain(options_.processingTime) * (load.inFlight - state.inFlight);
    state.measuredAt = now;
    state.isMeasured = true;
    state.zones[options_.self.availabilityZone];
    updateTotals(now, state);
    updateProcessingTime(now, state);
    updateStates(state);
    updateParts(now, service, state, elapsed);
}

/** Sums up the records of each zone by their weight. */
void ZoneLoadTable::updateTotals(core::MonoTime now, Service &service) const
{
    for (auto &[id, zone] : service.zones) {
        std::erase_if(zone.records, [&](const Record &record) {
            return now - record.measuredAt >= options_.reportLifetime;
        });
        const bool isOwn = id == options_.self.availabilityZone;
        zone.total = isOwn ? ownLoad(now, service) : ZoneLoad {};
        zone.weight = isOwn ? 1 : 0;
        zone.knownUntil = now + (isOwn ? options_.reportLifetime : core::Micros(0));
        double weights = zone.weight;
        for (const Record &record : zone.records) {
            const double weight = weightOf(now - record.measuredAt);
            zone.total.demandPerSecond += weight * record.load.demandPerSecond;
            zone.total.refusedPerSecond += weight * record.load.refusedPerSecond;
            zone.total.slots += weight * record.load.slots;
            zone.total.freeSlots += weight * record.load.freeSlots;
            zone.weight = std::max(zone.weight, weight);
            zone.knownUntil =
                std::max(zone.knownUntil, record.measuredAt + options_.reportLifetime);
            weights += weight;
        }
        if (weights <= 0)
            continue;
        zone.total.slots /= weights;
        zone.total.freeSlots /= weights;
        // VMs of other regions report the whole zone.
        if (!isOwnRegion(id) && !isOwn) {
            zone.total.demandPerSecond /= weights;
            zone.total.refusedPerSecond /= weights;
        }
    }
}

/** Updates the processing time by Little's law: from this VM's attempts, whose number is exact
 * wherever they run, or with few of them from all zones. */
void ZoneLoadTable::updateProcessingTime(core::MonoTime now, Service &service) const
{
    /** Requests per second below which the ratio is of a few requests at most. */
    constexpr double least = 1;
    const double own = rateAt(now, service.allArrivals, options_.processingTime);
    if (own >= least) {
        service.processingSeconds = service.inFlight / own;
        return;
    }
    double busy = 0;
    double demand = 0;
    for (const auto &[id, zone] : service.zones) {
        busy += busySlots(zone.total);
        demand += zone.total.demandPerSecond;
    }
    if (demand >= least)
        service.processingSeconds = busy / demand;
}

/** Updates utilizations and states. */
void ZoneLoadTable::updateStates(Service &service) const
{
    for (auto &[id, zone] : service.zones) {
        const ZoneLoad &load = zone.total;
        zone.offered = load.demandPerSecond * service.processingSeconds;
        const double used = std::max(zone.offered, busySlots(load));
        zone.utilization = used <= 0 ? 0 : maxUtilization;
        if (load.slots > 0)
            zone.utilization = std::min(maxUtilization, used / load.slots);
        zone.isRefusing = load.demandPerSecond >= 1
            && load.refusedPerSecond > options_.refusedShare * load.demandPerSecond;
        if (zone.isRefusing)
            zone.utilization = std::max(zone.utilization, options_.fullFrom);
        // Requests of other zones are no reason to send own ones away.
        const double threshold = zone.isOverloaded ? options_.freeBelow : options_.busyFrom;
        zone.isOverloaded = zone.weight > 0 && zone.offered > 0
            && (zone.offered >= threshold * load.slots || zone.isRefusing);
        const ZoneState before = zone.state;
        const double full = before == ZoneState::Full ? options_.busyFrom : options_.fullFrom;
        const double busyAt = before == ZoneState::Free ? options_.busyFrom : options_.freeBelow;
        zone.state = zone.utilization >= full ? ZoneState::Full
            : zone.utilization >= busyAt      ? ZoneState::Busy
                                              : ZoneState::Free;
    }
}

/** @return The zones with room for requests of others. */
std::vector<ZoneLoadTable::Receiver> ZoneLoadTable::receivers(const Service &service,
                                                              bool inOwnRegion) const
{
    std::vector<Receiver> result;
    for (const auto &[id, zone] : service.zones) {
        if (id == options_.self.availabilityZone || isOwnRegion(id) != inOwnRegion
            || zone.weight <= 0 || zone.total.slots <= 0 || zone.isOverloaded || zone.isRefusing)
            continue;
        result.push_back({.id = &id, .zone = &zone});
    }
    return result;
}

/** @return Slots that a zone takes for others up to a utilization. */
double ZoneLoadTable::roomOf(const Zone &zone, double level) const
{
    const double limit = std::min(level, options_.receiverLimit);
    const double room = std::max(0.0, limit * zone.total.slots - zone.offered);
    const double freePart = zone.total.freeSlots / zone.total.slots;
    const double scarcity =
        (freePart - options_.exhaustedFree) / (options_.scarceFree - options_.exhaustedFree);
    return room * zone.weight * std::clamp(scarcity, 0.0, 1.0);
}

/** @return The parts of this VM's requests that bring the zones to the same utilization. */
std::map<core::AvailabilityZoneId, double> ZoneLoadTable::wantedParts(const Service &service) const
{
    std::map<core::AvailabilityZoneId, double> parts;
    const Zone &own = service.zones.at(options_.self.availabilityZone);
    if (!own.isOverloaded)
        return parts;
    double load = 0;
    double slots = 0;
    std::vector<const Zone *> overloadedZones;
    for (const auto &[id, zone] : service.zones) {
        if (!zone.isOverloaded || !isOwnRegion(id))
            continue;
        overloadedZones.push_back(&zone);
        load += zone.offered;
        slots += zone.total.slots;
    }
    const auto excess = [](const Zone &zone, double level) {
        return std::max(0.0, zone.offered - level * zone.total.slots);
    };
    const auto assign = [&](std::vector<Receiver> &all, double level, double ownExcess,
                            double allExcess) {
        double room = 0;
        for (Receiver &receiver : all) {
            receiver.slots = roomOf(*receiver.zone, level);
            room += receiver.slots;
        }
        if (room <= 0 || allExcess <= 0)
            return 0.0;
        const double taken = ownExcess * std::min(1.0, room / allExcess);
        for (const Receiver &receiver : all)
            parts[*receiver.id] = taken / own.offered * receiver.slots / room;
        return std::min(1.0, room / allExcess);
    };
    // The receivers in order of their utilization: each one below the level lowers it.
    std::vector<Receiver> near = receivers(service, true);
    std::sort(near.begin(), near.end(), [](const Receiver &left, const Receiver &right) {
        return left.zone->offered * right.zone->total.slots
            < right.zone->offered * left.zone->total.slots;
    });
    double level = slots > 0 ? load / slots : std::numeric_limits<double>::max();
    for (const Receiver &receiver : near) {
        if (receiver.zone->offered >= level * receiver.zone->total.slots)
            break;
        load += receiver.zone->offered;
        slots += receiver.zone->total.slots;
        level = load / slots;
    }
    double allExcess = 0;
    double remaining = 0;
    for (const Zone *overloaded : overloadedZones)
        allExcess += excess(*overloaded, level);
    const double served = near.empty() ? 0 : assign(near, level, excess(own, level), allExcess);
    // A request in another region costs more than a wait: only what exceeds the slots goes there.
    const auto beyondSlots = [&](const Zone &zone) {
        return std::max(0.0, excess(zone, 1) - served * excess(zone, level));
    };
    for (const Zone *overloaded : overloadedZones)
        remaining += beyondSlots(*overloaded);
    std::vector<Receiver> far = receivers(service, false);
    if (own.total.freeSlots <= options_.exhaustedFree * own.total.slots)
        assign(far, options_.receiverLimit, beyondSlots(own), remaining);
    return parts;
}

void ZoneLoadTable::updateParts(core::MonoTime now, const core::ServiceId &id, Service &service,
                                core::Micros elapsed)
{
    const std::map<core::AvailabilityZoneId, double> wanted = wantedParts(service);
    const double gain = 1 - std::exp(-seconds(elapsed) / seconds(options_.shiftTime));
    for (auto &[zoneId, zone] : service.zones) {
        const auto found = wanted.find(zoneId);
        const double target = found == wanted.end() ? 0 : found->second;
        zone.part += gain * (target - zone.part);
        // Nothing is known of the zone: the fixed losses apply at once.
        if (now >= zone.knownUntil || (target <= 0 && zone.part < options_.endPart))
            zone.part = 0;
        const bool isTarget = zone.part >= (zone.isTarget ? options_.endPart : options_.startPart);
        if (isTarget == zone.isTarget)
            continue;
        zone.isTarget = isTarget;
        ++directionChanges_;
        logTarget(id, service, zoneId, zone);
    }
}

void ZoneLoadTable::logTarget(const core::ServiceId &id, const Service &service,
                              const core::AvailabilityZoneId &zone, const Zone &target)
{
    const Zone &own = service.zones.at(options_.self.availabilityZone);
    core::logEvent(core::LogLevel::Info,
                   target.isTarget ? "spill_over_started" : "spill_over_ended",
                   {{"service", id.str()},
                    {"from_zone", options_.self.availabilityZone.str()},
                    {"to_zone", zone.str()},
                    {"from_utilization_pct", percent(own.utilization)},
                    {"to_utilization_pct", percent(target.utilization)},
                    {"part_pct", percent(target.part)}});
}

bool ZoneLoadTable::isSpilling(const core::ServiceId &service) const
{
    return spilledPart(service) > 0;
}

double ZoneLoadTable::spilledPart(const core::ServiceId &service) const
{
    const auto found = services_.find(service);
    double part = 0;
    if (found != services_.end()) {
        for (const auto &[id, zone] : found->second.zones)
            part += zone.part;
    }
    return part;
}

double ZoneLoadTable::distanceFactor(core::MonoTime now, const core::ServiceId &service,
                                     const core::AvailabilityZoneId &zone, double draw) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return 1;
    // Each zone has an interval of the draws as long as its part.
    double begin = 0;
    for (const auto &[id, state] : found->second.zones) {
        if (id == zone)
            return now < state.knownUntil && draw >= begin && draw < begin + state.part ? 0 : 1;
        begin += state.part;
    }
    return 1;
}

bool ZoneLoadTable::isShort(core::MonoTime now, const core::ServiceId &service,
                            const core::AvailabilityZoneId &zone) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return false;
    const auto state = found->second.zones.find(zone);
    return state != found->second.zones.end() && now < state->second.knownUntil
        && state->second.state != ZoneState::Free;
}

bool ZoneLoadTable::areAllShort(core::MonoTime now, const core::ServiceId &service) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return false;
    int known = 0;
    for (const auto &[id, zone] : found->second.zones) {
        if (now >= zone.knownUntil)
            continue;
        if (zone.state == ZoneState::Free)
            return false;
        ++known;
    }
    return known > 1;
}

bool ZoneLoadTable::hasOwnSlots(const core::ServiceId &service) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second.slots > 0;
}

ZoneLoadReport ZoneLoadTable::makeReport(core::MonoTime now, const core::ServiceId &id,
                                         const Service &service, const ZoneLoad &load) const
{
    return {.sender = {},
            .service = id,
            .zone = options_.self.availabilityZone,
            .age = now - service.measuredAt,
            .load = load};
}

std::vector<ZoneLoadReport> ZoneLoadTable::ownReports(core::MonoTime now,
                                                      std::size_t maxReports) const
{
    std::vector<ZoneLoadReport> reports;
    for (const auto &[id, service] : services_) {
        if (service.isMeasured)
            reports.push_back(makeReport(now, id, service, ownLoad(now, service)));
    }
    keepBusiest(reports, maxReports);
    return reports;
}

std::vector<ZoneLoadReport> ZoneLoadTable::takeStateChanges(core::MonoTime now,
                                                            std::size_t maxReports)
{
    std::vector<ZoneLoadReport> reports;
    if (now - announcedAt_ < options_.otherRegionInterval)
        return reports;
    for (const auto &[id, service] : services_) {
        if (!service.isMeasured)
            continue;
        const Zone &own = service.zones.at(options_.self.availabilityZone);
        if (own.state != service.announced)
            reports.push_back(makeReport(now, id, service, own.total));
    }
    keepBusiest(reports, maxReports);
    for (const ZoneLoadReport &report : reports) {
        Service &service = services_.at(report.service);
        service.announced = service.zones.at(report.zone).state;
        announcedAt_ = now;
    }
    return reports;
}

} // namespace teaselreach::proxy
