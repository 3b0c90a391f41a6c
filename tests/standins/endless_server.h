/** @file endless_server.h A server that sends bytes without end until its client closes. */
#pragma once

#include "standins/raw_server.h"

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace teaselreach::standins {

/** Answers each connection with a beginning, followed by the same bytes again and again. */
class EndlessServer
{
public:
    /** @param beginning Sent once. @param repeated Sent until the client closes. */
    EndlessServer(std::string beginning, std::string repeated)
        : beginning_(std::move(beginning))
        , repeated_(std::move(repeated))
        , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        // Whole blocks, so that the client and not the server limits the speed.
        constexpr std::size_t blockBytes = 65536;
        const std::string once = repeated_;
        while (repeated_.size() < blockBytes)
            repeated_ += once;
        sockaddr_in local {.sin_family = AF_INET};
        inet_pton(AF_INET, "127.0.0.1", &local.sin_addr);
        if (::bind(listener_, reinterpret_cast<sockaddr *>(&local), sizeof local) != 0)
            throw std::runtime_error("cannot bind 127.0.0.1");
        ::listen(listener_, 64);
        socklen_t size = sizeof local;
        ::getsockname(listener_, reinterpret_cast<sockaddr *>(&local), &size);
        port_ = ntohs(local.sin_port);
        acceptor_ = std::thread([this] {
            for (int fd = -1; (fd = ::accept(listener_, nullptr, nullptr)) >= 0;)
                senders_.emplace_back([this, fd] { send(fd); });
        });
    }
    ~EndlessServer()
    {
        stopping_ = true;
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        ::close(listener_);
        for (std::thread &sender : senders_)
            sender.join();
    }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    std::uint16_t port() const { return port_; }
    /** @return Bytes that clients have accepted, over all connections. */
    std::uint64_t sentBytes() const { return sentBytes_; }
    /** @return Connections on which a client is still accepting bytes. */
    int open() const { return open_; }

private:
    void send(int fd)
    {
        ++open_;
        char request[4096];
        bool more = ::recv(fd, request, sizeof request, 0) > 0;
        more = more && ::send(fd, beginning_.data(), beginning_.size(), MSG_NOSIGNAL) > 0;
        while (more && !stopping_) {
            const ssize_t count = ::send(fd, repeated_.data(), repeated_.size(), MSG_NOSIGNAL);
            more = count > 0;
            sentBytes_ += static_cast<std::uint64_t>(std::max<ssize_t>(0, count));
        }
        ::close(fd);
        --open_;
    }

    std::string beginning_;
    std::string repeated_;
    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<std::uint64_t> sentBytes_ {0};
    std::atomic<int> open_ {0};
    std::atomic<bool> stopping_ {false};
    std::vector<std::thread> senders_;
    std::thread acceptor_;
};

} // namespace teaselreach::standins
