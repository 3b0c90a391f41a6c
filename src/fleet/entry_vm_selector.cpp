/** @file entry_vm_selector.cpp Selection of active entry VMs, and each VM's share of limits. */
#include "core/digest_func.h"
#include "fleet/entry_vm_selector_base.h"
#include "fleet/share_hand_over_func.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace teaselreach::proxy {

namespace {

/** @return The share of an active VM in the limits of the upstreams at a place. */
double shareOfMember(const UpstreamLimitDivision &division, const core::Location &place,
                     const EntryMember &member)
{
    if (member.location.availabilityZone == place.availabilityZone)
        return division.sameZone;
    return member.location.region == place.region ? division.otherZone : division.otherRegion;
}

/** @return VMs in the order of their rendezvous weights for a key, the largest first. */
std::vector<core::VmId> sortedByWeight(const std::string &key, std::vector<core::VmId> vms)
{
    std::sort(vms.begin(), vms.end(), [&](const core::VmId &a, const core::VmId &b) {
        return core::rendezvousWeight(key, a.str()) > core::rendezvousWeight(key, b.str());
    });
    return vms;
}

} // namespace

EntryVmSelector::EntryVmSelector(EntryVmSelectorOptions options)
    : options_(options)
{ }

void EntryVmSelector::memberJoined(const EntryMember &member)
{
    members_[member.id] = member;
    lapsed_.erase(member.id);
    departed_.erase(member.id);
    leavingSince_.erase(member.id);
}

void EntryVmSelector::leavingHeard(core::MonoTime now, const core::VmId &id)
{
    if (members_.contains(id) || departed_.contains(id))
        leavingSince_.emplace(id, now);
}

void EntryVmSelector::memberLeft(core::MonoTime now, const core::VmId &id)
{
    const auto found = members_.find(id);
    if (found == members_.end())
        return;
    const double shareNow = activeShare(now);
    const auto largest =
        std::max_element(activeShares_.begin(), activeShares_.end(),
                         [](const auto &a, const auto &b) { return a.second < b.second; });
    departed_[id] = {.zone = found->second.location.availabilityZone,
                     .region = found->second.location.region,
                     .at = now,
                     .wasActive = isActive(id),
                     .share = largest == activeShares_.end() ? shareNow : largest->second};
    members_.erase(found);
    lapsed_.erase(id);
}

std::vector<const EntryMember *>
EntryVmSelector::rankedMembers(const core::AvailabilityZoneId &zone) const
{
    std::vector<const EntryMember *> ranked;
    for (const auto &[id, member] : members_) {
        if (member.accepting && member.location.availabilityZone == zone)
            ranked.push_back(&member);
    }
    std::sort(ranked.begin(), ranked.end(), [&](const EntryMember *a, const EntryMember *b) {
        if (a->capacity != b->capacity)
            return a->capacity > b->capacity;
        return core::rendezvousWeight(zone.str(), a->id.str())
            > core::rendezvousWeight(zone.str(), b->id.str());
    });
    return ranked;
}

std::vector<const EntryMember *>
EntryVmSelector::activeMembers(const core::AvailabilityZoneId &zone) const
{
    std::vector<const EntryMember *> active = rankedMembers(zone);
    double zoneCapacity = 0;
    for (const EntryMember *member : active)
        zoneCapacity += member->capacity;
    const double needed =
        std::max(options_.minActiveCapacity, options_.minActiveCapacityShare * zoneCapacity);
    std::size_t count = 0;
    for (double activated = 0;
         count < active.size() && (count < options_.minActivePerZone || activated < needed - 1e-9);
         ++count)
        activated += active[count]->capacity;
    active.resize(count);
    return active;
}

std::vector<std::string>
EntryVmSelector::addressesIn(const std::set<core::AvailabilityZoneId> &zones,
                             const std::function<bool(const core::VmId &)> &isSilent) const
{
    std::vector<std::string> responsive;
    std::vector<std::string> all;
    for (const core::AvailabilityZoneId &zone : zones) {
        for (const EntryMember *member : activeMembers(zone)) {
            all.push_back(member->callerAddress);
            if (!isSilent(member->id))
                responsive.push_back(member->callerAddress);
        }
    }
    return responsive.empty() ? all : responsive;
}

