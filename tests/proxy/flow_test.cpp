/** @file flow_test.cpp The request path with upstreams that respond wrongly, late or not at all. */
#include "flow_fixture.h"
#include "standins/early_responder.h"

#include <atomic>

using namespace teaselreach;
using namespace teaselreach::proxytest;
using standins::okReply;
using standins::RawReply;
using standins::RawRequest;
using standins::RawServer;

namespace {

/** An upstream that never responds and records whether its client closes the connection. */
class HangingUpstream
{
public:
    HangingUpstream()
        : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in local {.sin_family = AF_INET};
        inet_pton(AF_INET, "127.0.0.1", &local.sin_addr);
        (void)::bind(listener_, reinterpret_cast<sockaddr *>(&local), sizeof local);
        ::listen(listener_, 8);
        socklen_t size = sizeof local;
        ::getsockname(listener_, reinterpret_cast<sockaddr *>(&local), &size);
        port_ = ntohs(local.sin_port);
        thread_ = std::thread([this] {
            const int fd = ::accept(listener_, nullptr, nullptr);
            received_ = fd >= 0;
            standins::readAll(fd); // Returns when the client closes.
            closed_ = true;
            ::close(fd);
        });
    }
    ~HangingUpstream()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }
    HangingUpstream(const HangingUpstream &) = delete;
    HangingUpstream &operator=(const HangingUpstream &) = delete;

    std::string address() const { return "127.0.0.1"; }
    std::uint16_t port() const { return port_; }
    bool received() const { return received_; }
    bool closed() const { return closed_; }

private:
    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<bool> received_ {false};
    std::atomic<bool> closed_ {false};
    std::thread thread_;
};

std::string statusOf(const std::string &answer)
{
    return answer.size() < 12 ? answer : answer.substr(9, 3);
}

std::string bodyOf(const std::string &answer)
{
    const std::size_t end = answer.find("\r\n\r\n");
    return end == std::string::npos ? "" : answer.substr(end + 4);
}

} // namespace

TEST_CASE("a forwarded request carries account and time left, but no key and no forged fields")
{
    std::string head;
    RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
        head = request.head;
        return RawReply {sealedReply(request, "hello")};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", upstream);
    const std::string answer = fixture.sendRequest(callerRequest(
        "GET", "/read/x?y=1", "a1",
        "X-Account: forged\r\nX-Target: forged\r\nX-Deadline: 700\r\nX-Other: kept\r\n"));
    CHECK(statusOf(answer) == "200");
    CHECK(bodyOf(answer) == "hello");
    CHECK(headerOf(answer, "X-Seal") == "s1");
    CHECK(head.starts_with("GET /read/x?y=1 HTTP/1.1\r\n"));
    CHECK(headerOf(head, "X-Account") == "bakery");
    CHECK(headerOf(head, "X-Target") == "i-1");
    CHECK(headerOf(head, "X-Attempt") == "a1");
    CHECK(headerOf(head, "X-Other") == "kept");
    CHECK(headerOf(head, "Authorization").empty());
    CHECK(std::stoi(headerOf(head, "X-Deadline")) <= 700);
    CHECK(std::stoi(headerOf(head, "X-Deadline")) > 600);
}

TEST_CASE("unknown routes get 404, unknown keys 401 and accounts over their limit 429")
{
    RawServer upstream(
        "127.0.0.1", [](const RawRequest &request) { return RawReply {sealedReply(request, "")}; });
    Configuration configuration = testConfiguration();
    configuration.accounts.front().ratePerSecond = 0.2;
    configuration.accounts.front().burst = 0;
    FlowFixture fixture(configuration);
    fixture.addUpstream("i-1", upstream);
    CHECK(statusOf(fixture.sendRequest(callerRequest("GET", "/other/", "a1"))) == "404");
    std::string wrongKey = callerRequest("GET", "/read/", "a2");
    wrongKey.replace(wrongKey.find("k1"), 2, "k2");
    CHECK(statusOf(fixture.sendRequest(wrongKey)) == "401");
    CHECK(statusOf(fixture.sendRequest(callerRequest("GET", "/read/", "a3"))) == "200");
    const std::string refused = fixture.sendRequest(callerRequest("GET", "/read/", "a4"));
    CHECK(statusOf(refused) == "429");
    CHECK(std::stod(headerOf(refused, "Retry-After")) > 1);
    CHECK(upstream.requests() == 1);
}

// Failure guarded against: withdrawn, unknown and missing keys run once no account is left.
TEST_CASE("without an account no key opens a route that is not public")
{
    RawServer upstream("127.0.0.1", [](const RawRequest &request) {
        return RawReply {sealedReply(request, "ran")};
    });
    Configuration configuration = testConfiguration();
    configuration.accounts.clear();
    configuration.requiresKeys = true;
    configuration.routes.front().isPublic = true;
    FlowFixture fixture(configuration);
    fixture.addUpstream("i-1", upstream);
    std::string withoutKey = callerRequest("POST", "/book/", "a1");
    withoutKey.erase(withoutKey.find("Authorization"), std::strlen("Authorization: Bearer k1\r\n"));
    CHECK(statusOf(fixture.sendRequest(withoutKey)) == "401");
    CHECK(statusOf(fixture.sendRequest(callerRequest("POST", "/book/", "a2"))) == "401");
    CHECK(statusOf(fixture.sendRequest(callerRequest("GET", "/read/", "a3"))) == "200");
    CHECK(upstream.requests() == 1);
}

TEST_CASE("a request without an upstream in its home regions is sent to another region")
{
    RawServer server("127.0.0.1", [](const RawRequest &request) {
        return RawReply {sealedReply(request, "x")};
    });
    const auto regions = [](const char *name) { return RegionSet::of({core::RegionId(name)}); };
    Configuration configuration = testConfiguration();
    configuration.routes[0].allowedRegions = regions("west");
    configuration.routes[1].allowedRegions = regions("east");
    FlowFixture fixture(configuration);
    fixture.addUpstream("i-1", server);
    const auto statusOf = [&](const char *path) {
        return fixture.sendRequest(callerRequest("GET", path, "a1"));
    };
    CHECK(statusOf("/read/1").starts_with("HTTP/1.1 200"));
    const std::string refused = statusOf("/book/1");
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(headerOf(refused, "Retry-After") == "1.000");
    // Route and account have no region in common.
    configuration.accounts[0].allowedRegions = regions("east");
    fixture.onLoop(
        [&] { fixture.flow().configure(std::make_shared<const RouteTable>(configuration)); });
    CHECK(statusOf("/read/1").starts_with("HTTP/1.1 503"));
    CHECK(server.requests() == 1);
}

