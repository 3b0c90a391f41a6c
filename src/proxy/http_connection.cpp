/** @file http_connection.cpp HTTP/1.1 client connections and a pool of idle ones. */
#include "proxy/http_connection_base.h"
#include "proxy/message_reader_base.h"

#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace teaselreach::proxy {

namespace {

/** Limit of skipped responses to earlier requests; one more ends the exchange as broken. */
constexpr int maxSkippedResponses = 4;
/** Time for the own response to follow one that may belong to an earlier request. */
constexpr core::Millis unclearResponseWait {250};
/** Time between two checks for room in the budget of bodies. */
constexpr core::Millis budgetCheckInterval {20};
/** Limit of informational responses (1xx) before a response. */
constexpr int maxInformational = 8;
/** Limits of a response. */
constexpr MessageLimits responseLimits {.maxSectionBytes = std::size_t {64} * 1024,
                                        .maxBodyBytes = std::uint64_t {64} * 1024 * 1024};
/** How long an idle connection is kept if the server sends no Keep-Alive timeout. */
constexpr core::Micros defaultKeepAlive {core::Seconds(4)};
/** Subtracted from the server's Keep-Alive timeout, for the transit time of a request and late
 * timers. */
constexpr core::Micros keepAliveMargin {core::Millis(1500)};

/** TCP_KEEPIDLE: seconds without traffic before a keep-alive probe. */
constexpr int tcpKeepAliveIdle = 1;
/** TCP_KEEPINTVL: seconds until an unanswered probe ends the connection. */
constexpr int tcpKeepAliveInterval = 1;
/** TCP_USER_TIMEOUT: milliseconds for which sent bytes may stay unacknowledged. */
constexpr int tcpUserTimeout = 2000;

/**
 * Makes the kernel end a connection whose peer no longer responds. A connection may break without
 * a reset, and a watch call on it would otherwise wait until its own timeout.
 */
void enableTcpKeepAlive(int socket)
{
    const int on = 1;
    const int probes = 1;
    // Errors are ignored: without these options, the timeouts of the exchanges still apply.
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &tcpKeepAliveIdle, sizeof(tcpKeepAliveIdle));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &tcpKeepAliveInterval,
               sizeof(tcpKeepAliveInterval));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeout, sizeof(tcpUserTimeout));
}

/** Closes a socket when its time expires, unless it is disarmed first. */
class CloseTimer
{
public:
    CloseTimer(asio::io_context &context, Socket &socket)
        : timer_(context)
        , state_(std::make_shared<State>())
    {
        state_->socket = &socket;
    }
    ~CloseTimer() { disarm(); }
    CloseTimer(const CloseTimer &) = delete;
    CloseTimer &operator=(const CloseTimer &) = delete;

    void arm(core::Micros time)
    {
        arm(time, core::Micros(0), [] { return true; });
    }
    /** @param mayClose Called when the time expires, and again after each interval until it returns
     * true. */
    void arm(core::Micros time, core::Micros interval, std::function<bool()> mayClose)
    {
        timer_.expires_after(time);
        timer_.async_wait(
            [this, interval, state = state_, mayClose = std::move(mayClose)](ErrorCode error) {
                if (error || state->socket == nullptr)
                    return;
                if (!mayClose()) {
                    arm(interval, interval, mayClose);
                    return;
                }
                state->fired = true;
                ErrorCode ignored; // The socket is discarded either way.
                state->socket->close(ignored);
            });
    }
    void disarm()
    {
        state_->socket = nullptr;
        timer_.cancel();
    }
    bool fired() const { return state_->fired; }

private:
    struct State
    {
        Socket *socket = nullptr;
        bool fired = false;
    };
    asio::steady_timer timer_;
    std::shared_ptr<State> state_;
};

/** Lets a canceller close the socket within a scope. */
struct CancelScope
{
    CancelScope(Socket *&slot, Socket &socket)
        : slot_(slot)
    {
        slot_ = &socket;
    }
    ~CancelScope() { slot_ = nullptr; }
    CancelScope(const CancelScope &) = delete;
    CancelScope &operator=(const CancelScope &) = delete;

private:
    Socket *&slot_;
};

std::optional<core::Micros> parseKeepAliveTimeout(std::string_view value)
{
    constexpr std::string_view field = "timeout=";
    const std::size_t at = value.find(field);
    if (at == std::string_view::npos)
        return std::nullopt;
    int seconds = 0;
    const char *begin = value.data() + at + field.size();
    const auto [end, error] = std::from_chars(begin, value.data() + value.size(), seconds);
    if (error != std::errc() || seconds < 0)
        return std::nullopt;
    return core::Seconds(seconds);
}

