/** @file evidence_age_test.cpp Choice of upstreams by the age of their last success. */
#include "standins/proxy_emulator.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselreach;
using namespace teaselreach::standins;

namespace {

constexpr std::uint64_t seeds = 10;
constexpr int vms = 12;
constexpr int upstreams = 60;
constexpr int slots = 3;
constexpr core::Micros meanWork {core::Millis(150)};

/** A part of the capacity of 60 upstreams, and the part of the requests that may be retried. */
struct Load
{
    double utilization = 0.3;
    double retryableShare = 0;
};

std::vector<EmulatedKind> kindsOf(const Load &load)
{
    const double capacity = upstreams * slots / std::chrono::duration<double>(meanWork).count();
    const auto kind = [&](const char *id, bool idempotent, double share) {
        return EmulatedKind {.route = {.id = core::RouteId(id),
                                       .idempotent = idempotent,
                                       .timeout = core::Millis(2500),
                                       .targetLatency = core::Millis(800),
                                       .priority = 1,
                                       .maxAttempts = 2,
                                       .destinations = {{.service = core::ServiceId("desk")}}},
                             .perSecond = capacity * load.utilization * share,
                             .meanWork = meanWork};
    };
    std::vector<EmulatedKind> kinds {kind("booking", false, 1 - load.retryableShare)};
    if (load.retryableShare > 0)
        kinds.push_back(kind("lookup", true, load.retryableShare));
    return kinds;
}

EmulatedLoad pattern(EmulatedFailingPeriods periods)
{
    return {.name = "failing_periods",
            .length = core::Seconds(60),
            .zones = 6,
            .vmsPerZone = vms / 6,
            .upstreamsPerZone = upstreams / 6,
            .slots = slots,
            .failingPeriods = periods};
}

EmulatedReport play(const Load &load, const EmulatedLoad &of, bool prefersRecentSuccess,
                    std::uint64_t seed)
{
    return ProxyEmulator<proxy::UpstreamTable>(
               of, kindsOf(load),
               [prefersRecentSuccess](proxy::UpstreamTableOptions options,
                                      std::uint64_t chooserSeed) {
                   options.prefersRecentSuccess = prefersRecentSuccess;
                   return std::make_unique<proxy::UpstreamTable>(options, chooserSeed);
               },
               seed, {.prefersRecentSuccess = prefersRecentSuccess})
        .run();
}

/** Sums over all seeds for one load, with the current choice and with the preference. */
struct Comparison
{
    double failed = 0;
    double failedPreferred = 0;
    double unserved = 0;
    double unservedPreferred = 0;
    double late = 0;
    double latePreferred = 0;

    double failedRatio() const { return failedPreferred / failed; }
};

Comparison compare(const Load &load, const EmulatedFailingPeriods &periods)
{
    Comparison sums;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const EmulatedReport current = play(load, pattern(periods), false, seed);
        const EmulatedReport preferred = play(load, pattern(periods), true, seed);
        sums.failed += current.failed();
        sums.failedPreferred += preferred.failed();
        sums.unserved += current.failed() + current.refused();
        sums.unservedPreferred += preferred.failed() + preferred.refused();
        sums.late += current.late();
        sums.latePreferred += preferred.late();
    }
    MESSAGE("utilization " << load.utilization << ", retryable " << load.retryableShare
                           << ": failed " << sums.failed << " -> " << sums.failedPreferred
                           << ", not served " << sums.unserved << " -> " << sums.unservedPreferred
                           << ", late " << sums.late << " -> " << sums.latePreferred);
    return sums;
}

/** Share of requests that ended unserved in a window. */
double unservedIn(const EmulatedReport &report, core::MonoTime from, core::MonoTime until)
{
    double ended = 0;
    double unserved = 0;
    for (const auto &[at, isServed] : report.ended) {
        if (at < from || at >= until)
            continue;
        ++ended;
        unserved += isServed ? 0 : 1;
    }
    return ended == 0 ? 0 : unserved / ended;
}

/** @return Share of the upstreams that were sound in a window and the 2 s before it that got a
 * request in it; 1 if there are none. */