TEST_CASE("a queued request is sent to a region that the configuration has excluded meanwhile")
{
    // Guards against a queue that keeps the regions of the arrival.
    Gate release;
    RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
        release.wait();
        return RawReply {sealedReply(request, "x")};
    });
    const auto regions = [](const char *name) { return RegionSet::of({core::RegionId(name)}); };
    Configuration configuration = testConfiguration(core::Seconds(3));
    configuration.accounts.push_back({.id = core::ClientAccountId("clinic"),
                                      .keys = {"k2"},
                                      .ratePerSecond = 1000,
                                      .burst = 1000});
    FlowFixture fixture(configuration);
    fixture.addUpstream("i-1", upstream);
    std::vector<int> busy;
    const auto send = [&](const std::string &request) {
        busy.push_back(fixture.connect());
        standins::sendAll(busy.back(), request);
        return busy.back();
    };
    for (int i = 0; i < 8; ++i)
        send(callerRequest("POST", "/book/", "b" + std::to_string(i), "", "x"));
    REQUIRE(eventually([&] { return upstream.requests() == 8; }));
    const std::string last = "Connection: close\r\n";
    const int ofRoute = send(callerRequest("POST", "/book/", "w1", last, "x"));
    std::string otherKey = callerRequest("GET", "/read/", "w2", last);
    otherKey.replace(otherKey.find("k1"), 2, "k2");
    const int ofAccount = send(otherKey);
    const int allowed = send(callerRequest("GET", "/read/", "w3", last));
    REQUIRE(eventually([&] { return fixture.waiting() == 3; }));
    configuration.routes[0].allowedRegions = regions("west");
    configuration.routes[1].allowedRegions = regions("east");
    configuration.accounts[1].allowedRegions = regions("east");
    fixture.onLoop(
        [&] { fixture.flow().configure(std::make_shared<const RouteTable>(configuration)); });
    // The others are refused while the upstream is still busy; this one waits for its new regions.
    CHECK(eventually([&] { return fixture.waiting() == 1; }));
    release.open();
    const auto answerOf = [](int fd) { return statusOf(standins::readAll(fd)); };
    CHECK(answerOf(ofRoute) == "503");
    CHECK(answerOf(ofAccount) == "503");
    CHECK(answerOf(allowed) == "200");
    CHECK(upstream.requests() == 9);
    for (const int fd : busy)
        ::close(fd);
}

TEST_CASE("a retry is sent to a region that the configuration has excluded since the first attempt")
{
    Gate release;
    const auto failAfterRelease = [&](const RawRequest &request) {
        release.wait();
        return RawReply {okReply("", "X-Attempt: " + headerOf(request.head, "X-Attempt") + "\r\n",
                                 "500 Broken")};
    };
    RawServer one("127.0.0.1", failAfterRelease);
    RawServer other("127.0.0.2", failAfterRelease);
    Configuration configuration = testConfiguration(core::Seconds(3));
    FlowFixture fixture(configuration);
    fixture.addUpstream("i-1", one);
    fixture.addUpstream("i-2", other);
    const int caller = fixture.connect();
    standins::sendAll(caller, callerRequest("GET", "/read/", "a", "Connection: close\r\n"));
    const auto attempts = [&] { return one.requests() + other.requests(); };
    REQUIRE(eventually([&] { return attempts() == 1; }));
    configuration.routes[0].allowedRegions = RegionSet::of({core::RegionId("east")});
    fixture.onLoop(
        [&] { fixture.flow().configure(std::make_shared<const RouteTable>(configuration)); });
    release.open();
    CHECK(statusOf(standins::readAll(caller)) == "502"); // The first attempt may have run.
    CHECK(attempts() == 1);
    ::close(caller);
}

TEST_CASE("a TRACE or CONNECT request gets no response")
{
    RawServer upstream("127.0.0.1", [](const RawRequest &request) {
        return RawReply {sealedReply(request, "ran")};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", upstream);
    const auto statusFor = [&](const std::string &method, const std::string &body) {
        return statusOf(fixture.sendRequest(callerRequest(method, "/book/", "a1", "", body)));
    };
    CHECK(statusFor("TRACE", "body") == "400");
    CHECK(statusFor("CONNECT", "") == "501");
    CHECK(statusFor("CONNECT", "body") == "501");
    CHECK(upstream.requests() == 0);
    CHECK(statusFor("TRACE", "") == "200");
}

TEST_CASE("a late response to an earlier request is not matched to the next request")
{
    RawServer upstream("127.0.0.1", [](const RawRequest &request) {
        if (request.number == 1)
            return RawReply {sealedReply(request, "first")};
        // A second response to the first request arrives before the one that is expected.
        return RawReply {okReply("stale", "X-Attempt: a1\r\nX-Seal: s1\r\n")
                         + sealedReply(request, "second")};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", upstream);
    CHECK(bodyOf(fixture.sendRequest(callerRequest("GET", "/read/", "a1"))) == "first");
    CHECK(bodyOf(fixture.sendRequest(callerRequest("GET", "/read/", "a2"))) == "second");
}

TEST_CASE("an earlier refusal that is written again on a kept connection refuses the next request")
{
    // Callers were told that a request had not run, or it ran a second time elsewhere.
    const std::vector<std::string> refusals {
        okReply("", "X-Not-Run: 1\r\nX-Attempt: a1\r\n", "503 Busy"),
        okReply("", "X-Not-Run: 1\r\n", "503 Busy"),
        okReply("", "X-Not-Run: 1\r\n", "429 Too Many Requests"),
        okReply("", "", "421 Misdirected Request"),
    };
    for (const std::string &refusal : refusals) {
        RawServer *server = nullptr;
        RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
            if (request.number == 1)
                return RawReply {refusal};
            const bool isKept = server->connections() == 1;
            return RawReply {(isKept ? refusal : "") + sealedReply(request, "ran")};
        });
        server = &upstream;
        FlowFixture fixture;
        fixture.addUpstream("i-1", upstream);
        CHECK(statusOf(fixture.sendRequest(callerRequest("POST", "/book/", "a1"))) == "503");
        const std::string second = fixture.sendRequest(callerRequest("POST", "/book/", "a2"));
        CHECK_MESSAGE(statusOf(second) == "200", refusal);
        CHECK(bodyOf(second) == "ran");
    }
}

TEST_CASE("a refusal without an id that is left on a kept connection makes a booking run twice")
{
    const std::string refusal = okReply("", "X-Not-Run: 1\r\n", "503 Busy");
    std::atomic<bool> runsAfterRefusal {true};
    const auto reply = [&](const RawRequest &request) {
        if (headerOf(request.head, "X-Attempt") == "first")
            return RawReply {sealedReply(request, "first")};
        return RawReply {refusal + (runsAfterRefusal ? sealedReply(request, "ran") : "")};
    };
    const auto request = [](const std::string &path, const std::string &id) {
        return callerRequest(path == "/book/" ? "POST" : "GET", path, id);
    };
    // The upstream's own response follows: it ran the booking, once.
    {
        RawServer upstream("127.0.0.1", reply);
        FlowFixture fixture;
        fixture.addUpstream("i-1", upstream);
        CHECK(statusOf(fixture.sendRequest(request("/read/", "first"))) == "200");
        CHECK(bodyOf(fixture.sendRequest(request("/book/", "second"))) == "ran");
        CHECK(upstream.requests() == 2);
        CHECK(upstream.connections() == 1);
    }
    // Nothing follows: whether it ran is unknown, so only what may run twice is sent again.
    runsAfterRefusal = false;
    RawServer upstream("127.0.0.1", reply);
    FlowFixture fixture;
    fixture.addUpstream("i-1", upstream);
    CHECK(statusOf(fixture.sendRequest(request("/read/", "first"))) == "200");
    const core::MonoTime start = core::MonoClock::now();
    CHECK(statusOf(fixture.sendRequest(request("/book/", "second"))) == "502");
    CHECK(core::MonoClock::now() - start < core::Millis(900));
    CHECK(upstream.requests() == 2);
}

TEST_CASE("an interim response with the request's id is taken for its response")
{
    // Callers wait for the final response after a 1xx, and it was thrown away.
    for (const std::string status :
         {"100 Continue", "102 Processing", "103 Early Hints", "199 X"}) {
        CAPTURE(status);
        RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
            return RawReply {"HTTP/1.1 " + status
                             + "\r\nX-Attempt: " + headerOf(request.head, "X-Attempt") + "\r\n\r\n"
                             + sealedReply(request, "final")};
        });
        FlowFixture fixture;
        fixture.addUpstream("i-1", upstream);
        const std::string response = fixture.sendRequest(callerRequest("POST", "/book/", "a1"));
        CHECK(statusOf(response) == "200");
        CHECK(bodyOf(response) == "final");
    }
}

