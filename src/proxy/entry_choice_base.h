/** @file entry_choice_base.h Which entry VMs callers are sent to, and each VM's part of limits. */
#pragma once

#include "proxy/proxy_type.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace teaselreach::proxy {

/** How many entry VMs take callers, and how quickly a VM's part of a limit passes to others. */
struct EntryVmSelectorOptions
{
    /** Fewest entry VMs that the callers of one availability zone are sent to. Each sees a larger
     * sample of its upstreams the fewer they are; one alone would take all its callers down with
     * it. */
    std::size_t minActivePerZone = 2;
    /** Least capacity of the VMs that take the callers of one zone: in cores, and as a part of the
     * zone's. The strongest VMs are taken first. */
    double minActiveCapacity = 0.4;
    double minActiveCapacityShare = 0.12;
    /** Part of every limit that the VMs without callers hold together. Callers with an old answer
     * reach them after a change of the active VMs. */
    double inactiveShare = 0.08;
    /** How long a VM that disappeared keeps its part. A VM that is cut off from the store goes on
     * serving the callers that hold its address. */
    core::Micros shareHoldTime {core::Seconds(20)};
};

/** The entry VMs that are registered, and what follows from them. */
class EntryVmSelector
{
public:
    /** @param options Counts and times. */
    explicit EntryVmSelector(EntryVmSelectorOptions options);

    /** Records that a VM is registered. */
    void memberJoined(const EntryMember &member);
    /** Records that a VM's registration has ended. */
    void memberLeft(core::MonoTime now, const core::VmId &id);

    /**
     * @param caller Availability zone and region of the caller.
     * @param isSilent Whether a VM has not been heard of for a while, or is leaving; such a VM is
     * only named if there is no other.
     * @return Addresses for a caller: of its zone, else of its region, else all.
     */
    std::vector<std::string>
    addressesFor(const core::Location &caller,
                 const std::function<bool(const core::VmId &)> &isSilent) const;
    /** @return The part of every limit that a VM holds; the parts add up to at most one. */
    double limitShareOf(core::MonoTime now, const core::VmId &id);
    /** @return Whether callers are sent to a VM. */
    bool isActive(const core::VmId &id) const;
    /** @return The VM of the same availability zone that reads the store for the others. */
    std::optional<EntryMember> relayOf(const core::VmId &id) const;
    /** @return The active VMs of other regions. */
    std::vector<EntryMember> activeInOtherRegions(const core::VmId &id) const;
    /** @return The other VMs of a VM's availability zone. */
    std::vector<EntryMember> zoneNeighboursOf(const core::VmId &id) const;
    /** @return The other active VMs of a VM's region: its pool. */
    std::vector<EntryMember> poolPeersOf(const core::VmId &id) const;
    /** @return Registered VMs. */
    std::size_t size() const { return members_.size(); }

private:
    /** A VM that has disappeared. */
    struct Departed
    {
        core::AvailabilityZoneId zone;
        core::MonoTime at {};
        bool wasActive = false;
    };

    std::vector<const EntryMember *> activeMembers(const core::AvailabilityZoneId &zone) const;
    std::vector<std::string>
    addressesIn(const std::set<core::AvailabilityZoneId> &zones,
                const std::function<bool(const core::VmId &)> &isSilent) const;

    EntryVmSelectorOptions options_;
    std::map<core::VmId, EntryMember> members_;
    std::map<core::VmId, Departed> departed_;
};

} // namespace teaselreach::proxy
