/** @file caller_session.cpp HTTP/1.1 server for callers with pipelining. */
#include "core/log_func.h"
#include "http/server_base.h"
#include "proxy/caller_session_base.h"
#include "proxy/event_loop_func.h"

#include <algorithm>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace teaselreach::proxy {

namespace {

/** Limit of pending requests per connection; reading pauses while it is reached. */
constexpr std::size_t maxPipelined = 16;
/** How long a connection is read after the caller has acknowledged its last response. Unread bytes
 * would cause a reset, which could reach the caller before the response. */
constexpr core::Millis lingerTime {500};
/** Longest time that a connection waits for a caller that acknowledges its responses slowly. */
constexpr core::Seconds maxUnacknowledgedTime {30};
/** Limit of the connections of a server that wait for a caller after their last response. */
constexpr std::size_t maxLingering = 512;
/** Time for which the first request of a new connection is likely to be on its way. */
constexpr core::Millis arrivalTime {100};
/** Size of the buffer for input that is discarded. */
constexpr std::size_t discardReadBytes = 16384;
/** Pause after a failed accept, which usually means that file descriptors ran out. */
constexpr core::Millis acceptPause {50};

/** Retry-After of a request whose body finds no room: a few typical execution times. */
constexpr const char *noRoomRetryAfter = "1";

RequestReadError readErrorOf(const ErrorCode &error)
{
    if (error == beasthttp::error::header_limit)
        return RequestReadError::HeaderTooLarge;
    if (error == beasthttp::error::body_limit)
        return RequestReadError::BodyTooLarge;
    if (error == asio::error::no_memory)
        return RequestReadError::NoRoom;
    return RequestReadError::Malformed;
}

/** @return The reason in logs; these names do not change. */
std::string_view readErrorName(RequestReadError error)
{
    switch (error) {
    case RequestReadError::HeaderTooLarge:
        return "header_too_large";
    case RequestReadError::BodyTooLarge:
        return "body_too_large";
    case RequestReadError::TooSlow:
        return "too_slow";
    case RequestReadError::NoRoom:
        return "no_room";
    case RequestReadError::Malformed:
        break;
    }
    return "malformed";
}

beasthttp::status statusOf(RequestReadError error)
{
    switch (error) {
    case RequestReadError::HeaderTooLarge:
        return beasthttp::status::request_header_fields_too_large;
    case RequestReadError::BodyTooLarge:
        return beasthttp::status::payload_too_large;
    case RequestReadError::NoRoom:
        return beasthttp::status::service_unavailable;
    case RequestReadError::Malformed:
    case RequestReadError::TooSlow:
        break;
    }
    return beasthttp::status::bad_request;
}

/** @return A response without a body to a request that could not be read. */
HttpResponse plainErrorResponse(RequestReadError error)
{
    HttpResponse response(statusOf(error), httpVersion11);
    if (error == RequestReadError::NoRoom)
        response.set(beasthttp::field::retry_after, noRoomRetryAfter);
    response.prepare_payload();
    return response;
}

/** @return A response to a request that failed within this process. It does not say whether the
 * request has run. */
HttpResponse makeInternalErrorResponse()
{
    HttpResponse response(beasthttp::status::internal_server_error, httpVersion11);
    response.prepare_payload();
    return response;
}

/** @return Whether the other side has closed a connection, also if bytes of it are still unread. */
bool isClosedByPeer(int socket)
{
    pollfd state {.fd = socket, .events = POLLRDHUP};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/** @return Number of bytes that were sent and that the other side has not acknowledged; 0 if the
 * system does not tell. Until then, a reset of the connection discards them. */
int unacknowledgedBytes(int socket)
{
    int bytes = 0;
    return ioctl(socket, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

bool isProtocolError(const ErrorCode &error)
{
    return error.category() == beasthttp::make_error_code(beasthttp::error::bad_method).category()
        && error != beasthttp::error::end_of_stream && error != beasthttp::error::partial_message;
}

} // namespace

CallerSession::CallerSession(Socket socket, const CallerHandlers &handlers)
    : socket_(std::move(socket))
    , handlers_(handlers)
    , slotFreed_(socket_.get_executor())
    , idleSince_(core::MonoClock::now())
{
    ErrorCode ignored; // Without TCP_NODELAY the connection is only slower.
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<void> CallerSession::run()
{
    const auto self = shared_from_this();
    while (!ended_ && !stopReading_) {
        std::unique_ptr<Reader> reader;
        if (!co_await readRequest(reader) || stopReading_)
            break;
        startRequest(reader->release());
        co_await waitForPipelineSlot();
    }
    if (stopReading_ && !ended_)
        co_await discardUntilDisconnect();
    if (!ended_ && !lingering_)
        handleDisconnect();
}

/** Discards input while the last responses are pending, to detect a disconnect of the caller. */
asio::awaitable<void> CallerSession::discardUntilDisconnect()
{
    const auto self = shared_from_this();
    std::string discarded(discardReadBytes, '\0');
    ErrorCode error;
    while (!error && !ended_ && !lingering_)
        co_await socket_.async_read_some(asio::buffer(discarded), captureError(error));
}

/** Reads one request. @return Whether it is complete; errors of the sender are answered here. */
asio::awaitable<bool> CallerSession::readRequest(std::unique_ptr<Reader> &reader)
{
    ErrorCode error;
    if (buffer_.size() == 0)
        co_await socket_.async_wait(Socket::wait_read, captureError(error));
    if (error || ended_)
        co_return false;
    readingSince_ = core::MonoClock::now();
    reading_ = true;
    headerRead_ = false;
    const SessionLimits limits = handlers_.limits();
    reader = std::make_unique<Reader>(socket_, buffer_,
                                      MessageLimits {.maxSectionBytes = limits.maxHeaderBytes,
                                                     .maxBodyBytes = limits.maxBodyBytes});
    co_await reader->readHeader(error);
    headerRead_ = !error;
    if (!error)
        co_await readBody(*reader, error);
    reading_ = false;
    if (!error)
        co_return true;
    if (tooSlow_ && !ended_)
        rejectUnreadable(RequestReadError::TooSlow);
    else if ((isProtocolError(error) || error == asio::error::no_memory) && !ended_)
        rejectUnreadable(readErrorOf(error));
    co_return false;
}

/** Reads the body, if the process has room for it. */
asio::awaitable<void> CallerSession::readBody(Reader &reader, ErrorCode &error)
{
    const HttpRequest::header_type &header = reader.parser().get().base();
    readingBody_ = BodyReservation(handlers_.budget,
                                   handlers_.accountOf ? handlers_.accountOf(header)
                                                       : core::ClientAccountId());
    reader.reserveStatedBody(readingBody_, error);
    while (!error && !reader.parser().is_done()) {
        bodyReadAt_ = core::MonoClock::now();
        co_await reader.readSome(readingBody_, error);
    }
    if (error == asio::error::no_memory)
        readingBody_.logRefusal(std::max<std::size_t>(reader.parser().content_length().value_or(0),
                                                      reader.parser().get().body().size()));
    if (error)
        readingBody_.release();
}

asio::awaitable<void> CallerSession::waitForPipelineSlot()
{
    while (pending_.size() >= maxPipelined && !ended_) {
        waitingForSlot_ = true;
        slotFreed_.expires_at(asio::steady_timer::time_point::max());
        ErrorCode cancelled; // Cancelled each time a response was written.
        co_await slotFreed_.async_wait(captureError(cancelled));
    }
    waitingForSlot_ = false;
}

void CallerSession::startRequest(HttpRequest request)
{
    auto exchange = std::make_shared<CallerExchange>();
    stopReading_ = !request.keep_alive();
    exchange->request = std::move(request);
    exchange->requestBody = std::move(readingBody_);
    exchange->receivedAt = core::MonoClock::now();
    pending_.push_back(exchange);
    spawn(
        socket_.get_executor(), "caller_request",
        [self = shared_from_this(), exchange]() { return self->handleRequest(exchange); },
        [self = shared_from_this()] { self->handleDisconnect(); });
}

void CallerSession::rejectUnreadable(RequestReadError error)
{
    core::logEvent(core::LogLevel::Info, "request_unreadable", {{"reason", readErrorName(error)}});
    auto exchange = std::make_shared<CallerExchange>();
    exchange->response =
        handlers_.errorResponse ? handlers_.errorResponse(error) : plainErrorResponse(error);
    exchange->responseReady = true;
    stopReading_ = true;
    pending_.push_back(exchange);
    startWriter();
}

asio::awaitable<void> CallerSession::handleRequest(std::shared_ptr<CallerExchange> exchange)
{
    const auto self = shared_from_this();
    try {
        co_await handlers_.serve(exchange);
    } catch (const std::exception &) {
        core::reportTaskFailure("serve_request", std::current_exception());
        exchange->response = makeInternalErrorResponse();
    }
    std::string().swap(exchange->request.body());
    exchange->requestBody.release();
    exchange->responseReady = true;
    startWriter();
}

void CallerSession::startWriter()
{
    if (writing_ || ended_)
        return;
    writing_ = true;
    writtenAt_ = core::MonoClock::now();
    spawn(
        socket_.get_executor(), "caller_response",
        [self = shared_from_this()]() { return self->writeResponses(); },
        [self = shared_from_this()] { self->handleDisconnect(); });
}

asio::awaitable<void> CallerSession::writeResponses()
{
    const auto self = shared_from_this();
    while (!ended_ && !pending_.empty() && pending_.front()->responseReady) {
        const std::shared_ptr<CallerExchange> exchange = pending_.front();
        const bool last = pending_.size() == 1
            && (stopReading_ || exchange->closeAfterResponse || handlers_.shouldClose());
        // The close after this response would cut off any further request.
        stopReading_ = stopReading_ || last;
        exchange->response.keep_alive(!last);
        if (exchange->request.method() == beasthttp::verb::head)
            exchange->response.body().clear(); // The fields describe the body of a GET.
        ErrorCode error;
        co_await writeMessage(exchange->response, error);
        if (ended_)
            co_return;
        pending_.pop_front();
        idleSince_ = core::MonoClock::now();
        slotFreed_.cancel();
        if (error) {
            handleDisconnect();
            co_return;
        }
        if (last) {
            co_await lingerAndClose();
            co_return;
        }
    }
    writing_ = false;
}

/** Writes a response and records when its bytes leave. */
asio::awaitable<void> CallerSession::writeMessage(HttpResponse &response, ErrorCode &error)
{
    beasthttp::response_serializer<beasthttp::string_body> serializer(response);
    while (!error && !serializer.is_done()) {
        writtenAt_ = core::MonoClock::now();
        co_await beasthttp::async_write_some(socket_, serializer, captureError(error));
    }
}

asio::awaitable<void> CallerSession::lingerAndClose()
{
    const auto self = shared_from_this();
    ErrorCode error;
    lingering_ = true;
    acknowledgedAt_ = core::MonoClock::now();
    socket_.cancel(error);
    socket_.shutdown(Socket::shutdown_send, error);
    std::string discarded(discardReadBytes, '\0');
    while (!error && !ended_)
        co_await socket_.async_read_some(asio::buffer(discarded), captureError(error));
    handleDisconnect();
}

bool CallerSession::isAwaitingAcknowledgement(core::MonoTime now)
{
    const int unacknowledged = unacknowledgedBytes(socket_.native_handle());
    if (unacknowledged != unacknowledged_) {
        unacknowledged_ = unacknowledged;
        progressAt_ = now;
    }
    return unacknowledged > 0 && now - progressAt_ <= handlers_.limits().idleTimeout
        && now - idleSince_ <= maxUnacknowledgedTime;
}

void CallerSession::continueLinger(core::MonoTime now)
{
    if (isAwaitingAcknowledgement(now))
        acknowledgedAt_ = now;
    else if (now - acknowledgedAt_ >= lingerTime)
        close();
}

void CallerSession::handleDisconnect()
{
    close();
    for (const auto &exchange : pending_) {
        exchange->callerLeft = true;
        if (exchange->onCallerLeft)
            exchange->onCallerLeft();
    }
    pending_.clear();
}

void CallerSession::close()
{
    ended_ = true;
    slotFreed_.cancel();
    ErrorCode ignored; // The connection is discarded either way.
    socket_.close(ignored);
}

void CallerSession::closeIfStale(core::MonoTime now)
{
    if (ended_)
        return;
    if (lingering_) {
        continueLinger(now);
        return;
    }
    // Nothing is read meanwhile, so no read would show that the caller has left.
    if (waitingForSlot_ && isClosedByPeer(socket_.native_handle())) {
        handleDisconnect();
        return;
    }
    const SessionLimits limits = handlers_.limits();
    if (writing_ && now - writtenAt_ > limits.idleTimeout)
        handleDisconnect();
    if (ended_ || !pending_.empty())
        return;
    const core::Micros reading = now - readingSince_;
    const bool slowHeader = reading_ && !headerRead_ && reading > limits.headerTimeout;
    const bool slowRequest =
        reading_ && limits.requestTimeout > core::Micros(0) && reading > limits.requestTimeout;
    const bool stoppedBody = reading_ && headerRead_ && now - bodyReadAt_ > limits.idleTimeout;
    const bool idle = !reading_ && now - idleSince_ > limits.idleTimeout;
    if ((slowHeader || slowRequest || stoppedBody) && handlers_.errorResponse) {
        tooSlow_ = true;
        ErrorCode ignored; // The pending read fails, and readRequest() sends the error response.
        socket_.cancel(ignored);
    } else if ((slowHeader || slowRequest || stoppedBody || idle)
               && !isAwaitingAcknowledgement(now)) {
        close();
    }
}

void CallerSession::closeIfIdle(core::MonoTime now)
{
    if (!ended_ && pending_.empty() && !reading_ && !lingering_ && now - idleSince_ > arrivalTime
        && !isAwaitingAcknowledgement(now))
        close();
}

CallerServer::CallerServer(asio::io_context &context, const std::string &address,
                           std::uint16_t port, CallerHandlers handlers)
    : context_(context)
    , acceptor_(context)
    , handlers_(std::move(handlers))
{
    ErrorCode error;
    const auto number = asio::ip::make_address_v4(address, error);
    if (!error)
        acceptor_.open(asio::ip::tcp::v4(), error);
    if (!error)
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor_.bind({number, port}, error);
    if (!error)
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        throw http::ServerUnavailable(address + ":" + std::to_string(port) + ": "
                                      + error.message());
    spawn(context_, "accept_connections", [this]() { return acceptConnections(); });
}

asio::awaitable<void> CallerServer::acceptConnections()
{
    while (acceptor_.is_open()) {
        Socket socket(context_);
        ErrorCode error;
        co_await acceptor_.async_accept(socket, captureError(error));
        if (!acceptor_.is_open())
            co_return;
        if (error) {
            asio::steady_timer pause(context_, acceptPause);
            ErrorCode ignored; // Nothing cancels the pause.
            co_await pause.async_wait(captureError(ignored));
            continue;
        }
        core::runGuarded("start_session", [&] { startSession(std::move(socket)); });
    }
}

void CallerServer::startSession(Socket socket)
{
    auto session = std::make_shared<CallerSession>(std::move(socket), handlers_);
    sessions_.insert(session);
    spawn(
        context_, "caller_session", [session]() { return session->run(); },
        [session] { session->handleDisconnect(); });
}

void CallerServer::closeStale(core::MonoTime now)
{
    std::vector<std::shared_ptr<CallerSession>> lingering;
    for (const auto &session : sessions_) {
        session->closeIfStale(now);
        if (session->lingers())
            lingering.push_back(session);
    }
    if (lingering.size() > maxLingering) {
        std::sort(lingering.begin(), lingering.end(),
                  [](const auto &a, const auto &b) { return a->idleSince() < b->idleSince(); });
        lingering.resize(lingering.size() - maxLingering);
        for (const auto &session : lingering)
            session->handleDisconnect();
    }
    std::erase_if(sessions_, [](const auto &session) { return session->ended(); });
}

void CallerServer::stopAccepting()
{
    ErrorCode ignored; // No connection is accepted either way.
    acceptor_.close(ignored);
}

void CallerServer::closeIdle(core::MonoTime now)
{
    for (const auto &session : sessions_)
        session->closeIfIdle(now);
}

std::size_t CallerServer::pending() const
{
    std::size_t count = 0;
    for (const auto &session : sessions_)
        count += session->pending();
    return count;
}

} // namespace teaselreach::proxy
