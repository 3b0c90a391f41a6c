/** @file account_pacing_test.cpp Tests of accounts near their limit: pace, priority, restarts. */
#include "standins/paced_fleet.h"

#include <doctest/doctest.h>

#include <map>
#include <numeric>

using namespace teaselreach;
using namespace teaselreach::proxy;
using standins::PacedFleet;

namespace {

/** Share of the limits that the simulated VMs hold; inactive VMs hold the rest. */
constexpr double activeShare = 0.92;
constexpr std::size_t lastSecond = 14;

Account accountOf(double rate)
{
    return {.id = core::ClientAccountId("bakery"), .ratePerSecond = rate, .burst = rate};
}

std::size_t firstOfRegion(std::mt19937_64 &random)
{
    return random() % 3 * PacedFleet::vmsPerRegion;
}

/** Runs a fleet whose account asks for a multiple of its rate. */
PacedFleet overloadedFleet(double rate, double factor, bool isPaced = true)
{
    PacedFleet fleet(accountOf(rate), 1, isPaced);
    fleet.demand = {rate * factor};
    return fleet;
}

double leastRatio(const PacedFleet &fleet, std::size_t from, std::size_t to)
{
    double least = 1e9;
    for (std::size_t second = from; second < to; ++second)
        least = std::min(least, fleet.ratio(second));
    return least;
}

/** @return The least ratio of one central token bucket with the account's rate and burst. */
double centralRatio(double rate, double factor)
{
    std::mt19937_64 random(1);
    double tokens = rate;
    std::vector<int> admitted(lastSecond);
    constexpr int stepsPerSecond = 200;
    for (std::size_t i = 0; i < lastSecond * stepsPerSecond; ++i) {
        tokens = std::min(rate, tokens + rate / stepsPerSecond);
        const int asked = std::poisson_distribution<int>(rate * factor / stepsPerSecond)(random);
        const int granted = std::min(asked, static_cast<int>(tokens));
        tokens -= granted;
        admitted[i / stepsPerSecond] += granted;
    }
    return *std::min_element(admitted.begin() + 1, admitted.end()) / rate;
}

double refusedShare(const PacedFleet &fleet, std::size_t priority)
{
    const auto sum = [&](const std::vector<std::vector<int>> &counts) {
        return std::accumulate(counts.begin(), counts.end(), 0.0,
                               [&](double total, const auto &second) {
                                   return total + (second.empty() ? 0 : second[priority]);
                               });
    };
    return 1 - sum(fleet.admitted) / sum(fleet.offered);
}

} // namespace

TEST_CASE("an account above its rate is admitted at an even rate once its burst is used")
{
    // Observed: 835, 876, 678, 85, 251 requests in successive seconds at a rate of 497.
    for (const double factor : {1.5, 5.0, 20.0}) {
        PacedFleet fleet = overloadedFleet(497, factor);
        fleet.run(core::Seconds(lastSecond));
        CHECK(fleet.ratio(0) >= std::min(1.3, 0.9 * factor)); // The burst is used at once.
        CHECK(leastRatio(fleet, 1, lastSecond) >= 0.5);
        CHECK(fleet.worstOverrun <= 0);
        PacedFleet before = overloadedFleet(497, factor, false);
        before.run(core::Seconds(lastSecond));
        CHECK(leastRatio(before, 1, lastSecond) < 0.2);
        MESSAGE("worst second at demand x", factor, ": ", leastRatio(fleet, 1, lastSecond),
                " of the rate, current limiter ", leastRatio(before, 1, lastSecond),
                ", central limiter ", centralRatio(497, factor));
    }
}

