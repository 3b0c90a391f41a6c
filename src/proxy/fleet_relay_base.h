/** @file fleet_relay_base.h Passes the store's changes on to the VMs of the availability zone. */
#pragma once

#include "proxy/fleet_log_base.h"
#include "proxy/http_link_base.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace teaselreach::proxy {

/** @return Contents as one body (MessagePack). */
std::string encodeUpdate(const FleetUpdate &update);
/** @return The contents of a body. @throws StoreUnreachable if it cannot be read */
FleetUpdate decodeUpdate(std::string_view body);

/** Answers followers. One call of each follower waits at a time. */
class FleetRelay
{
public:
    /** Path of the calls. */
    static constexpr std::string_view path = "/fleet";

    /**
     * @param log What is passed on; must outlive the relay.
     * @param steadyFor How long this VM has been in touch with the store, or nothing if it is not.
     */
    FleetRelay(asio::io_context &context, const FleetChangeLog &changeLog,
               std::function<std::optional<core::Micros>()> connectedFor);

    /** Answers one call: changes after a revision, or everything. Waits for a change. */
    asio::awaitable<HttpResponse> handle(const HttpRequest &request);

private:
    asio::io_context &context_;
    const FleetChangeLog &changeLog_;
    std::function<std::optional<core::Micros>()> connectedFor_;
};

/** Asks relays. */
class FleetRelayClient
{
public:
    /** @param context The event loop. */
    explicit FleetRelayClient(asio::io_context &context);

    /**
     * @param relay Address and port. @param after Revision; 0 for everything.
     * @return Changes, or everything.
     * @throws StoreUnreachable if the relay does not answer or is itself out of touch;
     * StoreHistoryLost if it no longer knows the changes.
     */
    asio::awaitable<FleetUpdate> fetch(std::string relay, StoreRevision after);

private:
    asio::io_context &context_;
    std::map<std::string, std::unique_ptr<HttpLink>> links_;
};

} // namespace teaselreach::proxy
