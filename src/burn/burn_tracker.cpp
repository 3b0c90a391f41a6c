/** @file burn_tracker.cpp Per-objective request counters of one daemon. */
#include "burn/burn_tracker_base.h"

#include <set>

namespace teaselreach::burn {

namespace {

/** @return Whether an objective of the request's service also applies to its account. */
bool appliesTo(const record::Objective &objective, const FinishedRequest &request)
{
    return !objective.account || *objective.account == request.account;
}

} // namespace

void BurnTracker::setObjectives(const std::vector<record::Objective> &objectives)
{
    const std::lock_guard lock(mutex_);
    std::set<core::ObjectiveId> known;
    objectivesByService_.clear();
    for (const record::Objective &objective : objectives) {
        objectivesByService_[objective.service].push_back(objective);
        known.insert(objective.id);
    }
    std::erase_if(counters_,
                  [&known](const auto &counter) { return !known.contains(counter.first.first); });
}

void BurnTracker::countRequest(const FinishedRequest &request, core::MonoTime now)
{
    const std::lock_guard lock(mutex_);
    const auto found = objectivesByService_.find(request.service);
    if (found == objectivesByService_.end())
        return;
    for (const record::Objective &objective : found->second) {
        if (!appliesTo(objective, request))
            continue;
        const bool good = request.answered && request.duration <= objective.latency;
        findOrCreateCounter(objective.id, request.account).add(good, now);
    }
}

std::vector<BurnSample> BurnTracker::samples(core::MonoTime now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<BurnSample> samples;
    for (const auto &[service, objectives] : objectivesByService_) {
        for (const record::Objective &objective : objectives) {
            auto counter = counters_.lower_bound({objective.id, core::ClientAccountId()});
            for (; counter != counters_.end() && counter->first.first == objective.id; ++counter) {
                BurnSample sample {.objective = objective.id,
                                   .service = service,
                                   .account = counter->first.second,
                                   .target = objective.target,
                                   .counts = {}};
                for (std::size_t i = 0; i < reportWindows.size(); ++i)
                    sample.counts[i] = counter->second->count(reportWindows[i].length, now);
                samples.push_back(std::move(sample));
            }
        }
    }
    return samples;
}

/**
 * @return The counter of an objective and account, created if it does not exist; the objective's
 *     shared counter "other" if it does not exist and maxCounters is reached.
 */
SlidingWindowCounter &BurnTracker::findOrCreateCounter(const core::ObjectiveId &objective,
                                                       const core::ClientAccountId &account)
{
    const auto found = counters_.find({objective, account});
    if (found != counters_.end())
        return *found->second;
    const bool full = counters_.size() >= maxCounters;
    auto &counter = counters_[{objective, full ? core::ClientAccountId("other") : account}];
    if (!counter)
        counter = std::make_unique<SlidingWindowCounter>();
    return *counter;
}

} // namespace teaselreach::burn
