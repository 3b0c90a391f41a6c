/** @file upstream_table.cpp Selection of upstreams, and updates of their health, load and speed. */
#include "placement/upstream_table_internal.h"

namespace teaselreach::proxy {

using namespace detail;

UpstreamTable::UpstreamTable(UpstreamTableOptions options, std::uint64_t seed)
    : options_(std::move(options))
    , regionIndex_(options_.regionOfZone)
    , evacuations_(options_.evacuations)
    , random_(seed)
    , limiter_(options_.limits, seed)
    , bytes_(options_.bytes)
    , coverage_(options_.coverage)
    , recentSuccess_(options_.recentSuccess)
    , spillSeed_(seed)
{
    options_.zoneLoad.self = options_.self;
    options_.zoneLoad.regionOfZone = options_.regionOfZone;
    if (options_.zoneLoad.enabled)
        zoneLoads_.emplace(options_.zoneLoad);
}

void UpstreamTable::update(core::MonoTime now, const UpstreamEntry &entry)
{
    Upstream &upstream = upstreams_[entry.id];
    removeFromService(upstream);
    const bool restarted = upstream.entry.startedAt != entry.startedAt;
    const bool moved = upstream.entry.address != entry.address || upstream.entry.port != entry.port;
    if (upstream.entry.id.empty() || restarted || moved) {
        if (restarted)
            bytes_.ended(now, upstream.entry, UpstreamEnd::Restarted, limitShareOf(upstream).own);
        limiter_.restarted(entry.id);
        auto inFlight = std::move(upstream.inFlight);
        upstream = {.warmAt = now + entry.warmupLeft,
                    .inFlight = std::move(inFlight),
                    .lastSuccessAt = now};
    }
    upstream.entry = entry;
    upstream.distance = distanceLoss(entry.availabilityZone);
    upstream.region = regionIndex_.ofZone(entry.availabilityZone);
    upstream.evacuated = evacuations_.isEvacuated(entry.availabilityZone);
    upstream.entryColdUntil = now + entry.warmupLeft;
    addToService(upstream);
    updateColdLimit(now, upstream, ColdSource::Entry);
}

void UpstreamTable::remove(const core::UpstreamId &id)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    removeFromService(found->second);
    bytes_.ended(latestAt_, found->second.entry, UpstreamEnd::EntryRemoved,
                 limitShareOf(found->second).own);
    recentSuccess_.remove(found->second.entry.service, id);
    limiter_.remove(id);
    upstreams_.erase(found);
}

void UpstreamTable::addToService(Upstream &upstream)
{
    std::vector<Upstream *> &all = byService_[upstream.entry.service];
    const auto firstFarther = std::upper_bound(
        all.begin(), all.end(), upstream.distance,
        [](double distance, const Upstream *other) { return distance < other->distance; });
    all.insert(firstFarther, &upstream);
}

bool UpstreamTable::beginEvacuation(const core::AvailabilityZoneId &zone)
{
    const bool isNew = evacuations_.begin(zone);
    setEvacuated(zone, true);
    return isNew;
}

bool UpstreamTable::endEvacuation(core::MonoTime now, const core::AvailabilityZoneId &zone)
{
    const bool wasEvacuated = evacuations_.end(now, zone);
    setEvacuated(zone, false);
    return wasEvacuated;
}

void UpstreamTable::setEvacuated(const core::AvailabilityZoneId &zone, bool evacuated)
{
    for (auto &[id, upstream] : upstreams_) {
        if (upstream.entry.availabilityZone == zone)
            upstream.evacuated = evacuated;
    }
}

void UpstreamTable::removeFromService(const Upstream &upstream)
{
    const auto found = byService_.find(upstream.entry.service);
    if (found != byService_.end())
        std::erase(found->second, &upstream);
}

