/** @file dispatcher_base.h Dispatches, queues, refuses and retries the requests of one VM. */
#pragma once

#include "placement/hedge_policy_base.h"
#include "placement/retry_share_base.h"
#include "placement/upstream_table_base.h"
#include "placement/wait_queue_base.h"

#include <algorithm>
#include <concepts>
#include <map>
#include <optional>
#include <vector>

namespace teaselreach::proxy {

/** Selects upstreams and tracks their attempts. UpstreamTable is the production implementation. */
template <typename T>
concept UpstreamChooser = requires(T &chooser, const T &reader, core::MonoTime now,
                                   const PlacementRequest &request, Placement &placement,
                                   const AttemptRecord &record, const core::RouteId &route,
                                   core::Micros time, const core::ServiceId &service)
{
    {
        chooser.choose(now, request)
        } -> std::same_as<PlacementResult>;
    chooser.attemptStarted(now, placement);
    chooser.attemptFinished(record);
    {
        reader.expectedProcessingTime(route, time)
        } -> std::same_as<core::Micros>;
    {
        reader.slotsOf(service, time)
        } -> std::same_as<double>;
};

/** Settings of the dispatcher. */
struct DispatcherOptions
{
    WaitQueueOptions queue;
    RetryBudgetOptions retries;
    /** Soft timeout: fraction of the target latency after which an idempotent request may be sent
     * to another upstream. */
    double softTimeoutTargetRatio = 0.8;
    /** Soft timeout as a multiple of the expected duration; the longer of the two applies. */
    int softTimeoutExpectedMultiple = 3;
    /** Interval at which a slow attempt is checked again after the soft timeout. Another upstream
     * usually has a free slot again after a few processing times. */
    core::Micros softTimeoutInterval {core::Millis(50)};
    /** Number of failed connections after which a request is refused instead of retried. */
    int maxConnectFailures = 3;
    HedgeOptions hedges;
};

/** A request and the state of its attempts. */
struct DispatchRequest
{
    core::ServiceId service;
    const Route *route = nullptr;  ///< Must outlive the request.
    core::ClientAccountId account; ///< Empty on public routes.
    int accountPriority = 0;
    core::MonoTime arrivedAt {};
    core::MonoTime deadline {};
    std::vector<core::UpstreamId> tried;   ///< Upstreams of all finished attempts.
    int sent = 0;                          ///< Attempts that may have reached an upstream.
    int connectFailures = 0;               ///< Attempts without a connection.
    bool retryGranted = false;             ///< By grantAbandon() for the current attempt.
    std::optional<core::UpstreamId> hedge; ///< Upstream of the hedge, once there was one.
    bool wasOverdue = false;               ///< Whether the HedgePolicy counts it as slow.
};

/** Result of submitting a request: exactly one of the members is set. */
struct DispatchResult
{
    std::optional<Placement> placement;      ///< Send the request to this upstream.
    std::optional<WaitTicket> wait;          ///< The request is queued.
    std::optional<PlacementFailure> refusal; ///< The request is refused for this reason.
};

/** Decision on a hedge: exactly one of the members is set. */
struct HedgeDecision
{
    std::optional<Placement> placement; ///< Send the hedge to this upstream.
    std::optional<HedgeDenial> denial;
};

/** Decision on a queued request. */
struct DispatchDecision
{
    WaitTicket ticket;
    PlacementResult result;
};

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
        ServiceQueue &queue = queues_.try_emplace(request.service, options_.queue).first->second;
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
        const double slotShare =
            fleetShare_ * upstreams_.slotsOf(request.service, waiting.expectedProcessingTime);
        if (!queue.order.enqueue(now, waiting, slotShare))
            return {.refusal = PlacementFailure::AllBusy};
        queue.requests.emplace(ticket, request);
        return {.wait = ticket};
    }

    /** Moves later deadlines of queued requests forward to a time, at which the process ends. */
    void limitDeadlines(core::MonoTime latest)
    {
        for (auto &[service, queue] : queues_) {
            queue.order.limitDeadlines(latest);
            for (auto &[ticket, request] : queue.requests)
                request.deadline = std::min(request.deadline, latest);
        }
    }

    /** Removes a queued request whose caller has disconnected. */
    void withdraw(const core::ServiceId &service, WaitTicket ticket)
    {
        const auto queue = queues_.find(service);
        if (queue == queues_.end())
            return;
        queue->second.order.remove(ticket, false);
        queue->second.requests.erase(ticket);
    }

    /** Dispatches the queued requests for which an upstream has room, and refuses those that can no
     * longer be answered in time.
     * @return The decisions. The attempts of their placements count as started. */
    std::vector<DispatchDecision> dispatchWaiting(core::MonoTime now)
    {
        std::vector<DispatchDecision> decided;
        for (auto &[service, queue] : queues_)
            dispatchQueue(now, queue, decided);
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
        if (const auto queue = queues_.find(request.service); queue != queues_.end())
            dispatchQueue(record.endedAt, queue->second, decided);
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
        if (!hasTimeForAttempt(now, request) || queueLength(request.service) > 0)
            return false;
        PlacementRequest next = placementRequest(now, request);
        next.tried.push_back(upstream);
        if (!upstreams_.choose(now, next).placement)
            return false;
        request.retryGranted = budgetOf(request.service).take(now, fleetShare_);
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
     * @param first The first attempt. @param startedAt Its start.
     */
    HedgeDecision grantHedge(core::MonoTime now, DispatchRequest &request, const Placement &first,
                             core::MonoTime startedAt)
    {
        const Route &route = *request.route;
        if (!route.idempotent || request.hedge)
            return {.denial = HedgeDenial::NotAllowed};
        request.wasOverdue =
            hedges_.attemptOverdue(now, request.service, route.id, now - startedAt);
        if (queueLength(request.service) > 0)
            return {.denial = HedgeDenial::Queued};
        if (const auto denial = hedges_.denial(now, request.service))
            return {.denial = denial};
        if (!hasTimeForAttempt(now, request))
            return {.denial = HedgeDenial::TooLate};
        PlacementRequest second = placementRequest(now, request);
        second.tried.push_back(first.upstream);
        second.idempotent = false; // A hedge is no trial of an upstream believed to be failing.
        second.freeSlotOnly = true;
        PlacementResult result = upstreams_.choose(now, second);
        if (!result.placement)
            return {.denial = result.reason == PlacementFailure::TooLate ? HedgeDenial::TooLate
                                                                         : HedgeDenial::NoUpstream};
        if (result.placement->failureEstimate > options_.hedges.maxFailureEstimate)
            return {.denial = HedgeDenial::NoUpstream};
        if (!budgetOf(request.service).take(now, fleetShare_))
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
        return request.retryGranted || budgetOf(request.service).take(now, fleetShare_);
    }

    /** @return Number of requests that wait for an upstream. */
    std::size_t waiting() const
    {
        std::size_t count = 0;
        for (const auto &[service, queue] : queues_)
            count += queue.order.size();
        return count;
    }

private:
    /** The queued requests of one service. */
    struct ServiceQueue
    {
        explicit ServiceQueue(const WaitQueueOptions &options)
            : order(options)
        { }
        WaitQueue order;
        std::map<WaitTicket, DispatchRequest> requests;
    };

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

    std::size_t queueLength(const core::ServiceId &service) const
    {
        const auto queue = queues_.find(service);
        return queue == queues_.end() ? 0 : queue->second.order.size();
    }

    PlacementRequest placementRequest(core::MonoTime now, const DispatchRequest &request) const
    {
        const Route &route = *request.route;
        return {.service = request.service,
                .route = route.id,
                .idempotent = route.idempotent && request.sent + 1 < route.maxAttempts,
                .targetLatency = route.targetLatency,
                .elapsed = now - request.arrivedAt,
                .timeLeft = request.deadline - now,
                .tried = request.tried};
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
                .deadline = request.deadline};
    }

    void dispatchQueue(core::MonoTime now, ServiceQueue &queue,
                       std::vector<DispatchDecision> &decided)
    {
        while (queue.order.size() > 0) {
            const QueueHead head = queue.order.removeLateAndPeek(now);
            for (const WaitTicket ticket : head.tooLate) {
                queue.requests.erase(ticket);
                decided.push_back(
                    {.ticket = ticket,
                     .result = {.placement = std::nullopt, .reason = PlacementFailure::TooLate}});
            }
            if (!head.next)
                return;
            const auto next = queue.requests.find(*head.next);
            PlacementResult result = upstreams_.choose(now, placementRequest(now, next->second));
            if (!result.placement && result.reason == PlacementFailure::AllBusy)
                return;
            if (result.placement)
                upstreams_.attemptStarted(now, *result.placement);
            queue.order.remove(*head.next, result.placement.has_value());
            queue.requests.erase(next);
            decided.push_back({.ticket = *head.next, .result = std::move(result)});
        }
    }

    RetryBudgetShare &budgetOf(const core::ServiceId &service)
    {
        return budgets_.try_emplace(service, options_.retries).first->second;
    }

    Chooser &upstreams_;
    DispatcherOptions options_;
    HedgePolicy hedges_;
    std::map<core::ServiceId, RetryBudgetShare> budgets_;
    std::map<core::ServiceId, ServiceQueue> queues_;
    std::uint64_t lastTicket_ = 0;
    double fleetShare_ = 0;
};

} // namespace teaselreach::proxy