TEST_CASE("a switch of protocols that no request asked for leaves the caller without a response")
{
    RawServer upstream("127.0.0.1", [](const RawRequest &request) {
        return RawReply {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nX-Attempt: "
                         + headerOf(request.head, "X-Attempt") + "\r\n\r\n"};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", upstream);
    const core::MonoTime start = core::MonoClock::now();
    CHECK(statusOf(fixture.sendRequest(callerRequest("POST", "/book/", "a1"))) == "502");
    CHECK(core::MonoClock::now() - start < core::Millis(900));
}

TEST_CASE("a status without a name is judged as if it were no success and no server error")
{
    const std::vector<std::pair<std::string, std::string>> forms {
        {"299 Odd", "502"}, // A success without a response seal is not whole.
        {"599 Odd", "599"},
    };
    for (const auto &form : forms) {
        const std::string &status = form.first;
        CAPTURE(status);
        RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
            return RawReply {okReply(
                "odd", "X-Attempt: " + headerOf(request.head, "X-Attempt") + "\r\n", status)};
        });
        FlowFixture fixture;
        fixture.addUpstream("i-1", upstream);
        CHECK(statusOf(fixture.sendRequest(callerRequest("POST", "/book/", "a1"))) == form.second);
    }
}

TEST_CASE("a status that HTTP does not define is passed on as an answer")
{
    for (const std::string status : {"000 Odd", "099 Odd", "600 Odd", "999 Odd"}) {
        CAPTURE(status);
        RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
            return RawReply {okReply(
                "odd", "X-Attempt: " + headerOf(request.head, "X-Attempt") + "\r\n", status)};
        });
        FlowFixture fixture;
        fixture.addUpstream("i-1", upstream);
        CHECK(statusOf(fixture.sendRequest(callerRequest("POST", "/book/", "a1"))) == "502");
    }
}

