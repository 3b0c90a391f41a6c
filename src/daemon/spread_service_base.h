/** @file spread_service_base.h The spread of configuration as the threads of one daemon use it. */
#pragma once

#include "config/spread_policy_base.h"
#include "daemon/shared_config_base.h"

#include <mutex>

namespace teaselreach::daemon {

/** A SpreadPolicy under a lock. Contacts with the store also count for the age of keys. */
class SpreadService
{
public:
    /**
     * @param self This VM. @param location Where it stands.
     * @param seed For choices of peers and jitter; differs between processes.
     * @param shared Takes note of contacts with the store; must outlive the object.
     */
    SpreadService(core::VmId self, core::Location location, std::uint64_t seed,
                  SharedConfig &shared);

    /** Takes over a VM list. */
    void onVmList(const core::VmList &list);
    /** @return Whether this VM watches the store. */
    bool isWatcher() const;
    /** @return Peers for this second's exchange. */
    std::vector<core::VmId> exchangeTargets();
    /** @return Peers to tell of news at once. */
    std::vector<core::VmId> pushTargets();
    /** @return Shortest time between reads of group values from the store. */
    core::Millis storeReadInterval() const;
    /** @return Whether a poll of the store is due; it then counts as made. */
    bool tryStartPoll(core::MonoTime now);
    /** Notes that this VM reached the store. @param at At the latest when the call was sent. */
    void noteStoreContact(core::MonoTime at);
    /** Notes a peer's contact with the store. @param at When the peer had it.
     * @param peer The peer's revision in force. @param own This VM's. */
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
