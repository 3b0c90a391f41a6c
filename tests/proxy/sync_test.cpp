/** @file sync_test.cpp What a VM believes after the store was away, refused it or forgot. */
#include "memory_store.h"
#include "proxy/fleet_sync_base.h"

#include <doctest/doctest.h>

#include <functional>

using namespace teaselreach;
using namespace teaselreach::proxy;
using proxytest::MemoryStore;

namespace {

FleetItem config(const std::string &version)
{
    return {.kind = FleetItemKind::Configuration, .value = version};
}

FleetItem upstream(const std::string &id, const std::string &address = "127.0.0.1")
{
    return {.kind = FleetItemKind::Upstream, .id = id, .value = address};
}

FleetItem removed(const std::string &id)
{
    return {.kind = FleetItemKind::Upstream, .id = id, .value = std::nullopt};
}

/** One VM in step with a store in memory; time is real, and short. */
struct SyncFixture
{
    /** @param backoffLimit Longest pause of a VM without callers while the store is away. */
    explicit SyncFixture(core::Micros backoffLimit = core::Millis(20))
        : idleBackoffLimit(backoffLimit)
    { }

    core::Micros idleBackoffLimit;
    asio::io_context context {1};
    metrics::Registry registry;
    UpstreamTable upstreams {{}, 1};
    AccountShare shares {{}};
    EntryChoice entries {{}};
    RequestFlow flow {
        {.context = context, .upstreams = upstreams, .shares = shares, .registry = registry},
        {},
        1};
    FleetState state {{.flow = flow, .upstreams = upstreams, .entries = entries}, core::VmId("me")};
    MemoryStore store {context};
    FleetSync<MemoryStore> sync {
        {.context = context, .store = store, .state = state, .entries = entries},
        {.self = {.id = core::VmId("me")},
         .watchPause = core::Millis(5),
         .renewInterval = core::Millis(20),
         .idleRenewInterval = core::Millis(20),
         .initialBackoff = core::Millis(5),
         .maxBackoff = core::Millis(20),
         .idleMaxBackoff = idleBackoffLimit},
        1};

    void run(core::Millis time)
    {
        const core::MonoTime end = core::MonoClock::now() + time;
        while (core::MonoClock::now() < end) {
            context.run_for(core::Millis(5));
            state.tick(core::MonoClock::now());
        }
    }
    /** Runs until a condition holds. @return Whether it did within three seconds. */
    bool runUntil(const std::function<bool()> &condition)
    {
        const core::MonoTime end = core::MonoClock::now() + core::Seconds(3);
        while (!condition() && core::MonoClock::now() < end)
            run(core::Millis(5));
        return condition();
    }
    std::int64_t version() const
    {
        return flow.table() ? flow.table()->configuration().version.count() : 0;
    }
    bool hasUpstream(const std::string &id) const
    {
        return upstreams.find(core::UpstreamId(id)) != nullptr;
    }
};

} // namespace

TEST_CASE("an older configuration is never put in force")
{
    SyncFixture vm;
    vm.store.items = {config("5")};
    vm.sync.start();
    vm.run(core::Millis(60));
    CHECK(vm.version() == 5);
    vm.store.events = {config("4")};
    vm.run(core::Millis(60));
    CHECK(vm.version() == 5);
    vm.store.items = {config("3")};
    vm.store.historyLost = true;
    vm.run(core::Millis(60));
    CHECK(vm.version() == 5);
    CHECK(vm.store.fullReads == 2);
    vm.store.events = {config("9"), config("7")};
    vm.run(core::Millis(60));
    CHECK(vm.version() == 9);
}

TEST_CASE("an unreadable entry names no upstream, and the others hold")
{
    SyncFixture vm;
    vm.store.items = {config("1"), upstream("a"), upstream("b", "unreadable"), upstream("c")};
    vm.sync.start();
    vm.run(core::Millis(60));
    CHECK(vm.hasUpstream("a"));
    CHECK(!vm.hasUpstream("b"));
    CHECK(vm.hasUpstream("c"));
    vm.store.events = {upstream("a", "unreadable"), config("unreadable"), upstream("d")};
    vm.run(core::Millis(60));
    CHECK(!vm.hasUpstream("a"));
    CHECK(vm.hasUpstream("d"));
    CHECK(vm.version() == 1);
}

TEST_CASE("a removal holds at once, also after a watch was cut for a moment")
{
    // A watch that was cut once counted as the store's loss, and leaving upstreams kept their work.
    SyncFixture vm;
    vm.store.items = {upstream("a"), upstream("b")};
    vm.sync.start();
    vm.run(core::Millis(60));
    vm.store.events = {removed("a")};
    vm.run(core::Millis(60));
    CHECK(!vm.hasUpstream("a"));
    vm.store.watchesFail = true;
    vm.run(core::Millis(60));
    vm.store.watchesFail = false;
    vm.store.events = {removed("b")};
    vm.run(core::Millis(100));
    CHECK(!vm.hasUpstream("b"));
}

