/** @file fleet_state_base.h What this VM believes of configuration, upstreams and members. */
#pragma once

#include "proxy/entry_choice_base.h"
#include "proxy/fleet_store_type.h"
#include "proxy/removal_hold_base.h"
#include "proxy/request_flow_base.h"
#include "proxy/upstream_table_base.h"

#include <memory>

namespace teaselreach::proxy {

/** Applies the store's contents and changes to the parts that decide. */
class FleetState
{
public:
    /** Collaborators; all must outlive the state. */
    struct Parts
    {
        RequestFlow &flow;
        UpstreamTable &upstreams;
        EntryChoice &entries;
    };

    /** @param parts Collaborators. @param self This VM. */
    FleetState(Parts parts, core::VmId self);

    /** Puts a configuration in force if its version is higher. */
    void applyConfiguration(Configuration configuration);
    /** Takes in the present entry of an upstream. */
    void applyUpstream(core::MonoTime now, const UpstreamEntry &entry);
    /** Takes in the removal of an upstream's entry. */
    void removeUpstream(core::MonoTime now, const core::UpstreamId &id);
    /** Takes in a member's registration. */
    void applyMember(const EntryMember &member);
    /** Takes in the end of a member's registration. */
    void removeMember(core::MonoTime now, const core::VmId &id);
    /** Removes the upstreams that a whole reading of the store did not name. */
    void removeUnlistedUpstreams(core::MonoTime now, const std::vector<core::UpstreamId> &listed);
    /** Records that the store answered after it had not. */
    void storeRecovered(core::MonoTime now)
    {
        upstreamRemovals_.storeRecovered(now);
        memberRemovals_.storeRecovered(now);
    }
    /** Applies held removals; call it several times a second. */
    void tick(core::MonoTime now);
    /** @return Whether requests can be served. */
    bool ready() const;

private:
    void dropUpstream(const core::UpstreamId &id, std::string_view cause);
    void dropMember(core::MonoTime now, const core::VmId &id);

    Parts parts_;
    core::VmId self_;
    RemovalHold<core::UpstreamId> upstreamRemovals_;
    RemovalHold<core::VmId> memberRemovals_;
};

} // namespace teaselreach::proxy
