/** @file request_test.cpp Tests of requests through a running daemon. */
#include "daemon/fixture.h"

#include <future>
#include <thread>

using namespace teaselreach;
using namespace teaselreach::tests;
using standins::okReply;
using standins::RawReply;
using standins::RawRequest;
using table::Refusal;

TEST_CASE("a request is forwarded unchanged, without the key and with the daemon's header fields")
{
    RawRequest seen;
    Fixture fixture({[&seen](const RawRequest &request) {
        seen = request;
        return RawReply {okReply("booked", "X-Load-Busy: 1\r\nEtag: e\r\n", "201 Created")};
    }});
    http::Request request = Fixture::requestWithKey("POST", std::string("a\0\xff", 3));
    request.headers.push_back({"X-Teaselreach-Account", "forged"});
    request.headers.push_back({"Content-Type", "application/x-www-form-urlencoded"});
    const http::Result result = fixture.call(request);
    CHECK(result.status == 201);
    CHECK(result.body == "booked");
    CHECK(*http::findHeader(result.headers, "Etag") == "e");
    CHECK(http::findHeader(result.headers, "X-Load-Busy") == nullptr);
    CHECK(seen.head.starts_with("POST /slots/1?x=%20y HTTP/1.1\r\n"));
    CHECK(seen.head.find("key-1") == std::string::npos);
    CHECK(seen.head.find("forged") == std::string::npos);
    CHECK(seen.head.find("X-Teaselreach-Account: bakery\r\n") != std::string::npos);
    CHECK(seen.head.find("X-Deadline-Ms: ") != std::string::npos);
    CHECK(seen.body == request.body);
}

TEST_CASE("an earlier refusal that is written again on a kept connection refuses the next request")
{
    standins::RawServer *server = nullptr;
    const std::string refusal = okReply("", "X-Not-Run: 1\r\n", "503 Busy");
    Fixture fixture({[&](const RawRequest &request) {
        if (request.number == 1)
            return RawReply {refusal};
        const bool isKept = server->connections() == 1;
        return RawReply {(isKept ? refusal : "") + okReply("ran")};
    }});
    server = fixture.upstreams.front().get();
    checkRefusal(fixture.call(Fixture::requestWithKey("POST")), Refusal::UpstreamRefused);
    const http::Result second = fixture.call(Fixture::requestWithKey("POST"));
    CHECK(second.status == 200);
    CHECK(second.body == "ran");
}

TEST_CASE("a non-idempotent request is sent only once if the upstream cuts the connection")
{
    for (const RawReply &bad : {RawReply {"", true}, RawReply {"HTTP/1.1 200 OK\r\n", true}}) {
        const auto handler = [bad](const RawRequest &) { return bad; };
        Fixture fixture({handler, handler, handler});
        checkRefusal(fixture.call(Fixture::requestWithKey("POST")), Refusal::UpstreamCut);
        int sent = 0;
        for (const auto &upstream : fixture.upstreams)
            sent += upstream->requests();
        CHECK(sent == 1);
    }
}

namespace {

const RawReply shedReply {okReply("", "X-Not-Run: 1\r\n", "503 Busy")};
const RawReply cutReply {"", true};

/** @return Handlers of two upstreams that reply `first` to the first request, then `second`. */
std::vector<standins::RawServer::Handler> repliesInOrder(const RawReply &first,
                                                         const RawReply &second)
{
    const auto calls = std::make_shared<std::atomic<int>>(0);
    const auto handler = [=](const RawRequest &) {
        return calls->fetch_add(1) == 0 ? first : second;
    };
    return {handler, handler};
}

int requestsAtBoth(const Fixture &fixture)
{
    return fixture.upstreams[0]->requests() + fixture.upstreams[1]->requests();
}

} // namespace

TEST_CASE("a request that was shed or is idempotent is retried at another upstream")
{
    Fixture afterShed(repliesInOrder(shedReply, RawReply {okReply("")}));
    CHECK(afterShed.call(Fixture::requestWithKey("POST")).status == 200);
    CHECK(requestsAtBoth(afterShed) == 2);
    Fixture afterCut(repliesInOrder(cutReply, RawReply {okReply("")}));
    CHECK(afterCut.call(Fixture::requestWithKey("GET", "")).status == 200);
    CHECK(requestsAtBoth(afterCut) == 2);
}