PlacementResult UpstreamTable::choose(core::MonoTime now, const PlacementRequest &request)
{
    PlacementFailure reason = request.allowedRegions.isAny() ? PlacementFailure::NoUpstream
                                                             : PlacementFailure::NoAllowedRegion;
    const auto service = byService_.find(request.service);
    latestAt_ = now;
    if (service == byService_.end())
        return {.placement = std::nullopt, .reason = reason};
    if (coverage_.isCountDue(now, request.service))
        coverage_.counted(now, request.service, countsOf(now, request.service));
    const RegionFilter regions = regionIndex_.filterOf(request.allowedRegions);
    const bool isRampingUp = evacuations_.isRampingUp(now);
    const std::optional<double> spillDraw = spillDrawOf(now, request);
    const double onsetRate =
        options_.prefersRecentSuccess ? recentSuccess_.ratePerSecond(now, request.service) : 0;
    bool healthyIsBusy = false;
    const Upstream *best = nullptr;
    Estimate bestEstimate;
    // The best upstream with a free slot, if the age of the last success counts.
    const Upstream *aged = nullptr;
    Estimate agedEstimate;
    std::uniform_real_distribution<double> tieBreak(0, tieLoss);
    for (const Upstream *upstream : service->second) {
        // The remaining upstreams are at least as far away, and their distance alone costs as much
        // as the whole expected loss of the best candidate.
        if (!spillDraw && best != nullptr && bestEstimate.isAcceptable
            && upstream->distance >= bestEstimate.loss)
            break;
        const std::optional<Exclusion> exclusion =
            exclusionOf(now, *upstream, request, regions, isRampingUp);
        reason = failureAfter(reason, exclusion);
        if (exclusion) {
            healthyIsBusy = healthyIsBusy
                || (exclusion == Exclusion::Full
                    && failureProbability(now, *upstream) < options_.suspectThreshold);
            continue;
        }
        Estimate estimate = evaluate(now, *upstream, request, spillDraw);
        const double tie = tieBreak(random_);
        estimate.agedLoss = agedLossOf(now, *upstream, request, estimate, onsetRate, tie);
        estimate.loss += tie;
        if (estimate.duration > request.timeLeft) {
            reason = PlacementFailure::TooLate;
            continue;
        }
        if (best == nullptr || estimate.loss < bestEstimate.loss) {
            best = upstream;
            bestEstimate = estimate;
        }
        if (onsetRate > 0 && (aged == nullptr || estimate.agedLoss < agedEstimate.agedLoss)
            && hasFreeSlot(now, *upstream)) {
            aged = upstream;
            agedEstimate = estimate;
        }
    }
    if (options_.prefersRecentSuccess && healthyIsBusy
        && (best == nullptr || bestEstimate.failure >= options_.suspectThreshold))
        recentSuccess_.soundUpstreamsFull(now, request.service);
    if (best == nullptr)
        return {.placement = std::nullopt, .reason = reason};
    if (aged != nullptr && agedEstimate.agedLoss < bestEstimate.agedLoss) {
        best = aged;
        bestEstimate = agedEstimate;
    }
    // An unhealthy upstream fails fast and so always has free slots. A request that may not be
    // retried waits for a healthy upstream instead.
    if (!request.idempotent && healthyIsBusy && !bestEstimate.isAcceptable)
        return {.placement = std::nullopt, .reason = PlacementFailure::AllBusy};
    Placement placement = makePlacement(*best, bestEstimate);
    placement.bodyBytes = request.bodyBytes;
    return {.placement = std::move(placement)};
}

UpstreamTable::Estimate UpstreamTable::evaluate(core::MonoTime now, const Upstream &upstream,
                                                const PlacementRequest &request,
                                                std::optional<double> spillDraw) const
{
    const core::Micros duration = expectedDuration(now, upstream, request);
    const double failure = failureProbability(now, upstream);
    const bool isTrial = isTrialDue(now, upstream, request);
    // The cold-start limit keeps the load of a cold upstream low. If the usual slowness of cold
    // upstreams counted as well, those of another zone would get the requests that it may take.
    const core::Micros countedDuration =
        hasColdLimit(now, upstream) ? micros(seconds(duration) / options_.coldFactor) : duration;
    const bool isSpilled = isSpilledTo(now, upstream, request, spillDraw);
    // A tie goes to the zone that the request is assigned to.
    const double spillGain = isSpilled ? upstream.distance + tieLoss : 0;
    const double loss =
        (isTrial ? upstream.distance : expectedLoss(upstream, request, countedDuration, failure))
        - spillGain;
    return {.duration = duration,
            .loss = loss,
            .failure = failure,
            .isAcceptable = isTrial || failure <= options_.avoidThreshold,
            .isTrialDue = isTrial,
            .isTrial = isTrial && isFailing(now, upstream),
            .isSpilled = isSpilled};
}

