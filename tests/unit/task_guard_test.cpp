/** @file task_guard_test.cpp Tasks, threads and handlers that throw. */
#include "core/task_guard_func.h"
#include "core/ticker_base.h"
#include "core/work_queue_base.h"
#include "proxy/caller_session_base.h"
#include "proxy/event_loop_func.h"
#include "standins/raw_server.h"

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <future>
#include <stdexcept>

using namespace teaselreach;

TEST_CASE("an exception of one handler on the event loop ends the process")
{
    const std::uint64_t failuresBefore = core::taskFailures();
    proxy::asio::io_context context(1);
    int handled = 0;
    proxy::asio::post(context, [] { throw std::length_error("field value too large"); });
    proxy::asio::post(context, [&] { ++handled; });
    proxy::asio::steady_timer timer(context, core::Millis(1));
    timer.async_wait([](proxy::ErrorCode) { throw core::Millis(1); });
    proxy::asio::steady_timer last(context, core::Millis(5));
    last.async_wait([&](proxy::ErrorCode) { ++handled; });
    proxy::runEventLoop(context);
    CHECK(handled == 2);
    CHECK(core::taskFailures() == failuresBefore + 2);
}

TEST_CASE("an exception of a periodic or queued task ends the process")
{
    std::promise<void> repeated;
    int runs = 0;
    {
        core::Ticker ticker(core::Millis(1), [&] {
            if (++runs == 2)
                repeated.set_value();
            if (runs == 1)
                throw std::runtime_error("first run");
        });
        repeated.get_future().wait();
    }
    std::promise<void> next;
    core::WorkQueue queue({.threads = 1});
    queue.add([] { throw std::runtime_error("first task"); });
    queue.add([&] { next.set_value(); });
    next.get_future().wait();
    CHECK(runs >= 2);
}

TEST_CASE("an exception in a request's handler leaves the caller without a response")
{
    proxy::asio::io_context context(1);
    int handled = 0;
    proxy::CallerServer server(
        context, "127.0.0.1", 0,
        {.serve =
             [&](std::shared_ptr<proxy::CallerExchange> exchange) -> proxy::asio::awaitable<void> {
             if (++handled == 1)
                 throw std::invalid_argument("invalid request body");
             exchange->response = proxy::HttpResponse(proxy::beasthttp::status::ok, 11);
             exchange->response.prepare_payload();
             co_return;
         },
         .limits = [] { return proxy::SessionLimits {}; },
         .shouldClose = [] { return false; }});
    std::thread loop([&] { proxy::runEventLoop(context); });
    const int fd = standins::connectTo("127.0.0.1", server.port());
    standins::limitReceiveTime(fd, 2);
    standins::sendAll(fd,
                      "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
                      "GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const std::string responses = standins::readAll(fd);
    ::close(fd);
    CHECK(responses.starts_with("HTTP/1.1 500"));
    CHECK(responses.find("HTTP/1.1 200") != std::string::npos);
    context.stop();
    loop.join();
}