TEST_CASE("a caller that waits for longer than the clock can count is refused at once")
{
    RawServer upstream("127.0.0.1", [](const RawRequest &request) {
        return RawReply {sealedReply(request, "booked")};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", upstream);
    for (const std::string milliseconds :
         {"9223372036854775", "9223372036854776", "52777777777777777", "9223372036854775807"}) {
        CAPTURE(milliseconds);
        const std::string response = fixture.sendRequest(
            callerRequest("POST", "/book/", "a1", "X-Deadline: " + milliseconds + "\r\n"));
        CHECK(statusOf(response) == "200");
    }
}

TEST_CASE("a connection with extra bytes after the response is not reused")
{
    RawServer upstream("127.0.0.1", [](const RawRequest &request) {
        return RawReply {sealedReply(request, "whole") + "HTTP/1.1 200 OK\r\n"};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", upstream);
    for (int i = 0; i < 3; ++i)
        CHECK(bodyOf(fixture.sendRequest(callerRequest("GET", "/read/", "a" + std::to_string(i))))
              == "whole");
    CHECK(upstream.connections() == 3);
}

TEST_CASE("a broken response to a non-idempotent request yields 502, not a refusal or success")
{
    const std::string sealed = "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s1\r\n";
    for (const std::string &bytes :
         {sealed + "Content-Length: 10\r\n\r\nhalf", std::string("garbage\r\n\r\n"), std::string(),
          std::string("HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nContent-Length: 2\r\n\r\nok"),
          sealed + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"}) {
        RawServer upstream("127.0.0.1", [&](const RawRequest &) { return RawReply {bytes, true}; });
        FlowFixture fixture;
        fixture.addUpstream("i-1", upstream);
        const std::string answer =
            fixture.sendRequest(callerRequest("POST", "/book/", "a1", "", "one crew"));
        CHECK(statusOf(answer) == "502");
        CHECK(upstream.requests() == 1);
    }
}

TEST_CASE("an idempotent request is retried at another upstream after a failure")
{
    RawServer failing("127.0.0.1", [](const RawRequest &request) {
        return RawReply {okReply("", "X-Attempt: " + headerOf(request.head, "X-Attempt") + "\r\n",
                                 "500 Broken")};
    });
    RawServer healthy("127.0.0.2", [](const RawRequest &request) {
        return RawReply {sealedReply(request, "good")};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", failing);
    fixture.addUpstream("i-2", healthy);
    for (int i = 0; i < 5; ++i)
        CHECK(bodyOf(fixture.sendRequest(callerRequest("GET", "/read/", "a" + std::to_string(i))))
              == "good");
    CHECK(failing.requests() <= 1);
}

TEST_CASE("a server error for a non-idempotent request is returned unchanged")
{
    RawServer failing("127.0.0.1", [](const RawRequest &) {
        return RawReply {okReply("why", "X-Attempt: a1\r\nX-Seal: s1\r\n", "500 Broken")};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", failing);
    const std::string answer = fixture.sendRequest(callerRequest("POST", "/book/", "a1", "", "x"));
    CHECK(statusOf(answer) == "500");
    CHECK(bodyOf(answer) == "why");
    CHECK(headerOf(answer, "X-Seal") == "s1");
}

TEST_CASE("a booking that ran is refused with a status that promises that it has not run")
{
    const std::vector<std::string> statuses {"408 Request Timeout", "429 Too Many Requests",
                                             "503 Service Unavailable"};
    for (const std::string &status : statuses) {
        for (const std::string seal : {"", "X-Seal: s1\r\n"}) {
            CAPTURE(status);
            RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
                const std::string id = headerOf(request.head, "X-Attempt");
                if (id == "first")
                    return RawReply {sealedReply(request, "first")};
                std::string fields = "X-Attempt: ";
                fields.append(id).append("\r\nRetry-After: 1\r\n").append(seal);
                return RawReply {okReply("busy", fields, status)};
            });
            FlowFixture fixture;
            fixture.addUpstream("i-1", upstream);
            const auto book = [&](const std::string &id) {
                return fixture.sendRequest(callerRequest("POST", "/book/", id));
            };
            const std::string fresh = book("a1");
            CHECK(statusOf(fresh) == "502");
            CHECK(headerOf(fresh, "X-Seal").empty());
            CHECK(headerOf(fresh, "X-Attempt") == "a1");
            CHECK(statusOf(book("first")) == "200");
            CHECK(statusOf(book("a2")) == "502"); // On a connection that is in use again.
            CHECK(upstream.requests() == 3);
            CHECK(upstream.connections() < 3);
        }
    }
}

TEST_CASE("a status that contradicts the statement of not being run refuses a booking that ran")
{
    struct Case
    {
        std::string status;
        std::string fields;
        std::string expected; ///< No promise.
    };
    const std::vector<Case> cases {
        {"200 OK", "X-Attempt: a1\r\nX-Seal: s1\r\nX-Not-Run: 1\r\n", "502"},
        {"200 OK", "X-Seal: s1\r\nX-Not-Run: 1\r\n", "504"}, // Not its own without the id.
        {"500 Broken", "X-Attempt: a1\r\nX-Not-Run: 1\r\n", "500"},
        {"504 Late", "X-Attempt: a1\r\nX-Not-Run: 1\r\n", "504"},
    };
    for (const Case &entry : cases) {
        CAPTURE(entry.status);
        const auto reply = [&](const RawRequest &) {
            return RawReply {okReply("ran", entry.fields, entry.status)};
        };
        RawServer first("127.0.0.1", reply);
        RawServer second("127.0.0.2", reply);
        FlowFixture fixture;
        fixture.addUpstream("i-1", first);
        fixture.addUpstream("i-2", second);
        const std::string response = fixture.sendRequest(callerRequest("POST", "/book/", "a1"));
        CHECK(statusOf(response) == entry.expected);
        CHECK(headerOf(response, "X-Not-Run").empty());
        CHECK(first.requests() + second.requests() == 1);
    }
}

TEST_CASE("a trailer section after the body refuses a booking that ran")
{
    const auto reply = [](const RawRequest &request) {
        return RawReply {"HTTP/1.1 503 Busy\r\nX-Attempt: " + headerOf(request.head, "X-Attempt")
                         + "\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "3\r\nran\r\n0\r\nX-Not-Run: 1\r\n\r\n"};
    };
    RawServer first("127.0.0.1", reply);
    RawServer second("127.0.0.2", reply);
    FlowFixture fixture;
    fixture.addUpstream("i-1", first);
    fixture.addUpstream("i-2", second);
    const std::string response = fixture.sendRequest(callerRequest("POST", "/book/", "a1"));
    CHECK(statusOf(response) == "502");
    CHECK(first.requests() + second.requests() == 1);
}

TEST_CASE("a caller names another request or account in the trailer section of its body")
{
    std::string head;
    RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
        head = request.head;
        return RawReply {sealedReply(request, "ran")};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", upstream);
    const std::string response = fixture.sendRequest(
        "POST /book/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt: a1\r\n"
        "Authorization: Bearer k1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\none\r\n0\r\nX-Attempt: a2\r\nAuthorization: Bearer k2\r\nX-Other: 1\r\n\r\n");
    CHECK(statusOf(response) == "200");
    CHECK(headerOf(head, "X-Attempt") == "a1");
    CHECK(head.find("a2") == std::string::npos);
    CHECK(headerOf(head, "X-Other").empty());
}

// Failure guarded against: the body of a request runs as a request of its own.
TEST_CASE("a request with a transfer coding other than chunked has no body")
{
    RawServer upstream("127.0.0.1", [](const RawRequest &request) {
        return RawReply {sealedReply(request, "ran")};
    });
    for (const std::string coding :
         {"identity", "xchunked", "chunked, identity", "gzip, chunked", "chunked;q=1", "",
          "chunked\r\nTransfer-Encoding: chunked", "identity\r\nContent-Length: 0"}) {
        CAPTURE(coding);
        FlowFixture fixture;
        fixture.addUpstream("i-1", upstream);
        std::string request =
            callerRequest("POST", "/book/", "a1", "Transfer-Encoding: " + coding + "\r\n");
        request += callerRequest("POST", "/book/", "a2");
        CHECK(statusOf(fixture.sendRequest(request)) == "400");
        CHECK(upstream.requests() == 0);
    }
}

// Failure guarded against: the coded bytes of a body are passed on as the body.
TEST_CASE("a response with a transfer coding other than chunked is an answer")
{
    std::string fields;
    RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
        return RawReply {"HTTP/1.1 200 OK\r\nX-Seal: s1\r\nX-Attempt: "
                             + headerOf(request.head, "X-Attempt") + "\r\n" + fields
                             + "\r\n6\r\nbooked\r\n0\r\n\r\n",
                         true};
    });
    const auto statusWith = [&](const std::string &coding) {
        fields = "Transfer-Encoding: " + coding + "\r\n";
        FlowFixture fixture;
        fixture.addUpstream("i-1", upstream);
        return statusOf(fixture.sendRequest(callerRequest("POST", "/book/", "a1")));
    };
    CHECK(statusWith("chunked") == "200");
    CHECK(statusWith("Chunked") == "200");
    for (const char *coding : {"identity", "gzip", "gzip, chunked", "xchunked", "chunked, gzip"}) {
        CAPTURE(coding);
        CHECK(statusWith(coding) == "502");
    }
}

TEST_CASE("an idempotent request ends with a refusal of one upstream while another has room")
{
    RawServer busy("127.0.0.1", [](const RawRequest &request) {
        return RawReply {okReply("", "X-Attempt: " + headerOf(request.head, "X-Attempt") + "\r\n",
                                 "429 Too Many Requests")};
    });
    RawServer healthy("127.0.0.2", [](const RawRequest &request) {
        return RawReply {sealedReply(request, "good")};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", busy);
    fixture.addUpstream("i-2", healthy);
    for (int i = 0; i < 5; ++i)
        CHECK(bodyOf(fixture.sendRequest(callerRequest("GET", "/read/", "a" + std::to_string(i))))
              == "good");
    CHECK(busy.requests() <= 1);
}

TEST_CASE("a second copy of a refusal refuses the same request at the next owner of the address")
{
    // After a restart the earlier id of an upstream is still listed at the same address.
    for (const std::string &refusal :
         {okReply("", "X-Attempt: a1\r\n", "421 Misdirected Request"),
          okReply("", "X-Attempt: a1\r\nX-Not-Run: 1\r\n", "503 Busy")}) {
        CAPTURE(refusal);
        RawServer *server = nullptr;
        RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
            if (request.number == 1)
                return RawReply {refusal};
            const bool isKept = server->connections() == 1;
            return RawReply {(isKept ? refusal : "") + sealedReply(request, "ran")};
        });
        server = &upstream;
        FlowFixture fixture;
        fixture.addUpstream("i-earlier", upstream);
        fixture.addUpstream("i-now", upstream);
        const std::string response = fixture.sendRequest(callerRequest("POST", "/book/", "a1"));
        CHECK(statusOf(response) == "200");
        CHECK(bodyOf(response) == "ran");
        CHECK(upstream.requests() == 2);
    }
}

TEST_CASE("a request that an upstream did not execute goes elsewhere, also if not idempotent")
{
    RawServer full("127.0.0.1", [](const RawRequest &) {
        return RawReply {okReply("", "X-Not-Run: 1\r\n", "503 Full")};
    });
    RawServer healthy("127.0.0.2", [](const RawRequest &request) {
        return RawReply {sealedReply(request, "booked")};
    });
    FlowFixture alone;
    alone.addUpstream("i-1", full);
    const std::string refused = alone.sendRequest(callerRequest("POST", "/book/", "a1", "", "x"));
    CHECK(statusOf(refused) == "503");
    CHECK(!headerOf(refused, "Retry-After").empty());
    FlowFixture both;
    both.addUpstream("i-1", full);
    both.addUpstream("i-2", healthy);
    for (int i = 0; i < 4; ++i)
        CHECK(bodyOf(both.sendRequest(
                  callerRequest("POST", "/book/", "b" + std::to_string(i), "", "x")))
              == "booked");
}

TEST_CASE("a request misdirected to another upstream at a known address goes elsewhere")
{
    RawServer other("127.0.0.1", [](const RawRequest &) {
        return RawReply {okReply("", "X-Upstream: i-9\r\n", "421 Misdirected Request")};
    });
    RawServer healthy("127.0.0.2", [](const RawRequest &request) {
        return RawReply {sealedReply(request, "booked")};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", other);
    fixture.addUpstream("i-2", healthy);
    for (int i = 0; i < 3; ++i)
        CHECK(bodyOf(fixture.sendRequest(
                  callerRequest("POST", "/book/", "b" + std::to_string(i), "", "x")))
              == "booked");
}

TEST_CASE("a response without a length ends with its connection and is complete")
{
    RawServer upstream("127.0.0.1", [](const RawRequest &request) {
        return RawReply {"HTTP/1.1 200 OK\r\nX-Seal: s1\r\nX-Attempt: "
                             + headerOf(request.head, "X-Attempt") + "\r\n\r\nall of it",
                         true};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", upstream);
    const std::string answer = fixture.sendRequest(callerRequest("GET", "/read/", "a1"));
    CHECK(bodyOf(answer) == "all of it");
    CHECK(headerOf(answer, "Content-Length") == "9");
}

// Failure guarded against: the received part of a response is passed on as the whole of it.
TEST_CASE("a response without a length is cut off by a reset while the request is being sent")
{
    constexpr std::size_t uploadBytes = std::size_t {24} * 1024 * 1024;
    constexpr std::size_t partBytes = 20000;
    const std::string part(partBytes, 'p');
    for (const std::string &fields : {std::string(), std::string("Connection: close\r\n"),
                                      "Content-Length: " + std::to_string(partBytes) + "\r\n"}) {
        CAPTURE(fields);
        standins::EarlyResponder upstream([&](const std::string &head) {
            std::string response = "HTTP/1.1 200 OK\r\nX-Seal: s1\r\nX-Attempt: ";
            response += headerOf(head, "X-Attempt") + "\r\n";
            response += fields;
            response += "\r\n";
            response += part;
            return response;
        });
        FlowFixture fixture(testConfiguration(core::Seconds(4)), core::Seconds(5), {},
                            2 * uploadBytes);
        fixture.addUpstreamAt("i-1", "127.0.0.1", upstream.port());
        const std::string answer = fixture.sendRequest(
            callerRequest("POST", "/book/", "a1", "", std::string(uploadBytes, 'u')));
        // A body with a length is whole, whatever happens to the rest of the request.
        const bool isWhole = fields.starts_with("Content-Length");
        CHECK(statusOf(answer) == (isWhole ? "200" : "502"));
        CHECK((bodyOf(answer) == part) == isWhole);
        CHECK(upstream.requests() == 1);
    }
}

// Failure guarded against: a response whose header section is not valid is passed on as an answer.
TEST_CASE("a response with a malformed status line or field is no answer")
{
    const std::vector<std::string> statusLines {
        "HTTP/1.1 000 Odd", "HTTP/1.1 001 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 600 Odd",
        "HTTP/1.1 999 Odd", "HTTP/1.1 20 Odd",  "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK",
        "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 -20 OK"};
    const std::vector<std::string> fields {"X Note: 1",
                                           "X\tNote: 1",
                                           std::string("X-\0Note: 1", 10),
                                           "X-\x01Note: 1",
                                           "X-\x0bNote: 1",
                                           "X-\x7fNote: 1",
                                           "X-\xe9Note: 1",
                                           "X(Note: 1",
                                           ": 1",
                                           "X-Note",
                                           "X-Note : 1",
                                           "Content-Length : 2",
                                           "Transfer-Encoding : chunked",
                                           "X-Note: a\x01z",
                                           std::string("X-Note: a\0z", 11),
                                           "X-Note: 1\r\n X-Other: 2",
                                           "X-Note: 1\r\n\tX-Other: 2",
                                           "X-Note: 1\r\n Content-Length: 2"};
    std::string statusLine = "HTTP/1.1 200 OK";
    std::string field = "X-Note: 1";
    const std::string body = "\r\n booked\r\n\r\n for today";
    RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
        return RawReply {statusLine + "\r\n" + field
                         + "\r\nX-Attempt: " + headerOf(request.head, "X-Attempt")
                         + "\r\nX-Seal: s1\r\nContent-Length: " + std::to_string(body.size())
                         + "\r\n\r\n" + body};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", upstream);
    const auto status = [&] {
        return statusOf(fixture.sendRequest(callerRequest("POST", "/book/", "a1")));
    };
    for (const std::string &odd : statusLines) {
        CAPTURE(odd);
        statusLine = odd;
        CHECK(status() == "502");
    }
    statusLine = "HTTP/1.1 200 OK";
    for (const std::string &odd : fields) {
        CAPTURE(odd);
        field = odd;
        CHECK(status() == "502");
    }
    field = "X-Note: 1";
    CHECK(bodyOf(fixture.sendRequest(callerRequest("POST", "/book/", "a1"))) == body);
}

TEST_CASE("pipelined requests run concurrently and are answered in order")
{
    Gate othersArrived;
    std::atomic<int> fastRequests {0};
    RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
        const bool slow = request.head.starts_with("GET /read/slow");
        if (!slow && ++fastRequests == 2)
            othersArrived.open();
        // The first request is answered only after the two behind it have arrived.
        if (slow)
            CHECK(othersArrived.wait());
        return RawReply {sealedReply(request, slow ? "[slow]" : "[fast]")};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", upstream);
    const int fd = fixture.connect();
    std::string last = callerRequest("GET", "/read/fast", "a3");
    last.insert(last.find("\r\n") + 2, "Connection: close\r\n");
    standins::sendAll(fd,
                      callerRequest("GET", "/read/slow", "a1")
                          + callerRequest("GET", "/read/fast", "a2") + last);
    const std::string answers = standins::readAll(fd);
    ::close(fd);
    const std::size_t slow = answers.find("[slow]");
    const std::size_t fast = answers.find("[fast]");
    REQUIRE(slow != std::string::npos);
    REQUIRE(fast != std::string::npos);
    CHECK(slow < fast);
    CHECK(answers.find("[fast]", fast + 1) != std::string::npos);
}

TEST_CASE("a sent non-idempotent request gets 504 as soon as the route's timeout expires")
{
    HangingUpstream upstream;
    FlowFixture fixture(testConfiguration(core::Millis(300)));
    fixture.addUpstreamAt("i-1", upstream.address(), upstream.port());
    const core::MonoTime begin = core::MonoClock::now();
    const std::string answer = fixture.sendRequest(callerRequest("POST", "/book/", "a1", "", "x"));
    CHECK(statusOf(answer) == "504");
    CHECK(core::MonoClock::now() - begin < core::Millis(600));
}

TEST_CASE("a disconnect of the caller cancels its idempotent request at the upstream")
{
    HangingUpstream upstream;
    FlowFixture fixture(testConfiguration(core::Seconds(10)));
    fixture.addUpstreamAt("i-1", upstream.address(), upstream.port());
    const int fd = fixture.connect();
    standins::sendAll(fd, callerRequest("GET", "/read/", "a1"));
    REQUIRE(eventually([&] { return upstream.received(); }));
    CHECK(!upstream.closed());
    ::close(fd);
    CHECK(eventually([&] { return upstream.closed(); }));
}

TEST_CASE("work goes on for a caller that left with as many requests pending as are read")
{
    Gate release;
    RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
        release.wait();
        return RawReply {sealedReply(request, "late")};
    });
    FlowFixture fixture(testConfiguration(core::Seconds(5)));
    fixture.addUpstream("i-1", upstream);
    const int fd = fixture.connect();
    std::string requests;
    for (int i = 0; i < 20; ++i)
        requests += callerRequest("GET", "/read/", "a" + std::to_string(i));
    standins::sendAll(fd, requests);
    REQUIRE(eventually([&] { return fixture.waiting() > 0 && upstream.requests() > 0; }));
    ::close(fd);
    const core::MonoTime leftAt = core::MonoClock::now();
    CHECK(eventually([&] { return fixture.waiting() == 0 && fixture.connections() == 0; }));
    CHECK(core::MonoClock::now() - leftAt < core::Millis(500));
    release.open();
}

TEST_CASE("a request that would miss its deadline in the queue is refused at once")
{
    // Guards against a queue that counts on all slots of the service. While eleven other VMs filled
    // the same slots, requests waited for a second and were then refused.
    Gate stop;
    RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
        stop.wait();
        return RawReply {sealedReply(request, "")};
    });
    Configuration configuration = testConfiguration();
    // The expected work is a third of the target latency: six waits take 1000 ms, seven 1167 ms.
    for (Route &route : configuration.routes)
        route.timeout = core::Millis(1080);
    FlowFixture fixture(std::move(configuration));
    fixture.addUpstream("i-1", upstream);
    fixture.onLoop([&] { fixture.flow().setFleetShare(0.1); });
    std::vector<int> busy;
    for (int i = 0; i < 8; ++i) {
        busy.push_back(fixture.connect());
        standins::sendAll(busy.back(),
                          callerRequest("POST", "/book/", "b" + std::to_string(i), "", "x"));
    }
    REQUIRE(eventually([&] { return upstream.requests() == 8; }));
    // This VM's share of the slots serves six waiting requests in time; later ones would miss their
    // deadline.
    for (int i = 0; i < 6; ++i) {
        busy.push_back(fixture.connect());
        standins::sendAll(busy.back(),
                          callerRequest("POST", "/book/", "w" + std::to_string(i), "", "x"));
    }
    REQUIRE(eventually([&] { return fixture.waiting() == 6; }));
    const core::MonoTime begin = core::MonoClock::now();
    const std::string answer =
        fixture.sendRequest(callerRequest("POST", "/book/", "late", "", "x"));
    CHECK(statusOf(answer) == "503");
    CHECK(core::MonoClock::now() - begin < core::Millis(200));
    stop.open();
    for (const int fd : busy)
        ::close(fd);
}

TEST_CASE("malformed, oversized and stalled requests are rejected, and the server keeps serving")
{
    RawServer upstream("127.0.0.1", [](const RawRequest &request) {
        return RawReply {sealedReply(request, "fine")};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", upstream);
    const auto raw = [&](const std::string &bytes) {
        const int fd = fixture.connect();
        standins::sendAll(fd, bytes);
        std::string answer = standins::readAll(fd);
        ::close(fd);
        return answer;
    };
    CHECK(statusOf(raw("nonsense\r\n\r\n")) == "400");
    CHECK(statusOf(raw("GET / HTTP/1.1\r\nno colon\r\n\r\n")) == "400");
    CHECK(statusOf(raw("GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n")) == "431");
    CHECK(statusOf(raw(callerRequest("POST", "/book/", "a1", "", std::string(20000, 'x'))))
          == "413");
    // A header that never ends: the connection is closed after the header timeout.
    CHECK(raw("GET / HTTP/1.1\r\nX: ").empty());
    CHECK(bodyOf(fixture.sendRequest(callerRequest("GET", "/read/", "a2"))) == "fine");
}

TEST_CASE("during shutdown pending requests are answered and later ones refused as not run")
{
    Gate leaving;
    RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
        CHECK(leaving.wait());
        return RawReply {sealedReply(request, "done")};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", upstream);
    const int fd = fixture.connect();
    standins::sendAll(fd, callerRequest("POST", "/book/", "a1", "", "x"));
    REQUIRE(eventually([&] { return upstream.requests() == 1; }));
    fixture.onLoop([&] { fixture.flow().enterPhase(core::Phase::Leaving); });
    leaving.open();
    std::string answer = standins::readAll(fd);
    ::close(fd);
    CHECK(bodyOf(answer) == "done");
    CHECK(headerOf(answer, "Connection") == "close");
    fixture.onLoop([&] { fixture.flow().enterPhase(core::Phase::Refusing); });
    CHECK(statusOf(fixture.sendRequest(callerRequest("POST", "/book/", "a2", "", "x"))) == "503");
    CHECK(upstream.requests() == 1);
}

TEST_CASE("during shutdown a slow attempt is not abandoned for another upstream")
{
    // After SIGTERM, an idempotent request was abandoned for another attempt, and its caller got a
    // response of the proxy instead of the upstream's.
    Gate release;
    std::atomic<int> requests {0};
    const auto slow = [&](const RawRequest &request) {
        ++requests;
        release.wait();
        return RawReply {sealedReply(request, "slow but whole")};
    };
    RawServer first("127.0.0.1", slow);
    RawServer second("127.0.0.1", slow);
    FlowFixture fixture(testConfiguration(core::Millis(2000)));
    fixture.addUpstream("i-1", first);
    fixture.addUpstream("i-2", second);
    fixture.onLoop([&] { fixture.flow().enterPhase(core::Phase::Leaving); });
    auto answer = std::async(std::launch::async, [&fixture] {
        return fixture.sendRequest(callerRequest("GET", "/read/", "a1"));
    });
    REQUIRE(eventually([&] { return requests == 1; }));
    // Longer than the soft timeout of 0.8 s, after which the other upstream could be tried.
    CHECK(answer.wait_for(core::Millis(1200)) == std::future_status::timeout);
    CHECK(requests == 1);
    release.open();
    CHECK(bodyOf(answer.get()) == "slow but whole");
}

TEST_CASE("the pool keeps at most the allowed idle connections per server, newest first")
{
    // Guards against ignoring the daemon's setting for this limit, which no code read.
    RawServer upstream("127.0.0.1", [](const RawRequest &) { return RawReply {okReply("ok")}; });
    asio::io_context context {1};
    ConnectionPool pool(context, {.maxIdlePerServer = 2});
    const http::Target target {.address = "127.0.0.1", .port = upstream.port()};
    std::vector<std::unique_ptr<HttpConnection>> connections;
    connections.reserve(3);
    for (int i = 0; i < 3; ++i)
        connections.push_back(pool.acquire(core::MonoClock::now(), target, core::Micros::max()));
    HttpRequest request(beasthttp::verb::get, "/", 11);
    request.set(beasthttp::field::host, "upstream");
    const ExchangeOptions options {.deadline = core::MonoClock::now() + core::Seconds(3)};
    const auto canceller = std::make_shared<ExchangeCanceller>();
    const ResponseFilter all;
    for (const auto &connection : connections) {
        asio::co_spawn(context, connection->exchange(request, options, canceller, all),
                       [](const std::exception_ptr &, const ExchangeResult &result) {
                           CHECK(result.failure == ExchangeFailure::None);
                       });
    }
    context.run();
    const HttpConnection *newest = connections.back().get();
    for (auto &connection : connections)
        pool.release(core::MonoClock::now(), std::move(connection));
    CHECK(pool.size() == 2);
    CHECK(pool.acquire(core::MonoClock::now(), target, core::Micros::max()).get() == newest);
}

TEST_CASE("an idle connection that the upstream closed is not reused for a non-idempotent request")
{
    std::atomic<int> runs {0};
    RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
        ++runs;
        // Closes without announcing it in the response.
        return RawReply {.bytes = sealedReply(request, "ok"), .close = true};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", upstream);
    for (int i = 0; i < 20; ++i) {
        const std::string answer =
            fixture.sendRequest(callerRequest("POST", "/book/", "a" + std::to_string(i), "", "x"));
        CHECK(bodyOf(answer) == "ok");
        // The next test covers a request that races with the close.
        REQUIRE(eventually([&] { return upstream.closed() == i + 1; }));
    }
    CHECK(runs == 20);
}

TEST_CASE("a non-idempotent request that races with the close of its connection is neither "
          "retried nor reported as not run")
{
    Gate sent;
    std::atomic<int> runs {0};
    RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
        ++runs;
        // Closes once the next request has been sent.
        return RawReply {.bytes = sealedReply(request, "ok"), .close = true, .beforeClose = [&] {
                             CHECK(sent.wait());
                         }};
    });
    FlowFixture fixture;
    fixture.addUpstream("i-1", upstream);
    CHECK(bodyOf(fixture.sendRequest(callerRequest("POST", "/book/", "a1", "", "x"))) == "ok");
    const int caller = fixture.connect();
    standins::sendAll(caller, callerRequest("POST", "/book/", "a2", "Connection: close\r\n", "x"));
    REQUIRE(eventually([&] { return upstream.hasUnreadBytes(); }));
    sent.open();
    CHECK(statusOf(standins::readAll(caller)) == "502");
    ::close(caller);
    CHECK(runs == 1);
    CHECK(upstream.connections() == 1);
}

TEST_CASE("an upstream that stops at any byte of its response yields a complete response")
{
    // With a length, in chunks with a trailer, and after an informational response.
    const auto wholeReply = [](const RawRequest &request, int form) {
        const std::string fields =
            "X-Attempt: " + headerOf(request.head, "X-Attempt") + "\r\nX-Seal: s1\r\n";
        const std::string chunked = "HTTP/1.1 200 OK\r\n" + fields
            + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n"
              "5;x=y\r\nhello\r\n3\r\nyou\r\n0\r\nX-End: 1\r\n\r\n";
        if (form == 0)
            return standins::okReply("helloyou", fields);
        return form == 1 ? chunked : "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" + chunked;
    };
    for (int form = 0; form < 3; ++form) {
        std::atomic<std::size_t> length {0};
        RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
            const std::string whole = wholeReply(request, form);
            const std::size_t cut = std::stoul(headerOf(request.head, "X-Cut"));
            length = whole.size();
            return RawReply {.bytes = whole.substr(0, cut), .close = true};
        });
        FlowFixture fixture;
        fixture.addUpstream("i-1", upstream);
        const auto responseTo = [&](std::size_t cut) {
            return fixture.sendRequest(callerRequest("POST", "/book/x", "a" + std::to_string(cut),
                                                     "X-Cut: " + std::to_string(cut) + "\r\n",
                                                     "x"));
        };
        const std::string whole = responseTo(10000);
        CHECK(whole.starts_with("HTTP/1.1 200"));
        CHECK(whole.ends_with("\r\n\r\nhelloyou"));
        for (std::size_t cut = 0; cut < length; ++cut) {
            CAPTURE(form);
            CAPTURE(cut);
            CHECK(responseTo(cut).starts_with("HTTP/1.1 502"));
        }
    }
}

TEST_CASE("a caller that reads nothing of its response occupies a connection without end")
{
    const std::string body(std::size_t {16} * 1024 * 1024, 'x');
    RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
        return RawReply {sealedReply(request, body)};
    });
    FlowFixture fixture(testConfiguration(core::Seconds(3)), core::Millis(400));
    fixture.addUpstream("i-1", upstream);
    const int stalled = fixture.connect();
    standins::sendAll(stalled, callerRequest("GET", "/read/x", "a1"));
    REQUIRE(eventually([&] { return upstream.requests() == 1; }));
    CHECK(eventually([&] { return fixture.connections() == 0; }));
    ::close(stalled);
}

TEST_CASE("a caller that reads its response slowly is cut off")
{
    const std::string body(std::size_t {16} * 1024 * 1024, 'x');
    RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
        return RawReply {sealedReply(request, body)};
    });
    FlowFixture fixture(testConfiguration(core::Seconds(3)), core::Millis(400));
    fixture.addUpstream("i-1", upstream);
    const int slow = fixture.connect();
    standins::sendAll(slow, callerRequest("GET", "/read/x", "a1"));
    std::string received;
    std::string buffer(body.size() / 8, '\0');
    for (ssize_t count = 1; count > 0 && received.size() <= body.size();) {
        std::this_thread::sleep_for(core::Millis(100)); // The pace of the caller.
        count = ::recv(slow, buffer.data(), buffer.size(), MSG_WAITALL);
        received.append(buffer, 0, static_cast<std::size_t>(std::max<ssize_t>(0, count)));
    }
    CHECK(received.size() > body.size());
    ::close(slow);
}