TEST_CASE("\"not run\" is reported only if no upstream may have run the request")
{
    Fixture allShed(repliesInOrder(shedReply, shedReply));
    checkRefusal(allShed.call(Fixture::requestWithKey("POST")), Refusal::UpstreamRefused);
    Fixture cutThenShed(repliesInOrder(cutReply, shedReply));
    checkRefusal(cutThenShed.call(Fixture::requestWithKey("GET", "")), Refusal::UpstreamCut);
    CHECK(requestsAtBoth(cutThenShed) == 2);
    Fixture none({});
    checkRefusal(none.call(Fixture::requestWithKey("POST")), Refusal::NoUpstream);
}

TEST_CASE("route and caller deadlines apply, and after an upstream timeout the outcome is unknown")
{
    Fixture fixture({[](const RawRequest &) { return RawReply {}; }});
    checkRefusal(fixture.call({.target = "/open"}), Refusal::UpstreamTimeout);
    http::Request request = Fixture::requestWithKey("POST");
    request.headers.push_back({"X-Deadline-Ms", "50"});
    checkRefusal(fixture.call(request), Refusal::UpstreamTimeout);
    request.headers.back().value = "0";
    checkRefusal(fixture.call(request), Refusal::DeadlineExceeded);
}

TEST_CASE("a key withdrawn between two attempts stops the request, also on an open connection")
{
    Fixture *runningFixture = nullptr;
    // The first upstream withdraws the key and sheds, so that the request is up for a retry.
    const auto withdrawAndShed = [&runningFixture](const RawRequest &) {
        runningFixture->daemon.applyConfig(makeSnapshot(2, true));
        return RawReply {okReply("", "X-Not-Run: 1\r\n", "503 Busy")};
    };
    Fixture fixture({withdrawAndShed, withdrawAndShed});
    runningFixture = &fixture;
    checkRefusal(fixture.call(Fixture::requestWithKey("POST")), Refusal::UnknownKey);
    CHECK(requestsAtBoth(fixture) == 1);
    checkRefusal(fixture.call(Fixture::requestWithKey("POST")), Refusal::UnknownKey);
    CHECK_FALSE(fixture.daemon.config().apply(makeSnapshot(1)));
}

TEST_CASE("keys are trusted only for max_store_silence_s after the last contact with the store")
{
    settings::Settings settings = makeSettings();
    settings.keys.maxStoreSilence = core::Seconds(1);
    Fixture fixture({answerOk}, settings);
    fixture.checkStillServing();
    daemon::SharedConfig config({.maxStoreSilence = core::Seconds(60)});
    const core::MonoTime start = core::MonoClock::now();
    config.noteStoreContact(start);
    CHECK(config.keysUsable(start + core::Seconds(60)));
    config.noteUpdate(start + core::Seconds(61));
    CHECK_FALSE(config.keysUsable(start + core::Seconds(61)));
    config.noteStoreContact(start + core::Seconds(62));
    CHECK(config.keysUsable(start + core::Seconds(62)));
}

TEST_CASE("a caller's disconnect cancels an idempotent request, and any other request goes on")
{
    // Guards against unnoticed disconnects, as with the former thread for each connection.
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    std::atomic<int> arrived {0};
    Fixture fixture({[&](const RawRequest &) {
        ++arrived;
        released.wait();
        return RawReply {okReply("late")};
    }});
    const auto metricsText = [&] {
        const http::Target control {daemonAddress, fixture.settings.listen.controlPort};
        return fixture.client.send(control, {.target = "/metrics"}, callTimeout).body;
    };
    for (const std::string &request :
         {std::string("GET /slots HTTP/1.1\r\n"), std::string("POST /slots HTTP/1.1\r\n")}) {
        const int before = arrived;
        const int fd = standins::connectTo(daemonAddress, fixture.settings.listen.callerPort);
        standins::sendAll(fd,
                          request
                              + "Host: h\r\nAuthorization: Bearer key-1\r\nContent-Length: "
                                "0\r\n\r\n");
        for (int seen = 0; (seen = arrived.load()) == before;)
            std::this_thread::yield();
        ::close(fd);
    }
    const auto ended = [&](int count) {
        return metricsText().find("outcome=\"caller_left\",service=\"slots\"} "
                                  + std::to_string(count) + "\n")
            != std::string::npos;
    };
    const core::MonoTime end = core::MonoClock::now() + core::Seconds(3);
    while (!ended(1) && core::MonoClock::now() < end)
        std::this_thread::yield();
    CHECK(ended(1));
    // The POST request is still running.
    release.set_value();
    while (!ended(2) && core::MonoClock::now() < end)
        std::this_thread::yield();
    CHECK(ended(2));
}

