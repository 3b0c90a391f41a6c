/** @file sync_test.cpp Synchronization with the store: outages, lost history and relays. */
#include "sync_fixture.h"

#include <doctest/doctest.h>

using namespace teaselreach;
using namespace teaselreach::proxy;
using proxytest::at;
using proxytest::config;
using proxytest::removed;
using proxytest::SyncFixture;
using proxytest::upstream;

TEST_CASE("an older configuration is never applied")
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

TEST_CASE("an unexpected exception while an item is applied ends the synchronization for good")
{
    SyncFixture vm;
    vm.store.items = {config("1")};
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.version() == 1; }));
    // The decoder of the store throws std::invalid_argument for it, not an error of its own.
    vm.store.events = {config("no number"), upstream("a")};
    CHECK(vm.runUntil([&] { return vm.hasUpstream("a"); }));
    vm.store.events = {config("2")};
    CHECK(vm.runUntil([&] { return vm.version() == 2; }));
}

TEST_CASE("a relay's response of nothing but nested arrays exhausts the stack of the process")
{
    constexpr char arrayOfOne = '\x91';
    CHECK_THROWS_AS(decodeUpdate(std::string(1000000, arrayOfOne)), StoreUnreachable);
    const FleetUpdate update {.items = {config("1")}, .position = at(3)};
    CHECK(decodeUpdate(encodeUpdate(update)).items.size() == 1);
}

TEST_CASE("large entries of other writers fill the change log of every VM")
{
    const std::string large(1000000, 'x');
    const FleetItem foreign {.kind = FleetItemKind::Other, .value = large};
    const FleetItem oddConfiguration {.kind = FleetItemKind::Configuration, .value = "unreadable"};
    SyncFixture vm;
    vm.store.items = {config("1"), upstream("a"), upstream("b", "unreadable"), foreign};
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.hasUpstream("a"); }));
    CHECK(vm.sync.changeLog().snapshot().items.size() == 2);
    const StorePosition before = vm.sync.changeLog().position();
    vm.store.events = {foreign, oddConfiguration, upstream("c", "unreadable"), upstream("d")};
    for (FleetItem &event : vm.store.events)
        event.revision = StoreRevision(before.revision.count() + 1);
    REQUIRE(vm.runUntil([&] { return vm.hasUpstream("d"); }));
    const auto changes = vm.sync.changeLog().changesSince(before);
    REQUIRE(changes);
    REQUIRE(changes->items.size() == 2);
    CHECK(changes->items.front().id == "c");
    CHECK(!changes->items.front().value);

    FleetChangeLog changeLog;
    for (std::uint64_t revision = 1; revision <= 40; ++revision)
        changeLog.append({.items = {{.kind = FleetItemKind::Configuration,
                                     .revision = StoreRevision(revision),
                                     .value = large}},
                          .position = at(revision)});
    CHECK(!changeLog.changesSince(at(1)));
    const auto latest = changeLog.changesSince(at(38));
    REQUIRE(latest);
    CHECK(latest->items.size() == 2);
}

TEST_CASE("a malformed item does not affect the others, and a malformed entry removes its upstream")
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

