/** @file placement_type.h Types of the event-driven data path: configuration, upstreams, entry VMs.
 */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"
#include "placement/region_set_base.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselreach::proxy {

using ConfigVersion = core::StrongInt<struct ConfigVersionTag, std::int64_t>;

/** A service that receives a share of a route's requests. */
struct Destination
{
    core::ServiceId service;
    int weight = 1; ///< Relative to the weights of the route's other destinations.
};

/** Handling of the requests for one host and path prefix. */
struct Route
{
    core::RouteId id;
    std::string host;
    std::string pathPrefix; ///< Starts and ends with a slash.
    bool idempotent = false;
    core::Micros timeout {0};       ///< Longest time from a request's arrival to its deadline.
    core::Micros targetLatency {0}; ///< Responses within this time have their full value.
    int priority = 0;               ///< 0 is the highest priority.
    int maxAttempts = 1;            ///< Maximum number of upstreams that one request is sent to.
    bool isPublic = false;          ///< Requests need no API key.
    std::vector<Destination> destinations;
    RegionSet allowedRegions; ///< Home regions, where its requests may be served and stored.
};

/** A client account with its API keys and its rate limit. */
struct Account
{
    core::ClientAccountId id;
    std::vector<std::string> keys;
    int priority = 0;         ///< 0 is the highest; outweighs the priority of the route.
    double ratePerSecond = 0; ///< Summed over all VMs; 0 for no limit.
    double burst = 0;         ///< Requests allowed on top of the rate.
    RegionSet allowedRegions; ///< As of a route; if both have a list, both apply.
};

/** What the operators state of the upstreams of a service. */
struct ServiceSettings
{
    core::ServiceId id;
    core::Micros warmup {0};  ///< Usual time that an upstream takes to warm up.
    double coldPerSecond = 0; ///< Requests at a cold upstream from all VMs; 0 for no limit.
};

/** Limits on the size and the timing of callers' requests. */
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 1048576;
    core::Micros headerTimeout {core::Seconds(3)};
    core::Micros idleTimeout {core::Seconds(15)};
};

/** The configuration that the operators maintain. */
struct Configuration
{
    ConfigVersion version;
    std::vector<Route> routes;
    std::vector<Account> accounts;
    std::vector<ServiceSettings> services;
    CallerLimits limits;
    /** Whether routes that are not public need an account's key even if there is no account. */
    bool requiresKeys = false;

    /** @return Whether routes that are not public need an account's key. */
    bool needsKeys() const { return requiresKeys || !accounts.empty(); }
};

/** An entry in the list of live upstreams. */
struct UpstreamEntry
{
    core::UpstreamId id;
    core::ServiceId service;
    std::string address; ///< IPv4 address.
    std::uint16_t port = 0;
    core::AvailabilityZoneId availabilityZone;
    int slots = 1;
    bool draining = false;
    core::Micros warmupLeft {0}; ///< Time left until it has warmed up after its start.
    std::int64_t startedAt = 0;  ///< Unix time in milliseconds; changes with each restart.
    std::int64_t sequence = 0;   ///< Rises with each writing of the entry by the same process.

    bool operator==(const UpstreamEntry &) const = default;
};

/** A registered entry VM: a VM to which callers can connect. */
struct EntryMember
{
    core::VmId id;
    core::Location location;
    std::string callerAddress; ///< IPv4 address and port for callers.
    std::string peerAddress;   ///< IPv4 address and port for messages from other VMs.
    double capacity = 1;       ///< Processor cores available for requests.
    bool accepting = true;     ///< False once the VM starts to shut down.

    bool operator==(const EntryMember &) const = default;
};

/** Outcome of one attempt to send a request to an upstream. */
enum class AttemptEnd : std::uint8_t {
    Answered,    ///< A complete response that is not a server error.
    ServerError, ///< A complete response with a server error status (5xx).
    NotExecuted, ///< A complete response stating that the request was not executed.
    /** A complete response whose status promises callers that the request was not executed (408,
     * 429, 503), while the upstream does not state it. */
    UnprovenRefusal,
    Misdirected, ///< The address now belongs to another upstream; not executed.
    NotSent,     ///< The connection could not be established.
    Broken,      ///< Sent, but the response was cut off, malformed or for another request.
    TimedOut,    ///< Sent, but no complete response arrived in time.
    CallerLeft,  ///< Cancelled because the caller disconnected.
    Superseded,  ///< Cancelled because another attempt of the request brought a good response.
};

/** @return The name of an outcome in logs and metrics; these names do not change. */
std::string_view attemptEndName(AttemptEnd end);

/** @return Whether this outcome rules out that the upstream executed the request. */
constexpr bool certainlyNotExecuted(AttemptEnd end)
{
    return end == AttemptEnd::NotExecuted || end == AttemptEnd::Misdirected
        || end == AttemptEnd::NotSent;
}

/** Load that an upstream reports along with a response, in requests. */
struct LoadReport
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/** A number of requests per second. */
struct RequestRate
{
    double perSecond = 0;
    auto operator<=>(const RequestRate &) const = default;
};

/** What an upstream says of itself in a response; the adapter reads and checks it. */
struct UpstreamStatus
{
    std::optional<LoadReport> load;
    /** Requests that it takes from all VMs together, until a response no longer names a limit. */
    std::optional<RequestRate> limit;
    bool leaving = false; ///< It is shutting down and takes no new requests.
    /** Time for which it takes no requests from this VM. */
    std::optional<core::Micros> retryAfter;
    std::optional<core::Micros> warmupLeft; ///< Time left until it is warm.
};

/** Reason why no upstream was selected. */
enum class PlacementFailure : std::uint8_t {
    NoUpstream,   ///< The service has no upstream that accepts new requests.
    LimitReached, ///< Only upstreams that want no more requests at present could be used.
    AllBusy,      ///< The eligible upstreams have no room; waiting may help.
    TooLate,      ///< No available upstream is expected to answer before the deadline.
    /** No upstream in the allowed regions accepts new requests; other regions may have some. */
    NoAllowedRegion,
    Evicted, ///< Left the queue for a request of a higher priority.
};

/** @return The name of a reason in logs, metrics and answers; these names do not change. */
std::string_view placementFailureName(PlacementFailure reason);

} // namespace teaselreach::proxy
