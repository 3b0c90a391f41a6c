/** @file http_test.cpp Tests of the upstream client and of header forwarding. */
#include "http/client_base.h"
#include "http/headers_func.h"
#include "standins/early_responder.h"
#include "standins/raw_server.h"

#include <curl/curl.h>
#include <doctest/doctest.h>

using namespace teaselreach;
using standins::okReply;
using standins::RawReply;
using standins::RawRequest;
using standins::RawServer;

namespace {

constexpr core::Millis timeout {2000};

/** Answers the first request and closes the connection without an answer to the second. */
RawReply answerFirstOnly(const RawRequest &request)
{
    return request.number == 2 ? RawReply {"", true} : RawReply {okReply("first")};
}

http::Result sendTo(http::Client &client, const RawServer &server, const http::Request &request)
{
    return client.send({server.address(), server.port()}, request, timeout);
}

} // namespace

TEST_CASE("libcurl does not resend a request when a persistent connection closes")
{
    for (const http::Request &request :
         {http::Request {.method = "POST", .body = "b"}, http::Request {.method = "POST"},
          http::Request {.method = "GET"}}) {
        RawServer server("127.0.3.1", answerFirstOnly);
        http::Client client({});
        CHECK(sendTo(client, server, request).progress == http::Progress::Answered);
        const http::Result second = sendTo(client, server, request);
        CHECK(second.progress == http::Progress::SentOnly);
        CHECK(second.cause == http::Cause::Truncated);
        CHECK(server.requests() == 2);
    }
}

TEST_CASE("control: libcurl resends the request if the resend is not blocked")
{
    RawServer server("127.0.3.1", answerFirstOnly);
    const std::string url = "http://127.0.3.1:" + std::to_string(server.port()) + "/";
    CURL *handle = curl_easy_init();
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, "");
    CHECK(curl_easy_perform(handle) == CURLE_OK);
    CHECK(curl_easy_perform(handle) == CURLE_OK);
    curl_easy_cleanup(handle);
    CHECK(server.requests() == 3);
}

