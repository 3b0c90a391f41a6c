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
