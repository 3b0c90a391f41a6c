/** @file hedge_policy.cpp Decides when a slow request gets a second attempt in parallel. */
#include "placement/hedge_policy_base.h"

#include <algorithm>

namespace teaselreach::proxy {

namespace {

/** Drops the times of a window that have expired. */
void expire(std::deque<core::MonoTime> &times, core::MonoTime oldest)
{
    while (!times.empty() && times.front() < oldest)
        times.pop_front();
}

/** @return Whether an outcome says nothing about the upstream. */
bool wasCancelled(AttemptEnd end)
{
    return end == AttemptEnd::CallerLeft || end == AttemptEnd::Superseded;
}

/** @return Whether the duration of an attempt is its response time, or a lower bound of it that
 * exceeds the usual ones. */
bool isResponseTime(AttemptEnd end)
{
    return end == AttemptEnd::Answered || end == AttemptEnd::TimedOut
        || end == AttemptEnd::Superseded;
}

/** Weights of the requests in a window, in the one half a window before it and in the window before
 * it. They add up to 1 and are the same on all VMs, see RetryBudget. In steady traffic, the first
 * hedge needs 2 / limitRatio requests in a window, against 2.9 with the weights of retries (0.3,
 * 0.7 and 0); after a start half of the limit can be used, against 0.3. */
constexpr std::array<double, 3> limitWindowWeights {0.5, 0, 0.5};

/** @return The limit as a budget without a constant part, so that neither restarts nor the number
 * of VMs add to it. */
RetryBudgetOptions windowLimit(const HedgeOptions &options)
{
    return {.ratio = options.limitRatio,
            .slack = 0,
            .window = options.limitWindow,
            .windowWeights = limitWindowWeights,
            .optionalReserve = 0,
            .priorityReserve = 0};
}

} // namespace

std::string_view hedgeDenialName(HedgeDenial denial)
{
    switch (denial) {
    case HedgeDenial::NotAllowed:
        return "not_allowed";
    case HedgeDenial::LimitReached:
        return "limit_reached";
    case HedgeDenial::Queued:
        return "queued";
    case HedgeDenial::Failing:
        return "failing";
    case HedgeDenial::Slow:
        return "slow";
    case HedgeDenial::Leaving:
        return "shutting_down";
    case HedgeDenial::TooLate:
        return "deadline_too_close";
    case HedgeDenial::NoUpstream:
        return "no_upstream";
    case HedgeDenial::NoBudget:
        return "no_retry_budget";
    case HedgeDenial::NeedsResult:
        return "needs_result";
    case HedgeDenial::NoMemory:
        return "no_memory";
    }
    return "unknown";
}

std::string_view hedgeOutcomeName(HedgeOutcome outcome)
{
    switch (outcome) {
    case HedgeOutcome::Won:
        return "won";
    case HedgeOutcome::Lost:
        return "lost";
    case HedgeOutcome::Failed:
        return "failed";
    case HedgeOutcome::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

void HedgePolicy::Marks::add(core::MonoTime now, bool isBad)
{
    marks_.push_back({.at = now, .isBad = isBad});
    bad_ += isBad ? 1 : 0;
}

void HedgePolicy::Marks::expire(core::MonoTime oldest)
{
    while (!marks_.empty() && marks_.front().at < oldest) {
        bad_ -= marks_.front().isBad ? 1 : 0;
        marks_.pop_front();
    }
}

HedgePolicy::HedgePolicy(HedgeOptions options)
    : options_(options)
{
    options_.limitRatio = std::clamp(options_.limitRatio, 0.0, maxHedgeRatio);
}

void HedgePolicy::requestArrived(core::MonoTime now, const core::ServiceId &service)
{
    Service &state = serviceAt(now, service);
    state.windows.requestStarted(now);
    state.requests.push_back(now);
    state.tokens = std::min(
        state.tokens + options_.limitRatio,
        std::max(1.0,
                 maxSavedRatio * options_.limitRatio * static_cast<double>(state.requests.size())));
}

void HedgePolicy::attemptFinished(const HedgeObservation &observation)
{
    const core::MonoTime now = observation.endedAt;
    Service &service = serviceAt(now, observation.service);
    if (!wasCancelled(observation.end))
        service.outcomes.add(now, observation.end != AttemptEnd::Answered);
    if (observation.isHedge || !isResponseTime(observation.end))
        return;
    const core::Micros duration = now - observation.startedAt;
    if (!observation.wasOverdue)
        service.speeds.add(now, isSlow(now, observation.route, duration));
    windowOf(observation.route).add(now, duration);
}

void HedgePolicy::attemptOverdue(core::MonoTime now, const core::ServiceId &service)
{
    serviceAt(now, service).speeds.add(now, true);
}

core::Micros HedgePolicy::delay(core::MonoTime now, const core::RouteId &route)
{
    constexpr core::Micros shortest {1};
    const auto quantiles = windowOf(route).quantiles(now);
    return quantiles ? std::max(shortest, quantiles->p95) : core::Micros(0);
}

core::Micros HedgePolicy::currentDelay(core::MonoTime now, const core::RouteId &route) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end())
        return core::Micros(0);
    LatencyWindow copy = found->second;
    constexpr core::Micros shortest {1};
    const auto quantiles = copy.quantiles(now);
    return quantiles ? std::max(shortest, quantiles->p95) : core::Micros(0);
}

std::optional<HedgeDenial> HedgePolicy::denial(core::MonoTime now, const core::ServiceId &id)
{
    const Service &service = serviceAt(now, id);
    const Marks &outcomes = service.outcomes;
    if (outcomes.bad() > 0 && outcomes.bad() >= options_.failureRatio * outcomes.size())
        return HedgeDenial::Failing;
    const Marks &speeds = service.speeds;
    if (speeds.size() >= options_.minSpeedSamples && 2 * speeds.bad() > speeds.size())
        return HedgeDenial::Slow;
    const double allowed = options_.limitRatio * static_cast<double>(service.requests.size());
    if (static_cast<double>(service.hedges.size()) + 1 > allowed || service.tokens < 1
        || !service.windows.permits(now, 0, RetryPurpose::Hedge, 0))
        return HedgeDenial::LimitReached;
    return std::nullopt;
}

void HedgePolicy::hedgeSent(core::MonoTime now, const core::ServiceId &service)
{
    Service &state = serviceAt(now, service);
    state.windows.take(now, 0, RetryPurpose::Hedge, 0);
    state.hedges.push_back(now);
    state.tokens -= 1;
}

double HedgePolicy::share(core::MonoTime now, const core::ServiceId &id)
{
    const Service &service = serviceAt(now, id);
    if (service.requests.empty())
        return 0;
    return static_cast<double>(service.hedges.size())
        / static_cast<double>(service.requests.size());
}

/** @return The state of a service, without what has left its windows. */
HedgePolicy::Service &HedgePolicy::serviceAt(core::MonoTime now, const core::ServiceId &id)
{
    Service &service = services_.try_emplace(id, windowLimit(options_)).first->second;
    // A request at the very start of the window is left out and a hedge there is counted, so that
    // the limit holds for windows with and without their ends.
    expire(service.requests, now - options_.limitWindow + core::Micros(1));
    expire(service.hedges, now - options_.limitWindow);
    service.outcomes.expire(now - options_.suppressionWindow);
    service.speeds.expire(now - options_.suppressionWindow);
    return service;
}

LatencyWindow &HedgePolicy::windowOf(const core::RouteId &route)
{
    return routes_.try_emplace(route, options_.latency).first->second;
}

/** @return Whether a response time is above what the median may be. */
bool HedgePolicy::isSlow(core::MonoTime now, const core::RouteId &route, core::Micros duration)
{
    const auto quantiles = windowOf(route).quantiles(now);
    return quantiles && duration > options_.slowFactor * quantiles->usualMedian;
}

} // namespace teaselreach::proxy
