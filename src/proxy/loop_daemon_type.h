/** @file loop_daemon_type.h Settings of a LoopDaemon. */
#pragma once

#include "fleet/entry_vm_selector_base.h"
#include "proxy/request_flow_base.h"

#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace teaselreach::proxy {

/** An IPv4 address and a port to listen on. */
struct ListenAddress
{
    std::string address;
    std::uint16_t port = 0;
};

/** Times of the shutdown, counted from SIGTERM. */
struct ShutdownOptions
{
    /** Until then new requests are still served. Later ones are refused as not executed, since they
     * might not finish before the process ends. */
    core::Micros serveFor {core::Millis(3000)};
    /** The process ends then, or after serveFor as soon as no request is pending. */
    core::Micros endAfter {core::Millis(5700)};
    /** Time before endAfter at which every request that is still pending gets its final response.
     */
    core::Micros finalResponseMargin {core::Millis(150)};
};

/** Settings of a LoopDaemon. */
struct LoopDaemonOptions
{
    EntryMember self;
    std::map<core::AvailabilityZoneId, core::RegionId> regionOfZone;
    ListenAddress callers;
    ListenAddress readiness;
    ListenAddress directory;
    ListenAddress peers; ///< TCP for other VMs and for metrics, UDP for peer messages.
    AccountRateLimiterOptions shares;
    ZoneLoadOptions zoneLoad; ///< Its location and zones are set from those above.
    RequestFlowOptions flow;
    ShutdownOptions shutdown;
    /** Whether no process of the fleet ran before; otherwise one may have admitted requests. */
    bool firstStart = true;
    std::uint64_t seed = 0; ///< For all random choices; differs between processes.
};

/** Reads directory and readiness requests and formats the entry addresses for callers. */
template <typename T>
concept DirectoryCodec = requires(const T &codec, const HttpRequest &request,
                                  const std::vector<std::string> &addresses)
{
    {
        codec.parseLookup(request)
        } -> std::same_as<std::optional<EntryLookup>>;
    {
        codec.addressResponse(addresses)
        } -> std::same_as<HttpResponse>;
    {
        codec.isReadinessRequest(request)
        } -> std::same_as<bool>;
};

} // namespace teaselreach::proxy
