/** @file server_base.h HTTP server based on ulfius; passes complete requests to one handler. */
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

/** A completely received request. */
struct ServerRequest
{
    std::string method;
    std::string path;   ///< Without query.
    std::string target; ///< Path and query as sent.
    Headers headers;
    std::string body;
    core::MonoTime receivedAt;
};

/** The response to a request. */
struct ServerResponse
{
    int status = 200;
    Headers headers;
    std::string body;
    bool closeConnection = false;
};

/** Errors that the server detects before the request handler is called. */
enum class ReceiveError : std::uint8_t { BodyTooLarge, RequestTimeout };

/** Callbacks of a server; both may be called concurrently from several threads. */
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
     * @param options Listening address, size limit and timeouts.
     * @param handlers Callbacks that produce the responses; must not throw.
     * @throws ServerUnavailable if the port cannot be bound.
     */
    Server(ServerOptions options, ServerHandlers handlers);
    /** Stops serving; see stop(). */
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /** Waits until no request is between its handler call and the end of its response. */
    void waitUntilIdle();
    /** Closes all connections and stops. Aborts requests in flight; see waitUntilIdle(). */
    void stop();
    /** @return Number of requests between their handler call and the end of their response. */
    int inFlight() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace teaselreach::http
