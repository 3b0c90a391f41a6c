/** @file upstream_table_explain.cpp Explains which upstream a request would get. */
#include "placement/upstream_table_internal.h"

namespace teaselreach::proxy {

using namespace detail;

namespace {

std::string_view exclusionName(Exclusion exclusion)
{
    switch (exclusion) {
    case Exclusion::OtherRegion:
        return "other region";
    case Exclusion::Evacuated:
        return "evacuated";
    case Exclusion::Draining:
        return "draining";
    case Exclusion::Tried:
        return "tried";
    case Exclusion::HoldingOff:
        return "holding off";
    case Exclusion::NamedLimit:
        return "limit";
    case Exclusion::ColdLimit:
        return "cold limit";
    case Exclusion::ByteLimit:
        return "body too long";
    case Exclusion::Full:
        return "full";
    }
    return "unknown";
}

/** @return Whether a candidate could be selected. */
bool isEligible(const CandidateExplanation &candidate)
{
    return candidate.state != CandidateState::Excluded
        && candidate.state != CandidateState::TooLate;
}

} // namespace

std::string_view candidateReason(const CandidateExplanation &candidate)
{
    switch (candidate.state) {
    case CandidateState::Selected:
        return "selected";
    case CandidateState::Tied:
        return "tied";
    case CandidateState::Worse:
        return "worse estimate";
    case CandidateState::TooLate:
        return "too late";
    case CandidateState::Excluded:
        return exclusionName(candidate.exclusion.value_or(Exclusion::Draining));
    }
    return "unknown";
}

CandidateExplanation UpstreamTable::explainCandidate(core::MonoTime now, const Upstream &upstream,
                                                     const PlacementRequest &request,
                                                     std::optional<Exclusion> exclusion) const
{
    const Estimate estimate = evaluate(now, upstream, request, spillDrawOf(now, request));
    const double onsetRate =
        options_.prefersRecentSuccess ? recentSuccess_.currentRate(now, request.service) : 0;
    CandidateExplanation candidate {.upstream = upstream.entry.id,
                                    .zone = upstream.entry.availabilityZone,
                                    .expectedDuration = estimate.duration,
                                    .failureEstimate = estimate.failure,
                                    .expectedLoss = estimate.loss,
                                    .agedLoss =
                                        agedLossOf(now, upstream, request, estimate, onsetRate, 0),
                                    .hasFreeSlot = hasFreeSlot(now, upstream),
                                    .isSpilled = estimate.isSpilled,
                                    .isTrial = estimate.isTrial,
                                    .exclusion = exclusion};
    if (exclusion)
        candidate.state = CandidateState::Excluded;
    else if (estimate.duration > request.timeLeft)
        candidate.state = CandidateState::TooLate;
    return candidate;
}

PlacementExplanation UpstreamTable::explain(core::MonoTime now,
                                            const PlacementRequest &request) const
{
    PlacementExplanation result {.failure = request.allowedRegions.isAny()
                                     ? PlacementFailure::NoUpstream
                                     : PlacementFailure::NoAllowedRegion,
                                 .tieWidth = tieLoss};
    const auto service = byService_.find(request.service);
    if (service == byService_.end())
        return result;
    const RegionFilter regions = regionIndex_.filterOf(request.allowedRegions);
    const bool isRampingUp = evacuations_.isRampingUp(now);
    bool healthyIsBusy = false;
    for (const Upstream *upstream : service->second) {
        const std::optional<Exclusion> exclusion =
            exclusionOf(now, *upstream, request, regions, isRampingUp);
        result.failure = failureAfter(result.failure, exclusion);
        healthyIsBusy = healthyIsBusy
            || (exclusion == Exclusion::Full
                && failureProbability(now, *upstream) < options_.suspectThreshold);
        result.candidates.push_back(explainCandidate(now, *upstream, request, exclusion));
        if (result.candidates.back().state == CandidateState::TooLate)
            result.failure = PlacementFailure::TooLate;
    }
    if (zoneLoads_)
        result.spilledPart = zoneLoads_->spilledPart(request.service);
    CandidateExplanation *best = nullptr;
    CandidateExplanation *aged = nullptr; // As in choose().
    for (CandidateExplanation &candidate : result.candidates) {
        if (!isEligible(candidate))
            continue;
        if (best == nullptr || candidate.expectedLoss < best->expectedLoss)
            best = &candidate;
        if (candidate.hasFreeSlot && (aged == nullptr || candidate.agedLoss < aged->agedLoss))
            aged = &candidate;
    }
    if (best == nullptr)
        return result;
    if (aged != nullptr && aged->agedLoss < best->agedLoss)
        best = aged;
    const bool isAcceptable = best->isTrial || best->failureEstimate <= options_.avoidThreshold;
    if (!request.idempotent && healthyIsBusy && !isAcceptable) {
        result.failure = PlacementFailure::AllBusy;
        return result;
    }
    for (CandidateExplanation &candidate : result.candidates) {
        if (isEligible(candidate) && candidate.agedLoss < best->agedLoss + tieLoss)
            candidate.state = CandidateState::Tied;
    }
    best->state = CandidateState::Selected;
    result.selected = best->upstream;
    return result;
}

} // namespace teaselreach::proxy
