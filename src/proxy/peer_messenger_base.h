/** @file peer_messenger_base.h Messages between VMs on what they learned of upstreams. */
#pragma once

#include "proxy/asio_type.h"
#include "proxy/upstream_table_base.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace teaselreach::proxy {

/** @return Reports as one datagram (MessagePack). */
std::string encodeReports(const std::vector<OutcomeReport> &reports);
/** @return The reports of a datagram; none if it cannot be read. */
std::vector<OutcomeReport> decodeReports(std::string_view datagram);

/**
 * Sends and receives datagrams. A lost one costs a later detection at one VM and nothing else, so
 * none is acknowledged or repeated.
 */
class PeerMessenger
{
public:
    using Receiver = std::function<void(const std::vector<OutcomeReport> &)>;

    /**
     * @param address IPv4 number. @param port Port. @param receiver Called for each datagram.
     * @throws http::ServerUnavailable if the address cannot be bound.
     */
    PeerMessenger(asio::io_context &context, const std::string &address, std::uint16_t port,
                  Receiver receiver);

    /** @param peer Address and port of another VM. */
    void send(const std::string &peer, const std::vector<OutcomeReport> &reports);

private:
    asio::awaitable<void> receiveAll();

    asio::ip::udp::socket socket_;
    Receiver receiver_;
    /** Larger than any datagram that is sent. */
    std::array<char, 4096> buffer_ {};
};

} // namespace teaselreach::proxy
