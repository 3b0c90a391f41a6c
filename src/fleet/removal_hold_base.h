/** @file removal_hold_base.h Holds back removals that a store outage may have caused. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <map>
#include <optional>
#include <vector>

namespace teaselreach::proxy {

/**
 * Holds back removals of entries for a while after an outage of the store. During an outage,
 * entries expire although their owners are alive, and are written again once the store has
 * recovered. A removal within holdTime of the recovery is therefore held back until that time has
 * passed; at other times it applies at once.
 * @tparam Id Identifies an entry.
 */
template <typename Id>
class RemovalHold
{
public:
    /** Time within which expired entries are written again after the store's recovery, plus a
     * margin. */
    static constexpr core::Micros holdTime {core::Millis(2100)};

    /** Records the end of an outage of the store. */
    void storeRecovered(core::MonoTime now) { recoveredAt_ = now; }
    /** @return Whether removals are held back now. */
    bool isHolding(core::MonoTime now) const
    {
        return recoveredAt_ && now - *recoveredAt_ <= holdTime;
    }
    /** Holds a removal back if the store has recovered less than holdTime ago. @return Whether it
     * is held back. */
    bool tryHold(core::MonoTime now, const Id &id)
    {
        if (!isHolding(now))
            return false;
        held_.emplace(id, *recoveredAt_ + holdTime);
        return true;
    }
    /** Cancels the held removal of an entry that was written again. */
    void cancel(const Id &id) { held_.erase(id); }
    /** Takes out the removals whose hold has expired. @return Their entries. */
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
    std::map<Id, core::MonoTime> held_; ///< Removals by entry, with the end of their hold.
};

} // namespace teaselreach::proxy