namespace {

/** Length of a response that the buffers of a connection hold but a caller has yet to read. */
constexpr std::size_t unreadBytes = 300000;

/** @return The descriptor of a caller connection that accepts few bytes that are not read. */
int connectWithSmallBuffer(const FlowFixture &fixture)
{
    const int fd = fixture.connect();
    const int bytes = 4096;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    standins::limitReceiveTime(fd, 5);
    return fd;
}

/** Waits for a time in which a caller reads nothing. */
void pauseReading(core::Millis time)
{
    std::this_thread::sleep_for(time);
}

} // namespace

// Failure guarded against: the close discards a response that its caller is still reading.
TEST_CASE("bytes of a slow reader after its last response cut the response off")
{
    const std::string body(unreadBytes, 'x');
    RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
        return RawReply {sealedReply(request, body)};
    });
    FlowFixture fixture(testConfiguration(core::Seconds(3)));
    fixture.addUpstream("i-1", upstream);
    bool isLeaving = false;
    SUBCASE("the caller asked for the close") { }
    SUBCASE("a planned stop began while the requests ran")
    {
        isLeaving = true;
    }
    const int fd = connectWithSmallBuffer(fixture);
    const std::string fields = isLeaving ? "" : "Connection: close\r\n";
    if (isLeaving)
        fixture.onLoop([&] { fixture.flow().enterPhase(core::Phase::Leaving); });
    standins::sendAll(fd, callerRequest("GET", "/read/x", "a1", fields));
    pauseReading(core::Millis(900));
    standins::sendAll(fd, isLeaving ? callerRequest("GET", "/read/x", "a2") : "\r\n");
    pauseReading(core::Millis(100));
    CHECK(bodyOf(standins::readAll(fd)) == body);
    ::close(fd);
    CHECK(eventually([&] { return fixture.connections() == 0; }));
}

