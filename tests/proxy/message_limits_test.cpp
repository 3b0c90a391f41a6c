/** @file message_limits_test.cpp Messages with sections that exceed their limits. */
#include "flow_fixture.h"

using namespace teaselreach;
using namespace teaselreach::proxytest;
using standins::RawReply;
using standins::RawRequest;
using standins::RawServer;

namespace {

/** @return A chunked response with a response seal and a trailer section. */
std::string chunkedReply(const RawRequest &request, const std::string &trailer)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt: " + headerOf(request.head, "X-Attempt")
        + "\r\nX-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + trailer
        + "\r\n";
}

/** @return A trailer section with one field. */
std::string trailerOf(std::size_t valueBytes)
{
    return "X-Noise: " + std::string(valueBytes, 'a') + "\r\n";
}

} // namespace

TEST_CASE("a trailer field of a response that the parser cannot store ends the daemon")
{
    // The parser throws for values over 64 KiB, and nothing caught that on the event loop.
    for (const std::size_t valueBytes : {60000U, 65500U, 65600U, 70000U, 100000U, 1000000U}) {
        CAPTURE(valueBytes);
        RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
            return RawReply {request.number == 1 ? chunkedReply(request, trailerOf(valueBytes))
                                                 : sealedReply(request, "sound")};
        });
        FlowFixture fixture;
        fixture.addUpstream("i-1", upstream);
        const bool fits = valueBytes <= 65500;
        const std::string first = fixture.sendRequest(callerRequest("POST", "/book/x", "a1"));
        CHECK(first.starts_with(fits ? "HTTP/1.1 200" : "HTTP/1.1 502"));
        CHECK(fixture.sendRequest(callerRequest("GET", "/read/x", "a2")).ends_with("sound"));
    }
}

TEST_CASE("a trailer section or chunk extension of a caller's request ends the daemon or fills its "
          "memory")
{
    const std::string chunked =
        callerRequest("POST", "/book/x", "a1", "Transfer-Encoding: chunked\r\n");
    const std::size_t longValue = 70000;
    const std::vector<std::string> endings {
        "5\r\nhello\r\n0\r\n" + trailerOf(longValue) + "\r\n",
        "5\r\nhello\r\n0\r\n" + trailerOf(5000) + "\r\n",
        "5;" + std::string(longValue, 'e'),
    };
    for (const std::string &ending : endings) {
        CAPTURE(ending.substr(0, 20));
        RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
            return RawReply {sealedReply(request, "sound")};
        });
        FlowFixture fixture;
        fixture.addUpstream("i-1", upstream);
        CHECK(fixture.sendRequest(chunked + ending).starts_with("HTTP/1.1 431"));
        CHECK(upstream.requests() == 0);
        const std::string small = "5;note=x\r\nhello\r\n0\r\n" + trailerOf(50) + "\r\n";
        CHECK(fixture.sendRequest(chunked + small).ends_with("sound"));
    }
}
