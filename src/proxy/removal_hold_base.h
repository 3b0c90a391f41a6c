/** @file removal_hold_base.h Holds back removals that a store outage may have caused. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <map>
#include <optional>
#include <vector>

namespace teaselreach::proxy {

/**
 * Entries lapse while the store is away and are written again after its return. Within holdTime of
 * a return, a removal waits for that; at other times it holds at once.
 * @tparam Id Names an entry.
 */
template <typename Id>
class RemovalHold
{
public:
    /** Time in which lapsed entries are written again after the store's return, and a margin. */
    static constexpr core::Micros holdTime {core::Millis(2100)};

    /** Records that the store answered after it had not. */
    void storeRecovered(core::MonoTime now) { recoveredAt_ = now; }
    /** @return Whether a removal is to be held back; it is remembered if so. */
    bool tryHold(core::MonoTime now, const Id &id)
    {
        if (!recoveredAt_ || now - *recoveredAt_ > holdTime)
            return false;
        held_.emplace(id, *recoveredAt_ + holdTime);
        return true;
    }
    /** Records that an entry is there; a held removal is forgotten. */
    void cancel(const Id &id) { held_.erase(id); }
    /** @return Held removals that have become final. */
    std::vector<Id> takeExpired(core::MonoTime now)
    {
        std::vector<Id> expired;
        for (const auto &[id, until] : held_) {
            if (now >= until)
                expired.push_back(id);
        }
        for (const Id &id : expired)
            held_.erase(id);
        return expired;
    }

private:
    std::optional<core::MonoTime> recoveredAt_;
    std::map<Id, core::MonoTime> held_; ///< Until when.
};

} // namespace teaselreach::proxy
