/** @file upstream_table.cpp The choice of an upstream by expected loss. */
#include "proxy/upstream_table_base.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::proxy {

namespace {

/** Duration of an attempt, as a multiple of the expected one, from which it counts as stalled. */
constexpr double overdueFactor = 4.0;
/** Shortest time after which an attempt counts as stalled. */
constexpr core::Micros overdueMinimum {core::Millis(400)};
/** Bounds of the learned slowness of one upstream. */
constexpr double minSlowness = 0.5;
constexpr double maxSlowness = 12.0;
/** Loss differences below this count as equal and are decided by chance. */
constexpr double tieLoss = 0.02;
/** Share of the target latency up to which an answer is surely in time, and from which late. */
constexpr double surelyInTime = 0.5;
constexpr double surelyLate = 1.3;
/** Loss of an answer at the whole target latency, where lateness is not at stake: prefers the
 * faster one of two upstreams that are both in time. */
constexpr double slownessLoss = 0.1;
/** Probability of a failure that one stalled attempt stands for. */
constexpr double stalledFailure = 0.5;
/** Longest duration that teaches a route's work time, as a multiple of the present estimate. */
constexpr double longestLesson = 3;
/** Weight of a duration in the estimate of one upstream, relative to that of its route: an upstream
 * turns slow faster than the work of a route changes. */
constexpr double slownessGain = 2;
/** Part of the target latency that a request is taken to need before any was answered. */
constexpr int unknownWorkPart = 3;
/** Shortest work time that durations are compared with, in seconds. */
constexpr double shortestWork = 1e-4;

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
{ }

void UpstreamTable::update(core::MonoTime now, const UpstreamEntry &entry)
{
    Upstream &upstream = upstreams_[entry.id];
    removeFromService(upstream);
    const bool restarted = upstream.entry.startedAt != entry.startedAt;
    const bool moved = upstream.entry.address != entry.address || upstream.entry.port != entry.port;
    if (upstream.entry.id.empty() || restarted || moved) {
        auto underWay = std::move(upstream.underWay);
        upstream = {.warmAt = now + entry.warmupLeft, .underWay = std::move(underWay)};
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
    upstreams_.erase(found);
}

void UpstreamTable::addToService(Upstream &upstream)
{
    std::vector<Upstream *> &all = byService_[upstream.entry.service];
    const auto farther = std::upper_bound(
        all.begin(), all.end(), upstream.distance,
        [](double distance, const Upstream *other) { return distance < other->distance; });
    all.insert(farther, &upstream);
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
    NoPlacement reason = NoPlacement::NoUpstream;
    bool soundIsBusy = false;
    const Upstream *best = nullptr;
    Expectation bestExpectation;
    for (const Upstream *upstream : service->second) {
        // The rest is farther away, and nothing there is a smaller loss than the way.
        if (best != nullptr && bestExpectation.failure <= options_.hopeless
            && upstream->distance >= bestExpectation.loss)
            break;
        if (!takesWork(*upstream, request))
            continue;
        if (reason == NoPlacement::NoUpstream)
            reason = NoPlacement::AllBusy;
        const double slots = std::max(1, upstream->entry.slots);
        if (occupancyOf(now, *upstream) + 1 > slots * options_.maxOccupancy) {
            soundIsBusy = soundIsBusy || failureOf(now, *upstream) < options_.suspected;
            continue;
        }
        const Expectation expectation = expect(now, *upstream, request);
        if (expectation.duration > request.timeLeft) {
            reason = NoPlacement::TooLate;
            continue;
        }
        if (best == nullptr || expectation.loss < bestExpectation.loss) {
            best = upstream;
            bestExpectation = expectation;
        }
    }
    if (best == nullptr)
        return {.placement = std::nullopt, .reason = reason};
    // A sick upstream fails fast and so always has room. A request that may not be sent again waits
    // for a sound one instead.
    if (!request.idempotent && soundIsBusy && bestExpectation.failure > options_.hopeless)
        return {.placement = std::nullopt, .reason = NoPlacement::AllBusy};
    return {.placement = makePlacement(*best, bestExpectation)};
}

bool UpstreamTable::takesWork(const Upstream &upstream, const PlacementRequest &request)
{
    if (upstream.entry.draining)
        return false;
    return std::find(request.tried.begin(), request.tried.end(), upstream.entry.id)
        == request.tried.end();
}

UpstreamTable::Expectation UpstreamTable::expect(core::MonoTime now, const Upstream &upstream,
                                                 const PlacementRequest &request)
{
    std::uniform_real_distribution<double> chance(0, tieLoss);
    const core::Micros duration = expectedDuration(now, upstream, request);
    const double failure = failureOf(now, upstream);
    return {.duration = duration,
            .loss = expectedLoss(now, upstream, request, duration, failure) + chance(random_),
            .failure = failure};
}

Placement UpstreamTable::makePlacement(const Upstream &upstream, const Expectation &expectation)
{
    return {.upstream = upstream.entry.id,
            .address = upstream.entry.address,
            .port = upstream.entry.port,
            .expectedDuration = expectation.duration,
            .expectedLoss = expectation.loss,
            .failureEstimate = expectation.failure};
}

void UpstreamTable::started(core::MonoTime now, Placement &placement)
{
    placement.attempt = ++lastAttempt_;
    const auto found = upstreams_.find(placement.upstream);
    if (found == upstreams_.end())
        return;
    const auto patience = std::max(
        overdueMinimum,
        std::chrono::duration_cast<core::Micros>(overdueFactor * placement.expectedDuration));
    found->second.triedAt = now;
    found->second.underWay.push_back({.number = placement.attempt, .overdueAt = now + patience});
}

void UpstreamTable::finished(const AttemptRecord &record)
{
    const auto found = upstreams_.find(record.upstream);
    if (found == upstreams_.end())
        return;
    Upstream &upstream = found->second;
    const auto ended =
        std::find_if(upstream.underWay.begin(), upstream.underWay.end(),
                     [&](const UnderWay &attempt) { return attempt.number == record.attempt; });
    if (ended != upstream.underWay.end())
        upstream.underWay.erase(ended);
    learnLoad(record, upstream);
    if (record.end == AttemptEnd::CallerLeft)
        return;
    if (record.end == AttemptEnd::NotExecuted || record.end == AttemptEnd::Misdirected) {
        // Without a load report, a refusal still says that the upstream is full.
        if (!record.load) {
            upstream.othersLoad = options_.maxOccupancy * std::max(1, upstream.entry.slots);
            upstream.loadAt = record.endedAt;
        }
        return;
    }
    const bool failed = countsAsFailure(record.end);
    // A failed connection may concern this VM's path only. A good outcome is news to others only
    // if the upstream was taken for sick.
    const bool wasSuspected = failureOf(record.endedAt, upstream) > options_.suspected;
    const bool isNews = failed ? record.end != AttemptEnd::NotSent : wasSuspected;
    learnOutcome(record.endedAt, upstream, failed, options_.soundFailure);
    const bool isSuspected = failureOf(record.endedAt, upstream) > options_.suspected;
    if (isNews)
        reports_.push_back(
            {.upstream = record.upstream, .failed = failed, .isTurn = wasSuspected != isSuspected});
    if (record.end == AttemptEnd::Answered)
        learnDuration(record, upstream);
}

void UpstreamTable::outcomeReported(core::MonoTime now, const OutcomeReport &report)
{
    const auto found = upstreams_.find(report.upstream);
    if (found == upstreams_.end())
        return;
    found->second.triedAt = now;
    learnOutcome(now, found->second, report.failed, options_.reportedSoundFailure);
}

core::Micros UpstreamTable::expectedWork(const core::RouteId &route,
                                         core::Micros targetLatency) const
{
    const auto found = workSeconds_.find(route);
    return found == workSeconds_.end() ? targetLatency / unknownWorkPart : micros(found->second);
}

int UpstreamTable::slotsOf(const core::ServiceId &service) const
{
    const auto found = byService_.find(service);
    if (found == byService_.end())
        return 0;
    int slots = 0;
    for (const Upstream *upstream : found->second)
        slots += upstream->entry.draining ? 0 : upstream->entry.slots;
    return slots;
}

double UpstreamTable::sickAt(core::MonoTime now, const Upstream &upstream) const
{
    // Spells have a typical length: evidence holds for most of it and is soon worth little after.
    const double age = std::max(0.0, seconds(now - upstream.sickAt)) / seconds(options_.sickSpell);
    return options_.sickPrior + (upstream.sick - options_.sickPrior) * std::exp(-age * age);
}

double UpstreamTable::failureOf(core::MonoTime now, const Upstream &upstream) const
{
    // Nobody counts as sounder than an upstream of which nothing is known: those in use would keep
    // all traffic, and new ones and those whose spell is over would get none.
    const double sick = std::max(options_.sickPrior, sickAt(now, upstream));
    const double learned = sick * options_.sickFailure + (1 - sick) * options_.soundFailure;
    return std::max(learned, overdueFailure(now, upstream));
}

double UpstreamTable::expectedLoss(core::MonoTime now, const Upstream &upstream,
                                   const PlacementRequest &request, core::Micros duration,
                                   double failure) const
{
    const bool untried =
        upstream.underWay.empty() && now - upstream.triedAt > options_.trialInterval;
    if (request.idempotent && untried)
        return upstream.distance;
    return upstream.distance + latenessLoss(request.elapsed + duration, request.targetLatency)
        + (request.idempotent ? failure * options_.repeatableFactor : failure);
}

/** @return An estimate from attempts that have been under way for too long. */
double UpstreamTable::overdueFailure(core::MonoTime now, const Upstream &upstream) const
{
    int overdue = 0;
    for (const UnderWay &attempt : upstream.underWay)
        overdue += now > attempt.overdueAt ? 1 : 0;
    return 1 - std::pow(1 - stalledFailure, overdue);
}

double UpstreamTable::occupancyOf(core::MonoTime now, const Upstream &upstream) const
{
    return static_cast<double>(upstream.underWay.size())
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
    const double work = seconds(expectedWork(request.route, request.targetLatency))
        * upstream.slowness * (now < upstream.warmAt ? options_.coldFactor : 1.0);
    const double ahead = std::max(0.0, occupancyOf(now, upstream) + 1 - slots);
    return micros(work * (1 + ahead / slots));
}

double UpstreamTable::latenessLoss(core::Micros finish, core::Micros target) const
{
    if (target <= core::Micros(0))
        return 0;
    const double ratio = seconds(finish) / seconds(target);
    if (ratio <= surelyInTime)
        return slownessLoss * ratio;
    const double late = std::min(1.0, (ratio - surelyInTime) / (surelyLate - surelyInTime));
    return slownessLoss * surelyInTime + options_.lateLoss * late;
}

/** Bayes' rule on whether the upstream is sick, given one more outcome. */
void UpstreamTable::learnOutcome(core::MonoTime now, Upstream &upstream, bool failed,
                                 double soundFailure)
{
    const double sick = std::max(options_.spellOnset, sickAt(now, upstream));
    const double ifSick = failed ? options_.sickFailure : 1 - options_.sickFailure;
    const double ifSound = failed ? soundFailure : 1 - soundFailure;
    upstream.sick = sick * ifSick / (sick * ifSick + (1 - sick) * ifSound);
    upstream.sickAt = now;
}

void UpstreamTable::learnDuration(const AttemptRecord &record, Upstream &upstream)
{
    const double duration = seconds(record.endedAt - record.startedAt);
    const auto [work, isNew] = workSeconds_.try_emplace(record.route, duration);
    // A wait at the upstream is not work: only attempts that found a free slot teach it.
    if (static_cast<int>(upstream.underWay.size()) >= upstream.entry.slots)
        return;
    const double expected = std::max(shortestWork, work->second);
    const double ratio = std::clamp(duration / expected, minSlowness, maxSlowness);
    upstream.slowness += slownessGain * options_.durationGain * (ratio - upstream.slowness);
    upstream.slowness = std::clamp(upstream.slowness, minSlowness, maxSlowness);
    if (!isNew)
        work->second +=
            options_.durationGain * (std::min(duration, longestLesson * expected) - expected);
}

void UpstreamTable::learnLoad(const AttemptRecord &record, Upstream &upstream) const
{
    if (!record.load)
        return;
    const int own = static_cast<int>(upstream.underWay.size());
    upstream.othersLoad = std::max(0, record.load->running + record.load->waiting - own);
    upstream.loadAt = record.endedAt;
}

} // namespace teaselreach::proxy
