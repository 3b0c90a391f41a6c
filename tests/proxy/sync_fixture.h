/** @file sync_fixture.h A VM that synchronizes with an in-memory store, for tests. */
#pragma once

#include "fleet/fleet_sync_base.h"
#include "memory_store.h"

#include <functional>

namespace teaselreach::proxytest {

using namespace teaselreach::proxy;

/** @return A position in an era; the first one by default. */
inline StorePosition at(std::uint64_t revision, std::uint64_t era = 0)
{
    return {.era = StoreEra(era), .revision = StoreRevision(revision)};
}

inline FleetItem config(const std::string &version)
{
    return {.kind = FleetItemKind::Configuration, .value = version};
}

inline FleetItem upstream(const std::string &id, const std::string &address = "127.0.0.1")
{
    return {.kind = FleetItemKind::Upstream, .id = id, .value = address};
}

inline FleetItem removed(const std::string &id)
{
    return {.kind = FleetItemKind::Upstream, .id = id, .value = std::nullopt};
}

/** A VM that synchronizes with an in-memory store, in real time. */
struct SyncFixture
{
    /** Short intervals. @param backoffLimit Maximum backoff of a VM without callers. */
    explicit SyncFixture(core::Micros backoffLimit = core::Millis(20))
        : SyncFixture(FleetSyncOptions {.self = {.id = core::VmId("me")},
                                        .watchPause = core::Millis(5),
                                        .renewInterval = core::Millis(20),
                                        .idleRenewInterval = core::Millis(20),
                                        .initialBackoff = core::Millis(5),
                                        .maxBackoff = core::Millis(20),
                                        .idleMaxBackoff = backoffLimit})
    { }
    /** @param times Times of the calls to the store. @param jitter Seed of the backoffs. */
    explicit SyncFixture(FleetSyncOptions times, std::uint64_t jitter = 1)
        : options(std::move(times))
        , seed(jitter)
    { }

    FleetSyncOptions options;
    std::uint64_t seed = 1;
    asio::io_context context {1};
    metrics::Registry registry;
    UpstreamTable upstreams {{}, 1};
    AccountRateLimiter shares {{}};
    EntryVmSelector entries {{}};
    RequestFlow flow {
        {.context = context, .upstreams = upstreams, .shares = shares, .registry = registry},
        {},
        1};
    PeerLiveness liveness;
    FleetState state {
        {.flow = flow, .upstreams = upstreams, .entries = entries, .liveness = &liveness},
        core::VmId("me")};
    MemoryStore store {context};
    FleetSync<MemoryStore> sync {
        {.context = context, .store = store, .state = state, .entries = entries}, options, seed};

    void run(core::Millis time)
    {
        const core::MonoTime end = core::MonoClock::now() + time;
        while (core::MonoClock::now() < end) {
            context.run_for(core::Millis(5));
            state.tick(core::MonoClock::now());
        }
    }
    /** Runs until a condition is met. @return Whether it was met in time. */
    bool runUntil(const std::function<bool()> &condition, core::Micros time = core::Seconds(3))
    {
        const core::MonoTime end = core::MonoClock::now() + time;
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

} // namespace teaselreach::proxytest