TEST_CASE("a removal applies at once, also after a short interruption of the watch")
{
    // One interrupted watch counted as an outage of the store, and upstreams that left stayed in
    // use.
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

TEST_CASE("removals are held back from the first response of any call after an outage")
{
    // The hold started with the first successful read, a second after the first successful renewal:
    // a request reached an upstream that had left twelve seconds before.
    SyncFixture vm;
    vm.store.items = {upstream("a"), upstream("b")};
    vm.sync.start();
    vm.run(core::Millis(60));
    vm.store.unavailable = true;
    vm.run(core::Millis(1100));
    vm.store.unavailable = false;
    vm.store.watchesFail = true; // Renewals succeed; reads still fail for a while.
    vm.run(core::Millis(700));
    vm.store.watchesFail = false;
    vm.store.events = {removed("a")};
    vm.run(core::Millis(700));
    CHECK(vm.hasUpstream("a")); // Held back: it may be written again.
    vm.store.events = {upstream("b")};
    vm.run(core::Millis(900));
    CHECK(!vm.hasUpstream("a")); // 2.1 s after the first response, not after the first read.
    CHECK(vm.hasUpstream("b"));
}

TEST_CASE("the first watch after a failure has a short timeout, so that missed changes arrive soon")
{
    SyncFixture vm;
    vm.sync.start();
    vm.run(core::Millis(60));
    vm.store.watchesFail = true;
    vm.run(core::Millis(60));
    vm.store.watchesFail = false;
    const std::size_t before = vm.store.watches.size();
    REQUIRE(vm.runUntil([&] { return vm.store.watches.size() >= before + 3; }));
    int afterFailure = 0;
    for (std::size_t i = 1; i < vm.store.watches.size(); ++i) {
        const core::Micros timeout = vm.store.watches[i].timeout;
        if (!vm.store.watches[i - 1].failed) {
            CHECK(timeout == vm.options.watchTimeout);
            continue;
        }
        ++afterFailure;
        CHECK(timeout <= core::Millis(200));
    }
    CHECK(afterFailure > 0);
    CHECK(vm.options.watchTimeout > core::Millis(200));
}

TEST_CASE("a VM without callers calls an unavailable store less often than one with callers")
{
    // The calls of all idle VMs during an outage cost up to a twentieth of a day's worth.
    const auto countRefusedCalls = [](bool active) {
        SyncFixture vm(core::Millis(60));
        vm.store.items = {upstream("a")};
        if (active)
            vm.store.items.push_back({.kind = FleetItemKind::Member, .id = "me", .value = "me"});
        vm.sync.start();
        REQUIRE(vm.runUntil([&] {
            return vm.hasUpstream("a") && vm.entries.isActive(vm.options.self.id) == active;
        }));
        vm.store.unavailable = true;
        vm.run(core::Millis(700));
        return vm.store.refusedCalls;
    };
    const int active = countRefusedCalls(true);
    const int idle = countRefusedCalls(false);
    CHECK(idle > 5); // An idle VM has to notice the recovery, too.
    CHECK(idle < 0.6 * active);
}

TEST_CASE("a VM that has not read the store yet calls it as often as one with callers")
{
    SyncFixture vm;
    vm.store.unavailable = true;
    vm.sync.start();
    vm.run(core::Millis(700));
    // Two loops, each with a backoff of at most 20 ms, less its jitter.
    CHECK(vm.store.refusedCalls > 40);
}

TEST_CASE("a VM registers itself, and removes its registration when it leaves")
{
    SyncFixture vm;
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.store.registered.size() == 1; }));
    vm.sync.deregister();
    CHECK(vm.runUntil([&] { return vm.store.registered.empty(); }));
}

TEST_CASE("members whose leases expired in a store outage are kept until they could register again")
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

