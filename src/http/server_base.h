/** @file server_base.h HTTP server on ulfius that hands whole requests to one handler. */
#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"
#include "http/http_type.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace teaselreach::http {

/** The server could not be started, for example because the port is in use. */
class ServerUnavailable : public core::Error
{
public:
    /** @param what Address, port and cause. */
    explicit ServerUnavailable(const std::string &what)
        : Error("http_server_unavailable", what)
    { }
};

/** Options of a server. */
struct ServerOptions
{
    std::string address; ///< IPv4 number.
    std::uint16_t port = 0;
    std::size_t maxBodyBytes = 1'048'576;
    core::Seconds idleTimeout {60};
    core::Millis requestTimeout {10000}; ///< From the first byte of a request to its last.
};

/** A request that arrived whole. */
struct ServerRequest
{
    std::string method;
    std::string path;   ///< Without query.
    std::string target; ///< Path and query as sent.
    Headers headers;
    std::string body;
    core::MonoTime receivedAt;
};

/** The answer to a request. */
struct ServerResponse
{
    int status = 200;
    Headers headers;
    std::string body;
    bool closeConnection = false;
};

/** Faults of a request that the server notices before the handler could see it. */
enum class ReceiveError : std::uint8_t { BodyTooLarge, RequestTimeout };

/** What a server calls; both functions are called by several threads at a time. */
struct ServerHandlers
{
    std::function<ServerResponse(const ServerRequest &)> onRequest;
    std::function<ServerResponse(ReceiveError)> onFault;
};

/** An ulfius server with a thread for each connection. */
class Server
{
public:
    /**
     * Binds and starts serving.
     * @param options Where to listen and what to accept.
     * @param handlers What answers requests; must not throw.
     * @throws ServerUnavailable if the port cannot be bound.
     */
    Server(ServerOptions options, ServerHandlers handlers);
    /** Stops serving; see stop(). */
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /** Waits until no request is between its handler call and the last byte of its answer. */
    void waitUntilIdle();
    /** Closes all connections and stops. Requests in flight are lost unless waited for. */
    void stop();
    /** @return Number of requests between their handler call and the last byte of the answer. */
    int inFlight() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace teaselreach::http
