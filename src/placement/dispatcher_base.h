/** @file dispatcher_base.h Dispatches, queues, refuses and retries the requests of one VM. */
#pragma once

#include "core/log_func.h"
#include "placement/service_queues_base.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <vector>

namespace teaselreach::proxy {

/**
 * Decides for one VM which requests are sent at once, queued, refused or retried, and in which
 * order queued requests are sent. Under overload (bursts, lost or slow upstreams) it queues only
 * requests that can be answered before their deadline. Uses no threads, sockets or clocks.
 */
template <UpstreamChooser Chooser>
class Dispatcher
{
public:
    /** @param upstreams Selects upstreams; must outlive the object. @param options Settings. */
    Dispatcher(Chooser &upstreams, DispatcherOptions options)
        : upstreams_(upstreams)
        , options_(options)
        , hedges_(options.hedges)
    { }

    /** Sets this VM's share of the fleet's traffic. It applies to the slack of the retry budgets
     * and to the upstreams' slots.
     * @param share The share, 0 to 1. */
    void setFleetShare(double share) { fleetShare_ = share; }

    /** Records a request's arrival in the retry budget of its service. */
    void requestArrived(core::MonoTime now, const core::ServiceId &service)
    {
        budgetOf(service).requestStarted(now);
        if (hedges_.enabled())
            hedges_.requestArrived(now, service);
    }

    /** Decides on a new request or on a retry. If the result has a placement, the attempt counts as
     * started. */
    DispatchResult submit(core::MonoTime now, const DispatchRequest &request)
    {
        ServiceQueues &queues = queues_[request.service];
        RegionQueue &queue = queueOf(request);
        if (queue.order.size() == 0) {
            PlacementResult result = upstreams_.choose(now, placementRequest(now, request));
            if (result.placement) {
                upstreams_.attemptStarted(now, *result.placement);
                return {.placement = std::move(result.placement)};
            }
            if (result.reason != PlacementFailure::AllBusy)
                return {.refusal = result.reason};
        }
        const WaitTicket ticket(++lastTicket_);
        // Other VMs use the same upstreams, so only this VM's share of the slots serves its queue.
        const WaitRequest waiting = waitRequest(ticket, request);
        const core::Micros work = waiting.expectedProcessingTime;
        const double slotShare = std::max(
            1.0, fleetShare_ * upstreams_.slotsOf(request.service, work, request.allowedRegions));
        queue.slotsPerSecond = averageWith(queue.slotsPerSecond, slotShare / secondsOf(work));
        const double slots = options_.measuresDepartures
            ? queue.departures.perSecond(now, queue.slotsPerSecond) * secondsOf(work)
            : slotShare;
        // Neither an idle time nor a low priority that was served before counts for or against it.
        if (queue.order.size() == 0)
            queue.pass = queues.servedPass;
        const WaitAdmission admission = queue.order.enqueue(now, waiting, slots);
        if (!admission)
            return {.refusal = PlacementFailure::AllBusy};
        queue.requests.emplace(ticket, request);
        queue.departures.setBacklogged(now, true);
        DispatchResult result {.wait = ticket};
        if (admission.evicted) {
            core::logEvent(core::LogLevel::Info, "request_evicted",
                           {{"service", request.service.str()},
                            {"route", queue.requests.at(*admission.evicted).route->id.str()},
                            {"for_route", request.route->id.str()},
                            {"waiting", static_cast<std::int64_t>(queue.order.size())}});
            queue.requests.erase(*admission.evicted);
            result.evicted = {
                .ticket = *admission.evicted,
                .result = {.placement = std::nullopt, .reason = PlacementFailure::Evicted}};
        }
        return result;
    }

