/** @file zone_load_test.cpp Zones share load: decisions, reports and whole fleets. */
#include "zone_fleet.h"

#include <doctest/doctest.h>

#include <limits>

using namespace teaselreach;
using namespace teaselreach::proxytest;

namespace {

constexpr std::uint64_t seeds = 6;
const core::ServiceId desk("desk");
const core::AvailabilityZoneId east("east");
const core::AvailabilityZoneId west("west");
const core::AvailabilityZoneId abroad("abroad");
const core::MonoTime start {core::Seconds(1000)};

/** @return The sums over several seeds. */
ZoneFleetReport runWith(ZoneFleetOptions options, ZoneStrategy strategy, const char *name)
{
    options.strategy = strategy;
    ZoneFleetReport sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        const ZoneFleetReport report = ZoneFleet(options).run();
        sum.requests += report.requests;
        sum.refused += report.refused;
        sum.late += report.late;
        sum.otherZone += report.otherZone;
        sum.otherRegion += report.otherRegion;
        sum.guestsQueued += report.guestsQueued;
        sum.directionChanges += report.directionChanges;
    }
    MESSAGE(std::string(name) << " loss " << sum.loss() << " requests " << sum.requests
                              << " refused " << sum.refused << " late " << sum.late
                              << " other zone " << sum.otherZone << " other region "
                              << sum.otherRegion << " guests queued " << sum.guestsQueued
                              << " direction changes " << sum.directionChanges);
    return sum;
}

ZoneLoadOptions tableOptions()
{
    return {.enabled = true,
            .self = {east, core::RegionId("home")},
            .regionOfZone = {{east, core::RegionId("home")},
                             {west, core::RegionId("home")},
                             {abroad, core::RegionId("far")}}};
}

ZoneLoadReport reportOf(const core::AvailabilityZoneId &zone, double demand, double slots,
                        double freeSlots)
{
    return {.sender = core::VmId("vm-" + zone.str()),
            .service = desk,
            .zone = zone,
            .load = {.demandPerSecond = demand, .slots = slots, .freeSlots = freeSlots}};
}

/** A VM of the zone "east" with ten slots there, and requests that take 100 ms. */
struct OwnVm
{
    /** Runs for a time. @param demand Requests per second of the own zone.
     * @param report Repeated every 400 ms, unless it is empty. */
    void run(core::Micros time, int demand, const std::optional<ZoneLoadReport> &report)
    {
        const core::MonoTime end = now + time;
        for (; now < end; now += core::Millis(50), ++count) {
            if (report && count % 8 == 0)
                table.reported(now, *report);
            for (int i = 0; i < demand / 20; ++i)
                table.requestArrived(now, desk);
            table.setOwn(now, desk,
                         {.slots = 10,
                          .freeSlots = std::max(0.0, 10 - demand / 10.0),
                          .inFlight = demand / 10.0});
        }
    }
    ZoneLoadTable table {tableOptions()};
    core::MonoTime now = start;
    int count = 0;
};

} // namespace

TEST_CASE("a zone sends elsewhere what brings both zones to the same utilization, not more")
{
    OwnVm vm;
    vm.run(core::Seconds(10), 140, reportOf(west, 40, 10, 6));
    // 14 and 4 slots of demand: with 5 sent, both zones use 9 of 10.
    CHECK(vm.table.spilledPart(desk) == doctest::Approx(5.0 / 14).epsilon(0.05));
    CHECK(vm.table.directionChanges() == 1);
    int drawn = 0;
    for (int i = 0; i < 1000; ++i)
        drawn += vm.table.distanceFactor(vm.now, desk, west, i / 1000.0) < 1 ? 1 : 0;
    CHECK(drawn == doctest::Approx(1000 * 5 / 14.0).epsilon(0.05));
    CHECK(vm.table.distanceFactor(vm.now, desk, abroad, 0) == 1);
    // Another region gets what exceeds the slots of the own one.
    OwnVm far;
    far.run(core::Seconds(10), 140, reportOf(abroad, 0, 10, 10));
    CHECK(far.table.spilledPart(desk) == doctest::Approx(4.0 / 14).epsilon(0.05));
    // Two zones of which the other one is as short keep their load.
    OwnVm full;
    full.run(core::Seconds(10), 140, reportOf(west, 140, 10, 0));
    CHECK(full.table.spilledPart(desk) == 0);
    CHECK(full.table.areAllShort(full.now, desk));
    // Free slots show what others have sent there.
    OwnVm late;
    late.run(core::Seconds(10), 140, reportOf(west, 40, 10, 0));
    CHECK(late.table.spilledPart(desk) == 0);
}

