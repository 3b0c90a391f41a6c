/** @file free_port.h A port that no server uses at the moment. */
#pragma once

#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace teaselreach::standins {

/** @return A port that was free on the loopback address a moment ago. */
inline std::uint16_t freePort(const std::string &address)
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

} // namespace teaselreach::standins