// Failure guarded against: a response whose header section is not valid counts as an answer.
TEST_CASE("a response with an undefined status or a malformed field is no answer")
{
    std::string statusLine = "HTTP/1.1 200 OK";
    std::string field = "X-Note: 1";
    RawServer server("127.0.3.1", [&](const RawRequest &) {
        return RawReply {statusLine + "\r\n" + field + "\r\nContent-Length: 3\r\n\r\nall"};
    });
    const auto isAnswered = [&] {
        http::Client client({});
        return sendTo(client, server, {}).progress == http::Progress::Answered;
    };
    CHECK(isAnswered());
    for (const char *odd :
         {"HTTP/1.1 000 Odd", "HTTP/1.1 001 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 600 Odd",
          "HTTP/1.1 999 Odd", "HTTP/1.1 20 Odd", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK"}) {
        CAPTURE(odd);
        statusLine = odd;
        CHECK(!isAnswered());
    }
    statusLine = "HTTP/1.1 200 OK";
    for (const std::string &odd :
         {std::string("X Note: 1"), std::string("X\tNote: 1"), std::string("X-\x01Note: 1"),
          std::string("X-\0Note: 1", 10), std::string("X-\x7fNote: 1"), std::string("X(Note: 1"),
          std::string(": 1"), std::string("X-Note"), std::string("X-Note : 1"),
          std::string("X-Note: a\x01z"), std::string("X-Note: 1\r\n X-Other: 2"),
          std::string("X-Note: 1\r\n Content-Length: 2")}) {
        CAPTURE(odd);
        field = odd;
        CHECK(!isAnswered());
    }
}

// Failure guarded against: the received part of a response counts as the whole of it.
TEST_CASE("a response without a length is cut off by a reset while the request is being sent")
{
    constexpr std::size_t uploadBytes = std::size_t {24} * 1024 * 1024;
    standins::EarlyResponder server(
        [](const std::string &) { return "HTTP/1.1 200 OK\r\n\r\n" + std::string(20000, 'p'); });
    http::Client client({});
    const http::Result result =
        client.send({"127.0.0.1", server.port()},
                    {.method = "POST", .body = std::string(uploadBytes, 'u')}, timeout);
    CHECK(result.progress == http::Progress::SentOnly);
}

TEST_CASE("connections are reused, and the request arrives unmodified")
{
    std::string head;
    RawServer server("127.0.3.1", [&head](const RawRequest &request) {
        head = request.head;
        return RawReply {okReply(request.body, "X-A: 1\r\n")};
    });
    http::Client client({});
    const http::Request request {.method = "POST",
                                 .target = "/a/../b?x=%2F",
                                 .headers = {{"Content-Type", "text/x"}, {"X-Empty", ""}},
                                 .body = std::string("a\0b", 3)};
    for (int i = 0; i < 5; ++i) {
        const http::Result result = sendTo(client, server, request);
        CHECK(result.body == request.body);
        CHECK(*http::findHeader(result.headers, "x-a") == "1");
    }
    CHECK(server.connections() == 1);
    CHECK(head.starts_with("POST /a/../b?x=%2F HTTP/1.1\r\n"));
    CHECK(head.find("Content-Type: text/x\r\n") != std::string::npos);
    CHECK(head.find("X-Empty:\r\n") != std::string::npos);
}

TEST_CASE(
    "a response that is truncated, or delimited only by the close, is not reported as complete")
{
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n";
    // libcurl accepts the last chunk at the CR of the final CRLF; no content is missing at that
    // point.
    const std::vector<std::pair<std::string, std::size_t>> wholes = {{okReply("abcdefgh"), 0},
                                                                     {chunked + "0\r\n\r\n", 1}};
    for (const auto &answer : wholes) {
        const std::string &whole = answer.first;
        for (std::size_t length = 0; length <= whole.size(); ++length) {
            RawServer server("127.0.3.1", [cut = whole.substr(0, length)](const RawRequest &) {
                return RawReply {cut, true};
            });
            http::Client client({});
            const http::Result result = sendTo(client, server, {});
            CAPTURE(whole.substr(0, length));
            CHECK((result.progress == http::Progress::Answered)
                  == (length + answer.second >= whole.size()));
        }
    }
    RawServer unmarked("127.0.3.1", [](const RawRequest &) {
        return RawReply {"HTTP/1.1 200 OK\r\n\r\nabc", true};
    });
    http::Client client({});
    CHECK(sendTo(client, unmarked, {}).cause == http::Cause::Truncated);
}

TEST_CASE("a request that was not sent is distinguished from one without a response")
{
    http::Client client({});
    std::uint16_t closedPort = 0;
    {
        RawServer gone("127.0.3.1", answerFirstOnly);
        closedPort = gone.port();
    }
    const http::Result refused = client.send({"127.0.3.1", closedPort}, {}, timeout);
    CHECK(refused.progress == http::Progress::NotSent);
    CHECK(refused.cause == http::Cause::Connect);

    RawServer silent("127.0.3.1", [](const RawRequest &) { return RawReply {"HTTP/1.1 200"}; });
    const http::Result late = client.send({silent.address(), silent.port()}, {}, core::Millis(50));
    CHECK(late.progress == http::Progress::SentOnly);
    CHECK(late.cause == http::Cause::Timeout);
    CHECK(client.send({"127.0.3.1", closedPort}, {}, core::Millis(0)).cause
          == http::Cause::Timeout);
}

TEST_CASE("keys, hop-by-hop fields and internal fields from a caller are not forwarded")
{
    const http::Headers sent = {{"AUTHORIZATION", "Bearer k"},
                                {"X-Teaselreach-Account", "other"},
                                {"Host", "h"},
                                {"Connection", "x-mine, close"},
                                {"X-Mine", "1"},
                                {"TE", "trailers"},
                                {"Transfer-Encoding", "chunked"},
                                {"Accept", "a/b"}};
    CHECK(http::forwardableHeaders(sent) == http::Headers {{"Accept", "a/b"}});
    CHECK(http::returnableHeaders({{"X-Not-Run", "1"}, {"X-Load-Busy", "2"}, {"Etag", "e"}})
          == http::Headers {{"Etag", "e"}});
}