TEST_CASE("load that varies between the thresholds changes no direction, and returns below them")
{
    OwnVm vm;
    const ZoneLoadReport other = reportOf(west, 40, 10, 6);
    for (int i = 0; i < 10; ++i) {
        vm.run(core::Seconds(3), 80, other);
        vm.run(core::Seconds(3), 60, other);
    }
    CHECK(vm.table.directionChanges() == 0);
    vm.run(core::Seconds(5), 100, other);
    for (int i = 0; i < 10; ++i) {
        vm.run(core::Seconds(3), 80, other);
        vm.run(core::Seconds(3), 100, other);
    }
    CHECK(vm.table.directionChanges() == 1);
    vm.run(core::Seconds(10), 60, other);
    CHECK(vm.table.directionChanges() == 2);
    CHECK(!vm.table.isSpilling(desk));
}

TEST_CASE("without reports for 3 s the fixed losses apply, also after a restart")
{
    OwnVm vm;
    vm.run(core::Seconds(5), 140, std::nullopt); // As after a restart.
    CHECK(!vm.table.isSpilling(desk));
    CHECK(!vm.table.areAllShort(vm.now, desk));
    vm.run(core::Seconds(5), 140, reportOf(west, 40, 10, 6));
    const double part = vm.table.spilledPart(desk);
    CHECK(part > 0.3);
    vm.run(core::Seconds(2), 140, std::nullopt);
    CHECK(vm.table.spilledPart(desk) < 0.9 * part); // The weight falls with age.
    CHECK(vm.table.isSpilling(desk));
    vm.run(core::Seconds(1), 140, std::nullopt);
    CHECK(!vm.table.isSpilling(desk));
}

TEST_CASE("implausible reports are dropped and counted, or they draw all load to a zone")
{
    OwnVm vm;
    const double notANumber = std::numeric_limits<double>::quiet_NaN();
    ZoneLoadReport future = reportOf(west, 40, 10, 6);
    future.age = core::Millis(-1);
    const std::vector<ZoneLoadReport> invalid {future,
                                               reportOf(core::AvailabilityZoneId("x"), 1, 1, 1),
                                               reportOf(west, -1, 10, 6),
                                               reportOf(west, 40, 1000001, 6),
                                               reportOf(west, notANumber, 10, 6),
                                               reportOf(west, 40, 10, 11)};
    for (const ZoneLoadReport &report : invalid)
        CHECK(!vm.table.reported(start, report));
    CHECK(vm.table.rejected() == invalid.size());
    vm.run(core::Seconds(5), 140, std::nullopt);
    CHECK(!vm.table.isSpilling(desk));
}

TEST_CASE("only changes of the state go to other regions, at most once a second")
{
    OwnVm vm;
    int messages = 0;
    for (int i = 0; i < 400; ++i) {
        vm.run(core::Millis(50), i / 10 % 2 == 0 ? 140 : 20, std::nullopt);
        messages += vm.table.takeStateChanges(vm.now, 12).empty() ? 0 : 1;
    }
    CHECK(messages >= 2);
    CHECK(messages <= 20);
    vm.run(core::Seconds(10), 140, std::nullopt);
    vm.table.takeStateChanges(vm.now, 12);
    for (int i = 0; i < 100; ++i) {
        vm.run(core::Millis(50), 140, std::nullopt);
        CHECK(vm.table.takeStateChanges(vm.now, 12).empty());
    }
}