/** @return Whether a status is one that HTTP defines and that a request may get. No request asks
 * for another protocol (101). */
bool isFinalOrInterim(const HttpResponse &response)
{
    return statusClassOf(response) != beasthttp::status_class::unknown
        && response.result() != beasthttp::status::switching_protocols;
}

/** Waits until the budget has room for a body of a stated length, at most until the exchange ends.
 */
asio::awaitable<void> waitForRoom(MessageReader<false> &reader, Socket &socket,
                                  BodyReservation &body, ErrorCode &error)
{
    reader.reserveStatedBody(body, error);
    while (error == asio::error::no_memory) {
        asio::steady_timer pause(socket.get_executor(), budgetCheckInterval);
        co_await pause.async_wait(captureError(error));
        if (socket.is_open())
            reader.reserveStatedBody(body, error);
        else
            error = asio::error::operation_aborted;
    }
}

} // namespace

http::Target parseTarget(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    http::Target target {.address = text.substr(0, colon)};
    if (colon != std::string::npos)
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), target.port);
    return target;
}

void ExchangeCanceller::cancel()
{
    cancelled_ = true;
    if (socket_ == nullptr)
        return;
    ErrorCode ignored; // The exchange ends either way.
    socket_->close(ignored);
}

HttpConnection::HttpConnection(asio::io_context &context, http::Target target,
                               std::shared_ptr<BodyBudget> budget)
    : context_(context)
    , target_(std::move(target))
    , budget_(std::move(budget))
    , socket_(context)
    , keepAlive_(defaultKeepAlive)
{ }

asio::awaitable<void> HttpConnection::connect(core::Micros timeout, ErrorCode &error)
{
    const auto address = asio::ip::make_address_v4(target_.address, error);
    if (error)
        co_return;
    CloseTimer timer(context_, socket_);
    timer.arm(timeout);
    socket_.open(asio::ip::tcp::v4(), error);
    if (error)
        co_return;
    co_await socket_.async_connect({address, target_.port}, captureError(error));
    if (timer.fired() && !error)
        error = asio::error::timed_out;
    if (error)
        co_return;
    ErrorCode ignored; // Without TCP_NODELAY the connection is only slower.
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    enableTcpKeepAlive(socket_.native_handle());
}

asio::awaitable<ExchangeResult>
HttpConnection::exchange(const HttpRequest &request, const ExchangeOptions &options,
                         const std::shared_ptr<ExchangeCanceller> &canceller,
                         const ResponseFilter &filter)
{
    ExchangeResult result;
    result.reused = used_;
    mayReuse_ = false;
    const CancelScope scope(canceller->socket_, socket_);
    ErrorCode error;
    const core::MonoTime start = core::MonoClock::now();
    if (canceller->cancelled())
        error = asio::error::operation_aborted;
    else if (!used_)
        co_await connect(std::min(options.connectTimeout, options.deadline - start), error);
    if (error || options.deadline <= core::MonoClock::now()) {
        result.failure =
            canceller->cancelled() ? ExchangeFailure::Cancelled : ExchangeFailure::NotConnected;
        result.detail = error ? error.message() : "the deadline passed before the request was sent";
        co_return result;
    }
    used_ = true;
    CloseTimer hardTimer(context_, socket_);
    hardTimer.arm(options.deadline - core::MonoClock::now());
    CloseTimer softTimer(context_, socket_);
    if (options.softTimeout > core::Micros(0))
        softTimer.arm(options.softTimeout, options.softTimeoutInterval, options.mayAbandon);
    co_await beasthttp::async_write(socket_, request, captureError(error));
    sendFailed_ = static_cast<bool>(error);
    // Read even if the write failed: a server may respond and close before it has read the request.
    ErrorCode readError;
    co_await readResponse(result, request, options, filter, readError);
    if (!readError)
        co_return result;
    result.detail = error ? error.message() : readError.message();
    if (canceller->cancelled())
        result.failure = ExchangeFailure::Cancelled;
    else if (hardTimer.fired() || softTimer.fired())
        result.failure = ExchangeFailure::TimedOut;
    else
        result.failure = ExchangeFailure::Broken;
    result.isTooLong = readError == beasthttp::error::body_limit
        || (result.headerRead && result.failure == ExchangeFailure::TimedOut);
    co_return result;
}

