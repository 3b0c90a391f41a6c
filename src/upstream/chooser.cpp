/** @file chooser.cpp Load balancing: selects an upstream for a request. */
#include "upstream/chooser_base.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::upstream {

namespace {

/** Time constant of the decay of a load report: its weight falls to 1/e in this time. */
constexpr core::Millis loadDecay {200};
/** Weight of a new report in the exponential moving average of all reports. */
constexpr double meanLoadWeight = 0.05;
/**
 * Time over which the share of requests of a new or readmitted upstream rises to its full share.
 */
constexpr core::Millis slowStart {20000};
constexpr double minSlowStartShare = 0.1;
constexpr std::size_t tierCount = 3;

double randomFraction(Random &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

std::size_t randomBelow(std::size_t bound, Random &random)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

/** @return The fraction of its full share of requests that an upstream gets during slow start. */
double slowStartShare(core::MonoTime now, const UpstreamView &view)
{
    if (view.usedSince == core::MonoTime {} || now - view.usedSince >= slowStart)
        return 1;
    const double share = std::chrono::duration<double>(now - view.usedSince)
        / std::chrono::duration<double>(slowStart);
    return std::max(minSlowStartShare, share);
}

} // namespace

std::size_t RandomChoice::pick(std::span<const Candidate> candidates, Random &random)
{
    return randomBelow(candidates.size(), random);
}

std::size_t RoundRobinChoice::pick(std::span<const Candidate> candidates, Random &)
{
    return next++ % candidates.size();
}

std::size_t PowerOfTwoChoices::pick(std::span<const Candidate> candidates, Random &random)
{
    if (candidates.size() == 1)
        return 0;
    const std::size_t first = randomBelow(candidates.size(), random);
    std::size_t second = randomBelow(candidates.size() - 1, random);
    second += second >= first ? 1 : 0;
    return candidates[second].load < candidates[first].load ? second : first;
}

void LoadTable::reset(std::size_t size)
{
    entries_.assign(size, {});
}

void LoadTable::record(core::MonoTime now, std::size_t index, const LoadReport &load,
                       int ownInFlight)
{
    const double others = std::max(0, load.busy - ownInFlight);
    entries_[index] = {.others = others, .at = now};
    meanOthers_ += (others - meanOthers_) * meanLoadWeight;
}

double LoadTable::expectedLoad(core::MonoTime now, std::size_t index, int ownInFlight) const
{
    const Entry &entry = entries_[index];
    const double age =
        std::chrono::duration<double>(now - entry.at) / std::chrono::duration<double>(loadDecay);
    const double weight = entry.at == core::MonoTime {} ? 0 : std::exp(-age);
    return ownInFlight + weight * entry.others + (1 - weight) * meanOthers_;
}

void Chooser::setUpstreams(const SubsetRequest &request)
{
    plan_ = planConnections(request);
    localities_.clear();
    for (const core::UpstreamVm &vm : request.upstreams) {
        const bool zone = vm.location.availabilityZone == request.ownLocation.availabilityZone;
        const bool region = vm.location.region == request.ownLocation.region;
        localities_.push_back(
            {.tier = zone ? 0U : (region ? 1U : 2U), .inSubset = plan_.members.contains(vm.id)});
    }
    std::array<std::size_t, 2> nearVms {};
    for (const core::EntryVm &vm : request.entryVms) {
        nearVms[0] +=
            vm.location.availabilityZone == request.ownLocation.availabilityZone ? 1U : 0U;
        nearVms[1] += vm.location.region == request.ownLocation.region ? 1U : 0U;
    }
    const auto total = static_cast<double>(std::max<std::size_t>(1, request.entryVms.size()));
    entryShare_ = {static_cast<double>(nearVms[0]) / total,
                   static_cast<double>(nearVms[1]) / total};
    loads_.reset(request.upstreams.size());
}

void Chooser::recordLoad(core::MonoTime now, std::size_t index, const LoadReport &load,
                         int ownInFlight)
{
    loads_.record(now, index, load, ownInFlight);
}

std::size_t Chooser::drawTier(core::MonoTime now, std::span<const UpstreamView> views,
                              Random &random) const
{
    std::array<double, tierCount> tierWeight {};
    for (std::size_t i = 0; i < views.size(); ++i)
        tierWeight[localities_[i].tier] += views[i].usable ? slowStartShare(now, views[i]) : 0;
    const double total = tierWeight[0] + tierWeight[1] + tierWeight[2];
    if (total == 0)
        return 0;
    // An upstream in slow start counts only in part; otherwise the other upstreams of its zone
    // would have to take the rest of its requests. A zone whose share of upstreams is smaller than
    // its share of entry VMs sends the excess to the next tier, so that all upstreams are equally
    // busy.
    const double draw = randomFraction(random);
    if (draw * entryShare_[0] < tierWeight[0] / total)
        return 0;
    if (draw * entryShare_[1] < (tierWeight[0] + tierWeight[1]) / total)
        return 1;
    return 2;
}

std::vector<Candidate> Chooser::collectCandidates(core::MonoTime now,
                                                  std::span<const UpstreamView> views,
                                                  Random &random) const
{
    const std::size_t first = drawTier(now, views, random);
    for (const bool subsetOnly : {true, false}) {
        for (std::size_t i = 0; i < tierCount; ++i) {
            const std::size_t tier = (first + i) % tierCount;
            auto candidates = candidatesInTier(now, views, tier, subsetOnly, random);
            if (!candidates.empty())
                return candidates;
        }
    }
    return {};
}

std::vector<Candidate> Chooser::candidatesInTier(core::MonoTime now,
                                                 std::span<const UpstreamView> views,
                                                 std::size_t tier, bool subsetOnly,
                                                 Random &random) const
{
    std::vector<Candidate> candidates;
    std::vector<Candidate> heldBack;
    for (std::size_t i = 0; i < views.size(); ++i) {
        if (!views[i].usable || localities_[i].tier != tier
            || (subsetOnly && !localities_[i].inSubset))
            continue;
        const Candidate candidate {.index = i,
                                   .load = loads_.expectedLoad(now, i, views[i].inFlight)};
        const bool included = randomFraction(random) < slowStartShare(now, views[i]);
        (included ? candidates : heldBack).push_back(candidate);
    }
    return candidates.empty() ? heldBack : candidates;
}

} // namespace teaselreach::upstream
