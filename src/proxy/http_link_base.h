/** @file http_link_base.h One HTTP/1.1 connection to a server, and idle ones for reuse. */
#pragma once

#include "core/clock_type.h"
#include "http/http_type.h"
#include "proxy/asio_type.h"

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace teaselreach::proxy {

/** @return The server at "ADDRESS:PORT"; port 0 if the text is not of that form. */
http::Target parseTarget(const std::string &text);

/** Why an exchange ended without a whole answer. */
enum class ExchangeFailure : std::uint8_t {
    None,
    NotConnected, ///< Nothing was sent.
    Broken,       ///< Cut, or not an answer in the protocol.
    TimedOut,
    Cancelled,
};

/** The end of an exchange. */
struct ExchangeResult
{
    ExchangeFailure failure = ExchangeFailure::None;
    HttpResponse response; ///< Set if there was no failure.
    bool reused = false;   ///< Whether the connection had carried a request before.
    std::string detail;    ///< For logs: the library's message.
};

/** Times of an exchange. */
struct ExchangeOptions
{
    core::Micros connectTimeout {core::Millis(300)};
    core::MonoTime deadline {}; ///< For the whole answer.
    /** Time after which mayAbandon is asked; zero for never. */
    core::Micros softTimeout {0};
    core::Micros softTimeoutInterval {0}; ///< After which it is asked again.
    /** Whether the attempt is to be given up, because another will be made. */
    std::function<bool()> mayAbandon;
};

/** Ends an exchange from outside. */
class ExchangeCanceller
{
public:
    /** Closes the connection of the exchange under way, now or as soon as there is one. */
    void cancel();
    /** @return Whether cancel() was called. */
    bool cancelled() const { return cancelled_; }

private:
    friend class HttpConnection;
    Socket *socket_ = nullptr;
    bool cancelled_ = false;
};

/** Decides whether an answer belongs to the request just sent; others are skipped. */
using ResponseFilter = std::function<bool(const HttpResponse &)>;

/** One connection. Not for several exchanges at a time. */
class HttpConnection
{
public:
    /** @param context The event loop. @param target The server. */
    HttpConnection(asio::io_context &context, http::Target target);

    /**
     * Sends a request and reads its answer; connects first if there is no connection.
     * All arguments must outlive the call.
     * @param request The request.
     * @param options Times.
     * @param canceller Ends the exchange early.
     * @param filter Accepts the answer; a few others are skipped. May be empty.
     */
    asio::awaitable<ExchangeResult> exchange(const HttpRequest &request,
                                             const ExchangeOptions &options,
                                             const std::shared_ptr<ExchangeCanceller> &canceller,
                                             const ResponseFilter &filter);
    /** @return Whether the connection is open, silent and fresh enough for another request. */
    bool isReusable(core::MonoTime now);
    /** @return Time since the last answer. */
    core::Micros idleFor(core::MonoTime now) const { return now - idleSince_; }
    /** @return The server. */
    const http::Target &target() const { return target_; }

private:
    asio::awaitable<void> connect(core::Micros timeout, ErrorCode &error);
    asio::awaitable<void> readResponse(ExchangeResult &result, const HttpRequest &request,
                                       const ResponseFilter &filter, ErrorCode &error);
    void updateKeepAlive(const HttpResponse &response);

    asio::io_context &context_;
    http::Target target_;
    Socket socket_;
    boost::beast::flat_buffer buffer_;
    bool used_ = false;
    bool mayReuse_ = false;
    core::MonoTime idleSince_ {};
    core::Micros keepAlive_;
};

/** Bounds of a ConnectionPool. */
struct ConnectionPoolOptions
{
    /** Idle connections to one server; the oldest are closed. */
    std::size_t maxIdlePerServer = std::numeric_limits<std::size_t>::max();
};

/** Idle connections by server. */
class ConnectionPool
{
public:
    /** @param context The event loop. @param options Bounds. */
    explicit ConnectionPool(asio::io_context &context, ConnectionPoolOptions options = {});

    /**
     * @param maxIdle Longest idle time that the connection may have had.
     * @return An idle connection, or a new one that is not connected yet.
     */
    std::unique_ptr<HttpConnection> acquire(core::MonoTime now, const http::Target &target,
                                            core::Micros maxIdle);
    /** Keeps a connection for reuse if it can be reused. */
    void release(core::MonoTime now, std::unique_ptr<HttpConnection> connection);
    /** Closes connections that cannot be reused any more. */
    void closeStale(core::MonoTime now);
    /** @return Kept connections. */
    std::size_t size() const;

private:
    asio::io_context &context_;
    ConnectionPoolOptions options_;
    std::map<http::Target, std::deque<std::unique_ptr<HttpConnection>>> idle_;
};

} // namespace teaselreach::proxy
