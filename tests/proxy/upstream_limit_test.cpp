/** @file upstream_limit_test.cpp Upstreams that name the requests a second that they take. */
#include "flow_fixture.h"

using namespace teaselreach;
using namespace teaselreach::proxytest;
using standins::RawReply;
using standins::RawRequest;
using standins::RawServer;

namespace {

/** @return A handler that responds at once and names a limit, if there is one. */
RawServer::Handler limitedHandler(const std::string &limit)
{
    return [limit](const RawRequest &request) {
        const std::string field = limit.empty() ? "" : "X-Limit: " + limit + "\r\n";
        return RawReply {standins::okReply(
            "done",
            field + "X-Attempt: " + headerOf(request.head, "X-Attempt") + "\r\nX-Seal: s1\r\n")};
    };
}

} // namespace

TEST_CASE("an upstream that names a limit gets requests as before")
{
    RawServer limited("127.0.0.1", limitedHandler("2"));
    RawServer other("127.0.0.1", limitedHandler(""));
    FlowFixture fixture;
    fixture.addUpstream("i-limited", limited);
    fixture.addUpstream("i-other", other);
    const core::MonoTime start = core::MonoClock::now();
    int number = 0;
    while (core::MonoClock::now() - start < core::Millis(4000)) {
        const std::string path = number % 2 == 0 ? "/read/x" : "/book/x";
        const std::string response = fixture.sendRequest(
            callerRequest(number % 2 == 0 ? "GET" : "POST", path, "a" + std::to_string(number)));
        CHECK(response.starts_with("HTTP/1.1 200"));
        ++number;
        std::this_thread::sleep_for(core::Millis(10));
    }
    // 4 s at 2 a second, what was sent before the limit was known, and one in progress.
    CHECK(limited.requests() <= 4 * 2 + 2);
    CHECK(limited.requests() >= 4);
    CHECK(other.requests() > 100);
}

TEST_CASE("a request that fits no limit waits until its deadline instead of being rejected at once")
{
    RawServer limited("127.0.0.1", limitedHandler("0.2"));
    FlowFixture fixture;
    fixture.addUpstream("i-limited", limited);
    CHECK(fixture.sendRequest(callerRequest("POST", "/book/x", "a0")).starts_with("HTTP/1.1 200"));
    const core::MonoTime start = core::MonoClock::now();
    const std::string response = fixture.sendRequest(callerRequest("POST", "/book/x", "a1"));
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(!headerOf(response, "Retry-After").empty());
    CHECK(core::MonoClock::now() - start < core::Millis(300));
    CHECK(limited.requests() == 1);
}