TEST_CASE("one VM of each region that receives all traffic gets what its pool may admit")
{
    PacedFleet fleet = overloadedFleet(497, 5);
    fleet.ingress = firstOfRegion;
    fleet.run(core::Seconds(lastSecond));
    // An equal split without usage reports would leave a quarter of it.
    constexpr double equalSplit = activeShare / PacedFleet::vmsPerRegion;
    MESSAGE("skewed ingress: ", leastRatio(fleet, 1, lastSecond), " of the rate, equal split ",
            equalSplit);
    CHECK(leastRatio(fleet, 1, lastSecond) >= 0.5);
    CHECK(leastRatio(fleet, 6, lastSecond) >= 3 * equalSplit);
    CHECK(fleet.worstOverrun <= 0);
}

TEST_CASE("an account within its rate is refused no more than by the current limiter")
{
    for (const double rate : {47.0, 497.0}) {
        for (const bool isSkewed : {false, true}) {
            PacedFleet fleet = overloadedFleet(rate, 0.62);
            if (isSkewed)
                fleet.ingress = firstOfRegion;
            fleet.run(core::Seconds(120));
            CHECK(refusedShare(fleet, 0) <= 0.001); // docs/design.md 1.2: wrongful refusals.
        }
    }
}

TEST_CASE("the highest priority gets an account's rate, and the others at least their minimum")
{
    // Observed: the route of the highest priority was refused most, 0.63 against 0.55.
    for (const double high : {0.5, 2.5, 10.0}) {
        PacedFleet fleet(accountOf(497), 1);
        fleet.demand = {497 * high, 497 * 2.5};
        fleet.run(core::Seconds(lastSecond));
        double highSum = 0;
        double lowSum = 0;
        for (std::size_t second = 2; second < lastSecond; ++second) {
            highSum += fleet.ratio(second, 0);
            lowSum += fleet.ratio(second, 1);
        }
        constexpr double seconds = lastSecond - 2;
        CHECK(highSum / seconds >= std::min(0.9 * high, 0.6));
        CHECK(lowSum / seconds >= 0.07);
        CHECK(lowSum / seconds <= std::max(0.15, 1.1 - high));
        CHECK(fleet.worstOverrun <= 0);
    }
}

TEST_CASE("two priorities below the limit are both admitted")
{
    PacedFleet fleet(accountOf(497), 1);
    fleet.demand = {497 * 0.3, 497 * 0.3};
    fleet.run(core::Seconds(30));
    CHECK(refusedShare(fleet, 0) <= 0.001);
    CHECK(refusedShare(fleet, 1) <= 0.001);
}

TEST_CASE("after a restart of 60% of the VMs an overloading account keeps half of its rate")
{
    // Observed: 0, 34, 65, 58 requests per second in the four seconds after, at a rate of 497.
    const std::vector<std::size_t> restarted {0, 1, 2, 4, 5, 8, 9};
    for (const core::Micros down :
         {core::Micros(core::Millis(300)), core::Micros(core::Seconds(2))}) {
        for (const double factor : {1.5, 5.0}) {
            PacedFleet fleet = overloadedFleet(497, factor);
            fleet.run(core::Seconds(8));
            for (const std::size_t vm : restarted)
                fleet.kill(vm);
            fleet.run(down);
            for (const std::size_t vm : restarted)
                fleet.start(vm);
            fleet.run(core::Seconds(12) - down);
            const auto back = static_cast<std::size_t>(8 + down / core::Seconds(1) + 1);
            CHECK(leastRatio(fleet, back, 19) >= 0.5 * activeShare);
            CHECK(fleet.worstOverrun <= 0);
        }
    }
}

TEST_CASE("a restart of all VMs exceeds no limit and costs an account within its rate no more")
{
    // While an account within its rate was paced by a part of its limit, 1.3% of its requests were
    // refused instead of 0.5% (47/s).
    const auto run = [](double rate, double factor, bool isPaced) {
        PacedFleet fleet = overloadedFleet(rate, factor, isPaced);
        fleet.run(core::Seconds(7));
        for (std::size_t vm = 0; vm < PacedFleet::vms; ++vm)
            fleet.kill(vm);
        fleet.run(core::Millis(100));
        for (std::size_t vm = 0; vm < PacedFleet::vms; ++vm)
            fleet.start(vm);
        fleet.run(core::Seconds(8));
        return fleet;
    };
    for (const double rate : {9.0, 47.0, 497.0}) {
        CHECK(run(rate, 1.5, true).worstOverrun <= 0);
        CHECK(run(rate, 20, true).worstOverrun <= 0);
    }
    for (const double rate : {47.0, 497.0})
        CHECK(refusedShare(run(rate, 0.62, true), 0)
              <= refusedShare(run(rate, 0.62, false), 0) + 0.005);
}