/** @param tie Random tie-breaker. @return The loss of an estimate with the tie-breaker and, if the
 * rate is not 0, with the age of the last success. */
double UpstreamTable::agedLossOf(core::MonoTime now, const Upstream &upstream,
                                 const PlacementRequest &request, const Estimate &estimate,
                                 double onsetRate, double tie) const
{
    const double loss = estimate.loss + tie;
    if (onsetRate <= 0 || estimate.isTrialDue)
        return loss;
    const double onset = std::min(options_.suspectThreshold,
                                  onsetProbability(now - upstream.lastSuccessAt, onsetRate));
    if (!request.idempotent)
        return loss + (1 - estimate.failure) * onset;
    return request.prefersOldSuccess ? loss - tie * onset : loss;
}

/** @return Whether one more request would not wait at an upstream. */
bool UpstreamTable::hasFreeSlot(core::MonoTime now, const Upstream &upstream) const
{
    return occupancyOf(now, upstream) + 1 <= std::max(1, upstream.entry.slots);
}

Placement UpstreamTable::makePlacement(const Upstream &upstream, const Estimate &estimate)
{
    return {.upstream = upstream.entry.id,
            .address = upstream.entry.address,
            .port = upstream.entry.port,
            .expectedDuration = estimate.duration,
            .expectedLoss = estimate.loss,
            .failureEstimate = estimate.failure,
            .isTrial = estimate.isTrial,
            .isSpilled = estimate.isSpilled};
}

void UpstreamTable::attemptStarted(core::MonoTime now, Placement &placement)
{
    placement.attempt = ++lastAttempt_;
    if (placement.isSpilled && zoneLoads_)
        zoneLoads_->requestSpilled();
    const auto found = upstreams_.find(placement.upstream);
    if (found == upstreams_.end())
        return;
    const auto overdueAfter = std::max(
        overdueMinimum,
        std::chrono::duration_cast<core::Micros>(overdueFactor * placement.expectedDuration));
    limiter_.started(now, placement.upstream, limitShareOf(found->second));
    bytes_.started(now, placement.upstream, placement.attempt, placement.bodyBytes);
    found->second.lastTriedAt = now;
    found->second.inFlight.push_back(
        {.number = placement.attempt, .overdueAt = now + overdueAfter});
}

void UpstreamTable::attemptFinished(const AttemptRecord &record)
{
    const auto found = upstreams_.find(record.upstream);
    if (found == upstreams_.end())
        return;
    Upstream &upstream = found->second;
    const auto ended = std::find_if(
        upstream.inFlight.begin(), upstream.inFlight.end(),
        [&](const InFlightAttempt &attempt) { return attempt.number == record.attempt; });
    if (ended != upstream.inFlight.end())
        upstream.inFlight.erase(ended);
    bytes_.finished(record.endedAt, upstream.entry, record.attempt, record.end,
                    limitShareOf(upstream).own);
    updateLoad(record, upstream);
    updateLimit(record, upstream);
    notices_.responded(record.endedAt, upstream.entry, record.status);
    if (record.end == AttemptEnd::Superseded)
        raiseSlowness(record, upstream);
    if (record.end == AttemptEnd::CallerLeft || record.end == AttemptEnd::Superseded)
        return;
    if (record.end == AttemptEnd::NotExecuted || record.end == AttemptEnd::Misdirected) {
        if (zoneLoads_ && upstream.distance <= 0)
            zoneLoads_->attemptRefused(record.endedAt, upstream.entry.service);
        // A refusal without a load report still shows that the upstream is full.
        if (!record.status.load) {
            upstream.othersLoad = options_.maxOccupancy * std::max(1, upstream.entry.slots);
            upstream.loadAt = record.endedAt;
        }
        return;
    }
    const bool failed = countsAsFailure(record.end);
    if (!failed && isLateSuccess(record, upstream)) {
        updateProcessingTime(record, upstream);
        return;
    }
    // A failed connection may be caused by this VM's network path alone. A success is reported only
    // if the upstream was avoided, which others probably do too.
    const bool wasSuspected =
        failureProbability(record.endedAt, upstream) > options_.suspectThreshold;
    const bool shouldReport = failed
        ? record.end != AttemptEnd::NotSent
        : isFailing(record.endedAt, upstream) || isSlow(record.endedAt, upstream);
    updateHealth(record.endedAt, upstream, failed, options_.healthyFailureRate);
    recordOutcome(record.endedAt, upstream, failed);
    const bool isSuspected =
        failureProbability(record.endedAt, upstream) > options_.suspectThreshold;
    if (shouldReport)
        reports_.push_back({.upstream = record.upstream,
                            .failed = failed,
                            .suspicionChanged = wasSuspected != isSuspected});
    if (record.end == AttemptEnd::Answered)
        updateProcessingTime(record, upstream);
}

