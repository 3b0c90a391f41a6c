/** @file sync_restore_test.cpp A store that comes back from a copy of its contents. */
#include "sync_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>

using namespace teaselreach;
using namespace teaselreach::proxy;
using proxytest::config;
using proxytest::removed;
using proxytest::SyncFixture;
using proxytest::upstream;

namespace {

/** Time within which a VM has followed a restored store, at the intervals of the fixture. */
constexpr core::Millis followTime {1500};

FleetItem member(const std::string &id)
{
    return {.kind = FleetItemKind::Member, .id = id, .value = id};
}

FleetItem evacuation(const std::string &zone)
{
    return {.kind = FleetItemKind::Evacuation, .id = zone, .value = "{}"};
}

bool hasMember(const SyncFixture &vm, const std::string &id)
{
    return vm.entries.contains(core::VmId(id));
}

bool isEvacuated(const SyncFixture &vm, const std::string &zone)
{
    return vm.upstreams.evacuations().isEvacuated(core::AvailabilityZoneId(zone));
}

/** Runs until a VM has read the whole store once more. @return Whether it has in time. */
bool readsAgain(SyncFixture &vm, int before)
{
    return vm.runUntil([&] { return vm.store.fullReads > before; }, followTime);
}

} // namespace

// Failure guarded against: a withdrawn key stays in use, since the watch goes on behind the change.
TEST_CASE("the changes of a restored store are missed if its revision has passed the known one")
{
    SyncFixture vm;
    vm.store.items = {config("2"), upstream("a")};
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.version() == 2; }));
    vm.run(core::Millis(40)); // A watch is waiting now.
    vm.store.restore({config("3"), upstream("a"), upstream("b")});
    CHECK(vm.runUntil([&] { return vm.version() == 3 && vm.hasUpstream("b"); }, followTime));
    CHECK(vm.sync.era() == StoreEra(1));
    CHECK(vm.sync.changeLog().position().era == StoreEra(1));
}

// Failure guarded against: the second of two restores is taken for the first.
TEST_CASE("two restores in a row, the first one within an outage")
{
    SyncFixture vm;
    vm.store.items = {config("1")};
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.version() == 1; }));
    vm.store.unavailable = true;
    vm.run(core::Millis(100));
    vm.store.restore({config("2")});
    vm.store.unavailable = false;
    REQUIRE(vm.runUntil([&] { return vm.version() == 2; }, followTime));
    vm.store.restore({config("3")});
    vm.store.restore({config("4")});
    CHECK(vm.runUntil([&] { return vm.version() == 4; }, followTime));
    CHECK(vm.sync.era() == StoreEra(3));
    CHECK(vm.runUntil([&] { return vm.store.registered.size() == 1; }, followTime));
}

// Failure guarded against: a read that begins in one era and ends in the next one is applied.
TEST_CASE("a store that is restored while a VM starts")
{
    SyncFixture vm;
    vm.store.items = {config("1"), upstream("gone")};
    vm.store.silent = true;
    vm.sync.start();
    vm.run(core::Millis(20));
    vm.store.restore({config("2")});
    vm.store.silent = false;
    REQUIRE(vm.runUntil([&] { return vm.version() == 2; }, core::Seconds(4)));
    CHECK(!vm.hasUpstream("gone"));
    CHECK(vm.runUntil([&] { return vm.store.registered.size() == 1; }, followTime));
}

// Failure guarded against: a copy's configuration takes effect over the newer one that was lost.
TEST_CASE("the configuration goes back to the version of the copy")
{
    SyncFixture vm;
    vm.store.items = {config("5")};
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.version() == 5; }));
    const int reads = vm.store.fullReads;
    vm.store.restore({config("3")});
    REQUIRE(readsAgain(vm, reads));
    CHECK(vm.version() == 5);
    FleetItem next = config("6");
    next.revision = StoreRevision(1);
    vm.store.events = {next};
    CHECK(vm.runUntil([&] { return vm.version() == 6; }, followTime));
}

// Failure guarded against: a VM renews a lease whose id has been given to another VM, and stays
// without a registration of its own.
TEST_CASE("a lease of an earlier era is renewed")
{
    SyncFixture vm;
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return !vm.store.renewed.empty(); }));
    vm.store.restore({});
    vm.store.renewed.clear();
    CHECK(vm.runUntil([&] { return vm.store.registered.size() == 1; }, followTime));
    CHECK(vm.runUntil([&] { return !vm.store.renewed.empty(); }, followTime));
    CHECK(std::all_of(vm.store.renewed.begin(), vm.store.renewed.end(),
                      [](const StoreLease &lease) { return lease.era == StoreEra(1); }));
}

// Failure guarded against: the copy sends callers to a VM that has left.
TEST_CASE("the copy lists a VM that has removed its registration")
{
    SyncFixture vm;
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.store.registered.size() == 1; }));
    vm.sync.deregister();
    REQUIRE(vm.runUntil([&] { return vm.store.registered.empty(); }));
    vm.store.restore({});
    vm.store.registered = {core::VmId("me")};
    CHECK(vm.runUntil([&] { return vm.store.registered.empty(); }, followTime));
}

