/** @file free_port.h A port that no server uses at the moment. */
#pragma once

#include <arpa/inet.h>
#include <cstdint>
#include <mutex>
#include <netinet/in.h>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace teaselreach::standins {

namespace detail {

/** @return A port that was free on the loopback address a moment ago. */
inline std::uint16_t anyFreePort(const std::string &address)
{
    sockaddr_in local {.sin_family = AF_INET};
    inet_pton(AF_INET, address.c_str(), &local.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&local), sizeof local) != 0)
        throw std::runtime_error("cannot bind " + address);
    socklen_t size = sizeof local;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&local), &size);
    ::close(fd);
    return ntohs(local.sin_port);
}

} // namespace detail

/**
 * @return A port that was free on the loopback address a moment ago and that this process has not
 * named before: whoever was told of one may bind it much later.
 */
inline std::uint16_t freePort(const std::string &address)
{
    static std::mutex mutex;
    static std::set<std::uint16_t> named;
    const std::lock_guard lock(mutex);
    // Far more tries than a process that names some hundreds of ports needs.
    for (int tries = 0; tries < 1000; ++tries) {
        const std::uint16_t port = detail::anyFreePort(address);
        if (named.insert(port).second)
            return port;
    }
    throw std::runtime_error("no port of " + address + " is left that was not named before");
}

} // namespace teaselreach::standins