TEST_CASE("a restarted VM does not grant again what its earlier process admitted")
{
    // All traffic reaches one VM of each region, which restarts just after its burst.
    PacedFleet fleet = overloadedFleet(497, 5);
    fleet.ingress = firstOfRegion;
    fleet.run(core::Millis(900));
    for (const std::size_t vm : {0, 4, 8}) {
        fleet.kill(vm);
        fleet.run(core::Millis(200));
        fleet.start(vm);
    }
    fleet.run(core::Seconds(6));
    CHECK(fleet.worstOverrun <= 0);
}

TEST_CASE("a pool that is cut in two, or a link in one direction, does not lend a share twice")
{
    std::map<bool, double> cut;
    std::map<bool, double> oneWay;
    for (const bool isPaced : {true, false}) {
        PacedFleet fleet = overloadedFleet(497, 5, isPaced);
        fleet.run(core::Seconds(7));
        fleet.isLost = [](std::size_t from, std::size_t to) {
            return (from % 4 < 2) != (to % 4 < 2);
        };
        fleet.run(core::Seconds(7));
        fleet.isLost = [](std::size_t, std::size_t) { return false; };
        fleet.run(core::Seconds(4));
        cut[isPaced] = fleet.worstOverrun;
        // The second VM of each pool does not hear the first, which had all traffic before.
        PacedFleet skewed = overloadedFleet(497, 5, isPaced);
        skewed.isLost = [](std::size_t from, std::size_t to) {
            return from % 4 == 0 && to % 4 == 1;
        };
        skewed.ingress = firstOfRegion;
        skewed.run(core::Seconds(8));
        skewed.ingress = [](std::mt19937_64 &random) { return firstOfRegion(random) + 1; };
        skewed.run(core::Seconds(6));
        oneWay[isPaced] = skewed.worstOverrun;
    }
    MESSAGE("requests beyond the allowed: cut ", cut[true], ", current limiter ", cut[false],
            "; one-way ", oneWay[true], ", current limiter ", oneWay[false]);
    CHECK(cut[true] <= 0);
    CHECK(oneWay[true] <= 0);
    CHECK(cut[false] > 0);
    CHECK(oneWay[false] > 0);
}

TEST_CASE("a refused request is admitted after the time that the refusal states")
{
    core::MonoTime now {core::Seconds(100)};
    const Account account = accountOf(40);
    PacedRateLimiter limiter({.pacing = {.enabled = true}});
    limiter.setShares(now, 1, {});
    while (limiter.admit(now, account, 0) == AdmissionReason::Admitted)
        now += core::Millis(1);
    const core::Micros wait = limiter.timeUntilAdmission(now, account);
    CHECK(wait > core::Micros(0));
    CHECK(wait <= core::Seconds(1));
    CHECK(limiter.admit(now + wait + core::Millis(50), account, 0) == AdmissionReason::Admitted);
}