    /**
     * @param random Uniformly distributed in 0 to 1, so that refused callers do not return at the
     * same moment.
     * @return Time after which a refused request may be repeated: the time in which the requests
     * that wait now leave at the current rate, with up to a half added, 100 ms to 2 s.
     */
    core::Micros retryAfter(core::MonoTime now, const DispatchRequest &request, double random) const
    {
        constexpr core::Micros shortest {core::Millis(100)};
        constexpr core::Micros longest {core::Seconds(2)};
        /** A few typical execution times, after which an upstream probably has room. */
        constexpr core::Micros unmeasured {core::Millis(400)};
        constexpr double maxJitter = 0.5;
        if (!options_.measuresDepartures)
            return unmeasured;
        const RegionQueue *found = findQueue(request);
        if (found == nullptr)
            return withJitter(shortest, maxJitter * random);
        const RegionQueue &queue = *found;
        const double rate = queue.departures.perSecond(now, queue.slotsPerSecond);
        const double drain = static_cast<double>(queue.order.size()) / std::max(0.1, rate);
        const core::Micros wait = std::clamp(
            std::chrono::duration_cast<core::Micros>(std::chrono::duration<double>(drain)),
            shortest, std::chrono::duration_cast<core::Micros>(longest / (1 + maxJitter)));
        return withJitter(wait, maxJitter * random);
    }

    /** @return What submit() would decide on a new request now, and why. Changes nothing. */
    DispatchExplanation
    explain(core::MonoTime now,
            const DispatchRequest &request) const requires ExplainingChooser<Chooser>
    {
        DispatchExplanation result {.placement =
                                        upstreams_.explain(now, placementRequest(now, request))};
        if (const auto budget = budgets_.find(request.service); budget != budgets_.end())
            result.retryBudgetLeft = budget->second.left(now, fleetShare_);
        if (hedges_.enabled() && request.route->idempotent && request.route->maxAttempts > 1)
            result.hedgeDelay = hedges_.currentDelay(now, request.route->id);
        const RegionQueue *queue = findQueue(request);
        if (queue == nullptr)
            return result;
        result.waiting = queue->order.size();
        result.departuresPerSecond = queue->departures.perSecond(now, queue->slotsPerSecond);
        if (result.waiting > 0 && result.departuresPerSecond > 0)
            result.expectedWait =
                std::chrono::duration_cast<core::Micros>(std::chrono::duration<double>(
                    static_cast<double>(result.waiting) / result.departuresPerSecond));
        return result;
    }

    /** Moves later deadlines of queued requests forward to a time, at which the process ends. */
    void limitDeadlines(core::MonoTime latest)
    {
        for (auto &[service, queues] : queues_) {
            for (auto &[regions, queue] : queues.byRegions) {
                queue.order.limitDeadlines(latest);
                for (auto &[ticket, request] : queue.requests)
                    request.deadline = std::min(request.deadline, latest);
            }
        }
    }

    /** Removes a queued request, for example because its caller has disconnected. */
    void withdraw(core::MonoTime now, const core::ServiceId &service, WaitTicket ticket)
    {
        const auto queues = queues_.find(service);
        if (queues == queues_.end())
            return;
        for (auto &[regions, queue] : queues->second.byRegions) {
            if (queue.requests.erase(ticket) == 0)
                continue;
            queue.order.remove(ticket, false);
            queue.departures.setBacklogged(now, queue.order.size() > 0);
        }
    }

    /** Calls a function with each service that had a request, its retry budget and the part of the
     * budget that is left. */
    void forEachBudget(core::MonoTime now, const auto &visit) const
    {
        for (const auto &[service, budget] : budgets_)
            visit(service, budget, budget.left(now, fleetShare_));
    }

    /** Calls a function with each service that had a request, the number of its waiting requests
     * and their departures per second. */
    void forEachQueue(core::MonoTime now, const auto &visit) const
    {
        for (const auto &[service, queues] : queues_) {
            std::size_t waiting = 0;
            double perSecond = 0;
            for (const auto &[regions, queue] : queues.byRegions) {
                waiting += queue.order.size();
                perSecond += queue.departures.perSecond(now, queue.slotsPerSecond);
            }
            visit(service, waiting, perSecond);
        }
    }

