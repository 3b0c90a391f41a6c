/** @file spread_policy_base.h Chooses store watchers, gossip peers and poll times of a daemon. */
#pragma once

#include "core/clock_type.h"
#include "core/vm_type.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace teaselreach::config {

/** Parameters of the propagation of configuration changes. */
struct SpreadOptions
{
    std::size_t watchersPerZone = 2; ///< VMs of each zone that watch the head in the store.
    std::size_t pushPeers = 4;       ///< Peers notified at each increase of the revision.
    core::Millis pollAfter {10'000}; ///< Time without known store contact before a poll.
    /// Limit of a random addition to pollAfter, which spreads the polls of daemons that lost
    /// contact at the same time.
    core::Millis pollJitter {5'000};
    /// Minimum time between reads of group values from the store, for watchers and for other VMs.
    /// With 16 watchers and 470 daemons, a restart of the whole fleet causes 1,740 reads/s, below
    /// the store's limit of 2,000.
    core::Millis watcherReadInterval {20};
    core::Millis readInterval {500};
};

/** Propagation decisions of one daemon. Not thread-safe. */
class SpreadPolicy
{
public:
    using Random = std::mt19937_64;

    /**
     * @param self This VM.
     * @param location Its availability zone and region.
     * @param options Parameters.
     * @param now Current time; the first poll is due at once.
     */
    SpreadPolicy(core::VmId self, core::Location location, SpreadOptions options,
                 core::MonoTime now);

    /** Sets the list of VMs; VMs that are not live are neither watchers nor peers. */
    void setVmList(const std::vector<core::EntryVm> &vms);

    /**
     * @return Whether this daemon watches the head in the store: those with the highest rendezvous
     *     weights in their zone do.
     */
    bool isWatcher() const { return watcher_; }
    /** @return Random peers to notify of a new revision. */
    std::vector<core::VmId> pushTargets(Random &random) const;
    /**
     * @return Random peers for one exchange round: one in the zone, one in the region and one
     *     anywhere, all distinct; fewer if there are no such peers.
     */
    std::vector<core::VmId> exchangeTargets(Random &random) const;
    /** @return Minimum time between reads of group values from the store. */
    core::Millis storeReadInterval() const;

    /**
     * Records a successful read of the store by this VM or by a peer, and delays the next poll.
     * @param at Time of the read on this VM's clock, no later than the time the call was sent.
     */
    void noteStoreContact(core::MonoTime at);
    /**
     * Records a peer's report of its contact with the store. The report counts only if this VM's
     * revision is at least the peer's: in a one-way network partition, reports can arrive from
     * peers from which no configuration can be fetched.
     * @param at As in noteStoreContact().
     * @param peer The peer's active revision.
     * @param own This VM's active revision.
     */
    void notePeerContact(core::MonoTime at, core::Revision peer, core::Revision own);
    /** @return Time since the last known read of the store by any VM; nothing if there was none. */
    std::optional<core::Micros> storeAge(core::MonoTime now) const;
    /** @return Whether a poll of the store is due. */
    bool pollDue(core::MonoTime now) const { return now >= nextPoll_; }
    /** Records an attempt to poll, successful or not, and schedules the next poll. */
    void notePoll(core::MonoTime now, Random &random);

private:
    /** @return A random time from 0 to SpreadOptions::pollJitter. */
    core::Millis randomJitter(Random &random) const;

    core::VmId self_;
    core::Location location_;
    SpreadOptions options_;
    std::vector<core::EntryVm> peers_; ///< Live VMs other than this one.
    bool watcher_ = false;
    std::optional<core::MonoTime> storeContact_;
    core::MonoTime nextPoll_;
    core::Millis pollDelay_; ///< Time without store contact before a poll, with jitter.
};

} // namespace teaselreach::config
