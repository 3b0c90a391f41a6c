/** @file collaborator_type.h What the request pipeline needs of the parts that take decisions. */
#pragma once

#include "config/config_snapshot_base.h"
#include "core/clock_type.h"
#include "core/id_type.h"
#include "http/http_type.h"
#include "limit/limit_type.h"
#include "proxy/proxy_type.h"
#include "queue/queue_type.h"
#include "record/record_type.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace teaselreach::daemon {

/** The configuration in force and whether its keys are recent enough to be trusted. */
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

/** Answer of the limits. */
enum class AdmissionVerdict : std::uint8_t {
    Admitted,
    RateLimited,
    LimitUnavailable,
    DeadlineExceeded,
};

/** A request that waits for a token. */
struct PendingAdmission
{
    core::ClientAccountId account;
    limit::TicketId ticket;
    core::MonoTime resolveBy; ///< It is decided then.
};

/** Where a request stands with its limit. */
struct AdmissionState
{
    std::optional<AdmissionVerdict> verdict; ///< Nothing while it waits.
    PendingAdmission pending;                ///< For checkPending() while it waits.
    core::MonoTime nextCheckAt;              ///< When checkPending() is to be called at the latest.
};

/**
 * The limits. admit() may let a request wait for a token, but not beyond the deadline; wake is
 * called by any thread when checkPending() has news. A wait that is given up ends with abandon().
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

/** Answer of the queue in front of a service's slots. */
enum class GateVerdict : std::uint8_t { Granted, QueueFull, DeadlineExceeded };

/** What the queue needs to know of a request. */
struct GateRequest
{
    core::ServiceId service;
    core::ClientAccountId account; ///< Empty on routes open to all.
    record::RouteClass routeClass = record::RouteClass::Normal;
    int weight = 1;
    core::MonoTime deadline;
};

/** Where a request stands with the queue. */
struct GateState
{
    std::optional<GateVerdict> verdict; ///< Nothing while it waits.
    queue::Ticket ticket;               ///< For cancel() while it waits.
};

/**
 * The queue: each Granted is followed by one leave(), told whether an upstream shed. At the end of
 * a wait wake is called by any thread, unless cancel() returned true before.
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
};

/** An upstream to which a request is sent. */
struct ChosenUpstream
{
    core::UpstreamId id;
    http::Target target;
    std::uint64_t attemptNumber = 0; ///< Names the attempt in its report.
};

/** What is to be sent where. */
struct UpstreamQuery
{
    core::ServiceId service;
    bool idempotent = false;
    std::vector<core::UpstreamId> tried; ///< Upstreams that already failed for this request.
};

/** One attempt, for outlier ejection and load reports. */
struct AttemptReport
{
    core::UpstreamId upstream;
    std::uint64_t attemptNumber = 0; ///< ChosenUpstream::attemptNumber.
    core::ServiceId service;
    proxy::AttemptEnd end = proxy::AttemptEnd::Answered;
    core::MonoTime startedAt;
    core::MonoTime endedAt;
    std::optional<int> loadBusy;  ///< X-Load-Busy of the answer.
    std::optional<int> loadSlots; ///< X-Load-Slots of the answer.
    bool draining = false;        ///< X-Draining: 1 in the answer.
};

/** A failed attempt that may be followed by another. */
struct RetryQuery
{
    core::ServiceId service;
    proxy::AttemptEnd end = proxy::AttemptEnd::Answered;
    bool idempotent = false;
    bool mayHaveRunBefore = false; ///< An earlier attempt may have run.
    int attempts = 1;              ///< Attempts made so far.
    core::Micros timeLeft {0};     ///< Until the deadline.
};

/**
 * The choice of upstreams. Each choice that is not empty is followed by one report().
 * tryTakeRetry() takes one unit of the service's retry budget if it returns true.
 */
template <typename T>
concept UpstreamChooser = requires(T &chooser, const UpstreamQuery &query,
                                   const AttemptReport &attempt, const RetryQuery &retry,
                                   core::MonoTime now)
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
};

} // namespace teaselreach::daemon
