/** @file load_replay_test.cpp Load patterns replayed against the decisions of a fleet of VMs. */
#include "standins/load_table.h"
#include "standins/plain_choosers.h"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace teaselreach;
using namespace teaselreach::standins;

namespace {

constexpr std::uint64_t seeds = 3;
/** Seeds of a comparison: the value of one run varies by a few hundredths. */
constexpr std::uint64_t comparedSeeds = 10;

template <typename Chooser>
EmulatedReport replay(const EmulatedLoad &load, std::uint64_t seed)
{
    return ProxyEmulator<Chooser>(
               load, slotDeskKinds(),
               [](const auto &options, std::uint64_t chooserSeed) {
                   return std::make_unique<Chooser>(options, chooserSeed);
               },
               seed)
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

/** @return The product's mean value less that of a plain chooser. */
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

TEST_CASE("under every load repeats stay in the budget, and no kind of request is starved")
{
    // The rules of the users: repeats of all VMs in any window, and a quarter of the mean at least.
    for (const EmulatedLoad &load : emulatedLoads()) {
        CAPTURE(load.name);
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const EmulatedReport report = replay<proxy::UpstreamTable>(load, seed);
            CHECK(report.worstRepeats <= 1);
            CHECK(report.worstKind() >= report.served() / 4);
        }
    }
}

TEST_CASE("failing and slow upstreams cost callers less than with any plain placement")
{
    // Guards against evidence that is forgotten, outweighed by a good record, or not passed on.
    for (const char *name : {"half_slow", "fifth_slow_tenfold", "fifth_fail_half",
                             "third_fail_most", "tenth_mute", "all_restart_while_half_slow"}) {
        CAPTURE(name);
        CHECK(advantage<PlainChooser<TwoChoices>>(name) > 0);
        CHECK(advantage<PlainChooser<LeastLoaded>>(name) > 0);
        CHECK(advantage<PlainChooser<RoundRobin>>(name) > 0);
    }
}

TEST_CASE("a short burst is carried by the queues")
{
    // Guards against refusals of requests that the upstreams can still serve before their deadline.
    CHECK(advantage<PlainChooser<TwoChoices>>("short_burst") > 0);
    CHECK(advantage<PlainChooser<LeastLoaded>>("short_burst") > 0);
    CHECK(advantage<PlainChooser<RoundRobin>>("short_burst") > 0);
    const EmulatedReport report = replay<proxy::UpstreamTable>(loadNamed("short_burst"), 1);
    constexpr double bound = 0.001; // docs/design.md 1.2: wrongful refusals.
    CHECK(report.refused() <= bound * report.asked());
}

TEST_CASE("a zone that takes half of all callers uses its neighbours' upstreams")
{
    // Guards against a price of distance that outweighs the loss by a full queue.
    CHECK(advantage<PlainChooser<TwoChoices>>("one_zone_takes_all") > 0);
    CHECK(replay<proxy::UpstreamTable>(loadNamed("one_zone_takes_all"), 1).refused() == 0);
}

TEST_CASE("high load alone refuses nobody")
{
    // The upstreams are three quarters busy. Guards against waits and parts of slots that are
    // estimated too high.
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const EmulatedReport report = replay<proxy::UpstreamTable>(loadNamed("high_load"), seed);
        CHECK(report.refused() == 0);
        CHECK(report.failed() == 0);
    }
}
