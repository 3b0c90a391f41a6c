/** @file limit_reference.h The central token bucket that the fleet must never exceed. */
#pragma once

#include "limit/limit_type.h"

#include <algorithm>
#include <array>

namespace teaselreach::sim {

/**
 * One bucket with the rate and burst of all home slots together, full at the start. The fleet
 * admits at most rate * t + burst in every window exactly if the level never becomes negative.
 */
class ReferenceBucket
{
public:
    /**
     * @param now Present time.
     * @param clockSpeed Speed of the fastest clock of the fleet.
     */
    ReferenceBucket(core::MonoTime now, double clockSpeed)
        : time_(now)
        , clockSpeed_(clockSpeed)
    { }

    /**
     * Sets the share in force at a slot; before the first admission the bucket stays full.
     * @param outstanding Tokens on loan, which can still be used under a smaller burst.
     * @param loansExpireAt When these loans have expired.
     */
    void setShare(core::MonoTime now, int slot, limit::Share share, double outstanding,
                  core::MonoTime loansExpireAt)
    {
        refill(now);
        Slot &changed = slots_[static_cast<std::size_t>(slot)];
        changed.share = share;
        changed.outstanding = outstanding;
        changed.loansExpireAt = loansExpireAt;
        updateSharesInForce(now);
    }
    /** A slot has a new owner: the old share counts as well until the old loans have expired. */
    void keepOldShare(core::MonoTime now, int slot, core::MonoTime until)
    {
        refill(now);
        Slot &moved = slots_[static_cast<std::size_t>(slot)];
        moved.oldShare = moved.inForce;
        moved.oldUntil = until;
    }
    /** Takes one token. @return The level left. */
    double admit(core::MonoTime now)
    {
        refill(now);
        updateSharesInForce(now);
        started_ = true;
        level_ -= 1;
        return level_;
    }
    /** @return Rate of all slots, as this bucket refills. */
    double rate() const { return rate_ * clockSpeed_; }

private:
    struct Slot
    {
        limit::Share share;
        double outstanding = 0;
        core::MonoTime loansExpireAt;
        limit::Share oldShare;
        core::MonoTime oldUntil;
        limit::Share inForce;
    };

    void refill(core::MonoTime now)
    {
        const double elapsed = std::chrono::duration<double>(now - time_).count();
        level_ = std::min(level_ + rate() * elapsed, burst_);
        time_ = now;
    }
    void updateSharesInForce(core::MonoTime now)
    {
        rate_ = 0;
        burst_ = 0;
        for (Slot &slot : slots_) {
            slot.inForce = slot.share;
            if (now < slot.loansExpireAt)
                slot.inForce.burst = std::max(slot.inForce.burst, slot.outstanding);
            if (now < slot.oldUntil) {
                slot.inForce = {.ratePerSecond = std::max(slot.inForce.ratePerSecond,
                                                          slot.oldShare.ratePerSecond),
                                .burst = std::max(slot.inForce.burst, slot.oldShare.burst)};
            }
            rate_ += slot.inForce.ratePerSecond;
            burst_ += slot.inForce.burst;
        }
        level_ = started_ ? std::min(level_, burst_) : burst_;
    }

    std::array<Slot, limit::slotsPerPartition> slots_;
    core::MonoTime time_;
    double clockSpeed_;
    double rate_ = 0;
    double burst_ = 0;
    double level_ = 0;
    bool started_ = false;
};

} // namespace teaselreach::sim