TEST_CASE("the hold after a loss starts with the first answer of any call")
{
    // The reading took a second longer than a renewal, and the hold began only then: a request
    // reached an upstream that had left twelve seconds before.
    SyncFixture vm;
    vm.store.items = {upstream("a"), upstream("b")};
    vm.sync.start();
    vm.run(core::Millis(60));
    vm.store.unavailable = true;
    vm.run(core::Millis(1100));
    vm.store.unavailable = false;
    vm.store.watchesFail = true; // Renewals are answered; the reading is not, for a while.
    vm.run(core::Millis(700));
    vm.store.watchesFail = false;
    vm.store.events = {removed("a")};
    vm.run(core::Millis(700));
    CHECK(vm.hasUpstream("a")); // Held: it may come back.
    vm.store.events = {upstream("b")};
    vm.run(core::Millis(900));
    CHECK(!vm.hasUpstream("a")); // 2.1 s after the first answer, not after the reading.
    CHECK(vm.hasUpstream("b"));
}

TEST_CASE("after a failure the changes that were missed are asked for without a wait")
{
    SyncFixture vm;
    vm.sync.start();
    vm.run(core::Millis(60));
    vm.store.watchesFail = true;
    vm.run(core::Millis(60));
    vm.store.watchesFail = false;
    vm.store.watchTimeouts.clear();
    REQUIRE(vm.runUntil([&] { return vm.store.watchTimeouts.size() >= 2; }));
    CHECK(vm.store.watchTimeouts.front() <= core::Millis(200));
    CHECK(vm.store.watchTimeouts.back() > core::Seconds(1));
}

TEST_CASE("a VM without callers asks a store that is away less often than one with callers")
{
    // In an outage the calls of all idle VMs cost up to a twentieth of a day's worth.
    const auto countRefusedCalls = [](bool active) {
        SyncFixture vm(core::Millis(60));
        vm.store.items = {upstream("a")};
        if (active)
            vm.store.items.push_back({.kind = FleetItemKind::Member, .id = "me", .value = "me"});
        vm.sync.start();
        vm.run(core::Millis(60));
        vm.store.unavailable = true;
        vm.run(core::Millis(700));
        return vm.store.refusedCalls;
    };
    const int active = countRefusedCalls(true);
    const int idle = countRefusedCalls(false);
    CHECK(idle > 5); // Its return is noticed by an idle VM, too.
    CHECK(idle < 0.6 * active);
}

TEST_CASE("a VM that knows nothing yet asks a store that is away as often as one with callers")
{
    SyncFixture vm;
    vm.store.unavailable = true;
    vm.sync.start();
    vm.run(core::Millis(700));
    // Two loops, each with at most 20 ms and its jitter between calls.
    CHECK(vm.store.refusedCalls > 40);
}

TEST_CASE("a VM registers, registers again after its lease, and withdraws when it leaves")
{
    SyncFixture vm;
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.store.registered.size() == 1; }));
    vm.sync.deregister();
    CHECK(vm.runUntil([&] { return vm.store.registered.empty(); }));
}

TEST_CASE("VMs whose leases ended in an outage of the store are kept until they had time to return")
{
    SyncFixture vm;
    vm.sync.start();
    vm.store.events = {{.kind = FleetItemKind::Member, .id = "other", .value = "x"}};
    REQUIRE(vm.runUntil([&] { return vm.entries.size() == 1; }));
    vm.store.unavailable = true;
    vm.run(core::Millis(1100));
    vm.store.unavailable = false;
    vm.store.events = {{.kind = FleetItemKind::Member, .id = "other", .value = std::nullopt}};
    vm.run(core::Millis(300));
    CHECK(vm.entries.size() == 1);
    vm.run(core::Millis(2200));
    CHECK(vm.entries.size() == 0);
}

TEST_CASE("a log gives the changes after a revision, or says that it no longer knows them")
{
    FleetChangeLog changeLog;
    changeLog.reset({.items = {upstream("a"), config("1")}, .revision = StoreRevision(10)});
    FleetItem change = upstream("b");
    change.revision = StoreRevision(12);
    FleetItem removal = removed("a");
    removal.revision = StoreRevision(14);
    changeLog.append({.items = {change, removal}, .revision = StoreRevision(14)});
    CHECK(!changeLog.changesSince(StoreRevision(9)));
    CHECK(changeLog.changesSince(StoreRevision(10))->items.size() == 2);
    REQUIRE(changeLog.changesSince(StoreRevision(12))->items.size() == 1);
    CHECK(!changeLog.changesSince(StoreRevision(12))->items.front().value);
    CHECK(changeLog.changesSince(StoreRevision(14))->items.empty());
    CHECK(changeLog.snapshot().items.size() == 2); // "b" and the configuration.
    const FleetUpdate decoded =
        decodeUpdate(encodeUpdate(*changeLog.changesSince(StoreRevision(10))));
    REQUIRE(decoded.items.size() == 2);
    CHECK(decoded.items[0].value == change.value);
    CHECK(!decoded.items[1].value);
    CHECK(decoded.revision == StoreRevision(14));
    CHECK_THROWS_AS(decodeUpdate("garbage"), StoreUnreachable);
    // What is long past is forgotten, and not passed on in parts.
    for (std::uint64_t i = 0; i < 2000; ++i) {
        change.revision = StoreRevision(20 + i);
        changeLog.append({.items = {change}, .revision = change.revision});
    }
    CHECK(!changeLog.changesSince(StoreRevision(14)));
    CHECK(changeLog.changesSince(StoreRevision(2010)));
}