    /** Dispatches the queued requests for which an upstream has room, and refuses those that can no
     * longer be answered in time.
     * @return The decisions. The attempts of their placements count as started. */
    std::vector<DispatchDecision> dispatchWaiting(core::MonoTime now)
    {
        std::vector<DispatchDecision> decided;
        for (auto &[service, queues] : queues_)
            dispatchQueues(now, queues, decided);
        return decided;
    }

    /** Records a finished attempt in the upstream's statistics and in its request.
     * @return Decisions on queued requests of the service. */
    std::vector<DispatchDecision> attemptFinished(const AttemptRecord &record,
                                                  DispatchRequest &request)
    {
        upstreams_.attemptFinished(record);
        if (hedges_.enabled())
            observeForHedges(record, request);
        request.tried.push_back(record.upstream);
        ++(record.end == AttemptEnd::NotSent ? request.connectFailures : request.sent);
        std::vector<DispatchDecision> decided;
        if (record.end != AttemptEnd::NotSent)
            queueOf(request).departures.completed(record.endedAt);
        dispatchQueues(record.endedAt, queues_[request.service], decided);
        return decided;
    }

    /** @return Time after which an attempt may be abandoned for another one; zero for never. */
    core::Micros softTimeout(core::MonoTime now, const DispatchRequest &request,
                             const Placement &placement) const
    {
        const Route &route = *request.route;
        if (!route.idempotent || request.sent + 1 >= route.maxAttempts)
            return core::Micros(0);
        const auto ofTarget = std::chrono::duration_cast<core::Micros>(
            options_.softTimeoutTargetRatio * route.targetLatency);
        const core::Micros time =
            std::max(ofTarget, options_.softTimeoutExpectedMultiple * placement.expectedDuration);
        return now + time >= request.deadline ? core::Micros(0) : time;
    }

    /**
     * Decides, at or after the soft timeout of an attempt, whether to abandon it for an attempt at
     * another upstream that has room now and can answer in time. If so, takes the retry from the
     * retry budget and sets request.retryGranted.
     * @param upstream The upstream of the current attempt.
     * @return Whether to abandon the attempt.
     */
    bool grantAbandon(core::MonoTime now, DispatchRequest &request,
                      const core::UpstreamId &upstream)
    {
        // A hedged request already has an attempt at another upstream.
        if (request.hedge)
            return false;
        if (!hasTimeForAttempt(now, request) || queueLength(request) > 0)
            return false;
        PlacementRequest next = placementRequest(now, request);
        next.tried.push_back(upstream);
        if (!upstreams_.choose(now, next).placement)
            return false;
        // Asked every softTimeoutInterval: a denial is no new demand, and the attempt may still
        // succeed.
        if (!budgetOf(request.service)
                 .permits(now, fleetShare_, RetryPurpose::Failure, request.route->priority))
            return false;
        request.retryGranted = takeRetry(now, request, RetryPurpose::Failure);
        return request.retryGranted;
    }

    /** @return Whether hedging is enabled. */
    bool hedgingEnabled() const { return hedges_.enabled(); }

    /** @return Hedges of a service for each of its requests in the limit's window. */
    double hedgeShare(core::MonoTime now, const core::ServiceId &service)
    {
        return hedges_.enabled() ? hedges_.share(now, service) : 0;
    }

    /** @return Time after the start of an attempt at which a hedge is considered; zero for never.
     * Only the first attempt of a request is hedged. */
    core::Micros hedgeDelay(core::MonoTime now, const DispatchRequest &request)
    {
        if (!hedges_.enabled() || !request.route->idempotent || request.sent > 0 || request.hedge
            || request.route->maxAttempts <= 1)
            return core::Micros(0);
        const core::Micros delay = hedges_.delay(now, request.route->id);
        return now + delay >= request.deadline ? core::Micros(0) : delay;
    }

