/** @file store_silence_test.cpp A store that stops to respond without an error, and returns. */
#include "sync_fixture.h"

#include <doctest/doctest.h>

#include <deque>

using namespace teaselreach;
using namespace teaselreach::proxy;
using proxytest::config;
using proxytest::removed;
using proxytest::SyncFixture;
using proxytest::upstream;

namespace {

/** Time within which a configuration must take effect once the store has acknowledged it. */
constexpr core::Millis configurationBound {2500};

} // namespace

TEST_CASE("a watch outlives the silence of the store, and a new configuration waits for its end")
{
    SyncFixture vm;
    vm.store.items = {config("1")};
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.version() == 1; }));
    vm.run(core::Millis(40)); // A watch is waiting now.
    vm.store.silent = true;
    vm.run(core::Millis(500));
    vm.store.silent = false;
    vm.store.events = {config("2")};
    CHECK(vm.runUntil([&] { return vm.version() == 2; }, configurationBound));
}

TEST_CASE("renewals make a VM count as connected while its watch gets no response")
{
    // Its followers kept reading from it, and got nothing new.
    SyncFixture vm;
    vm.store.items = {config("1")};
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.sync.connectedFor().has_value(); }));
    vm.store.watchesSilent = true;
    CHECK(vm.runUntil([&] { return !vm.sync.connectedFor(); }, core::Millis(1600)));
    vm.store.watchesSilent = false;
    CHECK(vm.runUntil([&] { return vm.sync.connectedFor().has_value(); }, configurationBound));
}

TEST_CASE("a silence of the store is counted from the failure of a call instead of its start")
{
    // The outage seemed too short for entries to expire, and removals were not held back.
    SyncFixture vm;
    vm.store.items = {upstream("a"), upstream("b")};
    vm.sync.start();
    REQUIRE(vm.runUntil([&] { return vm.hasUpstream("a"); }));
    vm.run(core::Millis(40));
    vm.store.silent = true;
    vm.run(core::Millis(1300));
    vm.store.silent = false;
    vm.store.events = {removed("a")};
    vm.run(core::Millis(1500));
    CHECK(vm.hasUpstream("a"));
}

TEST_CASE("a VM with the times of production is up to date too late after a silence of any length")
{
    std::deque<SyncFixture> vms;
    std::vector<core::MonoTime> returnsAt;
    const core::MonoTime start = core::MonoClock::now();
    for (int i = 0; i < 8; ++i) {
        SyncFixture &vm = vms.emplace_back(FleetSyncOptions {.self = {.id = core::VmId("me")}});
        vm.store.items = {config("1")};
        vm.sync.start();
        returnsAt.push_back(start + core::Millis(2800 + 200 * i));
    }
    const auto runAll = [&](core::MonoTime end) {
        while (core::MonoClock::now() < end) {
            for (std::size_t i = 0; i < vms.size(); ++i) {
                vms[i].context.run_for(core::Millis(1));
                if (!vms[i].store.silent || core::MonoClock::now() < returnsAt[i])
                    continue;
                vms[i].store.silent = false;
                vms[i].store.events = {config("2")};
            }
        }
    };
    runAll(start + core::Millis(700));
    for (SyncFixture &vm : vms) {
        REQUIRE(vm.version() == 1);
        vm.store.silent = true;
    }
    for (std::size_t i = 0; i < vms.size(); ++i) {
        runAll(returnsAt[i] + configurationBound);
        CHECK_MESSAGE(vms[i].version() == 2, "silence number ", i);
    }
}

TEST_CASE("a frozen relay delays a VM that is up to date again too late after the store's silence")
{
    // The kernel accepts connections to the frozen process, which never responds to them.
    asio::io_context frozen;
    asio::ip::tcp::acceptor listener(frozen, {asio::ip::make_address_v4("127.0.0.1"), 0});
    const FleetItem self {.kind = FleetItemKind::Member, .id = "me", .value = "registered"};
    std::deque<SyncFixture> vms;
    std::vector<core::MonoTime> returnsAt;
    const core::MonoTime start = core::MonoClock::now();
    for (int i = 0; i < 60; ++i) {
        SyncFixture &vm = vms.emplace_back(FleetSyncOptions {.self = {.id = core::VmId("me")}},
                                           static_cast<std::uint64_t>(i));
        vm.store.peerAddress = "127.0.0.1:" + std::to_string(listener.local_endpoint().port());
        vm.store.items = {config("1"), self};
        // Enough others that this one takes no callers and backs off for longer.
        for (int other = 0;
             !vm.entries.relayOf(core::VmId("me")) || vm.entries.isActive(core::VmId("me"));
             ++other) {
            vm.store.items.push_back({.kind = FleetItemKind::Member,
                                      .id = "relay" + std::to_string(other),
                                      .value = "registered"});
            for (const FleetItem &item : vm.store.items) {
                if (item.kind == FleetItemKind::Member)
                    vm.state.applyMember(vm.store.decodeMember(item.id, *item.value));
            }
        }
        vm.sync.start();
        returnsAt.push_back(start + core::Millis(6000 + 100 * i));
    }
    const auto runAll = [&](core::MonoTime end) {
        while (core::MonoClock::now() < end) {
            for (std::size_t i = 0; i < vms.size(); ++i) {
                vms[i].context.run_for(core::Millis(1));
                if (!vms[i].store.silent || core::MonoClock::now() < returnsAt[i])
                    continue;
                vms[i].store.silent = false;
                vms[i].store.events = {config("2")};
            }
        }
    };
    runAll(start + core::Millis(1500));
    for (SyncFixture &vm : vms) {
        REQUIRE(vm.version() == 1);
        vm.store.silent = true;
    }
    for (std::size_t i = 0; i < vms.size(); ++i) {
        runAll(returnsAt[i] + configurationBound);
        CHECK_MESSAGE(vms[i].version() == 2, "silence number ", i);
    }
}
