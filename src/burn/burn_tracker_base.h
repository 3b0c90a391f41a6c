/** @file burn_tracker_base.h Per-objective request counters of one daemon. */
#pragma once

#include "burn/burn_type.h"
#include "burn/burn_window_base.h"

#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace teaselreach::burn {

/** Counts good and all requests for each objective and client account. Thread-safe. */
class BurnTracker
{
public:
    /**
     * Replaces the objectives by those of a new configuration. An objective whose id is still
     * present keeps its counts; the counts of all others are dropped.
     */
    void setObjectives(const std::vector<record::Objective> &objectives);
    /** Counts a request for every objective that applies to it. @param now Current time. */
    void countRequest(const FinishedRequest &request, core::MonoTime now);
    /** @return One sample for each objective and client account. @param now Current time. */
    std::vector<BurnSample> samples(core::MonoTime now) const;

private:
    using CounterKey = std::pair<core::ObjectiveId, core::ClientAccountId>;

    /**
     * Limits the memory to about 12 MB. Once the limit is reached, accounts without a counter share
     * one counter per objective, named "other".
     */
    static constexpr std::size_t maxCounters = 2000;

    SlidingWindowCounter &findOrCreateCounter(const core::ObjectiveId &objective,
                                              const core::ClientAccountId &account);

    mutable std::mutex mutex_;
    std::map<core::ServiceId, std::vector<record::Objective>> objectivesByService_;
    std::map<CounterKey, std::unique_ptr<SlidingWindowCounter>> counters_;
};

} // namespace teaselreach::burn
