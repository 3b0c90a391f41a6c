/** @file removal_hold.cpp Holds back removals that a store outage may have caused. */
#include "proxy/removal_hold_base.h"

namespace teaselreach::proxy {

bool RemovalHold::hold(core::MonoTime now, const core::UpstreamId &id)
{
    if (!returnedAt_ || now - *returnedAt_ > holdTime)
        return false;
    held_.emplace(id, *returnedAt_ + holdTime);
    return true;
}

std::vector<core::UpstreamId> RemovalHold::takeFinal(core::MonoTime now)
{
    std::vector<core::UpstreamId> final;
    for (const auto &[id, until] : held_) {
        if (now >= until)
            final.push_back(id);
    }
    for (const core::UpstreamId &id : final)
        held_.erase(id);
    return final;
}

} // namespace teaselreach::proxy
