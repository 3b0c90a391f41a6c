/** @file caller_session_base.h Connections of callers: reading, pipelining, answers in order. */
#pragma once

#include "core/clock_type.h"
#include "proxy/asio_type.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace teaselreach::proxy {

/** One request of a caller and the place of its answer. */
struct CallerExchange
{
    HttpRequest request;
    core::MonoTime receivedAt {};
    HttpResponse response;
    bool responseReady = false;
    bool callerLeft = false;
    bool closeAfterResponse = false;    ///< The connection is closed after the answer.
    std::function<void()> onCallerLeft; ///< Set by whoever works on the request.
};

/** What callers may send; changes with the configuration. */
struct SessionLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 1048576;
    core::Micros headerTimeout {core::Seconds(3)};
    core::Micros idleTimeout {core::Seconds(15)};
    core::Micros requestTimeout {0}; ///< From the first byte to the last; zero for none.
};

/** Why a request cannot be read. */
enum class RequestReadError : std::uint8_t { Malformed, HeaderTooLarge, BodyTooLarge, TooSlow };

/** What a server does with requests. */
struct CallerHandlers
{
    /** Fills the response of the exchange. */
    std::function<asio::awaitable<void>(std::shared_ptr<CallerExchange>)> serve;
    /** @return The limits in force. */
    std::function<SessionLimits()> limits;
    /** @return Whether connections are to be closed after the present answer. */
    std::function<bool()> shouldClose;
    /** Makes the answer to a request that cannot be read. If empty, it is a plain status, and none
     * for a slow sender. */
    std::function<HttpResponse(RequestReadError)> errorResponse;
};

/** One connection of a caller. */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    /** @param socket The accepted connection. @param handlers Must outlive the session. */
    CallerSession(Socket socket, const CallerHandlers &handlers);

    /** Reads requests until the connection ends. */
    asio::awaitable<void> run();
    /** Closes the connection if it has been idle, or slow with a header, for too long. */
    void closeIfStale(core::MonoTime now);
    /** Closes the connection if no request is under way. */
    void closeIfIdle();
    /** @return Whether the connection has ended. */
    bool ended() const { return ended_; }
    /** @return Requests that have not been answered. */
    std::size_t pending() const { return pending_.size(); }

private:
    using Parser = beasthttp::request_parser<beasthttp::string_body>;

    asio::awaitable<bool> readRequest(std::unique_ptr<Parser> &parser);
    asio::awaitable<void> waitForPipelineSlot();
    asio::awaitable<void> handleRequest(std::shared_ptr<CallerExchange> exchange);
    asio::awaitable<void> writeResponses();
    asio::awaitable<void> discardUntilDisconnect();
    asio::awaitable<void> lingerAndClose();
    void startRequest(HttpRequest request);
    void rejectUnreadable(RequestReadError error);
    void startWriter();
    void handleDisconnect();
    void close();

    Socket socket_;
    const CallerHandlers &handlers_;
    boost::beast::flat_buffer buffer_;
    std::deque<std::shared_ptr<CallerExchange>> pending_;
    asio::steady_timer slotFreed_;
    core::MonoTime idleSince_;
    core::MonoTime readingSince_ {};
    bool reading_ = false;
    bool headerRead_ = false;
    bool writing_ = false;
    bool stopReading_ = false; ///< Nothing is read after the answers that are due.
    bool tooSlow_ = false;     ///< The sender is to be told so.
    bool lingering_ = false;   ///< The last answer is out; only the caller's end is awaited.
    bool ended_ = false;
};

/** Accepts connections at one address. */
class CallerServer
{
public:
    /**
     * @param context The event loop.
     * @param address IPv4 number. @param port Port.
     * @param handlers What to do with requests.
     * @throws http::ServerUnavailable if the address cannot be bound.
     */
    CallerServer(asio::io_context &context, const std::string &address, std::uint16_t port,
                 CallerHandlers handlers);

    /** Closes stale connections; call it every few hundred milliseconds. */
    void closeStale(core::MonoTime now);
    /** Accepts no further connections. */
    void stopAccepting();
    /** Closes all connections without a request under way. */
    void closeIdle();
    /** @return Requests under way. */
    std::size_t pending() const;
    /** @return The port that is bound, also if 0 was asked for. */
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    /** @return Open connections. */
    std::size_t size() const { return sessions_.size(); }

private:
    asio::awaitable<void> acceptConnections();

    asio::io_context &context_;
    asio::ip::tcp::acceptor acceptor_;
    CallerHandlers handlers_;
    std::set<std::shared_ptr<CallerSession>> sessions_;
};

} // namespace teaselreach::proxy
