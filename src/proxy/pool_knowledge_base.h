/** @file pool_knowledge_base.h Whether this VM knows what its pool has admitted lately. */
#pragma once

#include "core/clock_type.h"

namespace teaselreach::proxy {

/**
 * The VMs of a pool share their parts of each limit only as far as they know what the others
 * admitted in the window that is counted. A VM that is out of the pool gets no usage reports, so
 * after its return it knows too little for one whole window.
 */
class PoolKnowledge
{
public:
    /**
     * @param window Length of the window in which requests are counted.
     * @param startedAt Start of this process.
     * @param firstStart Whether no process of the fleet ran before: then nothing was admitted.
     */
    PoolKnowledge(core::Micros window, core::MonoTime startedAt, bool firstStart)
        : window_(window)
        , startedAt_(startedAt)
        , newFleet_(firstStart)
        , completeFrom_(firstStart ? startedAt : startedAt + window)
    { }

    /** Records whether this VM takes part in its pool, and so receives its reports. */
    void observe(core::MonoTime now, bool takesPart)
    {
        // Before its first part in a new fleet, the others have admitted nothing either.
        newFleet_ = newFleet_ && !takesPart && now - startedAt_ < window_;
        if (!takesPart && !newFleet_)
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