namespace {

/** A relay with its own view of the store, and a client, on one event loop. */
struct RelayFixture
{
    asio::io_context context {1};
    FleetChangeLog changeLog;
    std::optional<core::Micros> connectedFor = core::Seconds(9);
    FleetRelay relay {context, changeLog, [this] { return connectedFor; }};
    CallerServer server {context,
                         "127.0.0.1",
                         0,
                         {.serve =
                              [this](std::shared_ptr<CallerExchange> exchange) {
                                  return serve(std::move(exchange));
                              },
                          .limits = [] { return SessionLimits {}; },
                          .closing = [] { return false; }}};
    FleetRelayClient client {context};

    asio::awaitable<void> serve(std::shared_ptr<CallerExchange> exchange)
    {
        exchange->response = co_await relay.handle(exchange->request);
    }

    FleetUpdate fetch(std::uint64_t after)
    {
        std::exception_ptr failure;
        std::optional<FleetUpdate> result;
        asio::co_spawn(
            context,
            client.fetch("127.0.0.1:" + std::to_string(server.port()), StoreRevision(after)),
            [&](std::exception_ptr error, FleetUpdate contents) {
                failure = std::move(error);
                result = std::move(contents);
            });
        while (!failure && !result)
            context.run_one();
        if (failure)
            std::rethrow_exception(failure);
        return *result;
    }
};

} // namespace

TEST_CASE("renewed entries of upstreams are not passed on, and changed ones are")
{
    // Each renewed entry went to every follower and ended its waiting call.
    SyncFixture vm;
    const auto storeAndCheckRelayed = [&](FleetItem item) {
        item.revision = StoreRevision(vm.store.revision + 1);
        vm.store.events = {item};
        REQUIRE(vm.runUntil([&] { return vm.store.events.empty(); }));
        const StoreRevision seen(vm.store.revision);
        REQUIRE(vm.runUntil([&] { return vm.sync.changeLog().revision() >= seen; }));
        return vm.sync.changeLog().lastChangeRevision() >= item.revision;
    };
    vm.store.items = {upstream("a")};
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.hasUpstream("a"); }));
    CHECK(!storeAndCheckRelayed(upstream("a")));
    CHECK(!storeAndCheckRelayed(upstream("a")));
    CHECK(storeAndCheckRelayed(upstream("a", "127.0.0.9")));
    CHECK(!storeAndCheckRelayed(upstream("a", "127.0.0.9")));
    CHECK(storeAndCheckRelayed(upstream("b")));
    CHECK(storeAndCheckRelayed(removed("b")));
    CHECK(storeAndCheckRelayed(upstream("b"))); // It is back.
    CHECK(storeAndCheckRelayed(upstream("b", "unreadable")));
    CHECK(storeAndCheckRelayed(upstream("b")));
    CHECK(storeAndCheckRelayed(config("7")));
    CHECK(vm.sync.changeLog().snapshot().items.size() == 3);
}

TEST_CASE("a call to a relay waits for news while the store moves on without any")
{
    // Followers asked forty times a second: each renewed entry ended their wait.
    RelayFixture fixture;
    fixture.changeLog.reset({.items = {upstream("a")}, .revision = StoreRevision(5)});
    fixture.changeLog.append({.revision = StoreRevision(8)});
    const core::MonoTime begin = core::MonoClock::now();
    const FleetUpdate contents = fixture.fetch(5);
    CHECK(core::MonoClock::now() - begin >= core::Millis(400));
    CHECK(contents.items.empty());
    CHECK(contents.revision == StoreRevision(8));
    FleetItem change = upstream("b");
    change.revision = StoreRevision(9);
    fixture.changeLog.append({.items = {change}, .revision = StoreRevision(9)});
    CHECK(fixture.fetch(8).items.size() == 1);
    CHECK(core::MonoClock::now() - begin < core::Millis(900));
}

TEST_CASE("a relay that is out of touch with the store says so, also to a call that waits")
{
    // Followers of a relay that had lost the store would keep an old configuration.
    RelayFixture fixture;
    fixture.changeLog.reset({.items = {upstream("a")}, .revision = StoreRevision(5)});
    CHECK(fixture.fetch(0).items.size() == 1);
    CHECK(fixture.fetch(5).items.empty());
    CHECK(fixture.fetch(5).connectedFor == core::Seconds(9));
    CHECK_THROWS_AS(fixture.fetch(3), StoreHistoryLost);
    asio::steady_timer lost(fixture.context, core::Millis(100));
    lost.async_wait([&](ErrorCode) { fixture.connectedFor.reset(); });
    const core::MonoTime begin = core::MonoClock::now();
    CHECK_THROWS_AS(fixture.fetch(5), StoreUnreachable);
    CHECK(core::MonoClock::now() - begin < core::Millis(400));
}
