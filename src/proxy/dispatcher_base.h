/** @file dispatcher_base.h Which requests are sent, wait, are refused, or are sent again. */
#pragma once

#include "proxy/retry_share_base.h"
#include "proxy/upstream_table_base.h"
#include "proxy/wait_queue_base.h"

#include <algorithm>
#include <concepts>
#include <map>
#include <optional>
#include <vector>

namespace teaselreach::proxy {

/** Chooses upstreams and learns from the ends of attempts; UpstreamTable is the product's. */
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
        reader.slotsOf(service)
        } -> std::same_as<int>;
};

/** Constants of the dispatcher. */
struct DispatcherOptions
{
    WaitQueueOptions queue;
    RetryBudgetOptions retries;
    /** Part of the target latency after which an idempotent request is sent elsewhere. */
    double softTimeoutTargetRatio = 0.8;
    /** The same as a multiple of the expected duration, if that is longer. */
    int softTimeoutExpectedMultiple = 3;
    /** Interval at which a slow attempt is looked at again: a place elsewhere becomes free within
     * some work times. */
    core::Micros softTimeoutInterval {core::Millis(50)};
    /** Connections that may fail before a request is refused. */
    int maxConnectFailures = 3;
};

/** One request with what has become of it so far. */
struct DispatchRequest
{
    core::ServiceId service;
    const Route *route = nullptr;  ///< Must outlive the request.
    core::ClientAccountId account; ///< Empty on public routes.
    int accountPriority = 0;
    core::MonoTime arrivedAt {};
    core::MonoTime deadline {};
    std::vector<core::UpstreamId> tried;
    int sent = 0; ///< Attempts that may have reached an upstream.
    int connectFailures = 0;
    bool mayHaveExecuted = false;
    bool retryGranted = false; ///< By the soft timeout of the present attempt.
};

/** What becomes of a request that asks for an upstream: exactly one of the members is set. */
struct DispatchResult
{
    std::optional<Placement> placement;
    std::optional<WaitTicket> wait;
    std::optional<PlacementFailure> refusal;
};

/** The end of a wait. */
struct DispatchDecision
{
    WaitTicket ticket;
    PlacementResult result;
};

/**
 * Decides for one VM which requests are sent at once, which wait and in which order they go, which
 * are refused, and which are sent again. It answers load beyond the upstreams' room (bursts, lost
 * or slow upstreams): nobody waits who cannot be served in time. Without threads, sockets or
 * clocks.
 */
template <UpstreamChooser Chooser>
class Dispatcher
{
public:
    /** @param upstreams Chooses upstreams; must outlive the object. @param options Constants. */
    Dispatcher(Chooser &upstreams, DispatcherOptions options)
        : upstreams_(upstreams)
        , options_(options)
    { }

    /** @param part This VM's part of the fleet's traffic, 0 to 1: of its slack for repeats and of
     * the upstreams' slots. */
    void setFleetShare(double share) { fleetShare_ = share; }

    /** Counts a request's arrival for the retry budget of its service. */
    void requestArrived(core::MonoTime now, const core::ServiceId &service)
    {
        budgetOf(service).requestStarted(now);
    }

