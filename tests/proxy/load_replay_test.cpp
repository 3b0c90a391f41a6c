/** @file load_replay_test.cpp Simulates load patterns against the dispatchers of a fleet of VMs. */
#include "standins/load_table.h"
#include "standins/plain_choosers.h"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace teaselreach;
using namespace teaselreach::standins;

namespace {

constexpr std::uint64_t seeds = 3;
/** Seeds averaged in a comparison; the value of a single run varies by a few hundredths. */
constexpr std::uint64_t comparedSeeds = 10;

template <typename Chooser>
EmulatedReport replay(const EmulatedLoad &load, std::uint64_t seed,
                      proxy::DispatcherOptions options = {})
{
    return ProxyEmulator<Chooser>(
               load, slotDeskKinds(),
               [](const auto &options, std::uint64_t chooserSeed) {
                   return std::make_unique<Chooser>(options, chooserSeed);
               },
               seed, options)
        .run();
}

EmulatedLoad loadNamed(const std::string &name)
{
    for (EmulatedLoad &load : emulatedLoads()) {
        if (load.name == name)
            return load;
    }
    throw std::invalid_argument("no load pattern is named " + name);
}

/** @return The mean value of UpstreamTable minus that of a baseline chooser. */
template <typename Plain>
double advantage(const std::string &name)
{
    const EmulatedLoad load = loadNamed(name);
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= comparedSeeds; ++seed)
        sum += replay<proxy::UpstreamTable>(load, seed).value() - replay<Plain>(load, seed).value();
    return sum / comparedSeeds;
}

} // namespace

TEST_CASE("under every load retries stay within the budget, and no kind of request starves")
{
    // User requirements: retries of all VMs in any window stay within the budget, and each
    // kind's success rate is at least a quarter of the mean.
    for (const EmulatedLoad &load : emulatedLoads()) {
        CAPTURE(load.name);
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const EmulatedReport report = replay<proxy::UpstreamTable>(load, seed);
            CHECK(report.worstRepeats <= 1);
            CHECK(report.worstKind() >= report.served() / 4);
        }
    }
}

TEST_CASE("failing and slow upstreams cost callers less than with any baseline chooser")
{
    // Guards against failure evidence that is lost, outweighed by past successes or not reported to
    // other VMs.
    for (const char *name : {"half_slow", "fifth_slow_tenfold", "fifth_fail_half",
                             "third_fail_most", "tenth_mute", "all_restart_while_half_slow"}) {
        CAPTURE(name);
        CHECK(advantage<PlainChooser<TwoChoices>>(name) > 0);
        CHECK(advantage<PlainChooser<LeastLoaded>>(name) > 0);
        CHECK(advantage<PlainChooser<RoundRobin>>(name) > 0);
    }
}

TEST_CASE("the queues absorb a short burst")
{
    // Guards against refusing requests that the upstreams can still answer before their deadline.
    CHECK(advantage<PlainChooser<TwoChoices>>("short_burst") > 0);
    CHECK(advantage<PlainChooser<LeastLoaded>>("short_burst") > 0);
    CHECK(advantage<PlainChooser<RoundRobin>>("short_burst") > 0);
    const EmulatedReport report = replay<proxy::UpstreamTable>(loadNamed("short_burst"), 1);
    constexpr double bound = 0.001; // docs/design.md 1.2: wrongful refusals.
    CHECK(report.refused() <= bound * report.asked());
}

TEST_CASE("a zone with half of all callers uses the upstreams of other zones")
{
    // Guards against a distance loss that outweighs the loss from a full queue.
    CHECK(advantage<PlainChooser<TwoChoices>>("one_zone_takes_all") > 0);
    CHECK(replay<proxy::UpstreamTable>(loadNamed("one_zone_takes_all"), 1).refused() == 0);
}

TEST_CASE("high load alone causes no refusals")
{
    // The upstreams are three quarters busy. Guards against overestimated waits and slot shares.
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const EmulatedReport report = replay<proxy::UpstreamTable>(loadNamed("high_load"), seed);
        CHECK(report.refused() == 0);
        CHECK(report.failed() == 0);
    }
}

TEST_CASE("load control loses under no load against the budget, trials and queue without it")
{
    // Guards against changes of budget, trials or queues that lose against those before them.
    const proxy::DispatcherOptions before = proxy::DispatcherOptions::withoutLoadControl();
    constexpr double tolerance = 0.01;      // The mean of ten seeds varies by about half of that.
    constexpr double leastTrialGain = 0.02; // Trials by one VM at a time, with half of them lost.
    for (const EmulatedLoad &load : emulatedLoads()) {
        for (const bool trialsInTurns : {false, true}) {
            CAPTURE(load.name);
            CAPTURE(trialsInTurns);
            double value = 0;
            double repeats = 0;
            double served = 0;
            for (std::uint64_t seed = 1; seed <= comparedSeeds; ++seed) {
                const EmulatedReport now =
                    replay<proxy::UpstreamTable>(load, seed, {.trialsInTurns = trialsInTurns});
                const EmulatedReport then = replay<proxy::UpstreamTable>(load, seed, before);
                value += (now.value() - then.value()) / comparedSeeds;
                repeats += now.repeats - then.repeats;
                served += (EmulatedReport::servedShare(now.kinds.at("booking"))
                           - EmulatedReport::servedShare(then.kinds.at("booking")))
                    / comparedSeeds;
            }
            MESSAGE(load.name << " value " << value << " bookings served " << served << " retries "
                              << repeats / comparedSeeds);
            CHECK(value >= -tolerance);
            CHECK(served >= -tolerance);
            if (trialsInTurns && load.name == "half_gone")
                CHECK(value >= leastTrialGain);
        }
    }
}