// Failure guarded against: the end of an idle connection discards a response that is being read.
TEST_CASE("a connection counts as idle while its caller reads the response")
{
    const std::string body(unreadBytes, 'x');
    RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
        return RawReply {sealedReply(request, body)};
    });
    FlowFixture fixture(testConfiguration(core::Seconds(3)), core::Millis(400));
    fixture.addUpstream("i-1", upstream);
    const int fd = connectWithSmallBuffer(fixture);
    standins::sendAll(fd, callerRequest("GET", "/read/x", "a1"));
    std::string received;
    std::string buffer(unreadBytes / 8, '\0');
    for (ssize_t count = 1; count > 0 && received.size() < body.size();) {
        pauseReading(core::Millis(150));
        standins::sendAll(fd, "\r\n");
        count = ::recv(fd, buffer.data(), buffer.size(), MSG_WAITALL);
        received.append(buffer, 0, static_cast<std::size_t>(std::max<ssize_t>(0, count)));
    }
    CHECK(received.size() >= body.size());
    ::close(fd);
}

namespace {

/** Two upstreams behind a flow that hedges. Requests for "/slow" are answered by a script, which
 * gets 1 for the first attempt and 2 for the hedge; all others after 2 ms. */
class HedgeFixture
{
public:
    using Script = std::function<RawReply(const RawRequest &, int)>;

