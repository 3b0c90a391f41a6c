/** @file collaborator_type.h Interfaces of the services that RequestPipeline depends on. */
#pragma once

#include "config/config_snapshot_base.h"
#include "core/clock_type.h"
#include "core/id_type.h"
#include "http/http_type.h"
#include "limit/limit_type.h"
#include "placement/hedge_policy_base.h"
#include "placement/placement_type.h"
#include "queue/queue_type.h"
#include "record/record_type.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace teaselreach::daemon {

/** Provides the active configuration and tells whether its keys are recent enough to be trusted. */
template <typename T>
concept ConfigSource = requires(const T &source, core::MonoTime now)
{
    {
        source.current()
        } -> std::same_as<std::shared_ptr<const config::ConfigSnapshot>>;
    {
        source.keysUsable(now)
        } -> std::same_as<bool>;
};

/** Result of a rate limit check. */
enum class AdmissionVerdict : std::uint8_t {
    Admitted,
    RateLimited,
    LimitUnavailable,
    DeadlineExceeded,
};

/** Identifies a request that waits for a token of its rate limit. */
struct PendingAdmission
{
    core::ClientAccountId account;
    limit::TicketId ticket;
    core::MonoTime resolveBy; ///< Latest time of the verdict.
};

/** State of a request at the rate limiter. */
struct AdmissionState
{
    std::optional<AdmissionVerdict> verdict; ///< Not set while the request waits.
    PendingAdmission pending;                ///< Argument of checkPending(); set while it waits.
    core::MonoTime nextCheckAt; ///< Latest time of the next checkPending(); set while it waits.
};

/**
 * Rate limits of client accounts. admit() may make a request wait for a token, but not beyond its
 * deadline. `wake` is called on any thread when checkPending() may return a verdict. A caller that
 * stops waiting before the verdict must call abandon().
 */
template <typename T>
concept RateLimiter = requires(T &admission, const record::ClientAccount &account,
                               const record::Limit *limit, core::MonoTime time,
                               std::function<void()> wake, const PendingAdmission &pending)
{
    {
        admission.admit(account, limit, time, std::move(wake))
        } -> std::same_as<AdmissionState>;
    {
        admission.checkPending(pending, time)
        } -> std::same_as<AdmissionState>;
    {
        admission.abandon(pending)
        } -> std::same_as<void>;
};

/** Result of waiting for a slot of a service. */
enum class GateVerdict : std::uint8_t { Granted, QueueFull, DeadlineExceeded };

/** A request for a slot of a service. */
struct GateRequest
{
    core::ServiceId service;
    core::ClientAccountId account; ///< Empty on routes that need no key.
    record::RouteClass routeClass = record::RouteClass::Normal;
    int weight = 1;
    core::MonoTime deadline;
};

/** State of a request at the gate. */
struct GateState
{
    std::optional<GateVerdict> verdict; ///< Not set while the request waits.
    queue::Ticket ticket;               ///< Argument of cancel() while it waits.
};

/**
 * Queues requests for the slots of their service. Every Granted must be followed by exactly one
 * releaseSlot(), which is told whether an upstream shed the request. tryAcquireSlot() takes a slot
 * for a hedge only if one is free now; releaseHedgeSlot() follows once for each that it grants.
 * `wake` is called on any thread with the verdict of a request that had to wait, unless cancel()
 * has returned true before.
 */
template <typename T>
concept RequestGate = requires(T &gate, const GateRequest &request, bool shed,
                               std::function<void(GateVerdict)> wake, queue::Ticket ticket)
{
    {
        gate.acquireSlot(request, std::move(wake))
        } -> std::same_as<GateState>;
    {
        gate.cancel(request.service, ticket)
        } -> std::same_as<bool>;
    {
        gate.releaseSlot(request.service, shed)
        } -> std::same_as<void>;
    {
        gate.tryAcquireSlot(request.service)
        } -> std::same_as<queue::SlotResult>;
    {
        gate.releaseHedgeSlot(request.service, shed)
        } -> std::same_as<void>;
};

/** The upstream selected for an attempt. */
struct ChosenUpstream
{
    core::UpstreamId id;
    http::Target target;
    std::uint64_t attemptNumber = 0; ///< Identifies the attempt in its AttemptReport.
};

/** A request that needs an upstream. */
struct UpstreamQuery
{
    core::ServiceId service;
    bool idempotent = false;
    std::vector<core::UpstreamId> tried; ///< Upstreams that already failed for this request.
};

/** Result of one attempt, for outlier ejection and load balancing. */
struct AttemptReport
{
    core::UpstreamId upstream;
    std::uint64_t attemptNumber = 0; ///< As in ChosenUpstream.
    core::ServiceId service;
    proxy::AttemptEnd end = proxy::AttemptEnd::Answered;
    core::MonoTime startedAt;
    core::MonoTime endedAt;
    bool isHedge = false;
    std::optional<int> loadBusy;  ///< X-Load-Busy of the response.
    std::optional<int> loadSlots; ///< X-Load-Slots of the response.
    bool draining = false;        ///< Whether the response has X-Draining: 1.
};

/** A failed attempt and what is known of its request. */
struct RetryQuery
{
    core::ServiceId service;
    proxy::AttemptEnd end = proxy::AttemptEnd::Answered;
    bool idempotent = false;
    bool mayHaveRunBefore = false; ///< Whether this or an earlier attempt may have run.
    int attempts = 1;              ///< Number of attempts so far.
    core::Micros timeLeft {0};     ///< Time until the deadline.
};

/** A request whose first attempt is in flight and may get a hedge. */
struct HedgeQuery
{
    core::ServiceId service;
    core::UpstreamId first;    ///< Upstream of the first attempt.
    core::Micros timeLeft {0}; ///< Time until the deadline.
};

/** Result of chooseHedge(): exactly one of the members is set. */
struct HedgeDecision
{
    std::optional<ChosenUpstream> upstream;
    std::optional<proxy::HedgeDenial> denial;
};

/**
 * Selects upstreams and decides on retries. Every upstream that choose() or chooseHedge() returns
 * must be followed by exactly one report(). For each upstream that it returns, chooseHedge() takes
 * one retry from the service's retry budget, of which it leaves half for retries. tryTakeRetry()
 * takes one retry from the service's retry budget if it returns true.
 */
template <typename T>
concept UpstreamChooser = requires(T &chooser, const UpstreamQuery &query,
                                   const AttemptReport &attempt, const RetryQuery &retry,
                                   const HedgeQuery &hedge, core::MonoTime now)
{
    {
        chooser.choose(query, now)
        } -> std::same_as<std::optional<ChosenUpstream>>;
    {
        chooser.report(attempt)
        } -> std::same_as<void>;
    {
        chooser.tryTakeRetry(retry, now)
        } -> std::same_as<bool>;
    {
        chooser.chooseHedge(hedge, now)
        } -> std::same_as<HedgeDecision>;
};

} // namespace teaselreach::daemon
