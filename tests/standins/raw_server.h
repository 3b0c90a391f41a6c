/** @file raw_server.h A scripted server on a loopback address that answers with raw bytes. */
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace teaselreach::standins {

/** A request as the server read it. */
struct RawRequest
{
    std::string head; ///< Request line and header fields.
    std::string body;
    int number = 0; ///< Counted from 1 over all connections.
};

/** What the server sends back. */
struct RawReply
{
    std::string bytes;
    bool close = false; ///< Whether to close the connection afterwards.
    /** Waited for between the answer and the close; nothing if empty. */
    std::function<void()> beforeClose;
};

/** Connects to a loopback server. @return The socket. */
inline int connectTo(const std::string &address, std::uint16_t port)
{
    sockaddr_in remote {.sin_family = AF_INET, .sin_port = htons(port)};
    inet_pton(AF_INET, address.c_str(), &remote.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&remote), sizeof remote) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

/** Makes reads from a socket fail after a time without a byte, so that a missing response fails a
 * test instead of hanging it. */
inline void limitReceiveTime(int fd, int seconds)
{
    const timeval limit {.tv_sec = seconds};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

/** Sends all bytes; errors are left to the reader to notice. */
inline void sendAll(int fd, const std::string &bytes)
{
    for (std::size_t at = 0; at < bytes.size();) {
        const ssize_t count = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (count <= 0)
            return;
        at += static_cast<std::size_t>(count);
    }
}

/** @return Everything that the other side sends until it closes. */
inline std::string readAll(int fd)
{
    std::string all;
    char buffer[4096];
    for (ssize_t count = 0; (count = ::recv(fd, buffer, sizeof buffer, 0)) > 0;)
        all.append(buffer, static_cast<std::size_t>(count));
    return all;
}

/** @return A whole response with a length. */
inline std::string okReply(const std::string &body, const std::string &fields = "",
                           const std::string &status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/** A server with a thread for each connection; the handler decides each answer. */
class RawServer
{
public:
    using Handler = std::function<RawReply(const RawRequest &)>;

    RawServer(std::string address, Handler handler)
        : address_(std::move(address))
        , handler_(std::move(handler))
        , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in local {.sin_family = AF_INET};
        inet_pton(AF_INET, address_.c_str(), &local.sin_addr);
        if (::bind(listener_, reinterpret_cast<sockaddr *>(&local), sizeof local) != 0)
            throw std::runtime_error("cannot bind " + address_);
        ::listen(listener_, 64);
        socklen_t size = sizeof local;
        ::getsockname(listener_, reinterpret_cast<sockaddr *>(&local), &size);
        port_ = ntohs(local.sin_port);
        acceptor_ = std::thread([this] { acceptAll(); });
    }

    ~RawServer()
    {
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        ::close(listener_);
        {
            const std::lock_guard lock(mutex_);
            for (const int fd : sockets_)
                ::shutdown(fd, SHUT_RDWR);
        }
        for (std::thread &thread : threads_)
            thread.join();
        for (const int fd : sockets_)
            ::close(fd);
    }

    const std::string &address() const { return address_; }
    std::uint16_t port() const { return port_; }
    /** @return Number of requests read so far. */
    int requests() const { return requests_; }
    /** @return Number of connections accepted so far. */
    int connections() const { return connections_; }
    /** @return Number of connections that the server has closed so far. */
    int closed() const { return closed_; }
    /** @return Whether bytes have arrived that no handler has read. */
    bool hasUnreadBytes()
    {
        const std::lock_guard lock(mutex_);
        return std::any_of(sockets_.begin(), sockets_.end(), [](int fd) {
            char byte = 0;
            return ::recv(fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) > 0;
        });
    }

private:
    void acceptAll()
    {
        for (int fd = -1; (fd = ::accept(listener_, nullptr, nullptr)) >= 0;) {
            const std::lock_guard lock(mutex_);
            ++connections_;
            sockets_.push_back(fd);
            threads_.emplace_back([this, fd] { serve(fd); });
        }
    }

    void serve(int fd)
    {
        std::string input;
        RawRequest request;
        while (readRequest(fd, input, request)) {
            request.number = ++requests_;
            const RawReply reply = handler_(request);
            sendAll(fd, reply.bytes);
            if (reply.close) {
                if (reply.beforeClose)
                    reply.beforeClose();
                break;
            }
        }
        ::shutdown(fd, SHUT_RDWR);
        ++closed_;
    }

    static bool readRequest(int fd, std::string &input, RawRequest &request)
    {
        while (true) {
            const std::size_t end = input.find("\r\n\r\n");
            if (end != std::string::npos) {
                const std::size_t length = lengthOf(input.substr(0, end));
                if (input.size() >= end + 4 + length) {
                    request.head = input.substr(0, end + 2);
                    request.body = input.substr(end + 4, length);
                    input.erase(0, end + 4 + length);
                    return true;
                }
            }
            char buffer[4096];
            const ssize_t count = ::recv(fd, buffer, sizeof buffer, 0);
            if (count <= 0)
                return false;
            input.append(buffer, static_cast<std::size_t>(count));
        }
    }

    static std::size_t lengthOf(const std::string &head)
    {
        const std::string name = "Content-Length: ";
        const std::size_t at = head.find(name);
        return at == std::string::npos ? 0 : std::stoul(head.substr(at + name.size()));
    }

    std::string address_;
    Handler handler_;
    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<int> requests_ {0};
    std::atomic<int> connections_ {0};
    std::atomic<int> closed_ {0};
    std::mutex mutex_;
    std::vector<int> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace teaselreach::standins
