/** @file free_port.h A port that no server uses at the moment. */
#pragma once

#include <arpa/inet.h>
#include <cstdint>
#include <mutex>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace teaselreach::standins {

namespace detail {

/** First and last port that freePort() names. The kernel binds outgoing connections and sockets
 * without a port of their own to ports from 32768 on, so nothing takes a named port by chance. */
inline constexpr int firstNamedPort = 10000;
inline constexpr int lastNamedPort = 32000;
/** Distance between the first ports of two processes with consecutive ids. */
inline constexpr int portsPerProcess = 64;

/** @return Whether a socket of a type can be bound to the port. */
inline bool canBind(const std::string &address, std::uint16_t port, int type)
{
    sockaddr_in local {.sin_family = AF_INET, .sin_port = htons(port)};
    inet_pton(AF_INET, address.c_str(), &local.sin_addr);
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const bool isBound = ::bind(fd, reinterpret_cast<sockaddr *>(&local), sizeof local) == 0;
    ::close(fd);
    return isBound;
}

} // namespace detail

/**
 * @return A port of TCP and UDP that was free on the loopback address a moment ago and that this
 * process has not named before: whoever was told of one may bind it much later.
 */
inline std::uint16_t freePort(const std::string &address)
{
    constexpr int ports = detail::lastNamedPort - detail::firstNamedPort;
    static std::mutex mutex;
    static int next = static_cast<int>(std::int64_t {::getpid()} * detail::portsPerProcess % ports);
    const std::lock_guard lock(mutex);
    for (int tries = 0; tries < ports; ++tries) {
        const auto port = static_cast<std::uint16_t>(detail::firstNamedPort + next);
        next = (next + 1) % ports;
        if (detail::canBind(address, port, SOCK_STREAM)
            && detail::canBind(address, port, SOCK_DGRAM))
            return port;
    }
    throw std::runtime_error("no port of " + address + " is free");
}

} // namespace teaselreach::standins
