/** @file connection_silence_base.h When a call to the store is sent again on a new connection. */
#pragma once

#include "core/clock_type.h"

#include <algorithm>
#include <optional>

namespace teaselreach::proxy {

/**
 * Tells the silence of one connection from an outage of the store. Open connections may go silent
 * while the store answers on new ones; no entry expires then, so removals need not be held back.
 * Uses no threads, sockets or clocks.
 */
class ConnectionSilence
{
public:
    /** Time without a response, beyond the wait that a call asks for, after which it is sent again.
     * Together with a wait for changes shorter than FleetSyncOptions::minOutageForExpiry. */
    static constexpr core::Millis timeout {450};

    /** @param wait Time for which the store may wait for changes before it responds.
     * @return Time after which a call on a kept connection is sent again on a new one; nothing
     * while the store is slow. */
    std::optional<core::Micros> repeatAfter(core::Micros wait) const
    {
        if (lateness_ > timeout / 2)
            return std::nullopt;
        return wait + timeout;
    }
    /** Records a response. @param wait As above. @param took Time since the call was sent. */
    void responded(core::Micros wait, core::Micros took)
    {
        lateness_ = std::max(core::Micros(0), took - wait);
    }

private:
    core::Micros lateness_ {0}; ///< Of the latest response.
};

} // namespace teaselreach::proxy
