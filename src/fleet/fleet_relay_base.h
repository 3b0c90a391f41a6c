/** @file fleet_relay_base.h Relays the store's changes to the VMs of an availability zone. */
#pragma once

#include "fleet/fleet_change_log_base.h"
#include "proxy/http_connection_base.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace teaselreach::proxy {

/** @return An update as a response body (MessagePack). */
std::string encodeUpdate(const FleetUpdate &update);
/** @return The update in a response body. @throws StoreUnreachable if it is malformed */
FleetUpdate decodeUpdate(std::string_view body);

/**
 * Serves the store's state and changes to follower VMs, so that one VM of each availability zone
 * reads the store for the others. Each follower has one long poll open at a time.
 */
class FleetRelay
{
public:
    /** Path of the requests. */
    static constexpr std::string_view path = "/fleet";

    /**
     * @param context The event loop.
     * @param changeLog The items and changes to serve; must outlive the relay.
     * @param connectedFor Returns how long this VM has been connected to the store, or nothing if
     * it is not connected.
     */
    FleetRelay(asio::io_context &context, const FleetChangeLog &changeLog,
               std::function<std::optional<core::Micros>()> connectedFor);

    /**
     * Handles one request for the changes after a position, or for all items if the revision is 0.
     * Without a change it waits for one, at most for a fixed time.
     * @return MessagePack body; status 503 if this VM is not connected to the store; 410 if some of
     * the changes were discarded or the position is of another era.
     */
    asio::awaitable<HttpResponse> handle(const HttpRequest &request);

private:
    asio::io_context &context_;
    const FleetChangeLog &changeLog_;
    std::function<std::optional<core::Micros>()> connectedFor_;
};

/** A relay did not respond in time: its process is frozen, or the network path is cut. */
class RelayUnresponsive : public StoreUnreachable
{
public:
    using StoreUnreachable::StoreUnreachable;
};

/** What a request to a relay waits for. */
enum class RelayWait : std::uint8_t {
    Change, ///< A change, at most for the time of a long poll.
    None,   ///< The response to a probe, which the relay sends at once.
};

/** Sends requests to relays over one reusable connection to each. */
class FleetRelayClient
{
public:
    /** @param context The event loop. */
    explicit FleetRelayClient(asio::io_context &context);

    /**
     * @param relay Address and port.
     * @param after Position after which changes are requested; revision 0 for all items.
     * @param wait What to wait for.
     * @return The changes, or all items; of era 0 if the relay has a version without eras.
     * @throws RelayUnresponsive if the relay does not respond; StoreUnreachable if it has no
     * connection to the store; StoreHistoryLost if it has discarded some of the changes.
     */
    asio::awaitable<FleetUpdate> fetch(std::string relay, StorePosition after, RelayWait wait);

private:
    asio::io_context &context_;
    std::shared_ptr<BodyBudget> budget_ = makeControlBudget();
    std::map<std::string, std::unique_ptr<HttpConnection>> connections_;
};

} // namespace teaselreach::proxy