// Failure guarded against: callers of a zone are sent to dead VMs for good.
// Failure guarded against: VMs that the store turns away keep their shares of the limits, and those
// that take their places get shares as well.
TEST_CASE("the shares of VMs that the store turns away are given out again while these VMs serve")
{
    SyncFixture vm;
    const core::MonoTime begin = core::MonoClock::now();
    std::vector<core::VmId> members;
    for (int i = 0; i < 6; ++i) {
        members.emplace_back("vm-" + std::to_string(i));
        vm.state.applyMember(
            {.id = members.back(), .location = {core::AvailabilityZoneId("here")}});
    }
    const auto activeOf = [&] {
        std::vector<core::VmId> active;
        std::copy_if(members.begin(), members.end(), std::back_inserter(active),
                     [&](const core::VmId &id) { return vm.entries.isActive(id); });
        return active;
    };
    const std::vector<core::VmId> turnedAway = activeOf();
    REQUIRE(turnedAway.size() == 2);
    const double kept = 2 * vm.entries.limitShareOf(begin, turnedAway.front());
    const auto tellOfBoth = [&](core::MonoTime now, bool isLeaving) {
        for (const core::VmId &id : turnedAway)
            vm.liveness.messageReceived(now, id, isLeaving);
    };
    tellOfBoth(begin, false);
    for (const core::VmId &id : turnedAway)
        vm.state.removeMember(begin, id);
    core::MonoTime now = begin;
    for (; now < begin + core::Seconds(9); now += core::Millis(400)) {
        tellOfBoth(now, false);
        vm.state.tick(now);
        double sum = kept;
        for (const core::VmId &id : members) {
            if (std::find(turnedAway.begin(), turnedAway.end(), id) == turnedAway.end())
                sum += vm.entries.limitShareOf(now, id);
        }
        REQUIRE(sum <= 1 + 1e-9);
        REQUIRE(activeOf() == turnedAway);
        // They may have lost the store.
        for (const core::VmId &id : members) {
            for (const EntryMember &relay : vm.entries.relaysOf(id))
                REQUIRE(relay.id != turnedAway.front());
        }
    }
    SUBCASE("others take their places once they are silent")
    {
        now += PeerLiveness::timeout;
    }
    SUBCASE("others take their places once they leave")
    {
        tellOfBoth(now, true);
    }
    SUBCASE("others take their places after some time")
    {
        for (; now < begin + core::Seconds(21); now += core::Millis(400)) {
            tellOfBoth(now, false);
            vm.state.tick(now);
        }
    }
    vm.state.tick(now);
    CHECK(activeOf().size() == 2);
    CHECK(!vm.entries.isActive(turnedAway.front()));
}

TEST_CASE("a full read does not remove the members that it does not list")
{
    SyncFixture vm;
    vm.store.items = {{.kind = FleetItemKind::Member, .id = "other", .value = "x"}};
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.entries.contains(core::VmId("other")); }));
    vm.store.items.clear();
    vm.store.historyLost = true;
    CHECK(vm.runUntil([&] { return !vm.entries.contains(core::VmId("other")); }));
}

TEST_CASE("the change log returns the changes after a revision, or nothing if some were discarded")
{
    FleetChangeLog changeLog;
    changeLog.reset({.items = {upstream("a"), config("1")}, .position = at(10)});
    FleetItem change = upstream("b");
    change.revision = StoreRevision(12);
    FleetItem removal = removed("a");
    removal.revision = StoreRevision(14);
    changeLog.append({.items = {change, removal}, .position = at(14)});
    CHECK(!changeLog.changesSince(at(9)));
    CHECK(changeLog.changesSince(at(10))->items.size() == 2);
    REQUIRE(changeLog.changesSince(at(12))->items.size() == 1);
    CHECK(!changeLog.changesSince(at(12))->items.front().value);
    CHECK(changeLog.changesSince(at(14))->items.empty());
    CHECK(changeLog.snapshot().items.size() == 2); // "b" and the configuration.
    const FleetUpdate decoded = decodeUpdate(encodeUpdate(*changeLog.changesSince(at(10))));
    REQUIRE(decoded.items.size() == 2);
    CHECK(decoded.items[0].value == change.value);
    CHECK(!decoded.items[1].value);
    CHECK(decoded.position == at(14));
    CHECK_THROWS_AS(decodeUpdate("garbage"), StoreUnreachable);
    // Old changes are discarded, and an incomplete list of changes is never returned.
    for (std::uint64_t i = 0; i < 2000; ++i) {
        change.revision = StoreRevision(20 + i);
        changeLog.append({.items = {change}, .position = at(change.revision.count())});
    }
    CHECK(!changeLog.changesSince(at(14)));
    CHECK(changeLog.changesSince(at(2010)));
}

