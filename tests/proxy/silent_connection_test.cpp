/** @file silent_connection_test.cpp Open connections to the store that go silent while new ones
 * work. */
#include "fleet/fleet_sync_base.h"
#include "platform/json_func.h"
#include "platform/names_type.h"
#include "platform/store_client_base.h"
#include "standins/raw_server.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>

using namespace teaselreach;
using namespace teaselreach::proxy;
using nlohmann::json;
using standins::okReply;
using standins::RawReply;
using standins::RawRequest;
using standins::RawServer;

namespace {

/** Shortest time in which VMs count as connected again after a disruption of their connections. */
constexpr core::Seconds contact {3};
constexpr int removedAt = 20; ///< Revision of the upstream's removal.

/** A store with one member and one upstream, whose open connections can go silent. */
class SilentStore
{
public:
    explicit SilentStore(const EntryMember &member)
        : member_(member)
    { }
    ~SilentStore() { isOver_ = true; }
    SilentStore(const SilentStore &) = delete;
    SilentStore &operator=(const SilentStore &) = delete;

    const RawServer &server() const { return server_; }
    void silenceOpenConnections() { ++silences_; }
    void removeUpstream() { isRemoved_ = true; }
    int renewals() const { return renewals_; }

private:
    RawReply reply(const RawRequest &request)
    {
        // Each connection has a thread of its own.
        thread_local const int opened = silences_;
        while (opened != silences_ && !isOver_)
            std::this_thread::yield();
        if (request.head.starts_with("GET /kv-range"))
            return {okReply(contents())};
        if (request.head.starts_with("GET /kv-watch"))
            return watch(request);
        renewals_ += request.head.starts_with("POST /kv-keep") ? 1 : 0;
        return {okReply(R"({"lease":7,"ttl_time":"4500ms","revision":11})")};
    }

    std::string contents() const
    {
        const auto item = [](const std::string &key, const std::string &value) {
            return json {{"key", key}, {"value", platform::encodeBase64(value)}, {"revision", 3}};
        };
        const json upstream {{"service", "s1"}, {"address", "127.0.0.1:9"}, {"zone", "here"},
                             {"slots", 2},      {"state", "ready"},         {"sequence", 4}};
        json items = json::array();
        items.push_back(item(std::string(platform::upstreamPrefix) + "a", upstream.dump()));
        items.push_back(item(std::string(platform::memberPrefix) + member_.id.str(),
                             platform::encodeMember(member_)));
        return json {{"items", items}, {"truncated", false}, {"currentRev", 10}}.dump();
    }

    RawReply watch(const RawRequest &request) const
    {
        const std::string field = "after=" + std::to_string(removedAt);
        const bool knowsRemoval = request.head.find(field) != std::string::npos;
        const core::MonoTime end = core::MonoClock::now() + core::Millis(500);
        const int before = silences_;
        while ((knowsRemoval || !isRemoved_) && core::MonoClock::now() < end)
            std::this_thread::yield();
        while (before != silences_ && !isOver_)
            std::this_thread::yield();
        json events = json::array();
        if (isRemoved_ && !knowsRemoval)
            events.push_back({{"key", std::string(platform::upstreamPrefix) + "a"},
                              {"revision", removedAt},
                              {"removed", true}});
        return {
            okReply(json {{"events", events}, {"currentRev", isRemoved_ ? removedAt : 10}}.dump())};
    }

    EntryMember member_;
    std::atomic<int> silences_ {0};
    std::atomic<bool> isRemoved_ {false};
    std::atomic<bool> isOver_ {false};
    std::atomic<int> renewals_ {0};
    RawServer server_ {"127.0.0.1", [this](const RawRequest &request) { return reply(request); }};
};

/** A VM that follows the store. */
struct FollowingVm
{
    FollowingVm(const EntryMember &member, const SilentStore &silentStore)
        : store(context,
                {.address = silentStore.server().address(), .port = silentStore.server().port()})
        , sync({.context = context, .store = store, .state = state, .entries = entries},
               {.self = member}, 1)
    {
        sync.start();
    }

    bool runUntil(const std::function<bool()> &condition, core::Micros time)
    {
        const core::MonoTime end = core::MonoClock::now() + time;
        while (!condition() && core::MonoClock::now() < end) {
            context.run_for(core::Millis(5));
            state.tick(core::MonoClock::now());
        }
        return condition();
    }
    bool hasUpstream() const { return upstreams.find(core::UpstreamId("a")) != nullptr; }

    asio::io_context context {1};
    metrics::Registry registry;
    UpstreamTable upstreams {{}, 1};
    AccountRateLimiter shares {{}};
    EntryVmSelector entries {{}};
    RequestFlow flow {
        {.context = context, .upstreams = upstreams, .shares = shares, .registry = registry},
        {},
        1};
    FleetState state {{.flow = flow, .upstreams = upstreams, .entries = entries}, core::VmId("me")};
    platform::StoreClient store;
    FleetSync<platform::StoreClient> sync;
};

} // namespace

// Failure guarded against: requests reach an upstream that has left, since its removal is held back
// as after an outage of the store.
TEST_CASE("a removal is held back after open connections to the store have gone silent")
{
    const EntryMember member {
        .id = core::VmId("me"),
        .location = {core::AvailabilityZoneId("here"), core::RegionId("west")},
        .callerAddress = "127.0.0.1:1",
        .peerAddress = "127.0.0.1:2"};
    SilentStore store(member);
    FollowingVm vm(member, store);
    REQUIRE(
        vm.runUntil([&] { return vm.hasUpstream() && store.renewals() > 0; }, core::Seconds(5)));
    const core::MonoTime silentAt = core::MonoClock::now();
    store.silenceOpenConnections();
    vm.runUntil([] { return false; }, core::Millis(100));
    store.removeUpstream();
    CHECK(vm.runUntil([&] { return !vm.hasUpstream(); },
                      silentAt + contact - core::MonoClock::now()));
}
