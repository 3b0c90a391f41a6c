/** @file flow_fixture.h Runs a RequestFlow on its own event loop against scripted upstreams. */
#pragma once

#include "proxy/request_flow_base.h"
#include "standins/raw_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <condition_variable>
#include <future>
#include <mutex>
#include <string>
#include <thread>

namespace teaselreach::proxytest {

using namespace teaselreach::proxy;

inline const core::ServiceId service("slot");

/** Header names for tests; the proxy takes all names from its options. */
inline HeaderNames testHeaderNames()
{
    return {.attemptId = "X-Attempt",
            .deadlineMs = "X-Deadline",
            .seal = "X-Seal",
            .account = "X-Account",
            .targetUpstream = "X-Target",
            .load = "X-Load",
            .notExecuted = "X-Not-Run",
            .upstreamId = "X-Upstream",
            .keyScheme = "Bearer"};
}

/** @return The limit in the header field X-Limit, if any. */
inline UpstreamStatus readTestStatus(const HttpResponse &response)
{
    const std::string limit(fieldValue(response, "X-Limit"));
    if (limit.empty())
        return {};
    return {.limit = RequestRate {.perSecond = std::stod(limit)}};
}

/** An idempotent route "/read/", a non-idempotent route "/book/" and an account with key "k1". */
inline Configuration testConfiguration(core::Micros timeout = core::Millis(1000))
{
    const auto route = [&](const char *id, const char *prefix, bool idempotent) {
        return Route {.id = core::RouteId(id),
                      .host = "shop.example",
                      .pathPrefix = prefix,
                      .idempotent = idempotent,
                      .timeout = timeout,
                      .targetLatency = timeout / 2,
                      .maxAttempts = 2,
                      .destinations = {{.service = service}}};
    };
    return {.version = ConfigVersion(1),
            .routes = {route("read", "/read/", true), route("book", "/book/", false)},
            .accounts = {{.id = core::ClientAccountId("bakery"),
                          .keys = {"k1"},
                          .ratePerSecond = 1000,
                          .burst = 1000}}};
}

/** @return The value of a header field in a raw message, empty if the field is missing. */
inline std::string headerOf(const std::string &head, const std::string &name)
{
    const std::string field = "\r\n" + name + ": ";
    const std::size_t at = head.find(field);
    if (at == std::string::npos)
        return "";
    const std::size_t begin = at + field.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/** @return A 200 response with the attempt id and a response seal. */
inline std::string sealedReply(const standins::RawRequest &request, const std::string &body)
{
    return standins::okReply(
        body, "X-Attempt: " + headerOf(request.head, "X-Attempt") + "\r\nX-Seal: s1\r\n");
}

/** @return A raw request of the account with key "k1". */
inline std::string callerRequest(const std::string &method, const std::string &path,
                                 const std::string &id, const std::string &fields = "",
                                 const std::string &body = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt: " + id
        + "\r\nAuthorization: Bearer k1\r\n" + fields
        + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n"
        + body;
}

/** A RequestFlow behind a CallerServer, on an event loop of its own. */
class FlowFixture
{
public:
    explicit FlowFixture(Configuration configuration = testConfiguration(),
                         core::Micros idleTimeout = core::Seconds(5),
                         const BodyBudgetOptions &bodies = {}, std::size_t maxBodyBytes = 10000,
                         double hedgeRatio = 0)
        : upstreams_({.self = {core::AvailabilityZoneId("here"), core::RegionId("west")},
                      .regionOfZone = {{core::AvailabilityZoneId("here"), core::RegionId("west")}}},
                     1)
        , shares_({})
        , bodies_(std::make_shared<BodyBudget>(bodies))
        , flow_({.context = context_,
                 .upstreams = upstreams_,
                 .shares = shares_,
                 .registry = registry_},
                {.names = testHeaderNames(),
                 .readStatus = readTestStatus,
                 .dispatch = {.hedges = {.limitRatio = hedgeRatio}},
                 .bodies = bodies_},
                1)
        , server_(context_, "127.0.0.1", 0,
                  {.serve =
                       [this](std::shared_ptr<CallerExchange> exchange) {
                           return flow_.serve(std::move(exchange));
                       },
                   .limits =
                       [idleTimeout, maxBodyBytes] {
                           return SessionLimits {.maxHeaderBytes = 4096,
                                                 .maxBodyBytes = maxBodyBytes,
                                                 .headerTimeout = core::Millis(300),
                                                 .idleTimeout = idleTimeout};
                       },
                   .shouldClose = [this] { return flow_.phase() != core::Phase::Serving; },
                   .budget = bodies_,
                   .accountOf =
                       [this](const HttpRequest::header_type &header) {
                           return flow_.accountOf(header);
                       }})
        , workGuard_(context_.get_executor())
    {
        shares_.setShares(1, 1);
        flow_.setFleetShare(1);
        flow_.configure(std::make_shared<const RouteTable>(std::move(configuration)));
        port_ = server_.port();
        asio::co_spawn(
            context_, [this]() { return tick(); }, asio::detached);
        thread_ = std::thread([this] { context_.run(); });
    }

    ~FlowFixture()
    {
        context_.stop();
        thread_.join();
    }
    FlowFixture(const FlowFixture &) = delete;
    FlowFixture &operator=(const FlowFixture &) = delete;

    /** Runs a function on the event loop and waits for it. */
    void onLoop(std::function<void()> function)
    {
        std::promise<void> done;
        asio::post(context_, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    /** Adds a scripted server to the live upstreams. */
    void addUpstream(const std::string &id, const standins::RawServer &server)
    {
        addUpstreamAt(id, server.address(), server.port());
    }

    /** Adds the server at an address to the live upstreams. */
    void addUpstreamAt(const std::string &id, const std::string &address, std::uint16_t port,
                       const std::string &ofService = service.str())
    {
        onLoop([&] {
            upstreams_.update(core::MonoClock::now(),
                              {.id = core::UpstreamId(id),
                               .service = core::ServiceId(ofService),
                               .address = address,
                               .port = port,
                               .availabilityZone = core::AvailabilityZoneId("here"),
                               .slots = 4});
        });
    }

    /** @return The descriptor of a new caller connection. */
    int connect() const { return standins::connectTo("127.0.0.1", port_); }

    /** Sends a request on a new connection. @return The raw response. */
    std::string sendRequest(const std::string &request) const
    {
        const int fd = connect();
        std::string text = request;
        text.insert(text.find("\r\n") + 2, "Connection: close\r\n");
        standins::sendAll(fd, text);
        std::string response = standins::readAll(fd);
        ::close(fd);
        return response;
    }

    /** @return Number of requests that wait for an upstream. */
    std::size_t waiting()
    {
        std::size_t count = 0;
        onLoop([&] { count = flow_.waiting(); });
        return count;
    }

    /** @return Number of open connections of callers. */
    std::size_t connections()
    {
        std::size_t count = 0;
        onLoop([&] { count = server_.size(); });
        return count;
    }

    /** @return The value of a counter or gauge with all of its labels, or 0. */
    double metric(const std::string &name)
    {
        const std::string text = registry_.prometheusText(core::MonoClock::now());
        const std::size_t at = text.find("\n" + name + " ");
        return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size() + 2));
    }
    /** @return Bytes that an account holds for bodies. */
    std::size_t bodyBytesOf(const core::ClientAccountId &account)
    {
        std::size_t bytes = 0;
        onLoop([&] { bytes = bodies_->heldBy(account); });
        return bytes;
    }
    RequestFlow &flow() { return flow_; }
    AccountRateLimiter &shares() { return shares_; }

private:
    asio::awaitable<void> tick()
    {
        asio::steady_timer timer(context_);
        while (true) {
            timer.expires_after(core::Millis(20));
            ErrorCode ignored; // Nothing cancels the timer.
            co_await timer.async_wait(captureError(ignored));
            flow_.dispatchWaiting(core::MonoClock::now());
            server_.closeStale(core::MonoClock::now());
        }
    }

    asio::io_context context_ {1};
    metrics::Registry registry_;
    UpstreamTable upstreams_;
    AccountRateLimiter shares_;
    std::shared_ptr<BodyBudget> bodies_;
    RequestFlow flow_;
    CallerServer server_;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

/** A one-time event that threads wait for. */
class Gate
{
public:
    /** Releases all waiting threads; later calls of wait() return at once. */
    void open()
    {
        const std::lock_guard lock(mutex_);
        open_ = true;
        changed_.notify_all();
    }
    /** @return Whether the gate was opened within three seconds. */
    bool wait()
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, core::Seconds(3), [this] { return open_; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool open_ = false;
};

/** Polls a condition until it holds. @return Whether it held within three seconds. */
inline bool eventually(const std::function<bool()> &condition)
{
    const core::MonoTime end = core::MonoClock::now() + core::Seconds(3);
    while (core::MonoClock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(core::Millis(5));
    }
    return condition();
}

} // namespace teaselreach::proxytest
