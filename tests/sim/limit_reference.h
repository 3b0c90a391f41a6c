/** @file limit_reference.h Central token bucket as the upper bound for a fleet's admissions. */
#pragma once

#include "limit/limit_type.h"

#include <algorithm>
#include <array>

namespace teaselreach::sim {

/**
 * Token bucket with the combined rate and burst of all home slots, full at the start. The level
 * stays at or above 0 if and only if the fleet admits at most rate * t + burst in every window.
 */
class ReferenceBucket
{
public:
    /**
     * @param now Present time.
     * @param clockSpeed Speed of the fastest clock in the fleet; multiplies the rate.
     */
    ReferenceBucket(core::MonoTime now, double clockSpeed)
        : time_(now)
        , clockSpeed_(clockSpeed)
    { }

    /**
     * Sets the share in force at a slot. The bucket stays full before the first admission.
     * @param outstanding Tokens on loan, which remain usable under a smaller burst.
     * @param loansExpireAt Time at which the last of these loans has expired.
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
    /** Keeps the share in force as a lower bound until the loans of a slot's old owner expire. */
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
    /** @return Combined rate of all slots by the fastest clock. */
    double rate() const { return rate_ * clockSpeed_; }

private:
    /** Shares of one home slot. */
    struct Slot
    {
        limit::Share share;
        double outstanding = 0;
        core::MonoTime loansExpireAt;
        limit::Share oldShare; ///< In force before the owner changed; counts until oldUntil.
        core::MonoTime oldUntil;
        limit::Share inForce; ///< Largest rate and burst that can still be used.
    };

    void refill(core::MonoTime now)
    {
        const double elapsed = std::chrono::duration<double>(now - time_).count();
        level_ = std::min(level_ + rate() * elapsed, burst_);
        time_ = now;
    }
    /** Recomputes the shares in force and the combined rate and burst. */
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
    core::MonoTime time_; ///< Of the last refill.
    double clockSpeed_;
    double rate_ = 0;
    double burst_ = 0;
    double level_ = 0;
    bool started_ = false; ///< Set by the first admission.
};

} // namespace teaselreach::sim