    /**
     * Decides, after hedgeDelay(), whether to send a hedge while the first attempt is in flight. If
     * so, takes it from the limit and from the retry budget, and it counts as started.
     * @param first The first attempt.
     */
    HedgeDecision grantHedge(core::MonoTime now, DispatchRequest &request, const Placement &first)
    {
        const Route &route = *request.route;
        // After grantAbandon() the first attempt ends, and another one follows.
        if (!route.idempotent || request.hedge || request.retryGranted)
            return {.denial = HedgeDenial::NotAllowed};
        hedges_.attemptOverdue(now, request.service);
        request.wasOverdue = true;
        if (queueLength(request.service) > 0)
            return {.denial = HedgeDenial::Queued};
        if (const auto denial = hedges_.denial(now, request.service))
            return {.denial = denial};
        if (!hasTimeForAttempt(now, request))
            return {.denial = HedgeDenial::TooLate};
        PlacementRequest second = placementRequest(now, request);
        second.tried.push_back(first.upstream);
        second.idempotent = false; // It gets no further attempt if it fails.
        second.freeSlotOnly = true;
        PlacementResult result = upstreams_.choose(now, second);
        if (!result.placement)
            return {.denial = result.reason == PlacementFailure::TooLate ? HedgeDenial::TooLate
                                                                         : HedgeDenial::NoUpstream};
        if (result.placement->failureEstimate > options_.hedges.maxFailureEstimate)
            return {.denial = HedgeDenial::NoUpstream};
        if (!budgetOf(request.service).take(now, fleetShare_, RetryPurpose::Hedge, route.priority))
            return {.denial = HedgeDenial::NoBudget};
        hedges_.hedgeSent(now, request.service);
        upstreams_.attemptStarted(now, *result.placement);
        request.hedge = result.placement->upstream;
        return {.placement = std::move(result.placement)};
    }

    /** Decides whether to retry a request after a finished attempt. Takes the retry from the retry
     * budget, except after a failed connection or if grantAbandon() has taken it already.
     * @param end Outcome of the attempt.
     * @return Whether to retry. */
    bool grantRetry(core::MonoTime now, const DispatchRequest &request, AttemptEnd end)
    {
        const Route &route = *request.route;
        if (end == AttemptEnd::Answered || end == AttemptEnd::CallerLeft
            || end == AttemptEnd::Superseded)
            return false;
        if (!certainlyNotExecuted(end) && !route.idempotent)
            return false;
        if (!hasTimeForAttempt(now, request))
            return false;
        if (end == AttemptEnd::NotSent)
            return request.connectFailures < options_.maxConnectFailures;
        if (request.sent >= route.maxAttempts)
            return false;
        return request.retryGranted
            || takeRetry(now, request,
                         certainlyNotExecuted(end) ? RetryPurpose::NotExecuted
                                                   : RetryPurpose::Failure);
    }

    /** @return Number of requests that wait for an upstream. */
    std::size_t waiting() const
    {
        std::size_t count = 0;
        for (const auto &[service, queues] : queues_) {
            for (const auto &[regions, queue] : queues.byRegions)
                count += queue.order.size();
        }
        return count;
    }

private:
    /** Records a finished attempt in the HedgePolicy. */
    void observeForHedges(const AttemptRecord &record, DispatchRequest &request)
    {
        const bool isHedge = request.hedge == record.upstream;
        hedges_.attemptFinished({.service = request.service,
                                 .route = record.route,
                                 .end = record.end,
                                 .startedAt = record.startedAt,
                                 .endedAt = record.endedAt,
                                 .isHedge = isHedge,
                                 .wasOverdue = !isHedge && request.wasOverdue});
        request.wasOverdue = isHedge && request.wasOverdue;
    }

    /** @return Whether another attempt is expected to finish before the deadline. */
    bool hasTimeForAttempt(core::MonoTime now, const DispatchRequest &request) const
    {
        const Route &route = *request.route;
        return now + upstreams_.expectedProcessingTime(route.id, route.targetLatency)
            <= request.deadline;
    }

