/** @file shutdown_test.cpp A graceful shutdown finishes all requests in flight. */
#include "daemon/fixture.h"

#include <future>

using namespace teaselreach;
using namespace teaselreach::tests;
using standins::okReply;
using standins::RawReply;
using standins::RawRequest;
using table::Refusal;

TEST_CASE("a shutdown finishes requests in flight, refuses later ones, then stops the daemon")
{
    constexpr int inFlight = 20;
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    std::atomic<int> arrived {0};
    Fixture fixture({[&arrived, released](const RawRequest &) {
        ++arrived;
        arrived.notify_all();
        released.wait();
        return RawReply {okReply("done")};
    }});
    std::vector<std::future<http::Result>> calls;
    calls.reserve(inFlight);
    for (int i = 0; i < inFlight; ++i)
        calls.push_back(std::async(std::launch::async, [&fixture] {
            return fixture.call(Fixture::requestWithKey("POST"));
        }));
    for (int seen = 0; (seen = arrived.load()) < inFlight;)
        arrived.wait(seen);

    auto stopped = std::async(std::launch::async, [&fixture] { fixture.daemon.shutDown(); });
    const http::Target control {daemonAddress, fixture.settings.listen.controlPort};
    std::string state;
    while (state != "refusing") {
        const auto health = fixture.client.send(control, {.target = "/health"}, callTimeout);
        state = nlohmann::json::parse(health.body)["state"].get<std::string>();
    }
    checkRefusal(fixture.call(Fixture::requestWithKey("POST")), Refusal::ShuttingDown);
    release.set_value();
    for (auto &call : calls) {
        const http::Result result = call.get();
        CHECK(result.status == 200);
        CHECK(result.body == "done");
    }
    stopped.get();
    CHECK(fixture.call(Fixture::requestWithKey("POST")).progress == http::Progress::NotSent);
    CHECK(fixture.upstreams[0]->requests() == inFlight);
}
