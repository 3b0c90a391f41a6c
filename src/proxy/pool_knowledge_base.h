/** @file pool_knowledge_base.h Whether this VM knows what its pool has admitted lately. */
#pragma once

#include "core/clock_type.h"

namespace teaselreach::proxy {

/**
 * The VMs of a pool share their parts of each limit only as far as they know what the others
 * admitted in the window that is counted. A VM that is out of the pool gets no usage reports, so
 * after its return it knows too little for one whole window.
 */
class PoolUsageCoverage
{
public:
    /**
     * @param window Length of the window in which requests are counted.
     * @param startedAt Start of this process.
     * @param firstStart Whether no process of the fleet ran before: then nothing was admitted.
     */
    PoolUsageCoverage(core::Micros window, core::MonoTime startedAt, bool firstStart)
        : window_(window)
        , startedAt_(startedAt)
        , newFleet_(firstStart)
        , completeFrom_(firstStart ? startedAt : startedAt + window)
    { }

    /** Records whether this VM takes part in its pool, and so receives its reports. */
    void membershipObserved(core::MonoTime now, bool isMember)
    {
        // Before its first part in a new fleet, the others have admitted nothing either.
        newFleet_ = newFleet_ && !isMember && now - startedAt_ < window_;
        if (!isMember && !newFleet_)
            completeFrom_ = now + window_;
    }

    /** @return Whether all reports of the present window were received. */
    bool isComplete(core::MonoTime now) const { return now >= completeFrom_; }

private:
    core::Micros window_;
    core::MonoTime startedAt_;
    bool newFleet_;
    core::MonoTime completeFrom_;
};

} // namespace teaselreach::proxy