namespace {

/** A relay with a change log of its own, and a client, on one event loop. */
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
                          .shouldClose = [] { return false; }}};
    FleetRelayClient client {context};

    asio::awaitable<void> serve(std::shared_ptr<CallerExchange> exchange)
    {
        exchange->response = co_await relay.handle(exchange->request);
    }

    FleetUpdate fetch(StorePosition after)
    {
        std::exception_ptr failure;
        std::optional<FleetUpdate> result;
        asio::co_spawn(
            context,
            client.fetch("127.0.0.1:" + std::to_string(server.port()), after, RelayWait::Change),
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

TEST_CASE(
    "a VM that starts, follows a relay or reconnects misses the start or end of an evacuation")
{
    const auto evacuation = [](const std::string &zone) {
        return FleetItem {.kind = FleetItemKind::Evacuation, .id = zone, .value = "{}"};
    };
    SyncFixture vm;
    const auto isEvacuated = [&](const std::string &zone) {
        return vm.upstreams.evacuations().isEvacuated(core::AvailabilityZoneId(zone));
    };
    // The first read makes the VM ready and contains the evacuation; an odd id has no effect.
    vm.store.items = {config("1"), evacuation("z1"), evacuation(""), upstream("a")};
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.state.ready(); }));
    CHECK(isEvacuated("z1"));
    CHECK(vm.upstreams.evacuations().zones().size() == 1);
    CHECK(decodeUpdate(encodeUpdate(vm.sync.changeLog().snapshot())).items.size() == 4);
    // A change is applied and relayed, also if the zone has no upstream or the key is repeated.
    const StorePosition before = vm.sync.changeLog().position();
    FleetItem next = evacuation("z2");
    next.revision = StoreRevision(vm.store.revision + 1);
    vm.store.events = {next, next};
    REQUIRE(vm.runUntil([&] { return isEvacuated("z2"); }));
    const std::optional<FleetUpdate> relayed = vm.sync.changeLog().changesSince(before);
    REQUIRE(relayed);
    const FleetUpdate decoded = decodeUpdate(encodeUpdate(*relayed));
    REQUIRE(!decoded.items.empty());
    CHECK(decoded.items.front().kind == FleetItemKind::Evacuation);
    CHECK(decoded.items.front().id == "z2");
    SyncFixture follower;
    follower.store.items = {config("1")};
    follower.store.events.assign(decoded.items.begin(), decoded.items.end());
    follower.sync.start();
    CHECK(follower.runUntil([&] { return follower.upstreams.evacuations().zones().size() == 1; }));
    // Without the store, the VM keeps what it knows.
    vm.store.unavailable = true;
    vm.run(core::Millis(60));
    CHECK(isEvacuated("z1"));
    vm.store.unavailable = false;
    next.value.reset();
    vm.store.events = {next};
    REQUIRE(vm.runUntil([&] { return !isEvacuated("z2"); }));
    CHECK(isEvacuated("z1"));
    // A full read without the key ends it.
    vm.store.items = {config("1"), upstream("a")};
    vm.store.historyLost = true;
    CHECK(vm.runUntil([&] { return !isEvacuated("z1"); }));
}

TEST_CASE("renewed upstream entries are relayed only if they changed")
{
    // Each renewed entry was sent to every follower and ended its long poll.
    SyncFixture vm;
    // Stores an item, waits until the VM has read it, and returns whether it was relayed.
    const auto storeAndCheckRelayed = [&](FleetItem item) {
        item.revision = StoreRevision(vm.store.revision + 1);
        vm.store.events = {item};
        REQUIRE(vm.runUntil([&] { return vm.store.events.empty(); }));
        const StorePosition seen = at(vm.store.revision);
        REQUIRE(vm.runUntil([&] { return vm.sync.changeLog().position() >= seen; }));
        return vm.sync.changeLog().lastChange().revision >= item.revision;
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
    CHECK(storeAndCheckRelayed(upstream("b"))); // Added again.
    CHECK(storeAndCheckRelayed(upstream("b", "unreadable")));
    CHECK(storeAndCheckRelayed(upstream("b")));
    CHECK(storeAndCheckRelayed(config("7")));
    CHECK(vm.sync.changeLog().snapshot().items.size() == 3);
    // An upstream that stays cold states the same time again; followers would take it for warm.
    vm.store.warmupLeft = core::Seconds(3);
    CHECK(storeAndCheckRelayed(upstream("b")));
    CHECK(storeAndCheckRelayed(upstream("b")));
}

TEST_CASE(
    "a new cold-start limit is not applied to upstreams that are listed already, or never ends")
{
    SyncFixture vm;
    const auto coldCount = [&] {
        return vm.upstreams.countsOf(core::MonoClock::now(), core::ServiceId("slot")).cold;
    };
    vm.store.warmupLeft = core::Seconds(60);
    vm.store.items = {upstream("a"), config("1")};
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.hasUpstream("a") && vm.version() == 1; }));
    CHECK(coldCount() == 0);
    vm.store.configuration.services = {{.id = core::ServiceId("slot"), .coldPerSecond = 4}};
    vm.store.events = {config("2")};
    CHECK(vm.runUntil([&] { return coldCount() == 1; }));
    vm.store.configuration.services = {{.id = core::ServiceId("slot")}};
    vm.store.events = {config("3")};
    CHECK(vm.runUntil([&] { return coldCount() == 0; }));
}

