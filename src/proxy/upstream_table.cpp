/** @file upstream_table.cpp Selection of upstreams by expected loss; health and load estimates. */
#include "core/digest_func.h"
#include "proxy/upstream_table_base.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::proxy {

namespace {

/** Duration of an attempt, as a multiple of the expected one, above which it is overdue. */
constexpr double overdueFactor = 4.0;
/** Shortest duration after which an attempt can be overdue. */
constexpr core::Micros overdueMinimum {core::Millis(400)};
/** Bounds of the estimated slowness of an upstream. */
constexpr double minSlowness = 0.5;
constexpr double maxSlowness = 12.0;
/** Loss differences below this count as ties and are broken at random. */
constexpr double tieLoss = 0.02;
/** Expected latency, as a fraction of the target, up to which a response is assumed to be in time
 * and from which it is assumed to be late. The loss rises linearly in between. */
constexpr double inTimeRatio = 0.5;
constexpr double lateRatio = 1.3;
/** Loss per unit of latency relative to the target, below the range where a response may be late.
 * Prefers the faster of two upstreams that are both in time. */
constexpr double slownessLoss = 0.1;
/** Failure probability that one overdue attempt implies. */
constexpr double overdueAttemptFailure = 0.5;
/** Cap on the durations that update a route's average, as a multiple of that average. */
constexpr double maxDurationMultiple = 3;
/** Weight of a duration in the slowness of an upstream, relative to its weight in the average of
 * the route. An upstream's speed changes faster than a route's processing time. */
constexpr double slownessGain = 2;
/** Assumed processing time of a route without responses: its target latency divided by this. */
constexpr int unknownProcessingTimeDivisor = 3;
/** Lower bound, in seconds, of the average that durations are compared with. */
constexpr double minProcessingSeconds = 1e-4;

double seconds(core::Micros time)
{
    return std::chrono::duration<double>(time).count();
}

core::Micros micros(double secondsCount)
{
    return std::chrono::duration_cast<core::Micros>(std::chrono::duration<double>(secondsCount));
}

double decay(core::Micros age, core::Micros halfLife)
{
    return std::exp2(-std::max(0.0, seconds(age)) / seconds(halfLife));
}

bool countsAsFailure(AttemptEnd end)
{
    return end == AttemptEnd::ServerError || end == AttemptEnd::Broken
        || end == AttemptEnd::TimedOut || end == AttemptEnd::NotSent;
}

} // namespace

UpstreamTable::UpstreamTable(UpstreamTableOptions options, std::uint64_t seed)
    : options_(std::move(options))
    , random_(seed)
    , limiter_(options_.limits, seed)
    , coverage_(options_.coverage)
{ }

void UpstreamTable::update(core::MonoTime now, const UpstreamEntry &entry)
{
    Upstream &upstream = upstreams_[entry.id];
    removeFromService(upstream);
    const bool restarted = upstream.entry.startedAt != entry.startedAt;
    const bool moved = upstream.entry.address != entry.address || upstream.entry.port != entry.port;
    if (upstream.entry.id.empty() || restarted || moved) {
        limiter_.remove(entry.id);
        auto inFlight = std::move(upstream.inFlight);
        upstream = {.warmAt = now + entry.warmupLeft, .inFlight = std::move(inFlight)};
    }
    upstream.entry = entry;
    upstream.distance = distanceLoss(entry.availabilityZone);
    addToService(upstream);
}

void UpstreamTable::remove(const core::UpstreamId &id)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    removeFromService(found->second);
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

void UpstreamTable::removeFromService(const Upstream &upstream)
{
    const auto found = byService_.find(upstream.entry.service);
    if (found != byService_.end())
        std::erase(found->second, &upstream);
}

std::vector<core::UpstreamId> UpstreamTable::ids() const
{
    std::vector<core::UpstreamId> all;
    for (const auto &[id, upstream] : upstreams_)
        all.push_back(id);
    return all;
}

const UpstreamEntry *UpstreamTable::find(const core::UpstreamId &id) const
{
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? nullptr : &found->second.entry;
}

