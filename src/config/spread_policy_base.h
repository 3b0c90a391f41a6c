/** @file spread_policy_base.h Who watches the store, whom a daemon tells and asks, when it polls.
 */
#pragma once

#include "core/clock_type.h"
#include "core/vm_type.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace teaselreach::config {

/** Tuning of propagation. */
struct SpreadOptions
{
    std::size_t watchersPerZone = 2;
    std::size_t pushPeers = 4;       ///< Peers told at each increase of the revision.
    core::Millis pollAfter {10'000}; ///< Without news of the store.
    core::Millis pollJitter {5'000}; ///< Spreads polls of daemons that became silent together.
    /// Between reads of group values from the store. With 16 watchers and 470 daemons these two
    /// keep a restart of the whole fleet at 1,740 reads/s, below the store's 2,000.
    core::Millis watcherReadInterval {20};
    core::Millis readInterval {500};
};

/** Decides for one daemon. Not thread-safe. */
class SpreadPolicy
{
public:
    using Random = std::mt19937_64;

    /**
     * @param self This VM.
     * @param location Where it stands.
     * @param options Tuning.
     * @param now Present time; the first poll is due within the jitter after it.
     */
    SpreadPolicy(core::VmId self, core::Location location, SpreadOptions options,
                 core::MonoTime now);

    /** Takes over the platform's list; VMs that are not live are neither told nor asked. */
    void setVmList(const std::vector<core::EntryVm> &vms);

    /** @return Whether this daemon holds a watch: highest rendezvous weights of its zone. */
    bool isWatcher() const { return watcher_; }
    /** @return Peers to tell of a new revision. */
    std::vector<core::VmId> pushTargets(Random &random) const;
    /** @return Peers for this round: one in the zone, one in the region, one anywhere. */
    std::vector<core::VmId> exchangeTargets(Random &random) const;
    /** @return Shortest time between reads of group values from the store. */
    core::Millis storeReadInterval() const;

    /**
     * Notes that the store was read, here or by a peer that reported it.
     * @param at When, on this VM's clock; at the latest the time before the call was sent.
     */
    void noteStoreContact(core::MonoTime at);
    /**
     * Notes a peer's report of its contact with the store. It counts only if this VM holds the
     * peer's revision: with a one-way cut, reports can arrive from peers that cannot be asked.
     * @param at As in noteStoreContact().
     * @param peer The peer's revision in force.
     * @param own This VM's revision in force.
     */
    void notePeerContact(core::MonoTime at, core::Revision peer, core::Revision own);
    /** @return How long nobody known has read the store; nothing if never. */
    std::optional<core::Micros> storeAge(core::MonoTime now) const;
    /** @return Whether to poll the store now. */
    bool pollDue(core::MonoTime now) const { return now >= nextPoll_; }
    /** Notes an attempt to poll, successful or not. */
    void notePoll(core::MonoTime now, Random &random);

private:
    core::Millis randomJitter(Random &random) const;

    core::VmId self_;
    core::Location location_;
    SpreadOptions options_;
    std::vector<core::EntryVm> peers_; ///< Live VMs other than this one.
    bool watcher_ = false;
    std::optional<core::MonoTime> storeContact_;
    core::MonoTime nextPoll_;
    core::Millis pollDelay_; ///< Allowed silence before a poll, with jitter.
};

} // namespace teaselreach::config
