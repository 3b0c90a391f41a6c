/** @file proxy_type.h Configuration and upstreams as the event-driven data path uses them. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace teaselreach::proxy {

using ConfigVersion = core::StrongInt<struct ConfigVersionTag, std::int64_t>;

/** One service that a route's requests may go to. */
struct Destination
{
    core::ServiceId service;
    int weight = 1; ///< Share of the route's requests, relative to the other destinations.
};

/** How requests of one host and path prefix are served. */
struct Route
{
    core::RouteId id;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    bool idempotent = false;
    core::Micros timeout {0};       ///< Longest time that a request is kept waiting.
    core::Micros targetLatency {0}; ///< An answer within it has its full value.
    int priority = 0;               ///< 0 is the most important.
    int maxAttempts = 1;            ///< Upstreams that one request may be sent to.
    bool isPublic = false;          ///< Needs no key.
    std::vector<Destination> destinations;
};

/** A client account with its keys and its limit. */
struct Account
{
    core::ClientAccountId id;
    std::vector<std::string> keys;
    int priority = 0;         ///< 0 is the most important; goes before the route's priority.
    double ratePerSecond = 0; ///< Over all VMs together; 0 for no limit.
    double burst = 0;         ///< Requests.
};

/** What a caller may send, and how long it may take. */
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 1048576;
    core::Micros headerTimeout {core::Seconds(3)};
    core::Micros idleTimeout {core::Seconds(15)};
};

/** The operators' configuration. */
struct Configuration
{
    ConfigVersion version;
    std::vector<Route> routes;
    std::vector<Account> accounts;
    CallerLimits limits;
};

/** An upstream as the list of live upstreams describes it. */
struct UpstreamEntry
{
    core::UpstreamId id;
    core::ServiceId service;
    std::string address; ///< IPv4 number.
    std::uint16_t port = 0;
    core::AvailabilityZoneId availabilityZone;
    int slots = 1;
    bool draining = false;
    core::Micros warmupLeft {0}; ///< How much longer it is slow after its start.
    std::int64_t startedAt = 0;  ///< Unix time in milliseconds; tells restarts under one id apart.

    bool operator==(const UpstreamEntry &) const = default;
};

/** An entry VM that has registered itself. */
struct EntryMember
{
    core::VmId id;
    core::Location location;
    std::string callerAddress; ///< IPv4 number and port, as callers use it.
    std::string peerAddress;   ///< IPv4 number and port for messages of other VMs.
    double capacity = 1;       ///< What it can carry, in processor cores.
    bool accepting = true;     ///< False once it shuts down.

    bool operator==(const EntryMember &) const = default;
};

/** How one attempt at an upstream ended. */
enum class AttemptEnd : std::uint8_t {
    Answered,    ///< A whole answer other than a server error.
    ServerError, ///< A whole answer that reports a failure of the upstream.
    NotExecuted, ///< A whole answer that says the request did not run.
    Misdirected, ///< Another upstream has the address; the request did not run.
    NotSent,     ///< No connection.
    Broken,      ///< Sent, but cut, malformed or of another request.
    TimedOut,    ///< Sent, but no whole answer in time.
    CallerLeft,  ///< Ended because the caller left.
};

/** @return A stable name for logs and metrics. */
std::string_view attemptEndName(AttemptEnd end);

/** @return Whether an attempt that ended so certainly did not run the request. */
constexpr bool certainlyNotExecuted(AttemptEnd end)
{
    return end == AttemptEnd::NotExecuted || end == AttemptEnd::Misdirected
        || end == AttemptEnd::NotSent;
}

/** The load that an upstream reports with an answer. */
struct LoadReport
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

} // namespace teaselreach::proxy
