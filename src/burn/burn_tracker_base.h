/** @file burn_tracker_base.h What one daemon counts for all objectives. */
#pragma once

#include "burn/burn_type.h"
#include "burn/burn_window_base.h"

#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace teaselreach::burn {

/** Counts requests against objectives, by client account. May be used by several threads. */
class BurnTracker
{
public:
    /**
     * Takes over the objectives of a new configuration. Counts of objectives that are still there
     * under the same id are kept.
     */
    void setObjectives(const std::vector<record::Objective> &objectives);
    /** Counts a finished request. @param now Present time. */
    void countRequest(const FinishedRequest &request, core::MonoTime now);
    /** @return One sample for each objective and client account. @param now Present time. */
    std::vector<BurnSample> samples(core::MonoTime now) const;

private:
    using CounterKey = std::pair<core::ObjectiveId, core::ClientAccountId>;

    /** Bounds the memory at about 12 MB; further accounts are counted together under "other". */
    static constexpr std::size_t maxCounters = 2000;

    SlidingWindowCounter &findOrCreateCounter(const core::ObjectiveId &objective,
                                              const core::ClientAccountId &account);

    mutable std::mutex mutex_;
    std::map<core::ServiceId, std::vector<record::Objective>> objectivesByService_;
    std::map<CounterKey, std::unique_ptr<SlidingWindowCounter>> counters_;
};

} // namespace teaselreach::burn
