/** @file pool_usage_coverage_base.h Completeness of usage reports from the pool's other VMs. */
#pragma once

#include "core/clock_type.h"

namespace teaselreach::proxy {

/**
 * Tells whether this VM's record of the pool's recent usage is complete.
 *
 * The VMs of a pool may combine their shares of a rate limit only while each knows what the others
 * admitted in the current window. A VM outside the pool receives no usage reports, so after it
 * rejoins, its record stays incomplete for one full window.
 */
class PoolUsageCoverage
{
public:
    /**
     * @param window Length of the sliding window of the rate limits.
     * @param startedAt Start time of this process.
     * @param firstStart True if no process of the fleet ran before, so that nothing was admitted.
     */
    PoolUsageCoverage(core::Micros window, core::MonoTime startedAt, bool firstStart)
        : window_(window)
        , startedAt_(startedAt)
        , newFleet_(firstStart)
        , completeFrom_(firstStart ? startedAt : startedAt + window)
    { }

    /** Records whether this VM is now a member of its pool and so receives usage reports. */
    void membershipObserved(core::MonoTime now, bool isMember)
    {
        // In a new fleet, the peers have not admitted anything yet either, so the time before this
        // VM first joins the pool leaves no gap.
        newFleet_ = newFleet_ && !isMember && now - startedAt_ < window_;
        if (!isMember && !newFleet_)
            completeFrom_ = now + window_;
    }

    /** @return Whether the usage reports of the whole current window have been received. */
    bool isComplete(core::MonoTime now) const { return now >= completeFrom_; }

private:
    core::Micros window_;
    core::MonoTime startedAt_;
    bool newFleet_;
    core::MonoTime completeFrom_;
};

} // namespace teaselreach::proxy