TEST_CASE("no window exceeds the limit with faults, restarts and changing ingress at random")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        std::mt19937_64 random(seed);
        const double rate = std::vector<double> {9, 47, 100, 497}[random() % 4];
        PacedFleet fleet(accountOf(rate), seed);
        for (int phase = 0; phase < 8; ++phase) {
            const double factor = std::vector<double> {0.6, 1.5, 5, 20}[random() % 4];
            fleet.demand = {rate * factor / 2, rate * factor / 2};
            const std::size_t spread = 1 + random() % PacedFleet::vms;
            const std::size_t first = random() % PacedFleet::vms;
            fleet.ingress = [=](std::mt19937_64 &source) {
                return (first + source() % spread) % PacedFleet::vms;
            };
            const std::uint64_t cut = random() % 3 == 0 ? random() : 0;
            const bool isOneWay = random() % 2 == 0;
            const int loss = random() % 3 == 0 ? 10 : 0; // Percent.
            fleet.isLost = [=, losses = std::mt19937_64(seed)](std::size_t from,
                                                               std::size_t to) mutable {
                const bool a = (cut >> from & 1) != 0;
                const bool b = (cut >> to & 1) != 0;
                return (isOneWay ? a && !b : a != b) || static_cast<int>(losses() % 100) < loss;
            };
            const std::uint64_t killed = random() % 3 == 0 ? random() & random() : 0;
            for (std::size_t vm = 0; vm < PacedFleet::vms; ++vm) {
                if ((killed >> vm & 1) != 0)
                    fleet.kill(vm);
            }
            fleet.run(core::Millis(100 + random() % 1500));
            for (std::size_t vm = 0; vm < PacedFleet::vms; ++vm) {
                if (!fleet.isUp(vm))
                    fleet.start(vm);
            }
            fleet.run(core::Millis(100 + random() % 3000));
        }
        CAPTURE(seed);
        CAPTURE(rate);
        CHECK(fleet.worstOverrun <= 0);
    }
}

TEST_CASE("implausible reports and those of unknown accounts are dropped and counted")
{
    const core::MonoTime now {core::Seconds(100)};
    PacedRateLimiter limiter({.pacing = {.enabled = true}});
    PoolUsageCoverage coverage(core::Seconds(5), now, true);
    PoolReports reports(core::VmId("a"), limiter, coverage);
    const Account account = accountOf(10);
    limiter.configure({&account, 1});
    const PeerMessage message {.sender = core::VmId("b"),
                               .usage = {{.account = account.id, .requests = -1},
                                         {.account = account.id, .requests = 2000000000},
                                         {.account = account.id, .inWindow = -3},
                                         {.account = core::ClientAccountId("other"), .requests = 1},
                                         {.account = account.id, .requests = 1}}};
    reports.receive(now, *decodeMessage(encodeMessage(message)));
    CHECK(reports.rejected() == 4);
    // A VM with a complete record takes no history, a VM without one no implausible history.
    PoolUsageCoverage none(core::Seconds(5), now, false);
    PoolReports restarted(core::VmId("a"), limiter, none);
    PeerMessage history {.sender = core::VmId("b"), .view = PoolView {.digest = 5}};
    history.history = UsageHistory {.accounts = {{.account = account.id, .sender = {-1}}}};
    const std::optional<PeerMessage> decoded = decodeMessage(encodeMessage(history));
    REQUIRE(decoded);
    REQUIRE(decoded->history);
    restarted.receive(now, *decoded);
    CHECK(restarted.rejected() == 1);
    CHECK(encodeMessage(history).size() < 1400);
}

TEST_CASE("a full history and a full list of usage each fit into one datagram")
{
    PeerMessage history {.sender = core::VmId("vm-1234"), .view = PoolView {.digest = 1}};
    history.history.emplace();
    PeerMessage usage {.sender = core::VmId("vm-1234"), .view = PoolView {.digest = 1}};
    for (int i = 0; i < 12; ++i) {
        AccountHistory entry {.account = core::ClientAccountId("account-" + std::to_string(i))};
        entry.sender.fill(300);
        entry.receiver.fill(300);
        history.history->accounts.push_back(entry);
    }
    for (int i = 0; i < 40; ++i)
        usage.usage.push_back({.account = core::ClientAccountId("account-" + std::to_string(i)),
                               .requests = 100,
                               .inWindow = 3000});
    CHECK(encodeMessage(history).size() <= 1400);
    CHECK(encodeMessage(usage).size() <= 1400);
}