std::vector<std::string>
EntryVmSelector::addressesFor(const core::Location &caller,
                              const std::function<bool(const core::VmId &)> &isSilent,
                              const RegionSet &homeRegions) const
{
    std::set<core::AvailabilityZoneId> regionZones;
    std::set<core::AvailabilityZoneId> homeZones;
    std::set<core::AvailabilityZoneId> allZones;
    for (const auto &[id, member] : members_) {
        allZones.insert(member.location.availabilityZone);
        if (member.location.region == caller.region)
            regionZones.insert(member.location.availabilityZone);
        if (homeRegions.allows(member.location.region))
            homeZones.insert(member.location.availabilityZone);
    }
    for (const auto &zones :
         {std::set {caller.availabilityZone}, regionZones, homeZones, allZones}) {
        std::vector<std::string> addresses = addressesIn(zones, isSilent);
        if (!addresses.empty())
            return addresses;
    }
    return {};
}

std::vector<core::VmId> EntryVmSelector::ids() const
{
    std::vector<core::VmId> ids;
    for (const auto &[id, member] : members_)
        ids.push_back(id);
    return ids;
}

std::optional<core::RegionId> EntryVmSelector::regionOf(const core::VmId &id) const
{
    const auto found = members_.find(id);
    if (found == members_.end())
        return std::nullopt;
    return found->second.location.region;
}

bool EntryVmSelector::isActive(const core::VmId &id) const
{
    const auto found = members_.find(id);
    if (found == members_.end())
        return false;
    const auto active = activeMembers(found->second.location.availabilityZone);
    return std::any_of(active.begin(), active.end(),
                       [&](const EntryMember *member) { return member->id == id; });
}

std::optional<core::Location> EntryVmSelector::locationOf(const core::VmId &id) const
{
    if (const auto member = members_.find(id); member != members_.end())
        return member->second.location;
    const auto departed = departed_.find(id);
    if (departed == departed_.end())
        return std::nullopt;
    return core::Location {.availabilityZone = departed->second.zone,
                           .region = departed->second.region};
}

std::vector<EntryMember> EntryVmSelector::poolPeersOf(const core::VmId &id) const
{
    std::vector<EntryMember> peers;
    const std::optional<core::Location> location = locationOf(id);
    if (!location)
        return peers;
    std::set<core::AvailabilityZoneId> zones;
    for (const auto &[memberId, member] : members_) {
        if (member.location.region == location->region)
            zones.insert(member.location.availabilityZone);
    }
    for (const core::AvailabilityZoneId &zone : zones) {
        for (const EntryMember *member : activeMembers(zone)) {
            if (member->id != id)
                peers.push_back(*member);
        }
    }
    return peers;
}

std::optional<EntryMember> EntryVmSelector::relayOf(const core::VmId &id) const
{
    const std::vector<EntryMember> relays = relaysOf(id);
    return relays.empty() ? std::nullopt : std::optional(relays.front());
}

std::vector<EntryMember> EntryVmSelector::relaysOf(const core::VmId &id) const
{
    constexpr std::size_t maxRelays = 2;
    std::vector<EntryMember> relays;
    const auto self = members_.find(id);
    if (self == members_.end())
        return relays;
    const core::AvailabilityZoneId &zone = self->second.location.availabilityZone;
    std::size_t candidates = activeMembers(zone).size();
    // A VM asks only those before it, so that no two VMs ask each other.
    for (const EntryMember *member : rankedMembers(zone)) {
        if (member->id == id || relays.size() == maxRelays || candidates == 0)
            break;
        if (lapsed_.contains(member->id))
            continue;
        relays.push_back(*member);
        --candidates;
    }
    return relays;
}

std::vector<EntryMember> EntryVmSelector::activeInOtherRegions(const core::VmId &id) const
{
    std::vector<EntryMember> otherActive;
    const auto self = members_.find(id);
    if (self == members_.end())
        return otherActive;
    std::set<core::AvailabilityZoneId> zones;
    for (const auto &[memberId, member] : members_) {
        if (member.location.region != self->second.location.region)
            zones.insert(member.location.availabilityZone);
    }
    for (const core::AvailabilityZoneId &zone : zones) {
        for (const EntryMember *member : activeMembers(zone))
            otherActive.push_back(*member);
    }
    return otherActive;
}

std::vector<EntryMember> EntryVmSelector::zoneNeighboursOf(const core::VmId &id) const
{
    std::vector<EntryMember> neighbours;
    const std::optional<core::Location> location = locationOf(id);
    if (!location)
        return neighbours;
    for (const auto &[memberId, member] : members_) {
        if (memberId != id && member.location.availabilityZone == location->availabilityZone)
            neighbours.push_back(member);
    }
    return neighbours;
}

std::size_t EntryVmSelector::activeCount() const
{
    std::set<core::AvailabilityZoneId> zones;
    for (const auto &[memberId, member] : members_)
        zones.insert(member.location.availabilityZone);
    std::size_t active = 0;
    for (const core::AvailabilityZoneId &zone : zones)
        active += activeMembers(zone).size();
    return active;
}