TEST_CASE("a report never makes an upstream of an evacuated zone or another region eligible")
{
    const ZoneLoadOptions zones = tableOptions();
    UpstreamTable table(
        {.self = zones.self, .regionOfZone = zones.regionOfZone, .zoneLoad = {.enabled = true}}, 1);
    const auto add = [&](const char *id, const core::AvailabilityZoneId &zone) {
        table.update(start,
                     {.id = core::UpstreamId(id),
                      .service = desk,
                      .address = "10.0.0.1",
                      .availabilityZone = zone,
                      .slots = 1000});
    };
    add("w", west);
    add("a", abroad);
    core::MonoTime now = start;
    const auto placed = [&](bool evacuated) {
        std::map<std::string, int> counts;
        if (evacuated)
            table.beginEvacuation(west);
        for (int i = 0; i < 1000; ++i) {
            now += core::Millis(5);
            table.requestArrived(now, desk, {});
            table.zoneLoads()->reported(now, reportOf(west, 1, 1000, 1000));
            table.zoneLoads()->reported(now, reportOf(abroad, 1, 1000, 1000));
            table.measureZoneLoad(now);
            PlacementRequest request {.service = desk,
                                      .targetLatency = core::Millis(400),
                                      .timeLeft = core::Seconds(2),
                                      .allowedRegions = RegionSet::of({core::RegionId("home")})};
            PlacementResult result = table.choose(now, request);
            if (!result.placement)
                continue;
            ++counts[result.placement->upstream.str()];
            table.attemptStarted(now, *result.placement);
        }
        return counts;
    };
    const auto before = placed(false);
    CHECK(before.at("w") == 1000);
    CHECK(table.zoneLoads()->isSpilling(desk));
    CHECK(table.zoneLoads()->takeSpilled() > 0);
    CHECK(placed(true).empty());
}

TEST_CASE("while all zones are short a request waits rather than queue at another zone's upstream")
{
    const ZoneLoadOptions zones = tableOptions();
    /** @return Requests at the upstream of the other zone, which has one slot. */
    const auto guests = [&](bool enabled, const core::AvailabilityZoneId &ownUpstream) {
        UpstreamTable table({.self = zones.self,
                             .regionOfZone = zones.regionOfZone,
                             .zoneLoad = {.enabled = enabled}},
                            1);
        for (const auto &[id, zone] : {std::pair("own", ownUpstream), std::pair("w", west)})
            table.update(start,
                         {.id = core::UpstreamId(id),
                          .service = desk,
                          .availabilityZone = zone,
                          .slots = 1});
        int count = 0;
        core::MonoTime now = start;
        for (int round = 0; round < 50; ++round) {
            const core::MonoTime begin = now;
            std::vector<Placement> placements;
            const PlacementRequest request {
                .service = desk, .targetLatency = core::Millis(400), .timeLeft = core::Seconds(9)};
            for (PlacementResult result = table.choose(now, request); result.placement;
                 result = table.choose(now, request)) {
                table.attemptStarted(now, *result.placement);
                placements.push_back(*result.placement);
            }
            for (int i = 0; i < 4; ++i, now += core::Millis(50)) {
                table.requestArrived(now, desk, {});
                if (enabled)
                    table.zoneLoads()->reported(now, reportOf(west, 20, 1, 0));
                table.measureZoneLoad(now);
            }
            count = 0;
            for (const Placement &placement : placements) {
                count += placement.upstream == core::UpstreamId("w") ? 1 : 0;
                table.attemptFinished({.upstream = placement.upstream,
                                       .attempt = placement.attempt,
                                       .startedAt = begin,
                                       .endedAt = now});
            }
        }
        return count;
    };
    CHECK(guests(false, east) == 2); // Twice its slots.
    CHECK(guests(true, east) == 1);
    CHECK(guests(true, west) == 2); // Without upstreams in the own zone there is no other place.
}