asio::awaitable<void> HttpConnection::readResponse(ExchangeResult &result,
                                                   const HttpRequest &request,
                                                   const ExchangeOptions &options,
                                                   const ResponseFilter &filter, ErrorCode &error)
{
    CloseTimer unclearTimer(context_, socket_);
    result.body = options.body ? std::move(*options.body) : BodyReservation(budget_);
    int informational = 0;
    for (int skipped = 0; skipped <= maxSkippedResponses && informational <= maxInformational;) {
        co_await readMessage(result, request, error);
        if (error)
            co_return;
        if (!isFinalOrInterim(result.response)) {
            error = beasthttp::error::bad_status;
            co_return;
        }
        if (statusClassOf(result.response) == beasthttp::status_class::informational) {
            ++informational;
            continue;
        }
        const ResponseMatch match =
            filter ? filter(result.response, result.reused) : ResponseMatch::Own;
        if (match != ResponseMatch::Own) {
            ++skipped;
            result.body.release();
            if (match == ResponseMatch::Unclear)
                unclearTimer.arm(unclearResponseWait);
            continue;
        }
        if (options.body) // A prediction may have been too high.
            result.body.reduceTo(result.response.body().capacity());
        updateKeepAlive(result.response);
        mayReuse_ = !sendFailed_ && result.response.keep_alive() && !result.response.need_eof()
            && buffer_.size() == 0;
        idleSince_ = core::MonoClock::now();
        co_return;
    }
    error = beasthttp::error::bad_value;
}

/** Reads one whole message. Sets an error if it is malformed or does not fit the limits. */
asio::awaitable<void> HttpConnection::readMessage(ExchangeResult &result,
                                                  const HttpRequest &request, ErrorCode &error)
{
    result.headerRead = false;
    MessageReader<false> reader(socket_, buffer_, responseLimits);
    MessageReader<false>::Parser &parser = reader.parser();
    parser.skip(request.method() == beasthttp::verb::head);
    // The failed write has taken the error of a reset, so a read would see an end of stream.
    if (sendFailed_)
        reader.requireStatedEnd();
    co_await reader.readHeader(error);
    result.headerRead = !error;
    // A body of a known length gets all of its room before it is read, so that two of them cannot
    // wait for what the other one holds.
    if (!error)
        co_await waitForRoom(reader, socket_, result.body, error);
    while (!error && !parser.is_done())
        co_await reader.readSome(result.body, error);
    result.response = reader.release();
}

void HttpConnection::updateKeepAlive(const HttpResponse &response)
{
    const auto value = response[beasthttp::field::keep_alive];
    const auto stated = parseKeepAliveTimeout({value.data(), value.size()});
    keepAlive_ = stated ? std::max(core::Micros(0), *stated - keepAliveMargin) : defaultKeepAlive;
}

bool HttpConnection::isReusable(core::MonoTime now)
{
    if (!mayReuse_ || !socket_.is_open() || idleFor(now) > keepAlive_)
        return false;
    // Unread bytes belong to an earlier exchange, and end of stream means that the server has
    // closed the connection. Neither allows another request.
    char byte = 0;
    const ssize_t count =
        recv(socket_.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

ConnectionPool::ConnectionPool(asio::io_context &context, ConnectionPoolOptions options)
    : context_(context)
    , options_(std::move(options))
{ }

std::unique_ptr<HttpConnection>
ConnectionPool::acquire(core::MonoTime now, const http::Target &target, core::Micros maxIdle)
{
    auto &idle = idle_[target];
    // Reuse the newest first, so that the surplus ones reach their idle limit and are closed.
    while (!idle.empty()) {
        std::unique_ptr<HttpConnection> connection = std::move(idle.back());
        idle.pop_back();
        if (connection->isReusable(now) && connection->idleFor(now) <= maxIdle)
            return connection;
    }
    return open(target);
}

std::unique_ptr<HttpConnection> ConnectionPool::open(const http::Target &target) const
{
    return std::make_unique<HttpConnection>(context_, target, options_.budget);
}

void ConnectionPool::release(core::MonoTime now, std::unique_ptr<HttpConnection> connection)
{
    if (!connection->isReusable(now))
        return;
    auto &idle = idle_[connection->target()];
    idle.push_back(std::move(connection));
    while (idle.size() > options_.maxIdlePerServer)
        idle.pop_front();
}

void ConnectionPool::closeStale(core::MonoTime now)
{
    for (auto &[target, idle] : idle_)
        std::erase_if(idle, [&](const auto &connection) { return !connection->isReusable(now); });
    std::erase_if(idle_, [](const auto &entry) { return entry.second.empty(); });
}

std::size_t ConnectionPool::size() const
{
    std::size_t count = 0;
    for (const auto &[target, idle] : idle_)
        count += idle.size();
    return count;
}

} // namespace teaselreach::proxy