double EntryVmSelector::keptShareOf(core::MonoTime now, const core::VmId &id,
                                    const Departed &departed) const
{
    const auto since = leavingSince_.find(id);
    if (since == leavingSince_.end())
        return 0;
    if (!options_.handsOver)
        return departed.share;
    return departed.share
        * keptPart(now - since->second - options_.leavingDelay, options_.leavingServesFor);
}

/** Forgets the departed VMs whose share is not reserved any more. */
void EntryVmSelector::forgetDeparted(core::MonoTime now)
{
    const core::Micros leavingHold =
        options_.leavingServesFor + options_.leavingDelay + options_.limitWindow;
    std::erase_if(departed_, [&](const auto &entry) {
        const auto since = leavingSince_.find(entry.first);
        return since == leavingSince_.end() ? now - entry.second.at > options_.shareHoldTime
                                            : now - since->second > leavingHold;
    });
    std::erase_if(leavingSince_, [&](const auto &entry) {
        return !departed_.contains(entry.first) && !members_.contains(entry.first);
    });
}

/** @return The share of an active VM. */
double EntryVmSelector::activeShare(core::MonoTime now)
{
    forgetDeparted(now);
    std::size_t holders = activeCount();
    double kept = 0;
    for (const auto &[id, departed] : departed_) {
        if (!departed.wasActive)
            continue;
        holders += leavingSince_.contains(id) ? 0 : 1;
        kept += keptShareOf(now, id, departed);
    }
    const double share = std::max(0.0, 1 - options_.inactiveShare - kept)
        / static_cast<double>(std::max<std::size_t>(1, holders));
    while (activeShares_.size() > 1 && now - activeShares_.at(1).first > options_.longestViewAge)
        activeShares_.pop_front();
    constexpr core::Millis resolution {100};
    if (activeShares_.empty() || now - activeShares_.back().first >= resolution)
        activeShares_.emplace_back(now, share);
    activeShares_.back().second = std::max(activeShares_.back().second, share);
    return share;
}

double EntryVmSelector::limitShareOf(core::MonoTime now, const core::VmId &id)
{
    const double share = activeShare(now);
    if (isActive(id))
        return share;
    const std::size_t active = activeCount();
    const std::size_t inactive = members_.size() - std::min(members_.size(), active);
    return options_.inactiveShare / static_cast<double>(std::max<std::size_t>(1, inactive));
}

std::vector<LeavingShare> EntryVmSelector::leavingShares(core::MonoTime now)
{
    forgetDeparted(now);
    std::vector<LeavingShare> leaving;
    const auto active = static_cast<double>(std::max<std::size_t>(1, activeCount()));
    for (const auto &[id, departed] : departed_) {
        if (!departed.wasActive || !leavingSince_.contains(id))
            continue;
        leaving.push_back({.vm = id,
                           .share = departed.share,
                           .kept = keptShareOf(now, id, departed),
                           .takenOver = 1 / active});
    }
    return leaving;
}

std::map<core::AvailabilityZoneId, UpstreamLimitDivision> EntryVmSelector::divideUpstreamLimits(
    const std::map<core::AvailabilityZoneId, core::RegionId> &regionOfZone) const
{
    std::map<core::AvailabilityZoneId, double> activeIn;
    std::map<core::RegionId, double> activeInRegion;
    double active = 0;
    const auto addActive = [&](const core::AvailabilityZoneId &zone, double count) {
        activeIn[zone] += count;
        if (const auto region = regionOfZone.find(zone); region != regionOfZone.end())
            activeInRegion[region->second] += count;
        active += count;
    };
    std::set<core::AvailabilityZoneId> zones;
    for (const auto &[id, member] : members_)
        zones.insert(member.location.availabilityZone);
    for (const core::AvailabilityZoneId &zone : zones)
        addActive(zone, static_cast<double>(activeMembers(zone).size()));
    for (const auto &[id, departed] : departed_) {
        if (departed.wasActive)
            addActive(departed.zone, 1);
    }
    std::map<core::AvailabilityZoneId, UpstreamLimitDivision> divisions;
    for (const auto &[zone, region] : regionOfZone) {
        const double sameZone = activeIn[zone];
        const double otherZones = activeInRegion[region] - sameZone;
        const double otherRegions = active - activeInRegion[region];
        const double weights = sameZone + options_.otherZoneLimitWeight * otherZones;
        const double forOthers =
            otherRegions > 0 ? (weights > 0 ? options_.otherRegionLimitShare : 1) : 0;
        const double unit = weights > 0 ? (1 - forOthers) / weights : 0;
        divisions[zone] = {.sameZone = unit,
                           .otherZone = unit * options_.otherZoneLimitWeight,
                           .otherRegion = otherRegions > 0 ? forOthers / otherRegions : 0};
    }
    return divisions;
}

