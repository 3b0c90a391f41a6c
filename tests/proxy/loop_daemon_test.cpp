/** @file loop_daemon_test.cpp LoopDaemon: readiness, directory, shutdown and limits. */
#include "flow_fixture.h"
#include "memory_store.h"
#include "proxy/loop_daemon_base.h"
#include "standins/free_port.h"

using namespace teaselreach;
using namespace teaselreach::proxytest;
using standins::RawReply;
using standins::RawRequest;
using standins::RawServer;

namespace {

/** Shorter than the default, so that tests can wait for its end. */
constexpr core::Millis limitWindow {1500};

/** A directory codec that writes one address per line. */
struct PlainDirectory
{
    std::optional<EntryLookup> parseLookup(const HttpRequest &) const
    {
        return EntryLookup {.caller = {core::AvailabilityZoneId("here"), core::RegionId("west")},
                            .host = "shop.example"};
    }
    HttpResponse addressResponse(const std::vector<std::string> &addresses) const
    {
        HttpResponse response(beasthttp::status::ok, 11);
        for (const std::string &address : addresses)
            response.body() += address + "\n";
        response.prepare_payload();
        return response;
    }
    bool isReadinessRequest(const HttpRequest &) const { return true; }
};

/** A LoopDaemon with an in-memory store, on an event loop of its own. */
class DaemonFixture
{
public:
    explicit DaemonFixture(ShutdownOptions shutdown = {}, PacingOptions pacing = {},
                           ZoneLoadOptions zoneLoad = {})
        : daemon_(context_, store, directory_, options(shutdown, pacing, std::move(zoneLoad)))
    {
        store.configuration = testConfiguration();
        store.configuration.accounts.front().ratePerSecond = 10;
        store.configuration.accounts.front().burst = 10;
        store.items = {{.kind = FleetItemKind::Configuration, .value = "1"}};
    }
    ~DaemonFixture()
    {
        context_.stop();
        if (thread_.joinable())
            thread_.join();
    }
    DaemonFixture(const DaemonFixture &) = delete;
    DaemonFixture &operator=(const DaemonFixture &) = delete;

    void start()
    {
        daemon_.start();
        thread_ = std::thread([this] { context_.run(); });
    }

