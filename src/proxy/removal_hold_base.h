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
    void storeReturned(core::MonoTime now) { returnedAt_ = now; }
    /** @return Whether a removal is to be held back; it is remembered if so. */
    bool hold(core::MonoTime now, const Id &id)
    {
        if (!returnedAt_ || now - *returnedAt_ > holdTime)
            return false;
        held_.emplace(id, *returnedAt_ + holdTime);
        return true;
    }
    /** Records that an entry is there; a held removal is forgotten. */
    void present(const Id &id) { held_.erase(id); }
    /** @return Held removals that have become final. */
    std::vector<Id> takeFinal(core::MonoTime now)
    {
        std::vector<Id> final;
        for (const auto &[id, until] : held_) {
            if (now >= until)
                final.push_back(id);
        }
        for (const Id &id : final)
            held_.erase(id);
        return final;
    }

private:
    std::optional<core::MonoTime> returnedAt_;
    std::map<Id, core::MonoTime> held_; ///< Until when.
};

} // namespace teaselreach::proxy