// Failure guarded against: an upstream that leaves gets requests because the copy lists it as
// ready.
TEST_CASE("the copy has an earlier entry of an upstream")
{
    SyncFixture vm;
    vm.store.drainingFrom = 5;
    vm.store.items = {upstream("leaving", "127.0.0.5"), upstream("left", "127.0.0.3")};
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.hasUpstream("left"); }));
    vm.store.events = {removed("left")};
    REQUIRE(vm.runUntil([&] { return !vm.hasUpstream("left"); }));
    const auto isDraining = [&] {
        return vm.upstreams.find(core::UpstreamId("leaving"))->draining;
    };
    REQUIRE(isDraining());
    int reads = vm.store.fullReads;
    vm.store.restore({upstream("leaving", "127.0.0.4"), upstream("left", "127.0.0.3")});
    REQUIRE(readsAgain(vm, reads));
    CHECK(isDraining());
    CHECK(!vm.hasUpstream("left"));
    // A process that replaces the earlier one counts from the beginning.
    vm.store.startedAt = 2;
    vm.store.events = {upstream("leaving", "127.0.0.1"), upstream("left", "127.0.0.1")};
    CHECK(vm.runUntil([&] { return vm.hasUpstream("left"); }, followTime));
    CHECK(!isDraining());
}

// Failure guarded against: callers are sent away from live VMs whose registrations the copy lacks.
TEST_CASE("members and upstreams that a copy lacks are removed before they could be written again")
{
    SyncFixture vm;
    vm.store.items = {member("back"), member("dead"), upstream("back"), upstream("dead")};
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.hasUpstream("dead"); }));
    vm.store.restore({});
    vm.run(core::Millis(1600));
    CHECK(hasMember(vm, "back"));
    CHECK(vm.hasUpstream("back"));
    vm.store.events = {member("back"), upstream("back", "127.0.0.2")};
    CHECK(vm.runUntil([&] { return !hasMember(vm, "dead") && !vm.hasUpstream("dead"); }));
    CHECK(hasMember(vm, "back"));
    CHECK(vm.hasUpstream("back"));
}

// Failure guarded against: a zone gets requests during its evacuation, whose key the copy lacks.
TEST_CASE("a copy without an evacuation ends it")
{
    SyncFixture vm;
    vm.store.items = {evacuation("kept"), evacuation("ended"), evacuation("lost")};
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return isEvacuated(vm, "lost"); }));
    const int reads = vm.store.fullReads;
    vm.store.restore({});
    REQUIRE(readsAgain(vm, reads));
    FleetItem end = evacuation("ended");
    end.value.reset();
    vm.store.events = {evacuation("kept"), end};
    CHECK(vm.runUntil([&] { return !isEvacuated(vm, "ended"); }, followTime));
    CHECK(isEvacuated(vm, "lost"));
    CHECK(vm.runUntil([&] { return !isEvacuated(vm, "lost"); }));
    CHECK(isEvacuated(vm, "kept"));
}

// Failure guarded against: all VMs call the restored store at once, or leave callers without an
// address until they are registered again.
TEST_CASE("300 VMs follow a restored store")
{
    constexpr int vmCount = 300;
    /** Calls a second that the store takes from all VMs together. */
    constexpr int writesPerSecond = 1200;
    constexpr int readsPerSecond = 6000;
    std::deque<SyncFixture> vms;
    for (int i = 0; i < vmCount; ++i) {
        SyncFixture &vm = vms.emplace_back(FleetSyncOptions {.self = {.id = core::VmId("me")}},
                                           static_cast<std::uint64_t>(i));
        vm.store.items = {member("other")};
        vm.sync.start();
    }
    bool hasAddresses = true;
    const auto runFor = [&](core::Micros time, const std::function<bool()> &isDone) {
        const core::MonoTime end = core::MonoClock::now() + time;
        while (!isDone() && core::MonoClock::now() < end) {
            for (SyncFixture &vm : vms) {
                vm.context.poll();
                vm.state.tick(core::MonoClock::now());
                hasAddresses = hasAddresses
                    && !vm.entries
                            .addressesFor(
                                {core::AvailabilityZoneId("here"), core::RegionId("west")},
                                [](const core::VmId &) { return false; }, {})
                            .empty();
            }
        }
        return isDone();
    };
    const auto areRegistered = [&] {
        return std::all_of(vms.begin(), vms.end(),
                           [](const SyncFixture &vm) { return !vm.store.registered.empty(); });
    };
    const auto haveRead = [&] {
        return std::all_of(vms.begin(), vms.end(),
                           [](const SyncFixture &vm) { return hasMember(vm, "other"); });
    };
    REQUIRE(runFor(core::Seconds(10), [&] { return areRegistered() && haveRead(); }));
    hasAddresses = true;
    for (SyncFixture &vm : vms) {
        vm.store.restore({});
        vm.store.readTimes.clear();
        vm.store.writeTimes.clear();
    }
    CHECK(runFor(RemovalHold<core::VmId>::holdTime, areRegistered));
    for (SyncFixture &vm : vms)
        vm.store.events = {member("other")};
    runFor(core::Seconds(2), [] { return false; });
    CHECK(hasAddresses);
    CHECK(haveRead());
    const auto mostInOneSecond = [&](const auto &timesOf) {
        std::vector<core::MonoTime> times;
        for (const SyncFixture &vm : vms)
            times.insert(times.end(), timesOf(vm.store).begin(), timesOf(vm.store).end());
        std::sort(times.begin(), times.end());
        std::ptrdiff_t most = 0;
        for (auto from = times.begin(); from != times.end(); ++from) {
            const auto to = std::lower_bound(from, times.end(), *from + core::Seconds(1));
            most = std::max(most, to - from);
        }
        return most;
    };
    using Store = proxytest::MemoryStore;
    CHECK(mostInOneSecond([](const Store &store) -> auto & { return store.writeTimes; })
          <= writesPerSecond);
    CHECK(mostInOneSecond([](const Store &store) -> auto & { return store.readTimes; })
          <= readsPerSecond);
}
