/** @file spread_service_base.h Thread-safe access to the propagation policy of one daemon. */
#pragma once

#include "config/spread_policy_base.h"
#include "daemon/shared_config_base.h"

#include <mutex>

namespace teaselreach::daemon {

/** A SpreadPolicy with a lock. Reports contacts with the store to SharedConfig as well. */
class SpreadService
{
public:
    /**
     * @param self This VM. @param location Its zone and region.
     * @param seed For the choice of peers and jitter; must differ between processes.
     * @param shared Receives the contacts with the store; must outlive the object.
     */
    SpreadService(core::VmId self, core::Location location, std::uint64_t seed,
                  SharedConfig &shared);

    /** Applies a VM list. */
    void onVmList(const core::VmList &list);
    /** @return Whether this VM is a watcher of the store. */
    bool isWatcher() const;
    /** @return Peers for the next regular exchange. */
    std::vector<core::VmId> exchangeTargets();
    /** @return Peers for an immediate exchange. */
    std::vector<core::VmId> pushTargets();
    /** @return Shortest time between reads of group values from the store. */
    core::Millis storeReadInterval() const;
    /** @return Whether a poll of the store is due; if so, records it as made. */
    bool tryStartPoll(core::MonoTime now);
    /** Records a contact of this VM with the store. @param at Before the call was sent. */
    void noteStoreContact(core::MonoTime at);
    /**
     * Records a peer's contact with the store.
     * @param at Time of that contact.
     * @param peer The peer's active revision.
     * @param own This VM's active revision.
     */
    void notePeerContact(core::MonoTime at, core::Revision peer, core::Revision own);
    /** @return Time since the last known contact of any VM with the store; nothing if never. */
    std::optional<core::Micros> storeAge(core::MonoTime now) const;

private:
    SharedConfig &shared_;
    mutable std::mutex mutex_;
    config::SpreadPolicy policy_;
    config::SpreadPolicy::Random random_;
};

} // namespace teaselreach::daemon