double usedShare(const EmulatedReport &report, core::MonoTime from, core::MonoTime until)
{
    double sound = 0;
    double used = 0;
    for (const EmulatedUpstreamHistory &upstream : report.upstreams) {
        const bool isSound =
            std::none_of(upstream.failing.begin(), upstream.failing.end(), [&](const auto &period) {
                return period.first < until && period.second > from - core::Seconds(2);
            });
        if (!isSound)
            continue;
        ++sound;
        const auto first =
            std::lower_bound(upstream.receivedAt.begin(), upstream.receivedAt.end(), from);
        used += first != upstream.receivedAt.end() && *first < until ? 1 : 0;
    }
    return sound == 0 ? 1 : used / sound;
}

/** Windows of 2 s of a play in which more than a tenth of the requests were not served. */
struct PoorWindows
{
    int all = 0;
    int belowFloor = 0; ///< Fewer than 0.7 of the sound upstreams got a request.
    double smallestShare = 1;
    double unserved = 0; ///< Mean share of requests not served.
};

void countPoorWindows(const EmulatedReport &report, PoorWindows &windows)
{
    constexpr double floorShare = 0.7;
    constexpr double poor = 0.1;
    constexpr core::Micros window = core::Seconds(2);
    const core::MonoTime start {core::Seconds(1000)};
    for (core::Micros at = core::Seconds(10); at + window <= core::Seconds(60); at += window / 2) {
        const double unserved = unservedIn(report, start + at, start + at + window);
        if (unserved <= poor)
            continue;
        const double share = usedShare(report, start + at, start + at + window);
        ++windows.all;
        windows.unserved += unserved;
        windows.belowFloor += share < floorShare ? 1 : 0;
        windows.smallestShare = std::min(windows.smallestShare, share);
    }
}

} // namespace

TEST_CASE("a service that loses a third of its requests uses its sound upstreams")
{
    // Guards against a preference that keeps sound upstreams idle while requests are lost. The
    // trials of UpstreamCoverage alone keep them in use too; recent_success_test checks the switch.
    const EmulatedLoad load = pattern({.failureRate = 0.9,
                                       .meanSound = core::Seconds(7),
                                       .shortest = core::Seconds(5),
                                       .longest = core::Seconds(9)});
    for (const double utilization : {0.1, 0.6}) {
        PoorWindows current;
        PoorWindows preferred;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            countPoorWindows(play({.utilization = utilization}, load, false, seed), current);
            countPoorWindows(play({.utilization = utilization}, load, true, seed), preferred);
        }
        MESSAGE("utilization " << utilization << ": windows " << current.all << " -> "
                               << preferred.all << ", below the floor " << current.belowFloor
                               << " -> " << preferred.belowFloor << ", smallest share "
                               << current.smallestShare << " -> " << preferred.smallestShare
                               << ", not served " << current.unserved / current.all << " -> "
                               << preferred.unserved / preferred.all);
        CHECK(preferred.all > 0);
        CHECK(preferred.belowFloor == 0);
    }
}

TEST_CASE("upstreams that fail for seconds cost fewer failed requests")
{
    // Guards against evidence of health from before a failure, which returned failing upstreams to
    // use.
    for (const Load &load : {Load {0.3, 0}, Load {0.3, 1.0 / 3}, Load {0.6, 1.0 / 3}}) {
        CAPTURE(load.utilization);
        CAPTURE(load.retryableShare);
        CHECK(compare(load, {.failureRate = 0.9}).failedRatio() < 1);
    }
}

TEST_CASE("a service without spare capacity fails about as many requests as before")
{
    // More than 5 percent of the requests are not served, so the preference is mostly off.
    const Comparison sums = compare({.utilization = 0.6}, {.failureRate = 0.9});
    CHECK(sums.failedRatio() < 1.05);
}

TEST_CASE("upstreams that do not fail get the same requests as without the preference")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const EmulatedLoad load = pattern({});
        const EmulatedReport current = play({.retryableShare = 1.0 / 3}, load, false, seed);
        const EmulatedReport preferred = play({.retryableShare = 1.0 / 3}, load, true, seed);
        for (std::size_t i = 0; i < current.upstreams.size(); ++i)
            CHECK(current.upstreams[i].receivedAt == preferred.upstreams[i].receivedAt);
    }
}
