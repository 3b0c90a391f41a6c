/** @file upstream_fleet_test.cpp Simulated fleets: false ejections and detection time. */
#include "standins/upstream_fleet.h"

#include <doctest/doctest.h>

using namespace teaselreach;
using namespace teaselreach::standins;

namespace {

constexpr core::Seconds hour {3600};

/** @return The number of ejections, without those in Scope::Vm by one VM. */
std::size_t ejections(const UpstreamFleet &fleet, std::size_t exceptOwnOf = ~std::size_t {0})
{
    std::size_t count = 0;
    for (const EventSeen &seen : fleet.events()) {
        if (seen.event.kind != upstream::HealthEvent::Kind::Ejected)
            continue;
        const bool own = seen.vm == exceptOwnOf && seen.event.scope == upstream::Scope::Vm;
        count += own ? 0 : 1;
    }
    return count;
}

FleetOptions smallFleet(std::uint64_t seed)
{
    return {.vms = 9, .upstreams = 6, .zones = 3, .seed = seed};
}

} // namespace

TEST_CASE("steady traffic with random errors causes no ejection in an hour")
{
    UpstreamFleet fleet(smallFleet(1));
    fleet.runUntil(hour);
    CHECK(fleet.counts().requests > 900'000);
    CHECK(ejections(fleet) == 0);
}

TEST_CASE("an overload of the whole service causes no ejection in an hour")
{
    UpstreamFleet fleet(smallFleet(2));
    for (int minute = 0; minute < 60; ++minute) {
        fleet.setLoadFactor(minute % 3 == 1 ? 1.5 + minute * 0.025 : 0.6);
        fleet.runUntil(core::Seconds(60 * (minute + 1)));
    }
    CHECK(fleet.counts().failedRequests > 1000);
    CHECK(ejections(fleet) == 0);
}

TEST_CASE("cold starts cause no ejection in an hour")
{
    UpstreamFleet fleet(smallFleet(3));
    for (int i = 0; i < 12; ++i) {
        fleet.addColdUpstream(core::Seconds(10));
        fleet.runUntil(core::Seconds(300 * (i + 1)));
    }
    CHECK(ejections(fleet) == 0);
}

TEST_CASE("a lossy link at one VM causes no ejection by the other VMs in an hour")
{
    UpstreamFleet fleet(smallFleet(4));
    for (int i = 0; i < 4; ++i) {
        fleet.setLoss(0, 0.05 + 0.15 * i);
        fleet.runUntil(core::Seconds(900 * (i + 1)));
    }
    CHECK(ejections(fleet, 0) == 0);
    MESSAGE("ejections by the VM behind the lossy link for itself: " << ejections(fleet));
}

TEST_CASE("a stalled upstream gets no ordinary traffic after 2 s, with a third of digests lost")
{
    UpstreamFleet fleet({.digestLoss = 0.33, .seed = 5});
    fleet.runUntil(core::Seconds(10));
    fleet.setFault(3, Fault::Stall);
    fleet.runUntil(core::Seconds(12));
    const std::size_t before = fleet.sentTo(3).size();
    fleet.runUntil(core::Seconds(30));
    CHECK(fleet.sentTo(3).size() == before);
}
