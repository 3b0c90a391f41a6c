/** @file endless_response_test.cpp Upstreams that send bytes without end. */
#include "fleet/fleet_relay_base.h"
#include "flow_fixture.h"
#include "standins/endless_server.h"

#include <fstream>

using namespace teaselreach;
using namespace teaselreach::proxytest;
using standins::EndlessServer;

namespace {

constexpr std::uint64_t mebibyte = 1 << 20;
/** What sockets on loopback hold for one connection, beside what the daemon has read. */
constexpr std::uint64_t socketBytes = 16 * mebibyte;

/** Memory of the smallest machine on which a daemon runs. */
constexpr std::uint64_t smallestMachine = 160'000'000;

/** @return Peak resident memory of this process in bytes. */
std::uint64_t peakMemory()
{
    std::ifstream status("/proc/self/status");
    for (std::string word; status >> word;) {
        std::uint64_t kibibytes = 0;
        if (word == "VmHWM:" && status >> kibibytes)
            return kibibytes * 1024;
    }
    FAIL("no VmHWM in /proc/self/status");
    return 0;
}

/** @return Whether a status says that the request may have run and brought no response. */
bool isUnknownOutcome(const std::string &response)
{
    return response.starts_with("HTTP/1.1 502") || response.starts_with("HTTP/1.1 504");
}

} // namespace

TEST_CASE("a header without end, or something that is no header, occupies a daemon until the "
          "deadline")
{
    const std::vector<std::pair<std::string, std::string>> forms {
        {"HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"},
        {"HTTP/1.1 200 OK\r\nX-Long: ", "aaaaaaaaaaaaaaaa"},
        {"", "noise without a line end "},
        {"", "\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "extension=without-end;"},
    };
    for (const auto &form : forms) {
        CAPTURE(form.first + form.second);
        EndlessServer upstream(form.first, form.second);
        FlowFixture fixture(testConfiguration(core::Seconds(3)));
        fixture.addUpstreamAt("i-1", "127.0.0.1", upstream.port());
        const core::MonoTime start = core::MonoClock::now();
        CHECK(isUnknownOutcome(fixture.sendRequest(callerRequest("POST", "/book/x", "a1"))));
        CHECK(core::MonoClock::now() - start < core::Seconds(2));
        CHECK(eventually([&] { return upstream.open() == 0; }));
        CHECK(upstream.sentBytes() < mebibyte + socketBytes);
    }
}

TEST_CASE("bodies without end from several upstreams together exhaust the memory of a daemon")
{
    const std::string fields = "HTTP/1.1 200 OK\r\nX-Seal: s1\r\nX-Attempt: a1\r\n";
    const std::vector<std::pair<std::string, std::string>> forms {
        {fields + "Transfer-Encoding: chunked\r\n\r\n", "10\r\naaaaaaaaaaaaaaaa\r\n"},
        {fields + "\r\n", "aaaaaaaaaaaaaaaa"},
        {fields + "Content-Length: 1000000000000\r\n\r\n", "aaaaaaaaaaaaaaaa"},
    };
    constexpr int callers = 8;
    for (const auto &form : forms) {
        CAPTURE(form.first);
        EndlessServer upstream(form.first, form.second);
        FlowFixture fixture(testConfiguration(core::Seconds(3)));
        for (int i = 0; i < callers; ++i)
            fixture.addUpstreamAt("i-" + std::to_string(i), "127.0.0.1", upstream.port());
        std::vector<std::thread> threads;
        threads.reserve(callers);
        std::atomic<int> unknown {0};
        for (int i = 0; i < callers; ++i) {
            threads.emplace_back([&] {
                const std::string response =
                    fixture.sendRequest(callerRequest("POST", "/book/x", "a1"));
                unknown += isUnknownOutcome(response) ? 1 : 0;
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        CHECK(unknown == callers);
        CHECK(eventually([&] { return upstream.open() == 0; }));
        CHECK(peakMemory() < smallestMachine);
    }
}

TEST_CASE("a body without end at one upstream takes the memory for the response of another")
{
    EndlessServer endless("HTTP/1.1 200 OK\r\nX-Seal: s1\r\nX-Attempt: a1\r\n\r\n", "aaaaaaaa");
    FlowFixture fixture(testConfiguration(core::Seconds(2)));
    fixture.addUpstreamAt("i-endless", "127.0.0.1", endless.port());
    std::thread caller([&] { fixture.sendRequest(callerRequest("POST", "/book/x", "a1")); });
    REQUIRE(eventually([&] { return endless.sentBytes() > mebibyte; }));
    const std::string body(mebibyte / 2, 'b');
    standins::RawServer sound("127.0.0.1", [&](const standins::RawRequest &request) {
        return standins::RawReply {sealedReply(request, body)};
    });
    fixture.addUpstream("i-sound", sound);
    const std::string response = fixture.sendRequest(callerRequest("POST", "/book/x", "a2"));
    if (sound.requests() > 0)
        CHECK(response.ends_with(body));
    caller.join();
}

TEST_CASE("a body without end from another VM fills the memory of the VMs that read from it")
{
    constexpr std::uint64_t controlBytes = 16 * mebibyte;
    EndlessServer relay("HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaaaaaaaaaa");
    asio::io_context context(1);
    FleetRelayClient client(context);
    bool failed = false;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            try {
                co_await client.fetch("127.0.0.1:" + std::to_string(relay.port()), StorePosition(),
                                      RelayWait::Change);
            } catch (const StoreUnreachable &) {
                failed = true;
            }
        },
        asio::detached);
    context.run();
    CHECK(failed);
    CHECK(relay.sentBytes() < controlBytes + socketBytes);
}
