/** @file connection_table.cpp The open connections of one server. */
#include "http/connection_table_internal.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace teaselreach::http::detail {

void ConnectionTable::add(ConnectionKey key, int fd)
{
    const std::lock_guard lock(mutex_);
    connections_[key] = Connection {.fd = fd};
}

void ConnectionTable::remove(ConnectionKey key)
{
    const std::lock_guard lock(mutex_);
    const auto found = connections_.find(key);
    if (found == connections_.end())
        return;
    if (found->second.requestInFlight)
        --inFlight_;
    connections_.erase(found);
    noneInFlight_.notify_all();
}

void ConnectionTable::requestReceived(ConnectionKey key)
{
    const std::lock_guard lock(mutex_);
    const auto found = connections_.find(key);
    if (found == connections_.end() || found->second.requestInFlight)
        return;
    found->second.requestInFlight = true;
    ++inFlight_;
}

void ConnectionTable::requestCompleted(ConnectionKey key)
{
    const std::lock_guard lock(mutex_);
    const auto found = connections_.find(key);
    if (found == connections_.end())
        return;
    Connection &connection = found->second;
    connection.bytesAtLastCompletion = bytesReceived(connection.fd);
    connection.receivingSince.reset();
    if (!connection.requestInFlight)
        return;
    connection.requestInFlight = false;
    --inFlight_;
    noneInFlight_.notify_all();
}

void ConnectionTable::closeTimedOut(core::MonoTime now, core::Millis requestTimeout,
                                    const std::function<std::string()> &makeResponse)
{
    const std::lock_guard lock(mutex_);
    for (auto &[key, connection] : connections_) {
        if (connection.requestInFlight)
            continue;
        if (bytesReceived(connection.fd) == connection.bytesAtLastCompletion)
            continue;
        if (!connection.receivingSince)
            connection.receivingSince = now;
        if (now - *connection.receivingSince < requestTimeout)
            continue;
        const std::string response = makeResponse();
        ::send(connection.fd, response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        // The thread that serves the connection reads the end of input and closes the socket.
        ::shutdown(connection.fd, SHUT_RDWR);
    }
}

void ConnectionTable::waitUntilIdle()
{
    std::unique_lock lock(mutex_);
    noneInFlight_.wait(lock, [this] { return inFlight_ == 0; });
}

int ConnectionTable::inFlight() const
{
    const std::lock_guard lock(mutex_);
    return inFlight_;
}

std::uint64_t ConnectionTable::bytesReceived(int fd)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    if (::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return 0;
    return info.tcpi_bytes_received;
}

} // namespace teaselreach::http::detail