PlacementResult UpstreamTable::choose(core::MonoTime now, const PlacementRequest &request)
{
    const auto service = byService_.find(request.service);
    if (service == byService_.end())
        return {};
    if (coverage_.isCountDue(now, request.service))
        coverage_.counted(now, request.service, countsOf(now, request.service));
    PlacementFailure reason = PlacementFailure::NoUpstream;
    bool healthyIsBusy = false;
    const Upstream *best = nullptr;
    Estimate bestEstimate;
    for (const Upstream *upstream : service->second) {
        // The remaining upstreams are at least as far away, and their distance alone costs as much
        // as the whole expected loss of the best candidate.
        if (best != nullptr && bestEstimate.isAcceptable && upstream->distance >= bestEstimate.loss)
            break;
        if (!isEligible(*upstream, request))
            continue;
        if (notices_.isHoldingOff(now, upstream->entry)
            || !limiter_.mayStart(now, upstream->entry.id, limitShareOf(*upstream))) {
            if (reason == PlacementFailure::NoUpstream)
                reason = PlacementFailure::LimitReached;
            continue;
        }
        if (reason == PlacementFailure::NoUpstream || reason == PlacementFailure::LimitReached)
            reason = PlacementFailure::AllBusy;
        const double slots = std::max(1, upstream->entry.slots);
        if (occupancyOf(now, *upstream) + 1 > slots * options_.maxOccupancy) {
            healthyIsBusy =
                healthyIsBusy || failureProbability(now, *upstream) < options_.suspectThreshold;
            continue;
        }
        const Estimate estimate = evaluate(now, *upstream, request);
        if (estimate.duration > request.timeLeft) {
            reason = PlacementFailure::TooLate;
            continue;
        }
        if (best == nullptr || estimate.loss < bestEstimate.loss) {
            best = upstream;
            bestEstimate = estimate;
        }
    }
    if (best == nullptr)
        return {.placement = std::nullopt, .reason = reason};
    // An unhealthy upstream fails fast and so always has free slots. A request that may not be
    // retried waits for a healthy upstream instead.
    if (!request.idempotent && healthyIsBusy && !bestEstimate.isAcceptable)
        return {.placement = std::nullopt, .reason = PlacementFailure::AllBusy};
    return {.placement = makePlacement(*best, bestEstimate)};
}

bool UpstreamTable::isAccepting(const Upstream &upstream) const
{
    return !upstream.entry.draining && !notices_.isLeaving(upstream.entry);
}

bool UpstreamTable::isEligible(const Upstream &upstream, const PlacementRequest &request) const
{
    if (!isAccepting(upstream))
        return false;
    return std::find(request.tried.begin(), request.tried.end(), upstream.entry.id)
        == request.tried.end();
}

UpstreamTable::Estimate UpstreamTable::evaluate(core::MonoTime now, const Upstream &upstream,
                                                const PlacementRequest &request)
{
    std::uniform_real_distribution<double> tieBreak(0, tieLoss);
    const core::Micros duration = expectedDuration(now, upstream, request);
    const double failure = failureProbability(now, upstream);
    const bool isTrial = isTrialDue(now, upstream, request);
    const double loss =
        isTrial ? upstream.distance : expectedLoss(upstream, request, duration, failure);
    return {.duration = duration,
            .loss = loss + tieBreak(random_),
            .failure = failure,
            .isAcceptable = isTrial || failure <= options_.avoidThreshold};
}

Placement UpstreamTable::makePlacement(const Upstream &upstream, const Estimate &estimate)
{
    return {.upstream = upstream.entry.id,
            .address = upstream.entry.address,
            .port = upstream.entry.port,
            .expectedDuration = estimate.duration,
            .expectedLoss = estimate.loss,
            .failureEstimate = estimate.failure};
}

void UpstreamTable::attemptStarted(core::MonoTime now, Placement &placement)
{
    placement.attempt = ++lastAttempt_;
    const auto found = upstreams_.find(placement.upstream);
    if (found == upstreams_.end())
        return;
    const auto overdueAfter = std::max(
        overdueMinimum,
        std::chrono::duration_cast<core::Micros>(overdueFactor * placement.expectedDuration));
    limiter_.started(now, placement.upstream, limitShareOf(found->second));
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
    updateLoad(record, upstream);
    updateLimit(record, upstream);
    notices_.responded(record.endedAt, upstream.entry, record.status);
    if (record.end == AttemptEnd::CallerLeft)
        return;
    if (record.end == AttemptEnd::NotExecuted || record.end == AttemptEnd::Misdirected) {
        // A refusal without a load report still shows that the upstream is full.
        if (!record.status.load) {
            upstream.othersLoad = options_.maxOccupancy * std::max(1, upstream.entry.slots);
            upstream.loadAt = record.endedAt;
        }
        return;
    }
    const bool failed = countsAsFailure(record.end);
    // A failed connection may be caused by this VM's network path alone. A success is reported only
    // if the upstream was avoided, which others probably do too.
    const bool wasSuspected =
        failureProbability(record.endedAt, upstream) > options_.suspectThreshold;
    const bool shouldReport = failed
        ? record.end != AttemptEnd::NotSent
        : isFailing(record.endedAt, upstream) || isSlow(record.endedAt, upstream);
    updateHealth(record.endedAt, upstream, failed, options_.healthyFailureRate);
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
}