void UpstreamTable::peerOutcomeReported(core::MonoTime now, const OutcomeReport &report)
{
    const auto found = upstreams_.find(report.upstream);
    if (found == upstreams_.end())
        return;
    found->second.lastTriedAt = now;
    updateHealth(now, found->second, report.failed, options_.reportedHealthyFailureRate);
    recordOutcome(now, found->second, report.failed);
}

/** @return Whether a success says nothing of the time after the last failure: its request was sent
 * before that. Failures often take less time than successes. */
bool UpstreamTable::isLateSuccess(const AttemptRecord &record, const Upstream &upstream) const
{
    return options_.prefersRecentSuccess && record.startedAt < upstream.lastFailureAt
        && recentSuccess_.ignoresLateSuccesses(record.endedAt, upstream.entry.service);
}

void UpstreamTable::recordOutcome(core::MonoTime now, Upstream &upstream, bool failed)
{
    (failed ? upstream.lastFailureAt : upstream.lastSuccessAt) = now;
    if (options_.prefersRecentSuccess)
        recentSuccess_.outcome(now, upstream.entry.service, upstream.entry.id, failed);
}

/** Updates the probability that the upstream is unhealthy by Bayes' rule with one more outcome.
 * @param healthyFailureRate Probability of a failure at a healthy upstream. */
void UpstreamTable::updateHealth(core::MonoTime now, Upstream &upstream, bool failed,
                                 double healthyFailureRate)
{
    const double unhealthy =
        std::max(options_.onsetProbability, unhealthyProbability(now, upstream));
    const double ifUnhealthy =
        failed ? options_.unhealthyFailureRate : 1 - options_.unhealthyFailureRate;
    const double ifHealthy = failed ? healthyFailureRate : 1 - healthyFailureRate;
    upstream.unhealthy =
        unhealthy * ifUnhealthy / (unhealthy * ifUnhealthy + (1 - unhealthy) * ifHealthy);
    upstream.unhealthyAt = now;
    upstream.lastFailed = failed;
}

void UpstreamTable::updateProcessingTime(const AttemptRecord &record, Upstream &upstream)
{
    const double duration = seconds(record.endedAt - record.startedAt);
    const auto [average, isNew] = processingSeconds_.try_emplace(record.route, duration);
    // Queueing at the upstream is not processing: only durations of attempts that had a free slot
    // are used.
    if (static_cast<int>(upstream.inFlight.size()) >= upstream.entry.slots)
        return;
    const double expected = std::max(minProcessingSeconds, average->second);
    const double ratio = std::clamp(duration / expected, minSlowness, maxSlowness);
    const double slowness = slownessOf(record.endedAt, upstream);
    upstream.slowness = slowness + slownessGain * options_.durationGain * (ratio - slowness);
    upstream.slownessAt = record.endedAt;
    upstream.slowness = std::clamp(upstream.slowness, minSlowness, maxSlowness);
    if (!isNew)
        average->second +=
            options_.durationGain * (std::min(duration, maxDurationMultiple * expected) - expected);
}

