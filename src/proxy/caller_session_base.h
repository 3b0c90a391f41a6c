/** @file caller_session_base.h HTTP/1.1 server for callers with pipelining. */
#pragma once

#include "core/clock_type.h"
#include "proxy/asio_type.h"
#include "proxy/body_budget_base.h"
#include "proxy/execution_evidence_base.h"
#include "proxy/message_reader_base.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace teaselreach::proxy {

/** One request of a caller and its response. */
struct CallerExchange
{
    HttpRequest request;
    BodyReservation requestBody; ///< What the request's body has taken.
    core::MonoTime receivedAt {};
    ExecutionEvidence evidence; ///< Recorded by the RequestLoop.
    HttpResponse response;
    BodyReservation responseBody; ///< What the response's body has taken.
    bool responseReady = false;
    bool callerLeft = false;
    /** Close the connection after the response, unless further requests are pending. */
    bool closeAfterResponse = false;
    std::function<void()> onCallerLeft; ///< Called on a disconnect; set by the request handler.
};

/** Size and time limits of requests; they change with the configuration. */
struct SessionLimits
{
    std::size_t maxHeaderBytes = 16384; ///< Also of a trailer section, and of a chunk's line.
    std::size_t maxBodyBytes = 1048576;
    core::Micros headerTimeout {core::Seconds(3)};
    core::Micros idleTimeout {core::Seconds(15)};
    core::Micros requestTimeout {0}; ///< From the first byte to the last; zero for no limit.
};

/** Why a request could not be read. */
enum class RequestReadError : std::uint8_t {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    TooSlow,
    NoRoom, ///< The bodies that the process holds leave no room for this one now.
};

/** Callbacks of a CallerServer. */
struct CallerHandlers
{
    /** Handles a request and fills the response of the exchange. */
    std::function<asio::awaitable<void>(std::shared_ptr<CallerExchange>)> serve;
    /** @return The limits in force. */
    std::function<SessionLimits()> limits;
    /** @return Whether connections are closed after the current response. */
    std::function<bool()> shouldClose;
    /** Makes the response to a request that could not be read. If empty, the response is a status
     * without a body, and the connection of a slow sender is closed without a response. */
    std::function<HttpResponse(RequestReadError)> errorResponse;
    /** Bounds the memory of request bodies; nullptr for no bound. */
    std::shared_ptr<BodyBudget> budget;
    /** @return The account that holds the body of a request, empty for none. If the function is
     * empty, no request has an account. */
    std::function<core::ClientAccountId(const HttpRequest::header_type &)> accountOf = {};
};

/** One connection of a caller. Handles pipelined requests concurrently and sends the responses in
 * request order. */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    /** @param socket The accepted connection. @param handlers Must outlive the session. */
    CallerSession(Socket socket, const CallerHandlers &handlers);

    /** Reads requests until the connection ends or accepts no further requests. */
    asio::awaitable<void> run();
    /** Ends the connection if no request is pending and it exceeded the idle, header or request
     * timeout, or sent nothing of a body for the idle timeout; if the caller has read nothing of a
     * response for the idle timeout; or if it has left while no further requests are read. A sender
     * that is too slow first receives an error response if there is a handler for it. After the
     * last response, ends the connection once the caller has acknowledged it. */
    void closeIfStale(core::MonoTime now);
    /** Closes the connection if no request is pending, being read or likely to be on its way, and
     * the caller has acknowledged all responses. */
    void closeIfIdle(core::MonoTime now);
    /** Closes the connection and gives up the requests that are pending on it. */
    void handleDisconnect();
    /** @return Whether the connection is closed. */
    bool ended() const { return ended_; }
    /** @return Number of requests whose response has not been sent. */
    std::size_t pending() const { return pending_.size(); }
    /** @return Whether the last response was sent and the connection waits for the caller. */
    bool lingers() const { return lingering_ && !ended_; }
    /** @return When the latest response was sent. */
    core::MonoTime idleSince() const { return idleSince_; }

private:
    using Reader = MessageReader<true>;

    asio::awaitable<bool> readRequest(std::unique_ptr<Reader> &reader);
    asio::awaitable<void> readBody(Reader &reader, ErrorCode &error);
    asio::awaitable<void> waitForPipelineSlot();
    asio::awaitable<void> handleRequest(std::shared_ptr<CallerExchange> exchange);
    asio::awaitable<void> writeResponses();
    asio::awaitable<void> writeMessage(HttpResponse &response, ErrorCode &error);
    asio::awaitable<void> discardUntilDisconnect();
    asio::awaitable<void> lingerAndClose();
    void startRequest(HttpRequest request);
    void rejectUnreadable(RequestReadError error);
    void startWriter();
    void close();
    /** @return Whether the caller has yet to acknowledge bytes of the responses, which a close may
     * discard. False once it has acknowledged none for the idle timeout. */
    bool isAwaitingAcknowledgement(core::MonoTime now);
    void continueLinger(core::MonoTime now);

    Socket socket_;
    const CallerHandlers &handlers_;
    boost::beast::flat_buffer buffer_;
    BodyReservation readingBody_; ///< What the body of the request being read has taken.
    std::deque<std::shared_ptr<CallerExchange>> pending_;
    asio::steady_timer slotFreed_;
    core::MonoTime idleSince_;
    core::MonoTime readingSince_ {};
    core::MonoTime bodyReadAt_ {};     ///< Last time that bytes of the request's body were read.
    core::MonoTime writtenAt_ {};      ///< Last time that bytes of a response were written.
    core::MonoTime acknowledgedAt_ {}; ///< Since when the caller has acknowledged all responses.
    core::MonoTime progressAt_ {};     ///< Last change of the number of unacknowledged bytes.
    int unacknowledged_ = 0;
    bool reading_ = false;
    bool headerRead_ = false;
    bool waitingForSlot_ = false; ///< Nothing is read until a response has been sent.
    bool writing_ = false;        ///< The writer runs, but may wait for the caller to read.
    bool stopReading_ = false;    ///< No further requests are read; pending ones are answered.
    bool tooSlow_ = false;        ///< The request being read timed out; its sender gets an error.
    bool lingering_ = false;      ///< The last response is sent; the caller has yet to close.
    bool ended_ = false;
};

/** Accepts connections of callers at one address. */
class CallerServer
{
public:
    /**
     * @param context The event loop.
     * @param address IPv4 address. @param port Port; 0 for any free one.
     * @param handlers Callbacks.
     * @throws http::ServerUnavailable if the address cannot be bound.
     */
    CallerServer(asio::io_context &context, const std::string &address, std::uint16_t port,
                 CallerHandlers handlers);

    /** Ends connections that exceeded a timeout and forgets closed ones; call it every few hundred
     * milliseconds. */
    void closeStale(core::MonoTime now);
    /** Stops accepting connections. */
    void stopAccepting();
    /** Closes all connections without a pending request, one being read or one that is likely to
     * be on its way. */
    void closeIdle(core::MonoTime now);
    /** @return Number of requests whose response has not been sent. */
    std::size_t pending() const;
    /** @return The bound port, also if port 0 was requested. */
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    /** @return Number of connections. */
    std::size_t size() const { return sessions_.size(); }

private:
    asio::awaitable<void> acceptConnections();
    void startSession(Socket socket);

    asio::io_context &context_;
    asio::ip::tcp::acceptor acceptor_;
    CallerHandlers handlers_;
    std::set<std::shared_ptr<CallerSession>> sessions_;
};

} // namespace teaselreach::proxy