    /** @return Number of queued requests of a service, for all regions. */
    std::size_t queueLength(const core::ServiceId &service) const
    {
        const auto queues = queues_.find(service);
        if (queues == queues_.end())
            return 0;
        std::size_t count = 0;
        for (const auto &[regions, queue] : queues->second.byRegions)
            count += queue.order.size();
        return count;
    }

    /** @return Number of queued requests of a request's service and regions. */
    std::size_t queueLength(const DispatchRequest &request) const
    {
        const RegionQueue *queue = findQueue(request);
        return queue == nullptr ? 0 : queue->order.size();
    }

    /** @return The queue of a request's service and regions, or nullptr before its first use. */
    const RegionQueue *findQueue(const DispatchRequest &request) const
    {
        const auto queues = queues_.find(request.service);
        if (queues == queues_.end())
            return nullptr;
        const auto queue = queues->second.byRegions.find(queueKeyOf(request));
        return queue == queues->second.byRegions.end() ? nullptr : &queue->second;
    }

    PlacementRequest placementRequest(core::MonoTime now, const DispatchRequest &request) const
    {
        const Route &route = *request.route;
        return {.service = request.service,
                .route = route.id,
                .idempotent = route.idempotent && request.sent + 1 < route.maxAttempts,
                .trials = trialPolicy(now, request),
                .targetLatency = route.targetLatency,
                .elapsed = now - request.arrivedAt,
                .timeLeft = request.deadline - now,
                .tried = request.tried,
                .allowedRegions = request.allowedRegions,
                .bodyBytes = request.bodyBytes,
                .prefersOldSuccess = prefersOldSuccess(now, request)};
    }

    /** @return Whether a request is to detect upstreams that have begun to fail. */
    bool prefersOldSuccess(core::MonoTime now, const DispatchRequest &request) const
    {
        constexpr double leastBudgetLeft = 0.5;
        if (!options_.prefersRecentSuccess || !request.route->idempotent)
            return false;
        const auto budget = budgets_.find(request.service);
        return budget != budgets_.end() && budget->second.left(now, fleetShare_) > leastBudgetLeft;
    }

    WaitRequest waitRequest(WaitTicket ticket, const DispatchRequest &request) const
    {
        const Route &route = *request.route;
        return {.ticket = ticket,
                .account = request.account,
                .accountPriority = request.accountPriority,
                .routePriority = route.priority,
                .expectedProcessingTime =
                    upstreams_.expectedProcessingTime(route.id, route.targetLatency),
                .deadline = request.deadline,
                .targetLatency = route.targetLatency};
    }

    /** @return Trials that a request may be. A failed trial costs a retry, so there are none while
     * the retry budget has none for them. */
    TrialPolicy trialPolicy(core::MonoTime now, const DispatchRequest &request) const
    {
        if (!options_.trialsInTurns)
            return TrialPolicy::EachVm;
        const auto budget = budgets_.find(request.service);
        const bool allowed = budget == budgets_.end()
            || budget->second.permits(now, fleetShare_, RetryPurpose::Trial,
                                      request.route->priority);
        return allowed ? TrialPolicy::InTurns : TrialPolicy::None;
    }

    static double secondsOf(core::Micros time)
    {
        return std::chrono::duration<double>(std::max(time, core::Micros(1))).count();
    }

    /** @return The moving average with one more value. A single arrival of a route with long
     * requests must not make the queue look blocked. */
    static double averageWith(double average, double value)
    {
        constexpr double gain = 0.1;
        return average <= 0 ? value : average + gain * (value - average);
    }

    static core::Micros withJitter(core::Micros time, double part)
    {
        return time + std::chrono::duration_cast<core::Micros>(part * time);
    }

    RegionQueue &queueOf(const DispatchRequest &request)
    {
        return queues_[request.service]
            .byRegions.try_emplace(queueKeyOf(request), options_)
            .first->second;
    }

