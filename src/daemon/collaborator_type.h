/** @file collaborator_type.h What the request pipeline needs of the parts that take decisions. */
#pragma once

#include "config/config_snapshot_base.h"
#include "core/clock_type.h"
#include "core/id_type.h"
#include "http/http_type.h"
#include "record/record_type.h"

#include <concepts>
#include <cstdint>
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

/** The limits: admit() may wait for a token, but not beyond the deadline. */
template <typename T>
concept Admission = requires(T &admission, const record::ClientAccount &account,
                             const record::Limit *limit, core::MonoTime deadline)
{
    {
        admission.admit(account, limit, deadline)
        } -> std::same_as<AdmissionVerdict>;
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

/** The queue: each Granted enter() is followed by one leave(). */
template <typename T>
concept DispatchGate = requires(T &gate, const GateRequest &request)
{
    {
        gate.enter(request)
        } -> std::same_as<GateVerdict>;
    {
        gate.leave(request.service)
        } -> std::same_as<void>;
};

/** An upstream to which a request is sent. */
struct ChosenUpstream
{
    core::UpstreamId id;
    http::Target target;
};

/** What is to be sent where. */
struct UpstreamQuery
{
    core::ServiceId service;
    bool idempotent = false;
    std::vector<core::UpstreamId> tried; ///< Upstreams that already failed for this request.
};

/** How one attempt at an upstream ended. */
enum class AttemptOutcome : std::uint8_t {
    Success,
    ServerError, ///< A whole answer with status 5xx.
    Shed,        ///< 503 with X-Not-Run: certainly not run.
    NotSent,     ///< No connection.
    Timeout,
    Cut, ///< Sent, but no whole answer.
};

/** One attempt, for outlier ejection and load reports. */
struct AttemptReport
{
    core::UpstreamId upstream;
    core::ServiceId service;
    AttemptOutcome outcome = AttemptOutcome::Success;
    core::MonoTime startedAt;
    core::MonoTime endedAt;
    std::optional<int> loadBusy;  ///< X-Load-Busy of the answer.
    std::optional<int> loadSlots; ///< X-Load-Slots of the answer.
    bool draining = false;        ///< X-Draining: 1 in the answer.
};

/**
 * The choice of upstreams. Each choice that is not empty is followed by one report().
 * mayRetry() takes one unit of the service's retry budget if it returns true.
 */
template <typename T>
concept UpstreamChooser = requires(T &chooser, const UpstreamQuery &query,
                                   const AttemptReport &attempt, core::MonoTime now)
{
    {
        chooser.choose(query, now)
        } -> std::same_as<std::optional<ChosenUpstream>>;
    {
        chooser.report(attempt)
        } -> std::same_as<void>;
    {
        chooser.mayRetry(query.service, now)
        } -> std::same_as<bool>;
};

} // namespace teaselreach::daemon