TEST_CASE("a relay request waits for a change while the store's revision grows without one")
{
    // Followers sent forty requests a second, because each renewed entry ended their long poll.
    RelayFixture fixture;
    fixture.changeLog.reset({.items = {upstream("a")}, .position = at(5)});
    fixture.changeLog.append({.position = at(8)});
    const core::MonoTime begin = core::MonoClock::now();
    const FleetUpdate contents = fixture.fetch(at(5));
    CHECK(core::MonoClock::now() - begin >= core::Millis(400));
    CHECK(contents.items.empty());
    CHECK(contents.position == at(8));
    FleetItem change = upstream("b");
    change.revision = StoreRevision(9);
    fixture.changeLog.append({.items = {change}, .position = at(9)});
    CHECK(fixture.fetch(at(8)).items.size() == 1);
    CHECK(core::MonoClock::now() - begin < core::Millis(900));
}

TEST_CASE("a relay without a connection to the store reports an error, also to a waiting request")
{
    // Without the error, followers of such a relay would keep an old configuration.
    RelayFixture fixture;
    fixture.changeLog.reset({.items = {upstream("a")}, .position = at(5)});
    CHECK(fixture.fetch(at(0)).items.size() == 1);
    CHECK(fixture.fetch(at(5)).items.empty());
    CHECK(fixture.fetch(at(5)).connectedFor == core::Seconds(9));
    CHECK_THROWS_AS(fixture.fetch(at(3)), StoreHistoryLost);
    asio::steady_timer lost(fixture.context, core::Millis(100));
    lost.async_wait([&](ErrorCode) { fixture.connectedFor.reset(); });
    const core::MonoTime begin = core::MonoClock::now();
    CHECK_THROWS_AS(fixture.fetch(at(5)), StoreUnreachable);
    CHECK(core::MonoClock::now() - begin < core::Millis(400));
}

// Failure guarded against: a follower gets changes of another era, or goes on behind its own ones.
TEST_CASE("a relay has changes for followers of its own era only")
{
    RelayFixture fixture;
    fixture.changeLog.reset({.items = {upstream("a")}, .position = at(5, 2)});
    CHECK(fixture.fetch(at(5, 2)).position == at(5, 2));
    CHECK(fixture.fetch(at(0, 2)).items.size() == 1);
    for (const std::uint64_t era : {0, 1, 3}) { // Versions without eras state 0.
        CAPTURE(era);
        CHECK_THROWS_AS(fixture.fetch(at(5, era)), StoreHistoryLost);
        CHECK_THROWS_AS(fixture.fetch(at(9, era)), StoreHistoryLost);
    }
}

TEST_CASE("an update of a version without eras is of era 0")
{
    constexpr char arrayOfThree = '\x93';
    constexpr char emptyArray = '\x90';
    const std::string body {arrayOfThree, '\x07', emptyArray, '\x00'};
    CHECK(decodeUpdate(body).position == at(7));
}