    /** Dispatches from the queues of a service, one request at a time, until all are blocked. */
    void dispatchQueues(core::MonoTime now, ServiceQueues &queues,
                        std::vector<DispatchDecision> &decided)
    {
        queues.unblock();
        while (RegionQueue *next = queues.next()) {
            const double pass = next->pass;
            next->isBlocked = !dispatchNext(now, *next, decided);
            if (next->pass > pass)
                queues.servedPass = pass;
        }
    }

    /** Dispatches the next request of a queue for which an upstream has room, and refuses those
     * that cannot be served. @return Whether a request was dispatched. */
    bool dispatchNext(core::MonoTime now, RegionQueue &queue,
                      std::vector<DispatchDecision> &decided)
    {
        const bool isDispatched = dispatchHead(now, queue, decided);
        queue.departures.setBacklogged(now, queue.order.size() > 0);
        return isDispatched;
    }

    /** @return The rate for refusing newly queued requests early; nothing if it is not measured. */
    std::optional<double> departureRate(core::MonoTime now, const RegionQueue &queue) const
    {
        if (!options_.measuresDepartures)
            return std::nullopt;
        return queue.departures.perSecond(now, queue.slotsPerSecond);
    }

    /** As dispatchNext(), without the state of the departure rate. */
    bool dispatchHead(core::MonoTime now, RegionQueue &queue,
                      std::vector<DispatchDecision> &decided)
    {
        while (queue.order.size() > 0) {
            const QueueHead head = queue.order.removeLateAndPeek(now, departureRate(now, queue));
            for (const WaitTicket ticket : head.tooLate) {
                queue.requests.erase(ticket);
                decided.push_back(
                    {.ticket = ticket,
                     .result = {.placement = std::nullopt, .reason = PlacementFailure::TooLate}});
            }
            if (!head.next)
                return false;
            const auto next = queue.requests.find(*head.next);
            PlacementResult result = upstreams_.choose(now, placementRequest(now, next->second));
            if (!result.placement && result.reason == PlacementFailure::AllBusy)
                return false;
            const bool isPlaced = result.placement.has_value();
            if (isPlaced) {
                upstreams_.attemptStarted(now, *result.placement);
                queue.departures.departed(now);
                queue.pass += strideOf(next->second);
            }
            queue.order.remove(*head.next, isPlaced);
            queue.requests.erase(next);
            decided.push_back({.ticket = *head.next, .result = std::move(result)});
            if (isPlaced)
                return true;
        }
        return false;
    }

    /** @return What a request adds to the pass of its queue; the inverse of its weight. */
    double strideOf(const DispatchRequest &request) const
    {
        return std::pow(options_.queue.accountWeightRatio, request.accountPriority)
            * std::pow(options_.queue.routeWeightRatio, request.route->priority);
    }

    bool takeRetry(core::MonoTime now, const DispatchRequest &request, RetryPurpose purpose)
    {
        RetryBudget &budget = budgetOf(request.service);
        const int priority = request.route->priority;
        if (budget.take(now, fleetShare_, purpose, priority))
            return true;
        core::logEvent(
            core::LogLevel::Info, "retry_denied",
            {{"service", request.service.str()},
             {"route", request.route->id.str()},
             {"priority", priority},
             {"purpose", retryPurposeName(purpose)},
             {"left_pct", static_cast<std::int64_t>(100 * budget.left(now, fleetShare_))}});
        return false;
    }

    RetryBudget &budgetOf(const core::ServiceId &service)
    {
        return budgets_.try_emplace(service, options_.retries).first->second;
    }

    Chooser &upstreams_;
    DispatcherOptions options_;
    HedgePolicy hedges_;
    std::map<core::ServiceId, RetryBudget> budgets_;
    std::map<core::ServiceId, ServiceQueues> queues_;
    std::uint64_t lastTicket_ = 0;
    double fleetShare_ = 0;
};

} // namespace teaselreach::proxy
