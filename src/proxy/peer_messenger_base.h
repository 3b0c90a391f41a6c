/** @file peer_messenger_base.h Messages between the VMs of a pool. */
#pragma once

#include "proxy/account_share_base.h"
#include "proxy/asio_type.h"
#include "proxy/upstream_table_base.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace teaselreach::proxy {

/** What a VM tells the others of its pool. */
struct PeerMessage
{
    core::VmId sender;
    bool leaving = false; ///< The sender shuts down: no caller should be sent to it.
    std::vector<OutcomeReport> outcomes;
    std::vector<AccountUsage> usage;
};

/** @return A message as one datagram (MessagePack). */
std::string encodeMessage(const PeerMessage &message);
/** @return The message of a datagram, or nothing if it cannot be read. */
std::optional<PeerMessage> decodeMessage(std::string_view datagram);

/**
 * Sends and receives datagrams. A lost one costs a later detection at one VM and nothing else, so
 * none is acknowledged or repeated.
 */
class PeerMessenger
{
public:
    using Receiver = std::function<void(const PeerMessage &)>;

    /**
     * @param address IPv4 number. @param port Port. @param receiver Called for each datagram.
     * @throws http::ServerUnavailable if the address cannot be bound.
     */
    PeerMessenger(asio::io_context &context, const std::string &address, std::uint16_t port,
                  Receiver receiver);

    /** @param peer Address and port of another VM. */
    void send(const std::string &peer, const PeerMessage &message);

private:
    asio::awaitable<void> receiveAll();

    asio::ip::udp::socket socket_;
    Receiver receiver_;
    /** Larger than any datagram that is sent. */
    std::array<char, 4096> buffer_ {};
};

} // namespace teaselreach::proxy
