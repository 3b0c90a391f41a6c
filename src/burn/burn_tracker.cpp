/** @file burn_tracker.cpp What one daemon counts for all objectives. */
#include "burn/burn_tracker_base.h"

#include <set>

namespace teaselreach::burn {

namespace {

/** @return Whether a request counts towards an objective of its service. */
bool covers(const record::Objective &objective, const JudgedRequest &request)
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
    std::erase_if(rows_, [&known](const auto &row) { return !known.contains(row.first.first); });
}

void BurnTracker::countRequest(const JudgedRequest &request, core::MonoTime now)
{
    const std::lock_guard lock(mutex_);
    const auto found = objectivesByService_.find(request.service);
    if (found == objectivesByService_.end())
        return;
    for (const record::Objective &objective : found->second) {
        if (!covers(objective, request))
            continue;
        const bool good = request.answered && request.duration <= objective.latency;
        rowFor(objective.id, request.account).add(good, now);
    }
}

std::vector<BurnSample> BurnTracker::samples(core::MonoTime now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<BurnSample> samples;
    for (const auto &[service, objectives] : objectivesByService_) {
        for (const record::Objective &objective : objectives) {
            auto row = rows_.lower_bound({objective.id, core::ClientAccountId()});
            for (; row != rows_.end() && row->first.first == objective.id; ++row) {
                BurnSample sample {.objective = objective.id,
                                   .service = service,
                                   .account = row->first.second,
                                   .target = objective.target,
                                   .counts = {}};
                for (std::size_t i = 0; i < burnSpans.size(); ++i)
                    sample.counts[i] = row->second->count(burnSpans[i].length, now);
                samples.push_back(std::move(sample));
            }
        }
    }
    return samples;
}

/** @return The counts of an objective and account, a new row if there is room for one. */
BurnWindow &BurnTracker::rowFor(const core::ObjectiveId &objective,
                                const core::ClientAccountId &account)
{
    const auto found = rows_.find({objective, account});
    if (found != rows_.end())
        return *found->second;
    const bool full = rows_.size() >= maxRows;
    auto &row = rows_[{objective, full ? core::ClientAccountId("other") : account}];
    if (!row)
        row = std::make_unique<BurnWindow>();
    return *row;
}

} // namespace teaselreach::burn
