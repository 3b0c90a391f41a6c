/** @file upstream_notices_base.h Upstreams that asked this VM not to send them requests. */
#pragma once

#include "placement/placement_type.h"

#include <string>
#include <unordered_map>

namespace teaselreach::proxy {

/**
 * Remembers which upstreams have said in a response that they take no requests from this VM. A
 * notice holds for one start of an upstream, also while its entry in the list is missing. Uses no
 * threads, sockets or clocks.
 */
class UpstreamNotices
{
public:
    /** Records what an upstream said of itself in a response. */
    void responded(core::MonoTime now, const UpstreamEntry &entry, const UpstreamStatus &status);
    /** @return Whether an upstream has said that it is leaving. */
    bool isLeaving(const UpstreamEntry &entry) const;
    /** @return Whether the time for which an upstream wants no requests from this VM goes on. */
    bool isHoldingOff(core::MonoTime now, const UpstreamEntry &entry) const;

private:
    /** What one start of an upstream has said. */
    struct Notice
    {
        std::int64_t startedAt = 0; ///< UpstreamEntry::startedAt.
        std::string address;
        std::uint16_t port = 0;
        core::MonoTime saidAt {};
        bool leaving = false;
        core::MonoTime holdsOffUntil {};

        bool isOf(const UpstreamEntry &entry) const
        {
            return startedAt == entry.startedAt && address == entry.address && port == entry.port;
        }
    };

    const Notice *find(const UpstreamEntry &entry) const;
    void forgetOld(core::MonoTime now);

    std::unordered_map<core::UpstreamId, Notice, core::StrongHash> notices_;
};

} // namespace teaselreach::proxy
