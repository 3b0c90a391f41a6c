/** @file upstream_table_query.cpp Estimates of the health, load and speed of upstreams. */
#include "core/digest_func.h"
#include "placement/upstream_table_internal.h"

namespace teaselreach::proxy {

using namespace detail;

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

bool UpstreamTable::isAccepting(const Upstream &upstream) const
{
    return !upstream.entry.draining && !upstream.evacuated && !notices_.isLeaving(upstream.entry);
}

std::optional<Exclusion> UpstreamTable::exclusionOf(core::MonoTime now, const Upstream &upstream,
                                                    const PlacementRequest &request,
                                                    const RegionFilter &regions,
                                                    bool isRampingUp) const
{
    if (!regions.allows(upstream.region))
        return Exclusion::OtherRegion;
    if (upstream.evacuated)
        return Exclusion::Evacuated;
    if (!isAccepting(upstream))
        return Exclusion::Draining;
    if (wasTried(upstream, request))
        return Exclusion::Tried;
    if (notices_.isHoldingOff(now, upstream.entry))
        return Exclusion::HoldingOff;
    if (!limiter_.mayStart(now, upstream.entry.id, limitShareOf(upstream)))
        return hasColdLimit(now, upstream) ? Exclusion::ColdLimit : Exclusion::NamedLimit;
    if (!bytes_.canEverHold(now, request.service, request.bodyBytes, limitShareOf(upstream).own))
        return Exclusion::ByteLimit;
    if (!hasRoom(now, upstream, request, isRampingUp))
        return Exclusion::Full;
    return std::nullopt;
}

bool UpstreamTable::wasTried(const Upstream &upstream, const PlacementRequest &request)
{
    return std::find(request.tried.begin(), request.tried.end(), upstream.entry.id)
        != request.tried.end();
}

bool UpstreamTable::hasRoom(core::MonoTime now, const Upstream &upstream,
                            const PlacementRequest &request, bool isRampingUp) const
{
    if (takesFreeSlotOnly(now, upstream, request) && !hasFreeSlotForOtherZone(now, upstream))
        return false;
    const double maxOccupancy = request.freeSlotOnly ? 1 : options_.maxOccupancy;
    const double room = std::max(1, upstream.entry.slots) * maxOccupancy;
    const double occupancy = occupancyOf(now, upstream) + 1;
    if (occupancy > room
        || !bytes_.hasRoom(now, upstream.entry, request.bodyBytes, limitShareOf(upstream).own))
        return false;
    if (!isRampingUp || upstream.inFlight.empty())
        return true;
    return occupancy <= room * evacuations_.occupancyFactor(now, upstream.entry.availabilityZone);
}

std::size_t UpstreamTable::countInZone(const core::AvailabilityZoneId &zone) const
{
    return static_cast<std::size_t>(
        std::count_if(upstreams_.begin(), upstreams_.end(), [&](const auto &entry) {
            return entry.second.entry.availabilityZone == zone;
        }));
}

core::Micros UpstreamTable::expectedProcessingTime(const core::RouteId &route,
                                                   core::Micros targetLatency) const
{
    const auto found = processingSeconds_.find(route);
    return found == processingSeconds_.end() ? targetLatency / unknownProcessingTimeDivisor
                                             : micros(found->second);
}

double UpstreamTable::slotsOf(const core::ServiceId &service, core::Micros processingTime,
                              const RegionSet &regions) const
{
    const RegionFilter filter = regionIndex_.filterOf(regions);
    const auto found = byService_.find(service);
    if (found == byService_.end())
        return 0;
    double slots = 0;
    for (const Upstream *upstream : found->second) {
        if (!filter.allows(upstream->region) || !isAccepting(*upstream))
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
    // A hedge is sent to win, not to learn whether an upstream has recovered.
    if (request.freeSlotOnly || !upstream.inFlight.empty())
        return false;
    const core::Micros untriedFor = now - upstream.lastTriedAt;
    if (request.trials != TrialPolicy::EachVm && isFailing(now, upstream)) {
        if (request.trials == TrialPolicy::None)
            return false;
        if (request.idempotent)
            return isTurnDue(now, upstream);
    }
    if (request.idempotent)
        return untriedFor > options_.trialInterval;
    const UpstreamCoverageOptions &coverage = options_.coverage;
    // The VMs of each zone try its upstreams, so that a failing one costs few requests.
    if (untriedFor <= coverage.trialInterval || upstream.distance > 0)
        return false;
    const bool failing = isFailing(now, upstream);
    const bool slow = isSlow(now, upstream);
    // After a success the failing period has probably ended. If the requests that may be retried
    // have moved to another service, no other request would confirm that.
    const bool hasRecovered = failing && !slow && !upstream.lastFailed;
    if (!hasRecovered && !coverage_.isShort(request.service))
        return false;
    if (!hasRecovered && (failing || slow)
        && avoidanceOf(now, upstream) > coverage_.trialLimit(request.service))
        return false;
    const core::Micros interval =
        upstream.lastFailed || slow ? coverage.retrialInterval : coverage.trialInterval;
    return untriedFor > interval + trialRank(upstream) * coverage.trialStagger;
}

/** @return Whether this VM is the one of the upstream's zone that makes the next trial. VMs of
 * other zones learn the outcome from its report. */
bool UpstreamTable::isTurnDue(core::MonoTime now, const Upstream &upstream) const
{
    return upstream.distance <= 0
        && now - upstream.lastTriedAt
        > options_.trialInterval + trialRank(upstream) * options_.trialTurn;
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
        counts.evacuated += upstream->evacuated ? 1 : 0;
        if (!isAccepting(*upstream))
            continue;
        ++counts.accepting;
        counts.cold += hasColdLimit(now, *upstream) ? 1 : 0;
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
    const bool isCold = now < upstream.warmAt || hasColdLimit(now, upstream);
    const double work = seconds(expectedProcessingTime(request.route, request.targetLatency))
        * slownessOf(now, upstream) * (isCold ? options_.coldFactor : 1.0);
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

const UpstreamLimitShare &UpstreamTable::limitShareOf(const Upstream &upstream) const
{
    const auto found = limitShares_.find(upstream.entry.availabilityZone);
    return found == limitShares_.end() ? unknownZoneShare_ : found->second;
}

} // namespace teaselreach::proxy