std::vector<core::VmId> EntryVmSelector::activeWhere(
    const std::function<bool(const core::AvailabilityZoneId &zone, const core::RegionId &region)>
        &matches) const
{
    std::map<core::AvailabilityZoneId, core::RegionId> zones;
    for (const auto &[id, member] : members_)
        zones.emplace(member.location.availabilityZone, member.location.region);
    std::vector<core::VmId> active;
    for (const auto &[zone, region] : zones) {
        if (!matches(zone, region))
            continue;
        for (const EntryMember *member : activeMembers(zone))
            active.push_back(member->id);
    }
    for (const auto &[id, departed] : departed_) {
        if (departed.wasActive && matches(departed.zone, departed.region))
            active.push_back(id);
    }
    return active;
}

std::vector<core::VmId> EntryVmSelector::outsideColdHolders(const core::Location &place) const
{
    std::map<core::AvailabilityZoneId, core::RegionId> zones;
    for (const auto &[id, member] : members_)
        zones.emplace(member.location.availabilityZone, member.location.region);
    for (const auto &[id, departed] : departed_)
        zones.emplace(departed.zone, departed.region);
    zones.erase(place.availabilityZone);
    // One VM of each zone before the second one of any, those of the region before all others.
    std::vector<std::tuple<bool, std::size_t, std::uint64_t, core::VmId>> candidates;
    for (const auto &entry : zones) {
        const std::vector<core::VmId> active = sortedByWeight(
            place.availabilityZone.str(),
            activeWhere([&](const core::AvailabilityZoneId &other, const core::RegionId &) {
                return other == entry.first;
            }));
        for (std::size_t rank = 0; rank < active.size(); ++rank)
            candidates.emplace_back(
                entry.second != place.region, rank,
                ~core::rendezvousWeight(place.availabilityZone.str(), active[rank].str()),
                active[rank]);
    }
    std::sort(candidates.begin(), candidates.end());
    std::vector<core::VmId> holders;
    for (const auto &candidate : candidates) {
        if (holders.size() < options_.outsideColdHolders)
            holders.push_back(std::get<core::VmId>(candidate));
    }
    return holders;
}

ColdShare EntryVmSelector::coldShareOf(const core::VmId &id,
                                       const std::optional<core::Location> &place) const
{
    const double total = place ? options_.zoneColdShare : 1;
    std::vector<core::VmId> holders = sortedByWeight(
        place ? place->availabilityZone.str() : std::string(),
        activeWhere([&](const core::AvailabilityZoneId &zone, const core::RegionId &) {
            return !place || zone == place->availabilityZone;
        }));
    const auto maxHolders = static_cast<std::size_t>(std::lround(total * coldBurst));
    if (holders.size() > maxHolders)
        holders.resize(maxHolders);
    const auto holds = [&](const std::vector<core::VmId> &vms) {
        return std::find(vms.begin(), vms.end(), id) != vms.end();
    };
    if (holds(holders)) {
        const double share =
            std::min(options_.maxColdShare, total / static_cast<double>(holders.size()));
        return {.share = share, .saved = coldBurst * share};
    }
    if (!place || !holds(outsideColdHolders(*place)))
        return {};
    return {.share = holders.empty() ? options_.loneOutsideColdShare : options_.outsideColdShare,
            .saved = 1};
}

std::map<core::AvailabilityZoneId, UpstreamLimitShare> EntryVmSelector::upstreamLimitShares(
    const std::map<core::AvailabilityZoneId, core::RegionId> &regionOfZone, const EntryMember &self,
    const std::vector<EntryMember> &peers) const
{
    const bool isSelfActive = isActive(self.id);
    std::map<core::AvailabilityZoneId, UpstreamLimitShare> shares;
    for (const auto &[zone, division] : divideUpstreamLimits(regionOfZone)) {
        const core::Location place {.availabilityZone = zone, .region = regionOfZone.at(zone)};
        UpstreamLimitShare &share = shares[zone];
        share.own = share.pool = isSelfActive ? shareOfMember(division, place, self) : 0;
        const ColdShare cold = isSelfActive ? coldShareOf(self.id, place) : ColdShare {};
        share.cold = cold.share;
        share.coldSaved = cold.saved;
        // A pool shares the limits of its own region; of others its VMs hold too little.
        if (place.region != self.location.region)
            continue;
        for (const EntryMember &peer : peers)
            share.pool += shareOfMember(division, place, peer);
        share.poolSize = 1 + static_cast<int>(peers.size());
    }
    return shares;
}

} // namespace teaselreach::proxy
