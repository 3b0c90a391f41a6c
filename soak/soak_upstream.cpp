/** @file soak_upstream.cpp An upstream with fault injection for the soak. */
#include "platform/names_type.h"
#include "proxy/event_loop_func.h"
#include "proxy/exchange_func.h"
#include "proxy/message_reader_base.h"
#include "soak_upstream_base.h"

namespace teaselreach::soak {

namespace {

/** Time after which a draining upstream gets no requests, and a margin for slow processes. */
constexpr core::Millis drainBound {2500 + 500};
/** Time until a cold upstream is warm. */
constexpr core::Seconds warmupTime {6};
/** Time within which all VMs know of a cold start: from the next response or the entry, and a
 * margin for slow processes. */
constexpr core::Millis coldKnownAfter {1500};
/** Usual duration of the work on a request. */
constexpr core::Millis workTime {20};
/** Longer than a route's timeout, so that the caller has its answer before the run. */
constexpr core::Millis stallTime {1800};
constexpr core::Seconds hangTime {8};
/** Longest delay of a late response, in milliseconds. */
constexpr std::uint64_t longestDelayMs = 60;
/** One in so many requests with a body that has not arrived with its head is answered before the
 * body is read. */
constexpr std::uint64_t earlyInterval = 4;
/** One in so many requests meets a fault at random. */
constexpr std::uint64_t faultInterval = 5;

std::string message(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

std::string chunkedMessage(const std::string &status, const std::string &fields,
                           const std::string &trailer)
{
    return "HTTP/1.1 " + status + "\r\n" + fields
        + "Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n" + trailer + "\r\n";
}

} // namespace

SoakUpstream::SoakUpstream(proxy::asio::io_context &context, std::string id, SoakZone zone,
                           std::uint16_t port, Ledger &ledger, std::uint64_t seed)
    : context_(context)
    , id_(std::move(id))
    , zone_(std::move(zone))
    , ledger_(ledger)
    , random_(seed)
    , acceptor_(context, {proxy::asio::ip::make_address_v4(soakAddress()), port})
{
    proxy::spawn(context_, "soak_accept", [this] { return acceptConnections(); });
}

void SoakUpstream::restartAs(std::string id)
{
    id_ = std::move(id);
    drainingSince_.reset();
    ++starts_;
    for (const auto &entry : std::exchange(connections_, {})) {
        const ConnectionPtr connection = entry.lock();
        if (connection)
            close(*connection);
    }
}

void SoakUpstream::becomeCold(core::MonoTime now)
{
    // Later starts of a cold upstream are known as those before.
    if (now >= warmAt_)
        excuseColdArrivals(now);
    warmAt_ = now + warmupTime;
}

core::Micros SoakUpstream::warmupLeft(core::MonoTime now) const
{
    return std::max(core::Micros(0), warmAt_ - now);
}

void SoakUpstream::excuseColdArrivals(core::MonoTime now)
{
    coldExcusedUntil_ = now + coldKnownAfter;
}

void SoakUpstream::restartDrainTimer(core::MonoTime now)
{
    if (drainingSince_)
        drainingSince_ = now;
}

proxy::asio::awaitable<void> SoakUpstream::sleepFor(core::Micros time)
{
    proxy::asio::steady_timer timer(context_, time);
    proxy::ErrorCode ignored; // Nothing cancels the timer.
    co_await timer.async_wait(proxy::captureError(ignored));
}

proxy::asio::awaitable<void> SoakUpstream::acceptConnections()
{
    while (true) {
        const auto connection = std::make_shared<Connection>(context_);
        proxy::ErrorCode error;
        co_await acceptor_.async_accept(connection->socket, proxy::captureError(error));
        if (error)
            co_return;
        connection->start = starts_;
        std::erase_if(connections_, [](const auto &entry) { return entry.expired(); });
        connections_.push_back(connection);
        proxy::spawn(context_, "soak_upstream",
                     [this, connection] { return serveConnection(connection); });
    }
}

proxy::asio::awaitable<void> SoakUpstream::serveConnection(ConnectionPtr connection)
{
    boost::beast::flat_buffer buffer;
    while (connection->open) {
        proxy::MessageReader<true> reader(connection->socket, buffer, proxy::MessageLimits {});
        proxy::BodyReservation body;
        proxy::ErrorCode error;
        co_await reader.readHeader(error);
        const bool early = !error && !reader.parser().is_done() && random_() % earlyInterval == 0;
        if (early)
            co_await serve(connection, reader.parser().get());
        while (!error && !reader.parser().is_done())
            co_await reader.readSome(body, error);
        if (error)
            break;
        if (!early)
            co_await serve(connection, reader.release());
    }
    close(*connection);
}

void SoakUpstream::close(Connection &connection)
{
    connection.open = false;
    proxy::ErrorCode ignored; // The connection is discarded either way.
    connection.socket.close(ignored);
}

const UpstreamBehaviour &SoakUpstream::chooseBehaviour()
{
    if (fault_ != nullptr && random_() % 10 < 7)
        return *fault_;
    if (random_() % faultInterval != 0)
        return properBehaviour;
    return upstreamFaults[random_() % upstreamFaults.size()];
}

proxy::asio::awaitable<void> SoakUpstream::serve(const ConnectionPtr &connection,
                                                 const proxy::HttpRequest &request)
{
    const proxy::HeaderNames names = platform::headerNames();
    const core::MonoTime now = core::MonoClock::now();
    ledger_.arrivedIn(now, std::string(proxy::fieldValue(request, names.attemptId)), zone_.name,
                      pathHealedAt_);
    if (proxy::fieldValue(request, names.targetUpstream) != id_) {
        const std::string id(proxy::fieldValue(request, names.attemptId));
        const std::string refusal =
            message("421 Misdirected Request", names.attemptId + ": " + id + "\r\n", "");
        write(connection, refusal);
        if (random_() % 2 == 0)
            writeSoon(connection, refusal);
        co_return;
    }
    if (now < warmAt_ && now >= coldExcusedUntil_)
        ledger_.arrivedCold(now, id_);
    for (const UpstreamStep step : chooseBehaviour().steps) {
        if (connection->start != starts_)
            co_return; // The process that read the request has ended.
        co_await perform(step, connection, request);
    }
}

void SoakUpstream::run(const proxy::HttpRequest &request)
{
    const proxy::HeaderNames names = platform::headerNames();
    const std::string id(proxy::fieldValue(request, names.attemptId));
    if (drainingSince_ && core::MonoClock::now() - *drainingSince_ > drainBound)
        ledger_.broken("drain", id + " reached " + id_ + ", which has been leaving for too long");
    const std::string account(proxy::fieldValue(request, names.account));
    ledger_.ran(core::MonoClock::now(), id, account,
                request.count(proxy::beasthttp::field::authorization) > 0);
    ledger_.ranIn(id, account, zone_);
}

/** Writes a response unless the connection is closed. */
void SoakUpstream::write(const ConnectionPtr &connection, const std::string &bytes)
{
    proxy::ErrorCode ignored; // The other side may have left.
    if (connection->open)
        proxy::asio::write(connection->socket, proxy::asio::buffer(bytes), ignored);
}

/** Writes a response after some milliseconds, whatever the connection carries by then. */
void SoakUpstream::writeSoon(const ConnectionPtr &connection, const std::string &bytes)
{
    const core::Millis delay(1 + random_() % longestDelayMs);
    const auto timer = std::make_shared<proxy::asio::steady_timer>(context_, delay);
    timer->async_wait(
        [this, timer, connection, bytes](proxy::ErrorCode) { write(connection, bytes); });
}

std::string SoakUpstream::makeResponse(UpstreamStep step, const std::string &id)
{
    const proxy::HeaderNames names = platform::headerNames();
    const core::Micros left = warmupLeft(core::MonoClock::now());
    std::string ownId = names.attemptId + ": " + id + "\r\n";
    if (left > core::Micros(0))
        ownId += std::string(platform::warmupHeader) + ": "
            + std::to_string(std::chrono::ceil<core::Millis>(left).count()) + "\r\n";
    const std::string seal = names.seal + ": seal-" + id + "\r\n";
    const std::string notExecuted = names.notExecuted + ": 1\r\n";
    constexpr std::array<const char *, 3> statuses {"503 Busy", "429 Too Many Requests",
                                                    "408 Request Timeout"};
    const std::string refused = statuses[random_() % statuses.size()];
    switch (step) {
    case UpstreamStep::Answer:
    case UpstreamStep::CutAnswer:
        return message("200 OK", ownId + seal, Ledger::expectedBody(id));
    case UpstreamStep::UnsealedAnswer:
        return message("200 OK", ownId, Ledger::expectedBody(id));
    case UpstreamStep::ContradictingAnswer:
        return message("200 OK", ownId + seal + notExecuted, Ledger::expectedBody(id));
    case UpstreamStep::ServerError:
        return message("500 Failed", ownId + seal, "failed");
    case UpstreamStep::UnprovenRefusal:
        return message(refused, ownId + seal, "busy");
    case UpstreamStep::ChunkedRefusal:
        return chunkedMessage(refused, ownId, "");
    case UpstreamStep::TrailerRefusal:
        return chunkedMessage(refused, ownId, notExecuted);
    case UpstreamStep::InterimRefusal:
        return "HTTP/1.1 103 Early Hints\r\n" + ownId + notExecuted + "\r\n";
    case UpstreamStep::Refusal:
    case UpstreamStep::LateRefusal:
        return message("503 Busy", ownId + notExecuted, "");
    case UpstreamStep::AnonymousRefusal:
    case UpstreamStep::LateAnonymousRefusal:
        return message("503 Busy", notExecuted, "");
    default:
        return "";
    }
}

proxy::asio::awaitable<void> SoakUpstream::perform(UpstreamStep step,
                                                   const ConnectionPtr &connection,
                                                   const proxy::HttpRequest &request)
{
    switch (step) {
    case UpstreamStep::None:
        co_return;
    case UpstreamStep::Run:
        run(request);
        co_return;
    case UpstreamStep::Work:
        co_return co_await sleepFor(workTime);
    case UpstreamStep::LongWork:
        co_return co_await sleepFor(10 * workTime);
    case UpstreamStep::Stall:
        co_return co_await sleepFor(stallTime);
    case UpstreamStep::Hang:
        co_return co_await sleepFor(hangTime);
    default:
        break;
    }
    const std::string id(proxy::fieldValue(request, platform::headerNames().attemptId));
    std::string bytes = makeResponse(step, id);
    if (step == UpstreamStep::LateRefusal || step == UpstreamStep::LateAnonymousRefusal) {
        writeSoon(connection, bytes);
        co_return;
    }
    if (step == UpstreamStep::CutAnswer)
        bytes.resize(random_() % bytes.size());
    proxy::ErrorCode ignored; // The connection is closed either way.
    if (step == UpstreamStep::Reset)
        connection->socket.set_option(proxy::asio::socket_base::linger(true, 0), ignored);
    write(connection, bytes);
    if (step == UpstreamStep::Reset || step == UpstreamStep::Close
        || step == UpstreamStep::CutAnswer)
        close(*connection);
}

} // namespace teaselreach::soak