TEST_CASE("demand in waves: sharing costs callers less than the fixed losses and an equal spread")
{
    const ZoneFleetOptions options {.utilization = 0.85, .amplitude = 0.55};
    const ZoneFleetReport sharing = runWith(options, ZoneStrategy::Sharing, "sharing");
    const double fixed = runWith(options, ZoneStrategy::FixedLosses, "fixed").loss();
    const double equal = runWith(options, ZoneStrategy::EqualSpread, "equal").loss();
    CHECK(sharing.loss() < 0.85 * fixed);
    CHECK(sharing.loss() < 0.3 * equal);
    // Two waves, in which each VM may start and end to use each of five zones.
    CHECK(sharing.directionChanges <= 12 * seeds * 2 * 5 * 2 / 2);
}

TEST_CASE("a zone that loses half of its upstreams gets help, which ends when they return")
{
    const ZoneFleetOptions options {
        .utilization = 0.6, .halfLostFrom = core::Seconds(5), .halfLostUntil = core::Seconds(25)};
    const ZoneFleetReport sharing = runWith(options, ZoneStrategy::Sharing, "sharing");
    const double fixed = runWith(options, ZoneStrategy::FixedLosses, "fixed").loss();
    const double equal = runWith(options, ZoneStrategy::EqualSpread, "equal").loss();
    CHECK(sharing.refused == 0);
    CHECK(sharing.loss() < 2 * fixed); // Each request that moves early costs crossZoneLoss.
    CHECK(sharing.loss() < 0.05 * equal);
    ZoneFleet fleet(options);
    double first = 0;
    double second = 0;
    for (int i = 0; i < 100; ++i) {
        fleet.runUntil(core::Seconds(12) + core::Millis(100 * i));
        first += fleet.utilization(0) / 100;
        second += fleet.utilization(1) / 100;
    }
    CHECK(first - second < 0.2); // 1.2 and 0.6 without help.
    CHECK(fleet.spilledPart(0) > 0.1);
    fleet.runUntil(core::Seconds(35));
    CHECK(fleet.spilledPart(0) == 0);
}

TEST_CASE("if all zones are short each one keeps its own upstreams")
{
    const ZoneFleetOptions options {.utilization = 1.3};
    const ZoneFleetReport sharing = runWith(options, ZoneStrategy::Sharing, "sharing");
    const ZoneFleetReport fixed = runWith(options, ZoneStrategy::FixedLosses, "fixed");
    const ZoneFleetReport own = runWith(options, ZoneStrategy::OwnZone, "own zone only");
    CHECK(sharing.otherZone + sharing.otherRegion < 0.9 * (fixed.otherZone + fixed.otherRegion));
    CHECK(sharing.loss() < own.loss());
    CHECK(sharing.directionChanges <= 12 * seeds * 2);
}

TEST_CASE("lost messages, a partition and a link of one direction do no harm")
{
    ZoneFleetOptions options {.utilization = 0.8, .amplitude = 0.55};
    const ZoneFleetReport fixed = runWith(options, ZoneStrategy::FixedLosses, "fixed");
    options.lostMessages = 0.3;
    CHECK(runWith(options, ZoneStrategy::Sharing, "a third lost").loss() < fixed.loss());
    options.lostMessages = 0;
    options.delivers = [](int from, int to) { return from != 1 || to == 1; };
    CHECK(runWith(options, ZoneStrategy::Sharing, "one-way").loss() < fixed.loss());
    options.delivers = [](int from, int to) { return from == to; };
    const ZoneFleetReport partitioned = runWith(options, ZoneStrategy::Sharing, "partition");
    CHECK(partitioned.directionChanges == 0);
    CHECK(partitioned.loss() == fixed.loss());
}
