/** @file refusal_table.h Refusals that callers can get: code, HTTP status and execution state. */
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace teaselreach::table {

/** Whether an upstream has executed a refused request, as far as is known. */
enum class Execution : std::uint8_t { NotRun, Ran, Unknown };

/** The refusals, in the order of refusalTable. */
enum class Refusal : std::uint8_t {
    NoKey,
    UnknownKey,
    RouteNotAllowed,
    UnknownRoute,
    BodyTooLarge,
    MalformedRequest,
    RateLimited,
    LimitUnavailable,
    QueueFull,
    DeadlineExceeded,
    NoUpstream,
    UpstreamTimeout,
    UpstreamCut,
    UpstreamRefused,
    NoConfiguration,
    KeysStale,
    ShuttingDown,
};

/** One row of refusalTable. */
struct RefusalRow
{
    std::string_view code; ///< Stable code for programs.
    int status;            ///< HTTP status.
    Execution execution;
    std::string_view message; ///< Explanation for people.
};

inline constexpr std::array<RefusalRow, 17> refusalTable {{
    {"no_key", 401, Execution::NotRun, "the request has no key"},
    {"unknown_key", 401, Execution::NotRun, "the key is not known or was withdrawn"},
    {"route_not_allowed", 403, Execution::NotRun, "the client account may not use the route"},
    {"unknown_route", 404, Execution::NotRun, "no route matches method and path"},
    {"body_too_large", 413, Execution::NotRun, "the body is over the configured limit"},
    {"malformed_request", 400, Execution::NotRun, "the request cannot be read"},
    {"rate_limited", 429, Execution::NotRun, "the client account is over its rate"},
    {"limit_unavailable", 503, Execution::NotRun, "no home VM of the limit can be reached"},
    {"queue_full", 503, Execution::NotRun, "too many requests wait for the service"},
    {"deadline_exceeded", 504, Execution::NotRun, "the deadline passed before dispatch"},
    {"no_upstream", 503, Execution::NotRun, "no upstream of the service can be used"},
    {"upstream_timeout", 504, Execution::Unknown, "the upstream did not answer in time"},
    {"upstream_cut", 502, Execution::Unknown, "the upstream's answer was not whole"},
    {"upstream_refused", 503, Execution::NotRun, "the upstream refused the request"},
    {"no_configuration", 503, Execution::NotRun, "the VM has no configuration yet"},
    {"keys_stale", 503, Execution::NotRun, "the VM cannot know which keys were withdrawn"},
    {"shutting_down", 503, Execution::NotRun, "the VM is shutting down"},
}};

/** @return The row of a refusal. */
constexpr const RefusalRow &refusalRow(Refusal refusal)
{
    return refusalTable[static_cast<std::size_t>(refusal)];
}

/** @return The name of an execution state that is sent to callers. */
constexpr std::string_view executionName(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return "not_run";
    case Execution::Ran:
        return "ran";
    case Execution::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace teaselreach::table
