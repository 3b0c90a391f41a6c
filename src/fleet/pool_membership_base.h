/** @file pool_membership_base.h Which VMs of the pool know what each other admits. */
#pragma once

#include "core/clock_type.h"
#include "core/digest_func.h"
#include "core/id_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace teaselreach::proxy {

/** What a VM says to its pool of itself in each message. */
struct PoolView
{
    /** Digest of the VMs that it hears, itself included; 0 if it does not pool its share. */
    std::uint64_t digest = 0;
    bool asksHistory = false; ///< It lacks a record of the current window.
};

/**
 * Decides which VMs of a pool may share their parts of the rate limits.
 *
 * Two VMs do so while both hear the same VMs. VMs with different views, such as those at a link
 * that fails in one direction, would lend the same unused share to two others.
 */
class PoolMembership
{
public:
    /** Time without a message after which a VM is no longer heard: messages are sent every 150 ms
     * or more often, and one of them may be lost. */
    static constexpr core::Millis heardFor {320};
    /** Shortest interval between two histories for one VM. */
    static constexpr core::Millis answerInterval {100};

    /** @param self This VM. */
    explicit PoolMembership(core::VmId self)
        : self_(std::move(self))
    { }

    /** Records a message of another VM. */
    void heard(core::MonoTime now, const core::VmId &sender, const PoolView &view)
    {
        Peer &peer = peers_[sender];
        peer.heardAt = now;
        peer.view = view;
        peer.isWaiting = peer.isWaiting || view.asksHistory;
    }
    /** Records that a VM has sent its history to this one. */
    void answered(const core::VmId &sender) { peers_[sender].hasAnswered = true; }
    /** Records that this VM is no member of the pool now, so it misses reports. */
    void left()
    {
        for (auto &[id, peer] : peers_)
            peer.hasAnswered = false;
    }
    /** @return Whether a VM has sent its history to this one. */
    bool hasAnswered(const core::VmId &id) const
    {
        const auto found = peers_.find(id);
        return found != peers_.end() && found->second.hasAnswered;
    }

    /** @param members The other active VMs of the region.
     * @param isComplete Whether this VM has received the reports of a whole window.
     * @return What this VM says of itself. */
    PoolView view(core::MonoTime now, std::span<const core::VmId> members, bool isComplete) const
    {
        std::set<std::string> heardIds {self_.str()};
        bool anyAnswered = false;
        bool anyMissing = false;
        for (const core::VmId &id : members) {
            if (!isHeard(now, id))
                continue;
            heardIds.insert(id.str());
            (hasAnswered(id) ? anyAnswered : anyMissing) = true;
        }
        PoolView view {.asksHistory = !isComplete && anyMissing};
        if (!isComplete && !anyAnswered)
            return view;
        std::string ids;
        for (const std::string &id : heardIds)
            ids += id + '\n';
        view.digest = core::stableHash(ids) | 1; // Never 0.
        return view;
    }
    /** @return The members that share their parts of the limits with this VM. */
    std::set<core::VmId> pooled(core::MonoTime now, std::span<const core::VmId> members,
                                bool isComplete) const
    {
        std::set<core::VmId> pooled;
        const std::uint64_t own = view(now, members, isComplete).digest;
        for (const core::VmId &id : members) {
            if (own == 0 || !isHeard(now, id) || peers_.at(id).view.digest != own)
                continue;
            if (isComplete || hasAnswered(id))
                pooled.insert(id);
        }
        return pooled;
    }
    /** @return The members that wait for this VM's history; they do not wait any more then. */
    std::vector<core::VmId> takeWaiting(core::MonoTime now, std::span<const core::VmId> members,
                                        bool isComplete)
    {
        std::vector<core::VmId> waiting;
        if (view(now, members, isComplete).digest == 0)
            return waiting;
        for (const core::VmId &id : members) {
            const auto found = peers_.find(id);
            if (found == peers_.end() || !found->second.isWaiting
                || now - found->second.answeredAt < answerInterval)
                continue;
            found->second.isWaiting = false;
            found->second.answeredAt = now;
            waiting.push_back(id);
        }
        return waiting;
    }

private:
    /** Another VM of the pool. */
    struct Peer
    {
        core::MonoTime heardAt {};
        PoolView view;
        bool isWaiting = false;   ///< It has asked for the history.
        bool hasAnswered = false; ///< It has sent its history to this VM.
        core::MonoTime answeredAt {};
    };

    bool isHeard(core::MonoTime now, const core::VmId &id) const
    {
        const auto found = peers_.find(id);
        return found != peers_.end() && now - found->second.heardAt < heardFor;
    }

    core::VmId self_;
    std::map<core::VmId, Peer> peers_;
};

} // namespace teaselreach::proxy