TEST_CASE("a caller's disconnect burns no error budget, and an upstream's broken connection does")
{
    // Guards against counting a disconnected caller as upstream_cut against the objective.
    daemon::RequestObserver observer;
    observer.burn().setObjectives(
        {{.id = core::ObjectiveId("o"), .service = core::ServiceId("slots")}});
    const auto finish = [&](std::string_view outcome) {
        observer.recordRequest({.id = core::RequestId("r"),
                                .account = core::ClientAccountId("bakery"),
                                .service = core::ServiceId("slots"),
                                .status = 502,
                                .outcome = std::string(outcome)});
    };
    finish(daemon::callerLeftOutcome);
    CHECK(observer.burn().samples(core::MonoClock::now()).empty());
    finish(table::refusalRow(Refusal::UpstreamCut).code);
    CHECK(observer.burn().samples(core::MonoClock::now()).size() == 1);
}

TEST_CASE("a HEAD request is answered without a body, also if it is refused")
{
    Fixture fixture({[](const RawRequest &) {
        return RawReply {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nEtag: e\r\n\r\n"};
    }});
    const std::string head = "HEAD /slots HTTP/1.1\r\nHost: h\r\nConnection: close\r\n";
    const std::string answered = fixture.sendRaw(head + "Authorization: Bearer key-1\r\n\r\n");
    CHECK(answered.starts_with("HTTP/1.1 200 "));
    CHECK(answered.find("Etag: e\r\n") != std::string::npos);
    CHECK(answered.ends_with("\r\n\r\n"));
    const std::string refused = fixture.sendRaw(head + "\r\n");
    CHECK(refused.starts_with("HTTP/1.1 401 "));
    CHECK(refused.ends_with("\r\n\r\n"));
}

TEST_CASE("concurrent callers each get the response to their own request")
{
    const auto echo = [](const RawRequest &request) { return RawReply {okReply(request.body)}; };
    Fixture fixture({echo, echo, echo});
    std::atomic<int> wrong {0};
    constexpr int callerCount = 8;
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    for (int caller = 0; caller < callerCount; ++caller) {
        callers.emplace_back([&fixture, &wrong, caller] {
            for (int i = 0; i < 50; ++i) {
                const std::string body = std::to_string(caller) + "/" + std::to_string(i);
                if (fixture.call(Fixture::requestWithKey("POST", body)).body != body)
                    ++wrong;
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    CHECK(wrong == 0);
}

TEST_CASE("entry addresses are in different zones, the caller's first, and never a leaving VM")
{
    Fixture fixture({answerOk});
    http::Request request {.target = "/.teaselreach/entry?zone=b",
                           .headers = {{"Authorization", "Bearer key-2"}}};
    const auto answer = nlohmann::json::parse(fixture.call(request).body);
    CHECK(answer["valid_for_s"] == 30);
    CHECK(answer["addresses"].size() == 3);
    CHECK(answer["addresses"][0]["vm"] == "e3");
    CHECK(answer["addresses"][1]["availability_zone"] == "a");
    request.headers.clear();
    checkRefusal(fixture.call(request), Refusal::NoKey);
}

TEST_CASE("the control server serves /health and /metrics")
{
    Fixture fixture({answerOk});
    fixture.checkStillServing();
    const http::Target control {daemonAddress, fixture.settings.listen.controlPort};
    const auto health = fixture.client.send(control, {.target = "/health"}, callTimeout);
    CHECK(nlohmann::json::parse(health.body)["revision"] == 1);
    const auto metrics = fixture.client.send(control, {.target = "/metrics"}, callTimeout);
    CHECK(metrics.body.find("teaselreach_request_duration_seconds_count{account=\"bakery\","
                            "outcome=\"answered\",service=\"slots\"} 1\n")
          != std::string::npos);
}
