/** @file upstream_coverage_test.cpp Use of a service's upstreams after many of them failed. */
#include "placement/upstream_table_base.h"
#include "standins/event_queue.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace teaselreach;
using namespace teaselreach::proxy;

namespace {

constexpr int seeds = 1000;
/** Least share of the sound upstreams of a service that get requests in any window of 2 s. */
constexpr double floorShare = 0.7;
constexpr core::Micros floorWindow {core::Seconds(2)};

/** What happens to an upstream until faultEnd. */
enum class Fault : std::uint8_t { None, Errors, Slow };

/** Some VMs of one zone that send requests to the zone's upstreams, most or all of which may not be
 * retried, in virtual time. Each VM sees most of the upstreams, and most reports of the others. */
class CoverageFleet
{
public:
    struct Options
    {
        int vms = 5;
        int upstreams = 20;
        double requestsPerSecond = 50;
        double faultyShare = 0.6;
        Fault fault = Fault::Errors;
        core::Micros faultEnd {core::Seconds(4)};
        double missingFromView = 0.1;
        double lostReports = 0.05;
        double retryableShare = 0; ///< Share of requests that may be retried, until retryableEnd.
        core::Micros retryableEnd {0};
    };

    CoverageFleet(Options options, std::uint64_t seed)
        : options_(options)
        , random_(seed)
    {
        for (int i = 0; i < options_.vms; ++i)
            tables_.emplace_back(UpstreamTableOptions {.self = location()}, seed * 100 + i);
        for (int i = 0; i < options_.vms; ++i) {
            std::vector<core::VmId> peers;
            for (int peer = 0; peer < options_.vms; ++peer) {
                if (peer != i)
                    peers.push_back(vmId(peer));
            }
            tables_[i].setTrialVms(vmId(i), peers);
        }
        for (int i = 0; i < options_.upstreams; ++i) {
            const auto id = core::UpstreamId("u" + std::to_string(i));
            faulty_[id] = chance(options_.faultyShare);
            for (std::size_t vm = 0; vm < tables_.size(); ++vm) {
                // Each upstream is seen by the first VM that could see it, or by none of the test.
                if (vm == i % tables_.size() || !chance(options_.missingFromView))
                    tables_[vm].update(start(), entry(id));
            }
        }
    }

    void run(core::Micros length)
    {
        for (core::MonoTime now = start(); now < start() + length; now += nextGap())
            queue_.at(now, [this] { sendRequest(); });
        queue_.runUntil(start() + length);
    }

    /** @return The smallest share of upstreams with a request in a window between two times. */
    double smallestShare(core::Micros from, core::Micros until) const
    {
        return smallestShareOf(from, until, [](const core::UpstreamId &) { return true; });
    }

    /** @return As smallestShare(), of the upstreams that were faulty and had answered a VM before a
     * time; 1 if there are none. */
    double smallestShareOfRecovered(core::Micros from, core::Micros until) const
    {
        return smallestShareOf(from, until, [&](const core::UpstreamId &id) {
            const auto answered = answeredAt_.find(id);
            return faulty_.at(id) && answered != answeredAt_.end()
                && answered->second < start() + from;
        });
    }

    /** @return Number of requests at faulty upstreams between two times. */
    int atFaulty(core::Micros from, core::Micros until) const
    {
        return static_cast<int>(std::count_if(sent_.begin(), sent_.end(), [&](const auto &sent) {
            return faulty_.at(sent.second) && sent.first >= start() + from
                && sent.first < start() + until;
        }));
    }

private:
    double smallestShareOf(core::Micros from, core::Micros until, const auto &counts) const
    {
        constexpr core::Millis step {100};
        const auto upstreams = std::count_if(
            faulty_.begin(), faulty_.end(), [&](const auto &entry) { return counts(entry.first); });
        double smallest = 1;
        for (core::Micros begin = from; begin + floorWindow <= until; begin += step) {
            std::set<core::UpstreamId> used;
            for (const auto &[at, id] : sent_) {
                if (at >= start() + begin && at < start() + begin + floorWindow && counts(id))
                    used.insert(id);
            }
            if (upstreams > 0)
                smallest = std::min(
                    smallest, static_cast<double>(used.size()) / static_cast<double>(upstreams));
        }
        return smallest;
    }

