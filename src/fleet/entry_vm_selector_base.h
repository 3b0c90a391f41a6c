/** @file entry_vm_selector_base.h Selection of active entry VMs, and each VM's share of limits. */
#pragma once

#include "placement/account_limit_type.h"
#include "placement/placement_type.h"
#include "placement/upstream_rate_limiter_base.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace teaselreach::proxy {

/** A caller's lookup of the VMs to connect to. */
struct EntryLookup
{
    core::Location caller;
    std::string host; ///< Host that the caller will send requests for; empty if it is unknown.
};

/** Number of active entry VMs, and their shares of the limits. */
struct EntryVmSelectorOptions
{
    /** Minimum number of active entry VMs in an availability zone, to which its callers are sent.
     * With fewer VMs, each sees more attempts at its upstreams; with only one, its failure would
     * affect all callers of the zone. */
    std::size_t minActivePerZone = 2;
    /** Minimum total capacity of the active VMs of a zone: in processor cores, and as a fraction of
     * the zone's capacity. VMs with the largest capacity are activated first. */
    double minActiveCapacity = 0.4;
    double minActiveCapacityShare = 0.12;
    /** Total share of every limit that the inactive VMs hold. After the set of active VMs changes,
     * callers with an outdated address still reach them. */
    double inactiveShare = 0.08;
    /** Time for which the share of a departed VM stays reserved. A VM that has lost its connection
     * to the store keeps serving the callers that have its address. */
    core::Micros shareHoldTime {core::Seconds(20)};
    /** How long a VM that leaves as planned serves new requests. It hands its share over in that
     * time. */
    core::Micros leavingServesFor {core::Seconds(3)};
    /** Time by which a leaving VM may be late to lower its share. */
    core::Micros leavingDelay {core::Millis(100)};
    /** Window of the limits. What a leaving VM has admitted counts for that long. */
    core::Micros limitWindow {core::Seconds(5)};
    /** Whether leaving VMs tell what they have admitted. If not, their shares stay reserved as a
     * whole until it has left the window. */
    bool handsOver = true;
    /** Longest time by which the members that two VMs know differ. */
    core::Micros longestViewAge {core::Seconds(5)};
    /** Share of an upstream's limit that the active VMs of other regions hold together. Inactive
     * VMs hold none: divided among them, it would be less than a request in a minute. */
    double otherRegionLimitShare = 0.04;
    /** Share of an upstream's limit of an active VM in another zone of its region, relative to one
     * in its own zone. */
    double otherZoneLimitWeight = 0.25;
    /** Largest share of one VM in a cold-start limit. Leaves room while one VM of two knows of the
     * other and the other does not, and each would take the whole limit. */
    double maxColdShare = 0.6;
    /** Share of a cold-start limit that the VMs of the upstream's zone hold together. Even if they
     * are out of contact and one of them runs twice, the shares of all VMs add up to no more than
     * one and a half. */
    double zoneColdShare = 0.8;
    /** Number of VMs of other zones that hold shares of a cold-start limit, so that the upstream
     * gets requests while those of its zone are silent. */
    std::size_t outsideColdHolders = 2;
    /** Share of each of them: while VMs of the upstream's zone are registered, and otherwise. Those
     * of the zone may still be serving without contact to the store, and so may earlier holders. */
    double outsideColdShare = 0.1;
    double loneOutsideColdShare = 0.25;
};

/** One VM's part of a cold-start limit. */
struct ColdShare
{
    double share = 0;
    double saved = 0; ///< Requests that it may save up.
};

/** Shares of one VM in the limits that the upstreams of one zone name, by the VM's place. The
 * shares of all active VMs, departed ones included, add up to one; inactive VMs have none. */
struct UpstreamLimitDivision
{
    double sameZone = 0;    ///< An active VM of the zone.
    double otherZone = 0;   ///< An active VM of another zone of the region.
    double otherRegion = 0; ///< An active VM of another region.
};

/**
 * Keeps the registered entry VMs and selects those of each availability zone that callers are sent
 * to, the active VMs. Derives each VM's share of the limits, its relay and its peers.
 */
class EntryVmSelector
{
public:
    /** @param options Number of active VMs, and shares. */
    explicit EntryVmSelector(EntryVmSelectorOptions options);

    /** Adds a registered VM, or replaces its entry. */
    void memberJoined(const EntryMember &member);
    /** Records that the registration of a VM has lapsed while the VM goes on serving. It stays a
     * member, but is no relay: it may have lost the store. */
    void memberLapsed(const core::VmId &id) { lapsed_.insert(id); }
    /** Records that a VM has said that it stops as planned. */
    void leavingHeard(core::MonoTime now, const core::VmId &id);
    /** Removes a VM whose registration has ended. */
    void memberLeft(core::MonoTime now, const core::VmId &id);

