/** @file removal_hold_base.h Holds back removals that a store outage may have caused. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <map>
#include <optional>
#include <vector>

namespace teaselreach::proxy {

/**
 * Entries of live upstreams lapse while the store is away and are written again after its return.
 * Within holdTime of a return, a removal waits for that; at other times it holds at once.
 */
class RemovalHold
{
public:
    /** Time in which lapsed entries are written again after the store's return, and a margin. */
    static constexpr core::Micros holdTime {core::Millis(2100)};

    /** Records that the store answered after it had not. */
    void storeReturned(core::MonoTime now) { returnedAt_ = now; }
    /** @return Whether a removal is to be held back; it is remembered if so. */
    bool hold(core::MonoTime now, const core::UpstreamId &id);
    /** Records that an entry is there; a held removal is forgotten. */
    void present(const core::UpstreamId &id) { held_.erase(id); }
    /** @return Held removals that have become final. */
    std::vector<core::UpstreamId> takeFinal(core::MonoTime now);

private:
    std::optional<core::MonoTime> returnedAt_;
    std::map<core::UpstreamId, core::MonoTime> held_; ///< Until when.
};

} // namespace teaselreach::proxy
