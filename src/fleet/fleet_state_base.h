/** @file fleet_state_base.h Applies configuration, upstreams and members from the store. */
#pragma once

#include "fleet/entry_vm_selector_base.h"
#include "fleet/fleet_store_type.h"
#include "fleet/peer_liveness_base.h"
#include "fleet/removal_hold_base.h"
#include "placement/upstream_table_base.h"
#include "proxy/request_flow_base.h"

#include <map>
#include <memory>

namespace teaselreach::proxy {

/**
 * Applies the store's items and changes to the request flow, the upstream table and the selection
 * of entry VMs. Holds back removals that an outage of the store may have caused.
 */
class FleetState
{
public:
    /** Dependencies; all must outlive the state. */
    struct Parts
    {
        RequestFlow &flow;
        UpstreamTable &upstreams;
        EntryVmSelector &entries;
        const PeerLiveness *liveness = nullptr; ///< Without it, no other VM is known to be alive.
    };

    /** @param parts Dependencies. @param self This VM. */
    FleetState(Parts parts, core::VmId self);

    /** Applies a configuration if its version is higher than the current one. */
    void applyConfiguration(core::MonoTime now, Configuration configuration);
    /** Adds or updates an upstream and cancels a removal of it that is held back. */
    void applyUpstream(core::MonoTime now, const UpstreamEntry &entry);
    /** Removes an upstream, or holds its removal back after an outage of the store. */
    void removeUpstream(core::MonoTime now, const core::UpstreamId &id);
    /** Adds or updates a member and cancels a removal of it that is held back. */
    void applyMember(const EntryMember &member);
    /** Removes a member, or holds its removal back after an outage of the store. A member that
     * still sends messages and is not leaving stays for lapsedHoldTime: the store may turn it away
     * while it serves callers with its share of the limits. */
    void removeMember(core::MonoTime now, const core::VmId &id);
    /** Removes the upstreams that a full read of the store did not list; see removeUpstream(). */
    void removeUnlistedUpstreams(core::MonoTime now, const std::vector<core::UpstreamId> &listed);
    /** Takes over what an earlier process has recorded of the use of accounts. */
    void applyEarlierUse(const AccountUseRecord &record);
    /** Removes the members that a full read of the store did not list; see removeMember(). */
    void removeUnlistedMembers(core::MonoTime now, const std::vector<core::VmId> &listed);
    /** Stops to send requests to the upstreams of a zone, also to those that are listed later. */
    void applyEvacuation(const core::AvailabilityZoneId &zone);
    /** Ends the evacuation of a zone at once: its key has no lease, so an outage of the store
     * cannot remove it. */
    void endEvacuation(core::MonoTime now, const core::AvailabilityZoneId &zone);
    /** Ends the evacuations that a full read of the store did not list, or holds their ends back
     * after the store has come back from a copy. */
    void endUnlistedEvacuations(core::MonoTime now,
                                const std::vector<core::AvailabilityZoneId> &listed);
    /** Records the end of an outage of the store; removals are held back for some time. */
    void storeRecovered(core::MonoTime now)
    {
        upstreamRemovals_.storeRecovered(now);
        memberRemovals_.storeRecovered(now);
    }
    /** Records that the store has come back from a copy. For some time it lacks entries, and those
     * that it has may be older than what this VM knows. */
    void storeRestored(core::MonoTime now)
    {
        storeRecovered(now);
        evacuationEnds_.storeRecovered(now);
    }
    /** Applies the removals whose hold has expired. Call it several times a second. */
    void tick(core::MonoTime now);
    /** @return Whether there is a configuration and this VM is in the serving phase. */
    bool ready() const;

private:
    void warnOfRegions(const Configuration &configuration) const;
    void applyServices(core::MonoTime now, const std::vector<ServiceSettings> &services);
    bool isFromCopy(core::MonoTime now, const UpstreamEntry &entry) const;
    void dropUpstream(core::MonoTime now, const core::UpstreamId &id, std::string_view cause);
    void endMembership(core::MonoTime now, const core::VmId &id);
    void dropMember(core::MonoTime now, const core::VmId &id);
    bool isAlive(core::MonoTime now, const core::VmId &id) const
    {
        return parts_.liveness != nullptr && parts_.liveness->isReporting(now, id);
    }

    /** Longest time for which a VM stays a member after its registration has lapsed. What it knows
     * of configuration and upstreams grows old meanwhile. */
    static constexpr core::Seconds lapsedHoldTime {20};

    /** An upstream that was removed. */
    struct DroppedUpstream
    {
        std::int64_t startedAt = 0;
        std::int64_t sequence = 0;
        core::MonoTime at {};
    };

    Parts parts_;
    core::VmId self_;
    RemovalHold<core::UpstreamId> upstreamRemovals_;
    RemovalHold<core::VmId> memberRemovals_;
    std::map<core::VmId, core::MonoTime> lapsed_; ///< Members without a registration, since when.
    RemovalHold<core::AvailabilityZoneId> evacuationEnds_; ///< Only of a store from a copy.
    std::map<core::UpstreamId, DroppedUpstream> dropped_;
};

} // namespace teaselreach::proxy
