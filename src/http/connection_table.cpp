/** @file connection_table.cpp The open connections of one server. */
#include "http/connection_table_internal.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace teaselreach::http::detail {

void ConnectionTable::opened(ConnectionKey key, int fd)
{
    const std::lock_guard lock(mutex_);
    connections_[key] = Connection {.fd = fd};
}

void ConnectionTable::closed(ConnectionKey key)
{
    const std::lock_guard lock(mutex_);
    const auto found = connections_.find(key);
    if (found == connections_.end())
        return;
    if (found->second.answering)
        --inFlight_;
    connections_.erase(found);
    idle_.notify_all();
}

void ConnectionTable::answering(ConnectionKey key)
{
    const std::lock_guard lock(mutex_);
    const auto found = connections_.find(key);
    if (found == connections_.end() || found->second.answering)
        return;
    found->second.answering = true;
    ++inFlight_;
}

void ConnectionTable::completed(ConnectionKey key)
{
    const std::lock_guard lock(mutex_);
    const auto found = connections_.find(key);
    if (found == connections_.end())
        return;
    Connection &connection = found->second;
    connection.bytesBefore = bytesReceived(connection.fd);
    connection.receivingSince.reset();
    if (!connection.answering)
        return;
    connection.answering = false;
    --inFlight_;
    idle_.notify_all();
}

void ConnectionTable::closeSlow(core::MonoTime now, core::Millis longest,
                                const std::function<std::string()> &makeAnswer)
{
    const std::lock_guard lock(mutex_);
    for (auto &[key, connection] : connections_) {
        if (connection.answering)
            continue;
        if (bytesReceived(connection.fd) == connection.bytesBefore)
            continue;
        if (!connection.receivingSince)
            connection.receivingSince = now;
        if (now - *connection.receivingSince < longest)
            continue;
        const std::string answer = makeAnswer();
        ::send(connection.fd, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        // The thread of the connection sees the end of input and closes the socket.
        ::shutdown(connection.fd, SHUT_RDWR);
    }
}

void ConnectionTable::waitUntilIdle()
{
    std::unique_lock lock(mutex_);
    idle_.wait(lock, [this] { return inFlight_ == 0; });
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