    explicit HedgeFixture(Script script)
        : script_(std::move(script))
        , one_("127.0.0.1", [this](const RawRequest &request) { return reply(request); })
        , two_("127.0.0.1", [this](const RawRequest &request) { return reply(request); })
    {
        flow.addUpstream("i-1", one_);
        flow.addUpstream("i-2", two_);
        for (int i = 0; i < 60; ++i) {
            for (const char *path : {"/read/", "/book/"})
                CHECK(
                    statusOf(flow.sendRequest(callerRequest("POST", path, "w" + std::to_string(i))))
                    == "200");
        }
    }

    int slowRequests() const { return slow_; }
    int closed() const { return one_.closed() + two_.closed(); }
    double hedges(const std::string &outcome)
    {
        return flow.metric("teaselreach_hedges_total{service=\"slot\",outcome=\"" + outcome
                           + "\",reason=\"\"}");
    }

    FlowFixture flow {testConfiguration(core::Millis(3000)), core::Seconds(5), {}, 10000, 0.2};

private:
    RawReply reply(const RawRequest &request)
    {
        if (request.head.find("/slow") != std::string::npos)
            return script_(request, ++slow_);
        std::this_thread::sleep_for(core::Millis(2));
        return {sealedReply(request, headerOf(request.head, "X-Attempt"))};
    }

