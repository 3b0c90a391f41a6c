/** @file peer_liveness_base.h Which other VMs still send messages. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <map>

namespace teaselreach::proxy {

/** Tracks the messages of other VMs. Uses no threads, sockets or clocks. */
class PeerLiveness
{
public:
    /** Time without a message from a VM after which it counts as silent. The share of the limits
     * that it holds is then no longer added to the pool's. */
    static constexpr core::Millis timeout {1300};

    /** Records a message. @param leaving Whether its sender is shutting down. */
    void messageReceived(core::MonoTime now, const core::VmId &sender, bool leaving)
    {
        lastMessages_[sender] = {.receivedAt = now, .leaving = leaving};
    }
    /** @return Whether a VM still sends messages and is not leaving. */
    bool isReporting(core::MonoTime now, const core::VmId &id) const
    {
        const auto last = lastMessages_.find(id);
        return last != lastMessages_.end() && !last->second.leaving
            && now - last->second.receivedAt < timeout;
    }
    /** @return Whether a VM is leaving, or has sent messages before but none lately. */
    bool isSilentOrLeaving(core::MonoTime now, const core::VmId &id) const
    {
        const auto last = lastMessages_.find(id);
        return last != lastMessages_.end()
            && (last->second.leaving || now - last->second.receivedAt > timeout);
    }

private:
    /** When a VM sent its last message, and whether it was leaving. */
    struct LastMessage
    {
        core::MonoTime receivedAt {};
        bool leaving = false;
    };

    std::map<core::VmId, LastMessage> lastMessages_;
};

} // namespace teaselreach::proxy
