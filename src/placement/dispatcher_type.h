/** @file dispatcher_type.h Requests, decisions and settings of a Dispatcher. */
#pragma once

#include "placement/departure_rate_base.h"
#include "placement/hedge_policy_base.h"
#include "placement/retry_budget_base.h"
#include "placement/upstream_table_base.h"
#include "placement/wait_queue_base.h"

#include <concepts>
#include <optional>
#include <vector>

namespace teaselreach::proxy {

/** Selects upstreams and tracks their attempts. UpstreamTable is the production implementation. */
template <typename T>
concept UpstreamChooser = requires(T &chooser, const T &reader, core::MonoTime now,
                                   const PlacementRequest &request, Placement &placement,
                                   const AttemptRecord &record, const core::RouteId &route,
                                   core::Micros time, const core::ServiceId &service,
                                   const RegionSet &regions)
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
        reader.slotsOf(service, time, regions)
        } -> std::same_as<double>;
};

/** An UpstreamChooser that can explain its choice. */
template <typename T>
concept ExplainingChooser = UpstreamChooser<T> && requires(const T &reader, core::MonoTime now,
                                                           const PlacementRequest &request)
{
    {
        reader.explain(now, request)
        } -> std::same_as<PlacementExplanation>;
};

/** Settings of the dispatcher. */
struct DispatcherOptions
{
    WaitQueueOptions queue;
    /** Whether queues admit by their measured departures instead of this VM's share of slots. */
    bool measuresDepartures = true;
    DepartureRateOptions departures;
    RetryBudgetOptions retries;
    /** Whether the VMs of a zone try an upstream that is believed to be failing in turns, and only
     * while the retry budget has room. Off, because upstreams that recover while the budget is
     * short then get no requests: the trials of each VM keep recovered upstreams in use. */
    bool trialsInTurns = false;
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
    /** Whether requests that may be retried prefer the upstreams with the oldest successes while
     * more than half of the retry budget is left; see RecentSuccessPreference. */
    bool prefersRecentSuccess = false;

    /** @return The options of a deployment whose settings do not name a window of the retry budget:
     * queues admit by slots, and neither retries nor trials are restricted by their purpose. */
    static DispatcherOptions withoutLoadControl()
    {
        return {.queue = {.shedsEarly = false},
                .measuresDepartures = false,
                .retries = RetryBudgetOptions::withoutReserves(),
                .trialsInTurns = false};
    }
};

/** A request and the state of its attempts. */
struct DispatchRequest
{
    core::ServiceId service;
    const Route *route = nullptr;  ///< Must outlive the request.
    core::ClientAccountId account; ///< Empty on public routes.
    int accountPriority = 0;
    RegionSet allowedRegions;  ///< Common to the route and the account.
    std::size_t bodyBytes = 0; ///< Counts toward the bounds in bytes of the upstreams.
    core::MonoTime arrivedAt {};
    core::MonoTime deadline {};
    std::vector<core::UpstreamId> tried;   ///< Upstreams of all finished attempts.
    int sent = 0;                          ///< Attempts that may have reached an upstream.
    int connectFailures = 0;               ///< Attempts without a connection.
    bool retryGranted = false;             ///< By grantAbandon() for the current attempt.
    std::optional<core::UpstreamId> hedge; ///< Upstream of the hedge, once there was one.
    bool wasOverdue = false;               ///< Whether the HedgePolicy counts it as slow.
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

/** What would happen to a request that arrives now. */
struct DispatchExplanation
{
    std::size_t waiting = 0;        ///< Requests that wait for the same service and regions.
    double departuresPerSecond = 0; ///< Of that queue; 0 if it has never been used.
    core::Micros expectedWait {0};  ///< Of a request behind all of them; 0 without a queue.
    double retryBudgetLeft = 1;     ///< Part of the service's retry budget, 0 to 1.
    core::Micros hedgeDelay {0};    ///< Time after which a hedge is considered; 0 for never.
    PlacementExplanation placement;
};

/** Result of submitting a request: exactly one of the first three members is set. */
struct DispatchResult
{
    std::optional<Placement> placement;      ///< Send the request to this upstream.
    std::optional<WaitTicket> wait;          ///< The request is queued.
    std::optional<PlacementFailure> refusal; ///< The request is refused for this reason.
    std::optional<DispatchDecision> evicted; ///< A queued request is refused to make room.
};

} // namespace teaselreach::proxy