    void onLoop(std::function<void()> function)
    {
        std::promise<void> done;
        asio::post(context_, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    std::string sendRequest(std::uint16_t port, std::string request) const
    {
        const int fd = standins::connectTo("127.0.0.1", port);
        standins::limitReceiveTime(fd, 5);
        request.insert(request.find("\r\n") + 2, "Connection: close\r\n");
        standins::sendAll(fd, request);
        std::string answer = standins::readAll(fd);
        ::close(fd);
        return answer.size() < 12 ? answer : answer.substr(9);
    }

    /** Adds an upstream to the store. */
    void addUpstream(const RawServer &upstream)
    {
        store.upstreamPort = upstream.port();
        store.items.push_back({.kind = FleetItemKind::Upstream, .id = "i-1", .value = "127.0.0.1"});
    }

    /** @return The value of a metric without labels, or -1 if there is none. */
    double metric(const std::string &name) const
    {
        const std::string text =
            sendRequest(internalPort, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
        const std::size_t at = text.find("\n" + name + " ");
        return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
    }

    int wholeReadings()
    {
        int count = 0;
        onLoop([&] { count = store.fullReads; });
        return count;
    }

    bool ready() const
    {
        return sendRequest(readinessPort, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .starts_with("200");
    }

    /** Sends a peer message to the daemon. */
    void sendPeerMessage(const PeerMessage &message)
    {
        asio::io_context context;
        PeerMessenger messenger(context, "127.0.0.1", 0, [](const PeerMessage &) {});
        messenger.send("127.0.0.1:" + std::to_string(internalPort), message);
        context.poll();
    }

    const std::uint16_t callerPort = standins::freePort("127.0.0.1");
    const std::uint16_t readinessPort = standins::freePort("127.0.0.1");
    const std::uint16_t directoryPort = standins::freePort("127.0.0.1");
    const std::uint16_t internalPort = standins::freePort("127.0.0.1");

private:
    LoopDaemonOptions options(ShutdownOptions shutdown, PacingOptions pacing,
                              ZoneLoadOptions zoneLoad) const
    {
        LoopDaemonOptions options;
        options.shutdown = shutdown;
        options.self = {.id = core::VmId("me"),
                        .location = {core::AvailabilityZoneId("here"), core::RegionId("west")},
                        .callerAddress = "127.0.0.1:" + std::to_string(callerPort)};
        options.callers = {.address = "127.0.0.1", .port = callerPort};
        options.readiness = {.address = "127.0.0.1", .port = readinessPort};
        options.directory = {.address = "127.0.0.1", .port = directoryPort};
        options.peers = {.address = "127.0.0.1", .port = internalPort};
        options.flow.names = testHeaderNames();
        options.shares.window = limitWindow;
        options.shares.pacing = pacing;
        options.zoneLoad = std::move(zoneLoad);
        if (options.zoneLoad.enabled)
            options.regionOfZone = {{core::AvailabilityZoneId("here"), core::RegionId("west")}};
        options.seed = 1;
        return options;
    }

    asio::io_context context_ {1};
    PlainDirectory directory_;

public:
    MemoryStore store {context_};

    LoopDaemon<MemoryStore, PlainDirectory> &daemon() { return daemon_; }

private:
    LoopDaemon<MemoryStore, PlainDirectory> daemon_;
    std::thread thread_;
};

} // namespace

TEST_CASE("a VM that shuts down keeps its share of the limits for callers that still use it")
{
    // Once its registration was withdrawn, the VM held no share of any limit and rejected callers
    // that still used its address with 429.
    RawServer upstream("127.0.0.1", [](const RawRequest &request) {
        return RawReply {sealedReply(request, "fine")};
    });
    DaemonFixture fixture;
    fixture.store.items.push_back(
        {.kind = FleetItemKind::Member, .id = "me", .value = "registered"});
    fixture.store.items.push_back(
        {.kind = FleetItemKind::Member, .id = "b", .value = "registered"});
    fixture.store.upstreamPort = upstream.port();
    fixture.store.items.push_back(
        {.kind = FleetItemKind::Upstream, .id = "i-1", .value = "127.0.0.1"});
    fixture.start();
    REQUIRE(eventually([&] { return fixture.ready(); }));
    // Each of the two VMs has 0.46 of every limit.
    REQUIRE(eventually([&] { return fixture.metric("teaselreach_limit_part") > 0.4; }));
    const auto book = [&](int number) {
        return fixture.sendRequest(
            fixture.callerPort,
            callerRequest("POST", "/book/", "a" + std::to_string(number), "", "x"));
    };
    REQUIRE(book(0).starts_with("200"));
    fixture.onLoop([&] {
        fixture.daemon().shutDown();
        fixture.store.events = {{.kind = FleetItemKind::Member, .id = "me", .value = std::nullopt}};
    });
    CHECK(!fixture.ready());
    // The store reports the withdrawal as a change.
    REQUIRE(eventually([&] { return fixture.metric("teaselreach_members") == 1; }));
    for (int i = 1; i < 6; ++i)
        CHECK(book(i).starts_with("200"));
}

TEST_CASE("a VM whose registration lapsed shares the pool's limit only after a full window")
{
    // A VM outside the pool gets no usage reports. After its return it counted against the pool's
    // share as if the other VMs had admitted nothing (soak seed 302).
    DaemonFixture fixture;
    const FleetItem self {.kind = FleetItemKind::Member, .id = "me", .value = "registered"};
    fixture.store.items.push_back(self);
    fixture.store.items.push_back(
        {.kind = FleetItemKind::Member, .id = "b", .value = "registered"});
    fixture.start();
    const auto sendMessageAndReadShare = [&] {
        fixture.sendPeerMessage({.sender = core::VmId("b")});
        return fixture.metric("teaselreach_limit_part");
    };
    // Each of the two VMs has 0.46 of every limit; a new fleet shares from the start.
    REQUIRE(eventually([&] { return sendMessageAndReadShare() > 0.9; }));
    fixture.onLoop([&] {
        fixture.store.events = {{.kind = FleetItemKind::Member, .id = "me", .value = std::nullopt}};
    });
    REQUIRE(eventually([&] { return sendMessageAndReadShare() < 0.1; }));
    const core::MonoTime returned = core::MonoClock::now();
    fixture.onLoop([&] { fixture.store.events = {self}; });
    REQUIRE(eventually([&] { return sendMessageAndReadShare() > 0.4; }));
    CHECK(fixture.metric("teaselreach_limit_part") < 0.5);
    REQUIRE(eventually([&] { return sendMessageAndReadShare() > 0.9; }));
    CHECK(core::MonoClock::now() - returned >= limitWindow);
}

// Failure guarded against: a VM that stood still uses a share that others have taken over
// meanwhile.
TEST_CASE("a VM that stood still shares the pool's limit only after a full window")
{
    DaemonFixture fixture;
    fixture.store.items.push_back(
        {.kind = FleetItemKind::Member, .id = "me", .value = "registered"});
    fixture.store.items.push_back(
        {.kind = FleetItemKind::Member, .id = "b", .value = "registered"});
    fixture.start();
    const auto sendMessageAndReadShare = [&] {
        fixture.sendPeerMessage({.sender = core::VmId("b")});
        return fixture.metric("teaselreach_limit_part");
    };
    REQUIRE(eventually([&] { return sendMessageAndReadShare() > 0.9; }));
    fixture.onLoop([] {
        const core::MonoTime end = core::MonoClock::now() + core::Seconds(4);
        while (core::MonoClock::now() < end)
            std::this_thread::yield();
    });
    const core::MonoTime wentOn = core::MonoClock::now();
    REQUIRE(eventually([&] { return sendMessageAndReadShare() < 0.5; }));
    REQUIRE(eventually([&] { return sendMessageAndReadShare() > 0.9; }));
    CHECK(core::MonoClock::now() - wentOn >= limitWindow - core::Millis(100));
}

TEST_CASE("paced accounts: a VM pools its share with one that hears the same VMs")
{
    // Guards against a daemon that does not pass reports and members to the limiter.
    DaemonFixture fixture({}, {.enabled = true});
    for (const char *id : {"me", "b"})
        fixture.store.items.push_back(
            {.kind = FleetItemKind::Member, .id = id, .value = "registered"});
    fixture.start();
    PoolMembership other(core::VmId("b"));
    other.heard(core::MonoTime {}, core::VmId("me"), {});
    const core::VmId self("me");
    const auto report = [&](std::uint64_t digest) {
        fixture.sendPeerMessage(
            {.sender = core::VmId("b"),
             .usage = {{.account = core::ClientAccountId("unknown"), .requests = 1}},
             .view = PoolView {.digest = digest}});
        return fixture.metric("teaselreach_pooled_vms");
    };
    REQUIRE(eventually([&] {
        return report(other.view(core::MonoTime {}, {&self, 1}, true).digest) == 1;
    }));
    CHECK(fixture.metric("teaselreach_usage_reports_rejected") > 0);
    REQUIRE(eventually([&] { return report(7) == 0; })); // It hears other VMs.
}

TEST_CASE("a VM reports the load of its zone to its pool only if zones share load")
{
    // Guards against a daemon that does not pass reports on, or sends them without the setting.
    for (const bool enabled : {true, false}) {
        CAPTURE(enabled);
        RawServer upstream("127.0.0.1", [](const RawRequest &request) {
            return RawReply {sealedReply(request, "fine")};
        });
        DaemonFixture fixture({}, {}, {.enabled = enabled});
        asio::io_context peerContext;
        const std::uint16_t peerPort = standins::freePort("127.0.0.1");
        std::vector<PeerMessage> received;
        const PeerMessenger peer(peerContext, "127.0.0.1", peerPort,
                                 [&](const PeerMessage &message) { received.push_back(message); });
        fixture.store.peerAddress = "127.0.0.1:" + std::to_string(peerPort);
        for (const char *id : {"me", "b"})
            fixture.store.items.push_back(
                {.kind = FleetItemKind::Member, .id = id, .value = "registered"});
        fixture.addUpstream(upstream);
        fixture.start();
        // Reports of senders that are no members are ignored.
        REQUIRE(eventually([&] { return fixture.metric("teaselreach_members") >= 2; }));
        const auto hasReports = [&] {
            peerContext.poll();
            return std::any_of(received.begin(), received.end(), [](const PeerMessage &message) {
                return !message.zoneLoads.empty();
            });
        };
        fixture.sendPeerMessage({.sender = core::VmId("b"),
                                 .zoneLoads = {{.service = core::ServiceId("desk"),
                                                .zone = core::AvailabilityZoneId("unknown")}}});
        if (enabled) {
            CHECK(eventually([&] {
                return hasReports() && fixture.metric("teaselreach_zone_reports_rejected") == 1;
            }));
            continue;
        }
        CHECK(eventually([&] {
            peerContext.poll();
            return received.size() >= 3;
        }));
        CHECK(!hasReports());
        CHECK(fixture.metric("teaselreach_zone_reports_rejected") == -1);
    }
}

TEST_CASE("a VM refuses requests until it has a configuration, then is ready and lists itself")
{
    DaemonFixture fixture;
    fixture.store.items.clear();
    fixture.start();
    REQUIRE(eventually([&] { return fixture.wholeReadings() > 0; }));
    CHECK(!fixture.ready());
    const std::string early =
        fixture.sendRequest(fixture.callerPort, callerRequest("GET", "/read/", "a1"));
    CHECK(early.starts_with("503"));
    CHECK(early.find("Retry-After") != std::string::npos);
    fixture.onLoop(
        [&] { fixture.store.events = {{.kind = FleetItemKind::Configuration, .value = "1"}}; });
    CHECK(eventually([&] { return fixture.ready(); }));
    CHECK(fixture.sendRequest(fixture.directoryPort, "GET /resolve HTTP/1.1\r\nHost: x\r\n\r\n")
              .find("127.0.0.1:" + std::to_string(fixture.callerPort))
          != std::string::npos);
}

TEST_CASE("a question where a request would go is answered with an error, a key or nothing")
{
    RawServer upstream("127.0.0.1",
                       [](const RawRequest &) { return RawReply {standins::okReply("x")}; });
    DaemonFixture fixture;
    fixture.addUpstream(upstream);
    fixture.start();
    REQUIRE(eventually([&] { return fixture.ready(); }));
    const auto ask = [&](const std::string &parameters) {
        return fixture.sendRequest(fixture.internalPort,
                                   "GET /explain?" + parameters + " HTTP/1.1\r\nHost: x\r\n\r\n");
    };
    const std::string answer = ask("host=shop.example&path=/read/");
    CHECK(answer.starts_with("200"));
    CHECK(answer.find("\"upstream\":\"i-1\"") != std::string::npos);
    CHECK(answer.find("\"decision\":\"sent\"") != std::string::npos);
    CHECK(ask("host=shop.example&path=/read/&account=nobody").find("unknown_account")
          != std::string::npos);
    CHECK(ask("host=other.example&path=/read/").find("unknown_route") != std::string::npos);
    CHECK(ask("host=shop.example").starts_with("400"));
    CHECK(upstream.requests() == 0);
}

namespace {

/** Times of a shutdown that a test can wait for. */
constexpr ShutdownOptions shortShutdown {.serveFor = core::Millis(600),
                                         .endAfter = core::Millis(1500)};

/** Answers a request only when the time that it was given is over, as an upstream does that is too
 * slow and then stops its work. */
RawReply answerAtDeadline(const RawRequest &request)
{
    std::this_thread::sleep_for(core::Millis(std::stoi(headerOf(request.head, "X-Deadline"))));
    return RawReply {standins::okReply(
        "stopped", "X-Attempt: " + headerOf(request.head, "X-Attempt") + "\r\nX-Seal: s1\r\n",
        "504 Gateway Timeout")};
}

} // namespace

TEST_CASE("requests that arrive late in the grace period are passed on and cut off at its end")
{
    RawServer upstream("127.0.0.1", answerAtDeadline);
    DaemonFixture fixture(shortShutdown);
    fixture.store.configuration = testConfiguration(core::Seconds(2));
    fixture.addUpstream(upstream);
    fixture.start();
    REQUIRE(eventually([&] { return fixture.ready(); }));
    fixture.onLoop([&] { fixture.daemon().shutDown(); });
    const auto begin = core::MonoClock::now();
    std::vector<std::future<std::string>> responses;
    for (int i = 0; i < 4; ++i) {
        const std::string method = i % 2 == 0 ? "POST" : "GET";
        responses.push_back(std::async(std::launch::async, [&fixture, method, i] {
            std::this_thread::sleep_for(core::Millis(120 * i));
            return fixture.sendRequest(fixture.callerPort,
                                       callerRequest(method, method == "POST" ? "/book/" : "/read/",
                                                     "a" + std::to_string(i), "", "x"));
        }));
    }
    for (std::future<std::string> &response : responses) {
        // The upstream's own response: the request ran.
        const std::string text = response.get();
        CAPTURE(text);
        CHECK(text.starts_with("504"));
        CHECK(text.ends_with("stopped"));
    }
    CHECK(core::MonoClock::now() - begin < shortShutdown.endAfter);
    CHECK(upstream.requests() == 4);
}

TEST_CASE("a request that was sent before a planned stop ends without a response")
{
    // Its upstream was given the time until the caller's deadline, which is after the end of the
    // process.
    RawServer upstream("127.0.0.1", [](const RawRequest &) {
        std::this_thread::sleep_for(core::Seconds(3));
        return RawReply {.bytes = "", .close = true};
    });
    DaemonFixture fixture(shortShutdown);
    fixture.store.configuration = testConfiguration(core::Seconds(10));
    fixture.addUpstream(upstream);
    fixture.start();
    REQUIRE(eventually([&] { return fixture.ready(); }));
    auto response = std::async(std::launch::async, [&] {
        return fixture.sendRequest(fixture.callerPort,
                                   callerRequest("POST", "/book/", "a1", "", "x"));
    });
    REQUIRE(eventually([&] { return upstream.requests() == 1; }));
    fixture.onLoop([&] { fixture.daemon().shutDown(); });
    CHECK(response.get().starts_with("502"));
}

TEST_CASE(
    "a request that is refused in a planned stop loses its response to the end of the process")
{
    RawServer upstream("127.0.0.1", [](const RawRequest &request) {
        return request.head.starts_with("POST") ? answerAtDeadline(request)
                                                : RawReply {sealedReply(request, "fine")};
    });
    DaemonFixture fixture(shortShutdown);
    fixture.addUpstream(upstream);
    fixture.start();
    REQUIRE(eventually([&] { return fixture.ready(); }));
    // Keeps the process from ending before the last part of the grace period.
    auto pending = std::async(std::launch::async, [&] {
        return fixture.sendRequest(fixture.callerPort,
                                   callerRequest("POST", "/book/", "a0", "", "x"));
    });
    REQUIRE(eventually([&] { return upstream.requests() == 1; }));
    fixture.onLoop([&] { fixture.daemon().shutDown(); });
    // From the last request that is served on, each one ends with a response or is not read at all.
    int refused = 0;
    const auto end = core::MonoClock::now() + shortShutdown.endAfter;
    while (core::MonoClock::now() < end) {
        const int fd = standins::connectTo("127.0.0.1", fixture.callerPort);
        if (fd < 0)
            break;
        standins::limitReceiveTime(fd, 5);
        standins::sendAll(fd, callerRequest("GET", "/read/", "a1"));
        const std::string text = standins::readAll(fd);
        ::close(fd);
        if (text.empty())
            break;
        CHECK((text.starts_with("HTTP/1.1 200") || text.starts_with("HTTP/1.1 503")
               || text.starts_with("HTTP/1.1 429")));
        refused += text.starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    CHECK(refused > 0);
    CHECK(pending.get().starts_with("504"));
}
