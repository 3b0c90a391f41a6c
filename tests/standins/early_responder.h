/** @file early_responder.h A server that answers before it has read the body, then resets. */
#pragma once

#include "standins/raw_server.h"

namespace teaselreach::standins {

/** Answers each connection once it has read the header section of the first request, and resets the
 * connection, whose other side is still sending the body. */
class EarlyResponder
{
public:
    /** @param respond Returns the response to the request with a header section. */
    explicit EarlyResponder(std::function<std::string(const std::string &head)> respond)
        : respond_(std::move(respond))
        , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in local {.sin_family = AF_INET};
        inet_pton(AF_INET, "127.0.0.1", &local.sin_addr);
        if (::bind(listener_, reinterpret_cast<sockaddr *>(&local), sizeof local) != 0)
            throw std::runtime_error("cannot bind 127.0.0.1");
        ::listen(listener_, 8);
        socklen_t size = sizeof local;
        ::getsockname(listener_, reinterpret_cast<sockaddr *>(&local), &size);
        port_ = ntohs(local.sin_port);
        thread_ = std::thread([this] {
            for (int fd = -1; (fd = ::accept(listener_, nullptr, nullptr)) >= 0;)
                serve(fd);
        });
    }
    ~EarlyResponder()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }
    EarlyResponder(const EarlyResponder &) = delete;
    EarlyResponder &operator=(const EarlyResponder &) = delete;

    std::uint16_t port() const { return port_; }
    int requests() const { return requests_; }

private:
    void serve(int fd)
    {
        const std::string sectionEnd = "\r\n\r\n";
        std::string head;
        char byte = 0;
        while (!head.ends_with(sectionEnd) && ::recv(fd, &byte, 1, 0) == 1)
            head += byte;
        ++requests_;
        sendAll(fd, respond_(head));
        const linger reset {.l_onoff = 1, .l_linger = 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::close(fd);
    }

    std::function<std::string(const std::string &head)> respond_;
    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<int> requests_ {0};
    std::thread thread_;
};

} // namespace teaselreach::standins
