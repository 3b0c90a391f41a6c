/** @file bad_input_test.cpp Invalid input is refused, and the daemon keeps serving. */
#include "daemon/fixture.h"

using namespace teaselreach;
using namespace teaselreach::tests;
using standins::okReply;
using standins::RawReply;
using standins::RawRequest;
using table::Refusal;

namespace {

const std::string lineAndHost = "GET /slots HTTP/1.1\r\nHost: h\r\n";

/** Sends bytes that are not a valid request and checks for the refusal malformed_request. */
void checkMalformed(Fixture &fixture, const std::string &bytes)
{
    const std::string answer = fixture.sendRaw(bytes);
    CAPTURE(bytes);
    CAPTURE(answer);
    CHECK(answer.starts_with("HTTP/1.1 400 "));
    CHECK(answer.find("X-Teaselreach-Error: malformed_request") != std::string::npos);
    CHECK(answer.find("X-Teaselreach-Execution: not_run") != std::string::npos);
}

http::Request requestWithAuthorization(const std::string &key, const std::string &target = "/slots")
{
    return {.target = target, .headers = {{"Authorization", key}}};
}

} // namespace

TEST_CASE("requests without authorization, route or valid path are refused and reach no upstream")
{
    Fixture fixture({answerOk});
    checkRefusal(fixture.call({.target = "/slots"}), Refusal::NoKey);
    checkRefusal(fixture.call(requestWithAuthorization("Basic key-1")), Refusal::NoKey);
    checkRefusal(fixture.call(requestWithAuthorization("Bearer key-9")), Refusal::UnknownKey);
    checkRefusal(fixture.call(requestWithAuthorization("Bearer key-2")), Refusal::RouteNotAllowed);
    checkRefusal(fixture.call(requestWithAuthorization("Bearer key-1", "/none")),
                 Refusal::UnknownRoute);
    checkRefusal(fixture.call(requestWithAuthorization("Bearer key-1", "/open/../slots")),
                 Refusal::MalformedRequest);
    checkRefusal(fixture.call(requestWithAuthorization("Bearer key-1", "/open/%2E%2e%2Fslots")),
                 Refusal::MalformedRequest);
    CHECK(fixture.upstreams[0]->requests() == 0);
    fixture.checkStillServing();
}

TEST_CASE("a daemon without a configuration refuses requests")
{
    const settings::Settings settings = makeSettings();
    daemon::Daemon daemon(settings);
    http::Client client({});
    checkRefusal(client.send({daemonAddress, settings.listen.callerPort},
                             requestWithAuthorization("Bearer key-1"), callTimeout),
                 Refusal::NoConfiguration);
}

TEST_CASE("a body at the size limit passes; one byte more and a very long body are refused")
{
    Fixture fixture({answerOk});
    const std::size_t limit = fixture.settings.listen.maxBodyBytes;
    CHECK(fixture.call(Fixture::requestWithKey("POST", std::string(limit, 'x'))).status == 200);
    checkRefusal(fixture.call(Fixture::requestWithKey("POST", std::string(limit + 1, 'x'))),
                 Refusal::BodyTooLarge);
    checkRefusal(fixture.call(Fixture::requestWithKey("POST", std::string(limit * 1000, 'x'))),
                 Refusal::BodyTooLarge);
    CHECK(fixture.upstreams[0]->requests() == 1);
    fixture.checkStillServing();
}

TEST_CASE("malformed header fields are refused and the connection is closed")
{
    Fixture fixture({answerOk});
    const std::string key = "Authorization: Bearer key-1\r\n";
    for (const std::string &fields :
         {key + "Bad Name: x\r\n", key + "X-A: a\x01z\r\n", key + "X-Deadline-Ms: soon\r\n",
          key + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
          key + "X-Teaselreach(: 1\r\n"}) {
        const std::string answer = fixture.sendRaw(lineAndHost + fields + "\r\n0\r\n\r\n");
        CAPTURE(fields);
        CAPTURE(answer);
        CHECK(answer.starts_with("HTTP/1.1 400 "));
        CHECK(answer.find("X-Teaselreach-Error: malformed_request") != std::string::npos);
    }
    CHECK(fixture.upstreams[0]->requests() == 0);
    fixture.checkStillServing();
}

TEST_CASE("a request that the HTTP parser rejects gets the refusal malformed_request")
{
    // Guards against parser errors without a refusal: the former server library, libmicrohttpd,
    // answered these requests itself or only closed the connection.
    Fixture fixture({answerOk});
    for (const std::string &bytes :
         {lineAndHost + "no colon\r\n\r\n", lineAndHost + "Content-Length: many\r\n\r\n",
          std::string("nonsense\r\n\r\n"), std::string("\x16\x03\x01\x02\r\n\r\n")}) {
        checkMalformed(fixture, bytes);
    }
    CHECK(fixture.upstreams[0]->requests() == 0);
    fixture.checkStillServing();
}

TEST_CASE("an incomplete request is never forwarded and is refused at the header timeout")
{
    Fixture fixture({answerOk});
    const std::string whole = lineAndHost + "Authorization: Bearer key-1\r\n\r\n";
    const int abandonedFd = standins::connectTo(daemonAddress, fixture.settings.listen.callerPort);
    standins::sendAll(abandonedFd, whole.substr(0, whole.size() - 2));
    ::close(abandonedFd);
    for (const std::string &part :
         {std::string("GE"), whole.substr(0, whole.size() - 2),
          std::string("POST /slots HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")}) {
        checkMalformed(fixture, part);
    }
    CHECK(fixture.upstreams[0]->requests() == 0);
    fixture.checkStillServing();
}

TEST_CASE("the header timeout does not close an idle connection")
{
    Fixture fixture({answerOk});
    const int fd = standins::connectTo(daemonAddress, fixture.settings.listen.callerPort);
    // The slow connection is closed after the timeout; the idle one, opened before it, is not.
    fixture.sendRaw("GE");
    standins::sendAll(fd, lineAndHost + "Connection: close\r\nAuthorization: Bearer key-1\r\n\r\n");
    CHECK(standins::readAll(fd).starts_with("HTTP/1.1 200 "));
    ::close(fd);
}

TEST_CASE("a truncated upstream response is refused as upstream_cut")
{
    const std::string whole = okReply("abcdefgh");
    for (const std::size_t length : {std::size_t {1}, whole.size() / 2, whole.size() - 1}) {
        Fixture fixture({[cut = whole.substr(0, length)](const RawRequest &request) {
            return request.number == 1 ? RawReply {cut, true} : answerOk(request);
        }});
        checkRefusal(fixture.call(Fixture::requestWithKey("POST")), Refusal::UpstreamCut);
        fixture.checkStillServing();
    }
}