    static core::MonoTime start() { return core::MonoTime {core::Seconds(100)}; }
    static core::VmId vmId(int number) { return core::VmId("vm" + std::to_string(number)); }
    static core::Location location()
    {
        return {core::AvailabilityZoneId("here"), core::RegionId("west")};
    }
    static UpstreamEntry entry(const core::UpstreamId &id)
    {
        return {.id = id,
                .service = core::ServiceId("slot"),
                .address = "127.0.0.1",
                .port = 1,
                .availabilityZone = core::AvailabilityZoneId("here"),
                .slots = 3};
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    core::Micros nextGap()
    {
        std::exponential_distribution<double> gap(options_.requestsPerSecond);
        return core::Micros(1 + static_cast<std::int64_t>(1e6 * gap(random_)));
    }

    void sendRequest()
    {
        const std::size_t vm =
            std::uniform_int_distribution<std::size_t>(0, tables_.size() - 1)(random_);
        const bool isRetryable =
            queue_.now() < start() + options_.retryableEnd && chance(options_.retryableShare);
        PlacementResult result = tables_[vm].choose(queue_.now(),
                                                    {.service = core::ServiceId("slot"),
                                                     .route = core::RouteId("book"),
                                                     .idempotent = isRetryable,
                                                     .trials = TrialPolicy::EachVm,
                                                     .targetLatency = core::Millis(1200),
                                                     .timeLeft = core::Seconds(8)});
        if (!result.placement)
            return;
        Placement placement = *result.placement;
        tables_[vm].attemptStarted(queue_.now(), placement);
        sent_.emplace_back(queue_.now(), placement.upstream);
        const bool isFaulty =
            faulty_.at(placement.upstream) && queue_.now() < start() + options_.faultEnd;
        const bool fails = isFaulty && options_.fault == Fault::Errors && chance(0.75);
        const bool isSlow = isFaulty && options_.fault == Fault::Slow;
        const core::Millis duration(fails ? 4 : isSlow ? 12 * 230 : 230);
        queue_.after(duration, [this, vm, placement, fails, startedAt = queue_.now()] {
            finish(vm,
                   {.upstream = placement.upstream,
                    .route = core::RouteId("book"),
                    .attempt = placement.attempt,
                    .end = fails ? AttemptEnd::ServerError : AttemptEnd::Answered,
                    .startedAt = startedAt,
                    .endedAt = queue_.now()});
        });
    }

    void finish(std::size_t vm, const AttemptRecord &record)
    {
        if (record.end == AttemptEnd::Answered && queue_.now() >= start() + options_.faultEnd)
            answeredAt_.try_emplace(record.upstream, queue_.now());
        tables_[vm].attemptFinished(record);
        for (const OutcomeReport &report : tables_[vm].takeReports()) {
            for (std::size_t peer = 0; peer < tables_.size(); ++peer) {
                if (peer == vm || chance(options_.lostReports))
                    continue;
                queue_.after(core::Millis(60), [this, peer, report] {
                    tables_[peer].peerOutcomeReported(queue_.now(), report);
                });
            }
        }
    }

    Options options_;
    std::mt19937_64 random_;
    standins::EventQueue queue_ {start()};
    std::vector<UpstreamTable> tables_;
    std::map<core::UpstreamId, bool> faulty_;
    std::map<core::UpstreamId, core::MonoTime> answeredAt_; ///< First success after the fault.
    std::vector<std::pair<core::MonoTime, core::UpstreamId>> sent_;
};

/** Plays all seeds. @param soundAfter Time after the end of its fault at which an upstream counts
 * as sound. @return The seeds with a window in which too few sound upstreams got a request. */
std::vector<int> seedsBelowFloor(const CoverageFleet::Options &options, core::Micros soundAfter)
{
    std::vector<int> below;
    for (int seed = 1; seed <= seeds; ++seed) {
        CoverageFleet fleet(options, static_cast<std::uint64_t>(seed));
        fleet.run(core::Seconds(16));
        if (fleet.smallestShare(options.faultEnd + soundAfter, core::Seconds(16)) < floorShare)
            below.push_back(seed);
    }
    return below;
}

} // namespace

TEST_CASE("upstreams that failed once get no request that may not be retried for ten seconds")
{
    const std::vector<int> below = seedsBelowFloor({}, core::Seconds(2));
    CAPTURE(below.size());
    CAPTURE(below.empty() ? 0 : below.front());
    CHECK(below.empty());
}

TEST_CASE("upstreams that were slow get no request that may not be retried, also after their "
          "recovery")
{
    const std::vector<int> below = seedsBelowFloor({.fault = Fault::Slow}, core::Seconds(6));
    CAPTURE(below.size());
    CAPTURE(below.empty() ? 0 : below.front());
    CHECK(below.empty());
}

TEST_CASE(
    "upstreams that recovered get no request once a service has none left that may be retried")
{
    // Trials by requests that may be retried reached each upstream at most once after its fault.
    const CoverageFleet::Options options {.vms = 2,
                                          .upstreams = 30,
                                          .requestsPerSecond = 150,
                                          .faultyShare = 0.35,
                                          .retryableShare = 0.4,
                                          .retryableEnd = core::Seconds(5)};
    std::vector<int> below;
    for (int seed = 1; seed <= seeds; ++seed) {
        CoverageFleet fleet(options, static_cast<std::uint64_t>(seed));
        fleet.run(core::Seconds(10));
        if (fleet.smallestShareOfRecovered(core::Millis(5500), core::Seconds(10)) < floorShare)
            below.push_back(seed);
    }
    CAPTURE(below.size());
    CAPTURE(below.empty() ? 0 : below.front());
    CHECK(below.empty());
}

TEST_CASE("a few failing upstreams get requests that may not be retried as trials")
{
    // Each trial at a failing upstream is a failure for a caller, so it has to be worth it.
    int trials = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        CoverageFleet fleet({.faultyShare = 0.05, .faultEnd = core::Seconds(30)},
                            static_cast<std::uint64_t>(seed));
        fleet.run(core::Seconds(6));
        trials += fleet.atFaulty(core::Seconds(3), core::Seconds(6));
    }
    // One failing upstream of twenty on average; one request of a hundred in these three seconds.
    CHECK(trials < seeds * 3 * 50 / 100);
}