    /** Decides on a request that needs an upstream, for the first time or once more. The attempt of
     * a placement counts as started. */
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
        // The other VMs fill the upstreams as well: only this VM's part of the slots drains its
        // queue.
        const double slotShare = fleetShare_ * upstreams_.slotsOf(request.service);
        if (!queue.order.enqueue(now, waitRequest(ticket, request), slotShare))
            return {.refusal = PlacementFailure::AllBusy};
        queue.requests.emplace(ticket, request);
        return {.wait = ticket};
    }

    /** Ends the wait of a request whose caller has left. */
    void withdraw(const core::ServiceId &service, WaitTicket ticket)
    {
        const auto queue = queues_.find(service);
        if (queue == queues_.end())
            return;
        queue->second.order.remove(ticket, false);
        queue->second.requests.erase(ticket);
    }

    /** @return Decisions on all waiting requests for which there is room, or no time any more. */
    std::vector<DispatchDecision> dispatchWaiting(core::MonoTime now)
    {
        std::vector<DispatchDecision> decided;
        for (auto &[service, queue] : queues_)
            dispatchQueue(now, queue, decided);
        return decided;
    }

    /** Learns from the end of an attempt. @return Decisions on waiting requests of the service. */
    std::vector<DispatchDecision> attemptFinished(const AttemptRecord &record,
                                                  DispatchRequest &request)
    {
        upstreams_.attemptFinished(record);
        request.tried.push_back(record.upstream);
        ++(record.end == AttemptEnd::NotSent ? request.connectFailures : request.sent);
        request.mayHaveExecuted = request.mayHaveExecuted || !certainlyNotExecuted(record.end);
        std::vector<DispatchDecision> decided;
        if (const auto queue = queues_.find(request.service); queue != queues_.end())
            dispatchQueue(record.endedAt, queue->second, decided);
        return decided;
    }

    /** @return Time after which an attempt may be given up for another one; zero for never. */
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
     * Decides at or after the soft timeout of an attempt.
     * @param upstream Where the attempt is under way.
     * @return Whether it is given up for one at another upstream that has room now and can answer
     * in time; the repeat is then granted.
     */
    bool grantAbandon(core::MonoTime now, DispatchRequest &request,
                      const core::UpstreamId &upstream)
    {
        if (!hasTimeForAttempt(now, request) || queueLength(request.service) > 0)
            return false;
        PlacementRequest next = placementRequest(now, request);
        next.tried.push_back(upstream);
        if (!upstreams_.choose(now, next).placement)
            return false;
        request.retryGranted = budgetOf(request.service).take(now, fleetShare_);
        return request.retryGranted;
    }

    /** @return Whether another attempt follows one that has ended. A repeat that is granted draws
     * on the retry budget. */
    bool grantRetry(core::MonoTime now, const DispatchRequest &request, AttemptEnd end)
    {
        const Route &route = *request.route;
        if (end == AttemptEnd::Answered || end == AttemptEnd::CallerLeft)
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

    /** @return Requests that wait for an upstream. */
    std::size_t waiting() const
    {
        std::size_t count = 0;
        for (const auto &[service, queue] : queues_)
            count += queue.order.size();
        return count;
    }

private:
    /** The waiting requests of one service. */
    struct ServiceQueue
    {
        explicit ServiceQueue(const WaitQueueOptions &options)
            : order(options)
        { }
        WaitQueue order;
        std::map<WaitTicket, DispatchRequest> requests;
    };

    /** @return Whether another attempt can be expected to end before the deadline. */
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
            const QueueHead turn = queue.order.removeLateAndPeek(now);
            for (const WaitTicket ticket : turn.tooLate) {
                queue.requests.erase(ticket);
                decided.push_back(
                    {.ticket = ticket,
                     .result = {.placement = std::nullopt, .reason = PlacementFailure::TooLate}});
            }
            if (!turn.next)
                return;
            const auto next = queue.requests.find(*turn.next);
            PlacementResult result = upstreams_.choose(now, placementRequest(now, next->second));
            if (!result.placement && result.reason == PlacementFailure::AllBusy)
                return;
            if (result.placement)
                upstreams_.attemptStarted(now, *result.placement);
            queue.order.remove(*turn.next, result.placement.has_value());
            queue.requests.erase(next);
            decided.push_back({.ticket = *turn.next, .result = std::move(result)});
        }
    }

    RetryBudgetShare &budgetOf(const core::ServiceId &service)
    {
        return budgets_.try_emplace(service, options_.retries).first->second;
    }

    Chooser &upstreams_;
    DispatcherOptions options_;
    std::map<core::ServiceId, RetryBudgetShare> budgets_;
    std::map<core::ServiceId, ServiceQueue> queues_;
    std::uint64_t lastTicket_ = 0;
    double fleetShare_ = 0;
};

} // namespace teaselreach::proxy
