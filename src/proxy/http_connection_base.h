/** @file http_connection_base.h HTTP/1.1 client connections and a pool of idle ones. */
#pragma once

#include "core/clock_type.h"
#include "http/http_type.h"
#include "proxy/asio_type.h"
#include "proxy/body_budget_base.h"

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

/** Why an exchange ended without a complete response. */
enum class ExchangeFailure : std::uint8_t {
    None,
    NotConnected, ///< No connection, or no time left; nothing was sent.
    Broken, ///< The connection ended early, or the response was malformed or not the expected one.
    TimedOut,
    Cancelled,
    Superseded, ///< Cancelled because another attempt of the request brought a good response.
};

/** The result of an exchange. */
struct ExchangeResult
{
    ExchangeFailure failure = ExchangeFailure::None;
    HttpResponse response;   ///< Valid if there was no failure.
    BodyReservation body;    ///< What the response's body has taken; keep it as long as the body.
    bool reused = false;     ///< Whether the connection had carried a request before.
    bool headerRead = false; ///< Whether the header section of the response was read.
    bool isTooLong = false;  ///< The response had begun, but did not fit the budget or the time.
    std::string detail;      ///< Error message for logs.
};

/** Timeouts of an exchange. */
struct ExchangeOptions
{
    core::Micros connectTimeout {core::Millis(300)};
    core::MonoTime deadline {}; ///< For the complete response.
    /** Time after sending begins at which mayAbandon is called; zero for never. */
    core::Micros softTimeout {0};
    core::Micros softTimeoutInterval {0}; ///< Time between further calls of mayAbandon.
    /** @return Whether to abandon the exchange because another attempt replaces it. */
    std::function<bool()> mayAbandon;
    /** Charged with the response's body; may have room before the request is sent. The exchange
     * that reads the response takes it. nullptr for a body without an account. */
    std::shared_ptr<BodyReservation> body;
};

/** Cancels an exchange. */
class ExchangeCanceller
{
public:
    /** Closes the connection of the current exchange. One that starts later ends at once. */
    void cancel();
    /** @return Whether cancel() was called. */
    bool cancelled() const { return cancelled_; }

private:
    friend class HttpConnection;
    Socket *socket_ = nullptr;
    bool cancelled_ = false;
};

/** Which request a response belongs to. */
enum class ResponseMatch : std::uint8_t {
    Own,     ///< The request just sent.
    Earlier, ///< An earlier one; the response is skipped.
    Unclear, ///< Either; the response is skipped, and the own one has to follow soon.
};

/** @return Which request a response belongs to. The second argument tells whether the connection
 * had carried a request before. */
using ResponseFilter = std::function<ResponseMatch(const HttpResponse &, bool)>;

/** A client connection that carries one exchange at a time. */
class HttpConnection
{
public:
    /** @param context The event loop. @param target The server.
     * @param budget Bounds the memory of response bodies; nullptr for no bound. */
    HttpConnection(asio::io_context &context, http::Target target,
                   std::shared_ptr<BodyBudget> budget = nullptr);

    /**
     * Sends a request and reads the response; connects first if this is the first exchange.
     * All arguments must outlive the call.
     * @param request The request.
     * @param options Timeouts.
     * @param canceller Cancels the exchange.
     * @param filter Recognizes the response; a few others are skipped before. May be empty.
     */
    asio::awaitable<ExchangeResult> exchange(const HttpRequest &request,
                                             const ExchangeOptions &options,
                                             const std::shared_ptr<ExchangeCanceller> &canceller,
                                             const ResponseFilter &filter);
    /** @return Whether another request may be sent: the connection is open, has no unread bytes and
     * was not idle for too long. */
    bool isReusable(core::MonoTime now);
    /** @return Time since the last response. */
    core::Micros idleFor(core::MonoTime now) const { return now - idleSince_; }
    /** @return The server. */
    const http::Target &target() const { return target_; }

private:
    asio::awaitable<void> connect(core::Micros timeout, ErrorCode &error);
    asio::awaitable<void> readResponse(ExchangeResult &result, const HttpRequest &request,
                                       const ExchangeOptions &options, const ResponseFilter &filter,
                                       ErrorCode &error);
    asio::awaitable<void> readMessage(ExchangeResult &result, const HttpRequest &request,
                                      ErrorCode &error);
    void updateKeepAlive(const HttpResponse &response);

    asio::io_context &context_;
    http::Target target_;
    std::shared_ptr<BodyBudget> budget_;
    Socket socket_;
    boost::beast::flat_buffer buffer_;
    bool used_ = false;
    bool sendFailed_ = false; ///< The last request was not sent as a whole.
    bool mayReuse_ = false;
    core::MonoTime idleSince_ {};
    core::Micros keepAlive_;
};

/** Limits of a ConnectionPool. */
struct ConnectionPoolOptions
{
    /** Idle connections to one server; above it, the oldest are closed. */
    std::size_t maxIdlePerServer = std::numeric_limits<std::size_t>::max();
    /** Bounds the memory of response bodies; nullptr for no bound. */
    std::shared_ptr<BodyBudget> budget = std::make_shared<BodyBudget>();
};

/** Idle connections, grouped by server. */
class ConnectionPool
{
public:
    /** @param context The event loop. @param options Limits. */
    explicit ConnectionPool(asio::io_context &context, ConnectionPoolOptions options = {});

    /**
     * @param maxIdle Longest idle time of a connection that is reused.
     * @return The newest idle connection that can be reused, or a new one that is not connected
     * yet.
     */
    std::unique_ptr<HttpConnection> acquire(core::MonoTime now, const http::Target &target,
                                            core::Micros maxIdle);
    /** @return A new connection that is not connected yet. */
    std::unique_ptr<HttpConnection> open(const http::Target &target) const;
    /** Returns a connection to the pool, or closes it if it cannot be reused. */
    void release(core::MonoTime now, std::unique_ptr<HttpConnection> connection);
    /** Closes idle connections that can no longer be reused. */
    void closeStale(core::MonoTime now);
    /** @return Number of idle connections. */
    std::size_t size() const;

private:
    asio::io_context &context_;
    ConnectionPoolOptions options_;
    std::map<http::Target, std::deque<std::unique_ptr<HttpConnection>>> idle_;
};

} // namespace teaselreach::proxy
