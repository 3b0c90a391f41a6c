/** @file peer_messenger_base.h UDP messages between the VMs of a pool. */
#pragma once

#include "fleet/pool_membership_base.h"
#include "placement/account_rate_limiter_base.h"
#include "placement/upstream_table_base.h"
#include "proxy/asio_type.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace teaselreach::proxy {

/** Status, upstream outcomes and account usage that a VM sends to the others of its pool. */
struct PeerMessage
{
    core::VmId sender;
    bool leaving = false; ///< The sender is shutting down; callers should not be sent to it.
    std::vector<OutcomeReport> outcomes;
    std::vector<AccountUsage> usage;
    std::vector<UpstreamLimitReport> limits;
    std::optional<PoolView> view; ///< Only of VMs that pace accounts.
    /** For a receiver that has asked for it, and of a VM that hands its share over. */
    std::optional<UsageHistory> history;
    std::vector<ZoneLoadReport> zoneLoads; ///< Only of VMs that share load between zones.
    std::size_t malformedZoneLoads = 0;    ///< Reports of a datagram that could not be read.
};

/** Maximum entries of PeerMessage::limits. */
inline constexpr std::size_t maxLimitReports = 40;
/** Maximum entries of PeerMessage::zoneLoads. */
inline constexpr std::size_t maxZoneLoadReports = 12;

/** @return A message as a datagram (MessagePack). Each list is cut to a fixed length. */
std::string encodeMessage(const PeerMessage &message);
/** @return The message in a datagram, or nothing if it is malformed. */
std::optional<PeerMessage> decodeMessage(std::string_view datagram);

/**
 * Sends and receives datagrams. They are neither acknowledged nor retransmitted: a lost one only
 * delays a detection at one VM.
 */
class PeerMessenger
{
public:
    using Receiver = std::function<void(const PeerMessage &)>;

    /**
     * @param context The event loop.
     * @param address IPv4 address to bind. @param port UDP port to bind.
     * @param receiver Called with each message that can be decoded.
     * @throws http::ServerUnavailable if the address cannot be bound.
     */
    PeerMessenger(asio::io_context &context, const std::string &address, std::uint16_t port,
                  Receiver receiver);

    /** Sends a message; a failure is only logged. @param peer Address and port of another VM. */
    void send(const std::string &peer, const PeerMessage &message);

private:
    asio::awaitable<void> receiveAll();

    asio::ip::udp::socket socket_;
    Receiver receiver_;
    /** Receive buffer; larger than any datagram that is sent. */
    std::array<char, 4096> buffer_ {};
};

} // namespace teaselreach::proxy
