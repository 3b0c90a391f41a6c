/** @file connection_table_internal.h The open connections of one server. */
#pragma once

#include "core/clock_type.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace teaselreach::http::detail {

/** Peer address and port of a connection; unique among the open connections of a server. */
using ConnectionKey = std::uint64_t;

/** Tracks open connections and the requests in flight, and closes connections that time out. */
class ConnectionTable
{
public:
    /** Adds a new connection. @param key Its peer. @param fd Its socket. */
    void add(ConnectionKey key, int fd);
    /** Removes a connection; must be called before its socket is closed. */
    void remove(ConnectionKey key);
    /** Marks a completely received request as in flight. */
    void requestReceived(ConnectionKey key);
    /** Ends the request in flight, after its response was sent or abandoned. */
    void requestCompleted(ConnectionKey key);

    /**
     * Sends a response on each connection whose request exceeds the timeout, and closes it.
     * @param now The present time.
     * @param requestTimeout Longest time from the first byte of a request to its last.
     * @param makeResponse Returns the bytes to send before the connection is closed.
     */
    void closeTimedOut(core::MonoTime now, core::Millis requestTimeout,
                       const std::function<std::string()> &makeResponse);

    /** Waits until no request is in flight. */
    void waitUntilIdle();
    /** @return Number of requests in flight. */
    int inFlight() const;

private:
    struct Connection
    {
        int fd = -1;
        bool requestInFlight = false;
        std::uint64_t bytesAtLastCompletion = 0; ///< Received when the last request was completed.
        std::optional<core::MonoTime> receivingSince;
    };

    static std::uint64_t bytesReceived(int fd);

    mutable std::mutex mutex_;
    std::condition_variable noneInFlight_;
    std::unordered_map<ConnectionKey, Connection> connections_;
    int inFlight_ = 0;
};

} // namespace teaselreach::http::detail