    /**
     * @param caller Availability zone and region of the caller.
     * @param isSilent Returns whether a VM is shutting down or its messages have stopped. Such a VM
     * is only returned if all active VMs of the selected zone or region are silent.
     * @param homeRegions Regions in which the caller's requests may be served.
     * @return Addresses of active VMs: of the caller's zone, else of its region, else of the home
     * regions, else of all regions. VMs near the caller come first, since its other requests may be
     * served there; they send those with home regions straight to an upstream of these.
     */
    std::vector<std::string> addressesFor(const core::Location &caller,
                                          const std::function<bool(const core::VmId &)> &isSilent,
                                          const RegionSet &homeRegions = {}) const;
    /** @return A VM's share of every limit; the shares of all VMs add up to at most one. What VMs
     * that leave as planned keep is reserved for them, for other departed VMs the share of an
     * active one. Forgets departed VMs whose share is not reserved any more. */
    double limitShareOf(core::MonoTime now, const core::VmId &id);
    /** @return The VMs that stop as planned and were active, with what passes to an active VM. */
    std::vector<LeavingShare> leavingShares(core::MonoTime now);
    /**
     * @param regionOfZone The zones.
     * @param self A VM.
     * @param peers VMs of its pool that exchange reports with it; see poolPeersOf().
     * @return The VM's shares of the limits that the upstreams of each zone name.
     */
    std::map<core::AvailabilityZoneId, UpstreamLimitShare>
    upstreamLimitShares(const std::map<core::AvailabilityZoneId, core::RegionId> &regionOfZone,
                        const EntryMember &self, const std::vector<EntryMember> &peers) const;
    /** @return How the VMs divide the limits that the upstreams of each zone name.
     * @param regionOfZone The zones. */
    std::map<core::AvailabilityZoneId, UpstreamLimitDivision> divideUpstreamLimits(
        const std::map<core::AvailabilityZoneId, core::RegionId> &regionOfZone) const;
    /**
     * Divides cold-start limits among few VMs, so that each can save up one request: four active
     * VMs of the upstream's zone, and two of other zones, which are in different zones of its
     * region if possible. Whether a VM is silent does not count: it may be out of contact, and
     * serving. VMs that have departed lately count as active.
     * @param place Of the upstream; nothing if it is not known. Then five VMs hold shares.
     * @return A VM's share of the cold-start limits of the upstreams at a place.
     */
    ColdShare coldShareOf(const core::VmId &id, const std::optional<core::Location> &place) const;
    /** @return Whether a VM is active. */
    bool isActive(const core::VmId &id) const;
    /** @return The VM of the same availability zone that reads the store on behalf of the others;
     * nothing if that is the VM itself or there is none. */
    std::optional<EntryMember> relayOf(const core::VmId &id) const;
    /** @return The VMs of the same availability zone that may read the store on behalf of a VM, in
     * the order in which they are asked: at most two. The second one serves while the store turns
     * away the first. Others take the places of those whose registration has lapsed. */
    std::vector<EntryMember> relaysOf(const core::VmId &id) const;
    /** @return The active VMs of all other regions. */
    std::vector<EntryMember> activeInOtherRegions(const core::VmId &id) const;
    /** @return The other VMs of a VM's availability zone, active or not. Like poolPeersOf(), also
     * for a VM that has departed lately. */
    std::vector<EntryMember> zoneNeighboursOf(const core::VmId &id) const;
    /** @return The other active VMs of a VM's region. The active VMs of a region form a pool. */
    std::vector<EntryMember> poolPeersOf(const core::VmId &id) const;
    /** @return Number of registered VMs. */
    std::size_t size() const { return members_.size(); }
    /** @return The registered VMs. */
    std::vector<core::VmId> ids() const;
    /** @return The region of a member; nothing if the VM is none. */
    std::optional<core::RegionId> regionOf(const core::VmId &id) const;
    /** @return Whether a VM is a member. */
    bool contains(const core::VmId &id) const { return members_.contains(id); }

private:
    /** A VM whose registration has ended. */
    struct Departed
    {
        core::AvailabilityZoneId zone;
        core::RegionId region;
        core::MonoTime at {}; ///< End of the registration.
        bool wasActive = false;
        double share = 0; ///< The largest that it may have held when it departed.
    };

    /** @return Where a VM is, or was until it departed. */
    std::optional<core::Location> locationOf(const core::VmId &id) const;
    /** @return Number of active VMs. */
    std::size_t activeCount() const;
    /** @return What a leaving VM keeps of its share. */
    double keptShareOf(core::MonoTime now, const core::VmId &id, const Departed &departed) const;
    void forgetDeparted(core::MonoTime now);
    double activeShare(core::MonoTime now);

    /** @return The VMs of a zone that can take callers, largest capacity first. */
    std::vector<const EntryMember *> rankedMembers(const core::AvailabilityZoneId &zone) const;
    /** @return The active VMs of a zone, the first ones of rankedMembers(). */
    std::vector<const EntryMember *> activeMembers(const core::AvailabilityZoneId &zone) const;
    /** @return The active VMs and those that have departed lately, at places that match. */
    std::vector<core::VmId>
    activeWhere(const std::function<bool(const core::AvailabilityZoneId &zone,
                                         const core::RegionId &region)> &matches) const;
    /** @return The VMs of other zones that hold shares of the cold-start limits at a place. */
    std::vector<core::VmId> outsideColdHolders(const core::Location &place) const;
    /** @return Caller addresses of the active VMs that are not silent, or of all if all are. */
    std::vector<std::string>
    addressesIn(const std::set<core::AvailabilityZoneId> &zones,
                const std::function<bool(const core::VmId &)> &isSilent) const;

    EntryVmSelectorOptions options_;
    std::map<core::VmId, EntryMember> members_;
    std::set<core::VmId> lapsed_; ///< Members whose registration has lapsed.
    std::map<core::VmId, Departed> departed_;
    std::map<core::VmId, core::MonoTime> leavingSince_; ///< VMs that stop as planned.
    /** Shares of an active VM within longestViewAge, the latest one last. */
    std::deque<std::pair<core::MonoTime, double>> activeShares_;
};

} // namespace teaselreach::proxy