/** Raises the slowness of an upstream whose attempt was cancelled for a faster one: its response
 * would have taken longer than the attempt. Otherwise hedges would hide an upstream that hangs. */
void UpstreamTable::raiseSlowness(const AttemptRecord &record, Upstream &upstream) const
{
    const auto average = processingSeconds_.find(record.route);
    if (average == processingSeconds_.end()
        || static_cast<int>(upstream.inFlight.size()) >= upstream.entry.slots)
        return;
    const double elapsed = seconds(record.endedAt - record.startedAt);
    const double ratio =
        std::min(maxSlowness, elapsed / std::max(minProcessingSeconds, average->second));
    const double slowness = slownessOf(record.endedAt, upstream);
    if (ratio <= slowness)
        return;
    upstream.slowness = slowness + slownessGain * options_.durationGain * (ratio - slowness);
    upstream.slownessAt = record.endedAt;
}

void UpstreamTable::updateLoad(const AttemptRecord &record, Upstream &upstream) const
{
    if (!record.status.load)
        return;
    const int own = static_cast<int>(upstream.inFlight.size());
    upstream.othersLoad =
        std::max(0, record.status.load->running + record.status.load->waiting - own);
    upstream.loadAt = record.endedAt;
}

void UpstreamTable::updateLimit(const AttemptRecord &record, Upstream &upstream)
{
    if (record.status.warmupLeft) {
        upstream.responseColdUntil = record.endedAt + *record.status.warmupLeft;
        updateColdLimit(record.endedAt, upstream, ColdSource::Response);
    }
    const bool ran = record.end == AttemptEnd::Answered || record.end == AttemptEnd::ServerError
        || record.end == AttemptEnd::UnprovenRefusal;
    limiter_.responded(record.endedAt, record.upstream, record.status.limit, ran,
                       limitShareOf(upstream));
}

/** Applies the later of the ends that the entry and the responses state. Either may be older than
 * the other, and too short a time would overload the upstream. */
void UpstreamTable::updateColdLimit(core::MonoTime now, const Upstream &upstream, ColdSource source)
{
    const auto perSecond = coldPerSecond_.find(upstream.entry.service);
    limiter_.setCold(now, upstream.entry.id,
                     {.perSecond = perSecond == coldPerSecond_.end() ? 0 : perSecond->second,
                      .until = std::max(upstream.entryColdUntil, upstream.responseColdUntil)},
                     source, limitShareOf(upstream));
}

void UpstreamTable::setServices(core::MonoTime now, const std::vector<ServiceSettings> &services)
{
    coldPerSecond_.clear();
    for (const ServiceSettings &service : services) {
        if (service.coldPerSecond <= 0)
            continue;
        // The lowest limit holds if a service is listed twice.
        const auto limit = coldPerSecond_.try_emplace(service.id, service.coldPerSecond).first;
        limit->second = std::min(limit->second, service.coldPerSecond);
    }
    for (const auto &[id, upstream] : upstreams_)
        updateColdLimit(now, upstream, ColdSource::Configuration);
}

void UpstreamTable::setLimitShares(std::map<core::AvailabilityZoneId, UpstreamLimitShare> shares,
                                   UpstreamLimitShare unknownZone)
{
    limitShares_ = std::move(shares);
    unknownZoneShare_ = unknownZone;
}

void UpstreamTable::limitReported(core::MonoTime now, const UpstreamLimitReport &report)
{
    const auto found = upstreams_.find(report.upstream);
    if (found == upstreams_.end())
        return;
    Upstream &upstream = found->second;
    if (now + report.coldLeft > upstream.responseColdUntil && report.coldLeft > core::Micros(0)) {
        upstream.responseColdUntil = now + report.coldLeft;
        updateColdLimit(now, upstream, ColdSource::Peer);
    }
    limiter_.reported(now, report, limitShareOf(upstream));
}

} // namespace teaselreach::proxy