core::Micros UpstreamTable::expectedProcessingTime(const core::RouteId &route,
                                                   core::Micros targetLatency) const
{
    const auto found = processingSeconds_.find(route);
    return found == processingSeconds_.end() ? targetLatency / unknownProcessingTimeDivisor
                                             : micros(found->second);
}

double UpstreamTable::slotsOf(const core::ServiceId &service, core::Micros processingTime) const
{
    const auto found = byService_.find(service);
    if (found == byService_.end())
        return 0;
    double slots = 0;
    for (const Upstream *upstream : found->second) {
        if (!isAccepting(*upstream))
            continue;
        const double ofEntry = upstream->entry.slots;
        const std::optional<RequestRate> limit = limiter_.limitOf(upstream->entry.id);
        slots += limit ? std::min(ofEntry, limit->perSecond * seconds(processingTime)) : ofEntry;
    }
    return slots;
}

/** @return The weight of evidence of an age. Unhealthy and slow periods have a typical length:
 * evidence keeps its weight for most of that time and loses it quickly afterwards. */
double UpstreamTable::evidenceWeight(core::Micros age) const
{
    const double periods = std::max(0.0, seconds(age)) / seconds(options_.unhealthyPeriod);
    return std::exp(-periods * periods);
}

double UpstreamTable::unhealthyProbability(core::MonoTime now, const Upstream &upstream) const
{
    return options_.unhealthyPrior
        + (upstream.unhealthy - options_.unhealthyPrior)
        * evidenceWeight(now - upstream.unhealthyAt);
}

double UpstreamTable::slownessOf(core::MonoTime now, const Upstream &upstream) const
{
    return 1 + (upstream.slowness - 1) * evidenceWeight(now - upstream.slownessAt);
}

double UpstreamTable::failureProbability(core::MonoTime now, const Upstream &upstream) const
{
    // No upstream counts as healthier than one without any evidence. Otherwise the upstreams in use
    // would keep all traffic, and new or recovered upstreams would receive none.
    const double unhealthy = std::max(options_.unhealthyPrior, unhealthyProbability(now, upstream));
    const double learned =
        unhealthy * options_.unhealthyFailureRate + (1 - unhealthy) * options_.healthyFailureRate;
    return std::max(learned, overdueFailure(now, upstream));
}

bool UpstreamTable::isTrialDue(core::MonoTime now, const Upstream &upstream,
                               const PlacementRequest &request) const
{
    if (!upstream.inFlight.empty())
        return false;
    const core::Micros untriedFor = now - upstream.lastTriedAt;
    if (request.idempotent)
        return untriedFor > options_.trialInterval;
    const UpstreamCoverageOptions &coverage = options_.coverage;
    // The VMs of each zone try its upstreams, so that a failing one costs few requests.
    if (untriedFor <= coverage.trialInterval || upstream.distance > 0
        || !coverage_.isShort(request.service))
        return false;
    const bool isAvoided = isFailing(now, upstream) || isSlow(now, upstream);
    if (isAvoided && avoidanceOf(now, upstream) > coverage_.trialLimit(request.service))
        return false;
    const core::Micros interval = upstream.lastFailed || isSlow(now, upstream)
        ? coverage.retrialInterval
        : coverage.trialInterval;
    return untriedFor > interval + trialRank(upstream) * coverage.trialStagger;
}

int UpstreamTable::trialRank(const Upstream &upstream) const
{
    const std::string &id = upstream.entry.id.str();
    const auto own = core::rendezvousWeight(id, self_.str());
    return static_cast<int>(
        std::count_if(trialPeers_.begin(), trialPeers_.end(), [&](const core::VmId &peer) {
            return core::rendezvousWeight(id, peer.str()) > own;
        }));
}

bool UpstreamTable::isFailing(core::MonoTime now, const Upstream &upstream) const
{
    const double unknown = options_.unhealthyPrior * options_.unhealthyFailureRate
        + (1 - options_.unhealthyPrior) * options_.healthyFailureRate;
    return failureProbability(now, upstream) > unknown + tieLoss;
}

bool UpstreamTable::isSlow(core::MonoTime now, const Upstream &upstream) const
{
    return slownessOf(now, upstream) > options_.coverage.avoidedSlowness;
}

std::vector<core::ServiceId> UpstreamTable::services() const
{
    std::vector<core::ServiceId> all;
    for (const auto &[service, upstreams] : byService_) {
        if (!upstreams.empty())
            all.push_back(service);
    }
    return all;
}