    Script script_;
    std::atomic<int> slow_ {0};
    RawServer one_;
    RawServer two_;
};

} // namespace

TEST_CASE("the response of the slower of two attempts reaches a caller, or its body is lost")
{
    Gate release;
    std::atomic<int> bodies {0};
    HedgeFixture fixture([&](const RawRequest &request, int order) {
        bodies += request.body == "whole body" ? 1 : 0;
        if (order == 1)
            CHECK(release.wait());
        return RawReply {sealedReply(request, order == 1 ? "late" : "hedge")};
    });
    const int closed = fixture.closed();
    const std::string answer =
        fixture.flow.sendRequest(callerRequest("POST", "/read/slow", "a1", "", "whole body"));
    CHECK(bodyOf(answer) == "hedge");
    CHECK(bodies == 2);
    CHECK(fixture.hedges("won") >= 1);
    release.open();
    CHECK(eventually([&] { return fixture.closed() == closed + 1; }));
    for (int i = 0; i < 20; ++i) {
        const std::string id = "b" + std::to_string(i);
        CHECK(bodyOf(fixture.flow.sendRequest(callerRequest("GET", "/read/", id))) == id);
    }
}

TEST_CASE("a request that is not idempotent is hedged")
{
    HedgeFixture fixture([&](const RawRequest &request, int) {
        std::this_thread::sleep_for(core::Millis(300));
        return RawReply {sealedReply(request, "once")};
    });
    CHECK(bodyOf(fixture.flow.sendRequest(callerRequest("POST", "/book/slow", "a1"))) == "once");
    CHECK(fixture.slowRequests() == 1);
}

TEST_CASE("a hedged request is reported as not run without the proof for both attempts")
{
    // Which of the two refuses; 0 for both.
    for (const int refusing : {0, 1, 2}) {
        CAPTURE(refusing);
        Gate hedged;
        HedgeFixture fixture([&](const RawRequest &, int order) {
            if (order == 2)
                hedged.open();
            CHECK(hedged.wait());
            if (refusing == 0 || order == refusing)
                return RawReply {okReply("", "X-Not-Run: 1\r\nX-Attempt: a1\r\n", "503 Busy")};
            return RawReply {.bytes = "", .close = true};
        });
        const std::string answer =
            fixture.flow.sendRequest(callerRequest("GET", "/read/slow", "a1"));
        CHECK(statusOf(answer) == (refusing == 0 ? "503" : "502"));
        CHECK(fixture.slowRequests() == 2);
        CHECK(fixture.hedges("failed") >= 1);
    }
}

TEST_CASE("a good response of the first attempt is dropped, or its error used, because of a hedge")
{
    for (const bool isGood : {true, false}) {
        Gate hedged;
        HedgeFixture fixture([&](const RawRequest &request, int order) {
            if (order == 1) {
                CHECK(hedged.wait());
                return RawReply {isGood ? sealedReply(request, "first")
                                        : okReply("", "X-Attempt: a1\r\n", "500 Failed")};
            }
            hedged.open();
            std::this_thread::sleep_for(core::Millis(100)); // The first response arrives before.
            return RawReply {sealedReply(request, "hedge")};
        });
        CHECK(bodyOf(fixture.flow.sendRequest(callerRequest("GET", "/read/slow", "a1")))
              == (isGood ? "first" : "hedge"));
        CHECK(fixture.hedges(isGood ? "lost" : "won") >= 1);
    }
}

TEST_CASE("an attempt goes on after the caller of a hedged request has disconnected")
{
    Gate release;
    HedgeFixture fixture([&](const RawRequest &request, int) {
        CHECK(release.wait());
        return RawReply {sealedReply(request, "unread")};
    });
    const int closed = fixture.closed();
    const int caller = fixture.flow.connect();
    standins::sendAll(caller, callerRequest("GET", "/read/slow", "a1"));
    REQUIRE(eventually([&] { return fixture.slowRequests() == 2; }));
    ::close(caller);
    CHECK(eventually([&] { return fixture.hedges("cancelled") == 1; }));
    release.open();
    CHECK(eventually([&] { return fixture.closed() == closed + 2; }));
}