/** @return How strongly an upstream without load is avoided: about the loss from its failures and
 * its slowness. */
double UpstreamTable::avoidanceOf(core::MonoTime now, const Upstream &upstream) const
{
    const double slow = (slownessOf(now, upstream) - 1) / (maxSlowness - 1);
    return failureProbability(now, upstream) + options_.lateLoss * std::max(0.0, slow);
}

UpstreamCounts UpstreamTable::countsOf(core::MonoTime now, const core::ServiceId &service) const
{
    UpstreamCounts counts;
    const auto found = byService_.find(service);
    if (found == byService_.end())
        return counts;
    for (const Upstream *upstream : found->second) {
        if (!isAccepting(*upstream))
            continue;
        ++counts.accepting;
        const bool failing = isFailing(now, *upstream);
        if (notices_.isHoldingOff(now, upstream->entry)) {
            ++counts.holdingOff;
        } else if (!limiter_.mayStart(now, upstream->entry.id, limitShareOf(*upstream))) {
            ++counts.limited;
        } else if (failing || isSlow(now, *upstream)) {
            ++(failing ? counts.failing : counts.slow);
            counts.avoidance.push_back(avoidanceOf(now, *upstream));
        }
    }
    return counts;
}

double UpstreamTable::expectedLoss(const Upstream &upstream, const PlacementRequest &request,
                                   core::Micros duration, double failure) const
{
    return upstream.distance + latenessLoss(request.elapsed + duration, request.targetLatency)
        + (request.idempotent ? failure * options_.retryableFailureFactor : failure);
}

/** @return The failure probability implied by overdue attempts. */
double UpstreamTable::overdueFailure(core::MonoTime now, const Upstream &upstream) const
{
    int overdue = 0;
    for (const InFlightAttempt &attempt : upstream.inFlight)
        overdue += now > attempt.overdueAt ? 1 : 0;
    return 1 - std::pow(1 - overdueAttemptFailure, overdue);
}

double UpstreamTable::occupancyOf(core::MonoTime now, const Upstream &upstream) const
{
    return static_cast<double>(upstream.inFlight.size())
        + upstream.othersLoad * decay(now - upstream.loadAt, options_.loadHalfLife);
}

double UpstreamTable::distanceLoss(const core::AvailabilityZoneId &zone) const
{
    if (zone == options_.self.availabilityZone)
        return 0;
    const auto region = options_.regionOfZone.find(zone);
    const bool sameRegion =
        region != options_.regionOfZone.end() && region->second == options_.self.region;
    return sameRegion ? options_.crossZoneLoss : options_.crossRegionLoss;
}

core::Micros UpstreamTable::expectedDuration(core::MonoTime now, const Upstream &upstream,
                                             const PlacementRequest &request) const
{
    const double slots = std::max(1, upstream.entry.slots);
    const double work = seconds(expectedProcessingTime(request.route, request.targetLatency))
        * slownessOf(now, upstream) * (now < upstream.warmAt ? options_.coldFactor : 1.0);
    const double ahead = std::max(0.0, occupancyOf(now, upstream) + 1 - slots);
    return micros(work * (1 + ahead / slots));
}

double UpstreamTable::latenessLoss(core::Micros finish, core::Micros target) const
{
    if (target <= core::Micros(0))
        return 0;
    const double ratio = seconds(finish) / seconds(target);
    if (ratio <= inTimeRatio)
        return slownessLoss * ratio;
    const double late = std::min(1.0, (ratio - inTimeRatio) / (lateRatio - inTimeRatio));
    return slownessLoss * inTimeRatio + options_.lateLoss * late;
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

void UpstreamTable::updateLoad(const AttemptRecord &record, Upstream &upstream) const
{
    if (!record.status.load)
        return;
    const int own = static_cast<int>(upstream.inFlight.size());
    upstream.othersLoad =
        std::max(0, record.status.load->running + record.status.load->waiting - own);
    upstream.loadAt = record.endedAt;
}

void UpstreamTable::updateLimit(const AttemptRecord &record, const Upstream &upstream)
{
    const bool ran = record.end == AttemptEnd::Answered || record.end == AttemptEnd::ServerError;
    limiter_.responded(record.endedAt, record.upstream, record.status.limit, ran,
                       limitShareOf(upstream));
}

const UpstreamLimitShare &UpstreamTable::limitShareOf(const Upstream &upstream) const
{
    const auto found = limitShares_.find(upstream.entry.availabilityZone);
    return found == limitShares_.end() ? unknownZoneShare_ : found->second;
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
    if (found != upstreams_.end())
        limiter_.reported(now, report, limitShareOf(found->second));
}

} // namespace teaselreach::proxy
