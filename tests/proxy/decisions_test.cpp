/** @file decisions_test.cpp Tests of routing, rate limits, retries, removals and entry VMs. */
#include "fleet/entry_vm_selector_base.h"
#include "fleet/pool_usage_coverage_base.h"
#include "fleet/removal_hold_base.h"
#include "fleet/use_recorder_base.h"
#include "placement/account_rate_limiter_base.h"
#include "placement/restart_share_func.h"
#include "placement/retry_budget_base.h"
#include "placement/route_table_base.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>

using namespace teaselreach;
using namespace teaselreach::proxy;

namespace {

constexpr core::MonoTime start {core::Seconds(100)};

Route makeRoute(const char *id, const char *prefix)
{
    return {.id = core::RouteId(id),
            .host = "Shop.Example",
            .pathPrefix = prefix,
            .timeout = core::Seconds(1),
            .destinations = {{.service = core::ServiceId("slot")}}};
}

EntryMember makeMember(const std::string &id, const std::string &zone, const std::string &region)
{
    return {.id = core::VmId(id),
            .location = {core::AvailabilityZoneId(zone), core::RegionId(region)},
            .callerAddress = id + ":80",
            .peerAddress = id + ":90"};
}

bool nobodySilent(const core::VmId &)
{
    return false;
}

} // namespace

TEST_CASE("the longest matching prefix wins, and a host's case and port are ignored")
{
    const RouteTable table(
        {.routes = {makeRoute("short", "/a/"), makeRoute("long", "/a/b/"), makeRoute("c", "/c/")}});
    REQUIRE(table.findRoute("shop.example:8080", "/a/b/c?x=/c/") != nullptr);
    CHECK(table.findRoute("shop.example:8080", "/a/b/c?x=/c/")->id == core::RouteId("long"));
    CHECK(table.findRoute("SHOP.EXAMPLE", "/a/bc")->id == core::RouteId("short"));
    CHECK(table.findRoute("shop.example", "/a") == nullptr);
    CHECK(table.findRoute("shop.example", "/d/?/a/") == nullptr);
    CHECK(table.findRoute("other.example", "/a/") == nullptr);
}

TEST_CASE("a traffic split holds in any 200 requests, and VMs start at different destinations")
{
    Route route = makeRoute("r", "/a/");
    route.destinations = {{.service = core::ServiceId("large"), .weight = 90},
                          {.service = core::ServiceId("small"), .weight = 10}};
    SplitSelector selector(7);
    std::vector<bool> small;
    small.reserve(1000);
    for (int i = 0; i < 1000; ++i)
        small.push_back(selector.select(route) == core::ServiceId("small"));
    for (std::size_t at = 0; at + 200 <= small.size(); ++at) {
        const auto count = std::count(small.begin() + static_cast<std::ptrdiff_t>(at),
                                      small.begin() + static_cast<std::ptrdiff_t>(at) + 200, true);
        REQUIRE(std::abs(static_cast<double>(count) / 200 - 0.1) < 0.01);
    }
    // The first five requests of each of forty VMs together keep the split as well.
    int smallOfFirst = 0;
    for (std::uint64_t vm = 0; vm < 40; ++vm) {
        SplitSelector own(vm * 0x9E3779B97F4A7C15ULL);
        for (int i = 0; i < 5; ++i)
            smallOfFirst += own.select(route) == core::ServiceId("small") ? 1 : 0;
    }
    CHECK(std::abs(smallOfFirst / 200.0 - 0.1) < 0.05);
}

namespace {

/** Simulated load of one account on the VMs of three pools whose usage reports are delayed. */
struct PoolLoad
{
    double ratePerSecond = 0; ///< Rate limit; also the burst.
    double factor = 0;        ///< Offered load, as a multiple of the rate.
    std::size_t vmsPerPool = 0;
    core::Millis reportDelay {0};
    double limitShare = 1;          ///< Share of the limit that the VMs hold together.
    std::size_t vmsWithCallers = 0; ///< VMs of each pool that receive requests; 0 for all.
    core::Micros restartAt {0};     ///< When all VMs restart; zero for never.
    core::Micros overloadFrom {0};  ///< Until then the account stays within its rate.
    double factorAfterRestart = 0;  ///< Offered load from then on; 0 for no change.
    /** Time until what a pool writes of unsteady use is in the store; zero if it writes nothing. */
    core::Micros recordDelay {0};
};

/** The records that the pools write, of which the newest is in the store after a delay. */
class UseRecords
{
public:
    UseRecords(std::size_t pools, core::Micros delay)
        : recorders_(pools, UseRecorder(core::Seconds(5)))
        , stored_(pools)
        , delay_(delay)
    { }

    /** @return Whether the pools check the use of accounts now. */
    bool isDue(core::MonoTime now)
    {
        if (delay_ == core::Micros(0) || now < dueAt_)
            return false;
        dueAt_ = now + core::Millis(100);
        return true;
    }
    void update(core::MonoTime now, std::size_t pool, const AccountUseRecord &unsteady)
    {
        if (recorders_[pool].update(now, unsteady) == UseRecorder::Action::Write)
            stored_[pool].emplace_back(now + delay_, recorders_[pool].record());
    }
    /** @return The newest record of a pool that the store has. */
    AccountUseRecord read(core::MonoTime now, std::size_t pool) const
    {
        AccountUseRecord newest;
        for (const auto &[at, record] : stored_[pool])
            newest = at <= now ? record : newest;
        return newest;
    }

private:
    std::vector<UseRecorder> recorders_;
    std::vector<std::vector<std::pair<core::MonoTime, AccountUseRecord>>> stored_;
    core::Micros delay_;
    core::MonoTime dueAt_ {};
};

/** Result of a simulation. */
struct PoolOutcome
{
    std::size_t mostAdmitted = 0; ///< Maximum over all windows of five seconds, by all VMs.
    double refusedShare = 0;
};

/** Simulates a load for a time. */
PoolOutcome simulate(const PoolLoad &load, core::Seconds length)
{
    constexpr std::size_t pools = 3;
    const Account account {.id = core::ClientAccountId("bakery"),
                           .ratePerSecond = load.ratePerSecond,
                           .burst = load.ratePerSecond};
    const std::size_t vms = pools * load.vmsPerPool;
    std::vector<AccountRateLimiter> limiters(
        vms, AccountRateLimiter({.overrunRatio = 0.1, .overrunRequests = 20}));
    for (AccountRateLimiter &limiter : limiters)
        limiter.setShares(load.limitShare / static_cast<double>(vms), load.limitShare / pools);
    struct Report
    {
        core::MonoTime due;
        std::size_t from;
        AccountUsage usage;
    };
    std::deque<Report> reports;
    std::deque<core::MonoTime> admitted;
    std::mt19937_64 random(1);
    /** Fraction of its rate that an account normally uses. */
    constexpr double usualFactor = 0.62;
    UseRecords records(pools, load.recordDelay);
    bool restarted = false;
    PoolOutcome outcome;
    double sent = 0;
    double refused = 0;
    for (core::MonoTime now = start; now < start + length;) {
        double factor = now - start < load.overloadFrom ? usualFactor : load.factor;
        if (restarted && load.factorAfterRestart > 0)
            factor = load.factorAfterRestart;
        std::exponential_distribution<double> gap(load.ratePerSecond * factor);
        now += std::chrono::duration_cast<core::Micros>(std::chrono::duration<double>(gap(random)));
        if (!restarted && load.restartAt > core::Micros(0) && now - start >= load.restartAt) {
            restarted = true;
            reports.clear();
            for (AccountRateLimiter &limiter : limiters) {
                limiter = AccountRateLimiter({.overrunRatio = 0.1, .overrunRequests = 20});
                limiter.processRestarted(now);
                for (std::size_t pool = 0; pool < pools; ++pool)
                    limiter.earlierUseKnown(records.read(now, pool));
                // The restarted VM does not use the pool's share yet.
                limiter.setShares(load.limitShare / static_cast<double>(vms), 0);
            }
        }
        while (!reports.empty() && reports.front().due <= now) {
            const Report report = reports.front();
            reports.pop_front();
            const std::size_t first = report.from / load.vmsPerPool * load.vmsPerPool;
            for (std::size_t vm = first; vm < first + load.vmsPerPool; ++vm) {
                if (vm != report.from)
                    limiters[vm].usageReported(now, report.usage);
            }
        }
        const bool isRecording = records.isDue(now);
        for (std::size_t pool = 0; isRecording && pool < pools; ++pool)
            records.update(now, pool, limiters[pool * load.vmsPerPool].unsteadyUse(now));
        const std::size_t used = load.vmsWithCallers == 0 ? load.vmsPerPool : load.vmsWithCallers;
        const std::size_t vm = random() % pools * load.vmsPerPool + random() % used;
        ++sent;
        if (!limiters[vm].admit(now, account)) {
            ++refused;
            continue;
        }
        for (const AccountUsage &usage : limiters[vm].takeUsage())
            reports.push_back({.due = now + load.reportDelay, .from = vm, .usage = usage});
        admitted.push_back(now);
        while (now - admitted.front() > core::Seconds(5))
            admitted.pop_front();
        outcome.mostAdmitted = std::max(outcome.mostAdmitted, admitted.size());
    }
    outcome.refusedShare = refused / sent;
    return outcome;
}

} // namespace

TEST_CASE("all pools together stay within limit and tolerated overrun in any window")
{
    for (const PoolLoad &load :
         {PoolLoad {
              .ratePerSecond = 47, .factor = 8, .vmsPerPool = 4, .reportDelay = core::Millis(75)},
          // Observed in a simulated day of gpfsc-reach-grown: 1,944 admitted, 1,914 allowed.
          PoolLoad {.ratePerSecond = 287,
                   .factor = 4.7,
                   .vmsPerPool = 6,
                   .reportDelay = core::Millis(300)}}) {
        const double plain = load.ratePerSecond * 6;
        const std::size_t most = simulate(load, core::Seconds(30)).mostAdmitted;
        CHECK(static_cast<double>(most) <= plain * 1.1 + 20);
        // The reserve must not cause refusals within rate and burst.
        CHECK(static_cast<double>(most) >= plain);
    }
}

TEST_CASE("a restart of all VMs does not grant an overloading account its limit again")
{
    // Observed on gpfsc-reach-grown: 1,919 requests admitted in 5 s, 1,914 allowed, after all
    // processes were killed while an account sent many times its rate.
    for (const core::Micros restartAt :
         {core::Micros(core::Millis(5500)), core::Micros(core::Seconds(7)),
          core::Micros(core::Seconds(9))}) {
        const PoolLoad load {.ratePerSecond = 287,
                             .factor = 4.7,
                             .vmsPerPool = 6,
                             .reportDelay = core::Millis(100),
                             .limitShare = 0.92,
                             .restartAt = restartAt,
                             .overloadFrom = core::Seconds(5)};
        const std::size_t most = simulate(load, core::Seconds(15)).mostAdmitted;
        CHECK(static_cast<double>(most) <= load.ratePerSecond * 6 * 1.1 + 20);
    }
}

// Failure guarded against: accounts within their limits are refused for a window after a restart.
TEST_CASE("what an account used evenly before a restart counts against it for a whole window")
{
    AccountUseLevel even;
    for (std::size_t i = 0; i < even.levels.size(); ++i)
        even.levels.at(i) = static_cast<double>(i + 1) / AccountUseLevel::parts;
    const AccountRateLimiterOptions options;
    constexpr double part = 1.0 / AccountUseLevel::parts;
    for (double elapsed = 0; elapsed <= 1; elapsed += 0.05) {
        CAPTURE(elapsed);
        const auto age = std::chrono::duration_cast<core::Micros>(elapsed * options.window);
        const double left = partLeft(options, 0, even, age);
        CHECK(left <= elapsed + 1e-9); // The window holds the limit at most.
        CHECK(left >= elapsed - part - 1e-9);
    }
}

// Failure guarded against: the processes that replace killed ones spend an allowance once more.
TEST_CASE("a restart of all VMs does not grant again what an account used, whatever it sends")
{
    constexpr double rate = 47;
    for (const double factor : {1.1, 1.5, 1.75, 2.2, 3.0, 4.7}) {
        for (const int usedFor : {700, 1700, 2700, 4000}) {
            for (const double after : {factor, 0.62}) {
                CAPTURE(factor);
                CAPTURE(usedFor);
                CAPTURE(after);
                const PoolLoad load {.ratePerSecond = rate,
                                     .factor = factor,
                                     .vmsPerPool = 4,
                                     .reportDelay = core::Millis(100),
                                     .limitShare = 0.92,
                                     .restartAt = core::Seconds(6) + core::Millis(usedFor),
                                     .overloadFrom = core::Seconds(6),
                                     .factorAfterRestart = after,
                                     .recordDelay = core::Millis(100)};
                const std::size_t most = simulate(load, core::Seconds(15)).mostAdmitted;
                CHECK(static_cast<double>(most) <= rate * 6 * 1.1 + 20);
            }
        }
    }
}

TEST_CASE(
    "after a restart of all VMs at most 1% of an account's requests within its rate are refused")
{
    const PoolOutcome outcome = simulate({.ratePerSecond = 287,
                                          .factor = 0.62,
                                          .vmsPerPool = 6,
                                          .reportDelay = core::Millis(100),
                                          .limitShare = 0.92,
                                          .restartAt = core::Seconds(5),
                                          .recordDelay = core::Millis(100)},
                                         core::Seconds(10));
    CHECK(outcome.refusedShare <= 0.01);
}

TEST_CASE("an account within its rate does not count as overloading on the first restarted VM")
{
    // After a restart of all VMs, the first VM of a zone to return received three times its usual
    // load. In incident inc-1923 of gpfsc-reach, it refused 28 of the 80 refused requests.
    const Account account {.id = core::ClientAccountId("a"), .ratePerSecond = 78, .burst = 78};
    AccountRateLimiter limiter({.overrunRatio = 0.1, .overrunRequests = 20});
    limiter.processRestarted(start);
    limiter.setShares(0.077, 0.077);
    constexpr double demand = 3 * 0.62 * 0.077 * 78; // Requests a second.
    int refused = 0;
    for (int i = 1; i <= static_cast<int>(demand); ++i) {
        const auto at =
            std::chrono::duration_cast<core::Micros>(std::chrono::duration<double>(i / demand));
        refused += limiter.admit(start + at, account) ? 0 : 1;
    }
    CHECK(refused == 0);
}

TEST_CASE("spreading an account's requests over VMs causes no refusals within its rate")
{
    // The smallest account of a site: 9 requests per second allowed, 5.6 sent, two VMs in each of
    // six zones, one pool per region. Guards against shares so small that random variation exhausts
    // them, with callers on all VMs, on two VMs of each pool, or on one.
    for (const std::size_t vmsWithCallers : {4UL, 2UL, 1UL}) {
        const PoolOutcome outcome = simulate({.ratePerSecond = 9,
                                              .factor = 0.62,
                                              .vmsPerPool = 4,
                                              .reportDelay = core::Millis(75),
                                              .limitShare = 0.92,
                                              .vmsWithCallers = vmsWithCallers},
                                             core::Seconds(3600));
        constexpr double bound = 0.001; // docs/design.md 1.2: wrongful refusals.
        CHECK(outcome.refusedShare <= bound);
    }
}

TEST_CASE("a restarted process does not grant again what its predecessor admitted")
{
    const Account account {.id = core::ClientAccountId("a"), .ratePerSecond = 20, .burst = 20};
    AccountRateLimiter before({.overrunRatio = 0.1, .overrunRequests = 20});
    before.setShares(1, 1);
    int admitted = 0;
    for (int i = 0; i < 1000; ++i)
        admitted += before.admit(start, account) ? 1 : 0;
    AccountRateLimiter after({.overrunRatio = 0.1, .overrunRequests = 20});
    const core::MonoTime again = start + core::Seconds(2);
    after.processRestarted(again);
    after.setShares(1, 1);
    int more = 0;
    for (int i = 0; i < 1000; ++i)
        more += after.admit(again, account) ? 1 : 0;
    CHECK(more < admitted / 2);
    // The whole share is available again after the first window.
    int whole = 0;
    for (int i = 0; i < 1000; ++i)
        whole += after.admit(again + core::Seconds(11), account) ? 1 : 0;
    CHECK(whole == admitted);
}

TEST_CASE("a VM without usage reports counts its own requests against its own share")
{
    // A VM that was shutting down used the pool's share without the other VMs' reports. The soak
    // test saw 65 requests of an account admitted, 53 allowed.
    const Account account {.id = core::ClientAccountId("a"), .ratePerSecond = 20, .burst = 20};
    AccountRateLimiter limiter({});
    limiter.setShares(0.1, 0.4);
    for (int i = 0; i < 5; ++i)
        REQUIRE(limiter.admit(start, account));
    limiter.usageReported(start, {.account = account.id, .requests = 40});
    CHECK(limiter.effectiveShare() == doctest::Approx(0.4));
    CHECK(limiter.admit(start, account));
    limiter.setShares(0.1, 0.1);
    int more = 0;
    for (int i = 0; i < 100; ++i)
        more += limiter.admit(start, account) ? 1 : 0;
    CHECK(more == 6); // 12 in all: a tenth of 20 * 5 + 20.
}

TEST_CASE("usage of the pool is complete only after a full window of membership")
{
    // A VM that had just become active, and one whose registration had lapsed, used the pool's
    // share without having received the other VMs' usage reports (soak seed 302).
    constexpr core::Seconds window {5};
    PoolUsageCoverage fresh(window, start, true);
    fresh.membershipObserved(start + core::Seconds(1), false); // Not registered yet.
    fresh.membershipObserved(start + core::Seconds(2), true);
    CHECK(fresh.isComplete(start + core::Seconds(2)));
    fresh.membershipObserved(start + core::Seconds(3), false);
    fresh.membershipObserved(start + core::Seconds(4), true);
    CHECK(!fresh.isComplete(start + core::Seconds(4)));
    CHECK(!fresh.isComplete(start + core::Micros(7'999'999)));
    CHECK(fresh.isComplete(start + core::Seconds(8)));
    PoolUsageCoverage idle(window, start, true);
    for (int second = 1; second <= 20; ++second)
        idle.membershipObserved(start + core::Seconds(second), second == 20);
    CHECK(!idle.isComplete(start + core::Seconds(20)));
    CHECK(idle.isComplete(start + core::Seconds(24)));
    PoolUsageCoverage restarted(window, start, false);
    restarted.membershipObserved(start + core::Seconds(1), true);
    CHECK(!restarted.isComplete(start + core::Seconds(4)));
    CHECK(restarted.isComplete(start + core::Seconds(5)));
}

TEST_CASE("the next request is admitted after the announced time and not before")
{
    const Account account {.id = core::ClientAccountId("a"), .ratePerSecond = 2, .burst = 2};
    AccountRateLimiter limiter({});
    limiter.setShares(1, 1);
    for (int i = 0; i < 12; ++i)
        REQUIRE(limiter.admit(start + core::Millis(100 * i), account));
    const core::MonoTime now = start + core::Seconds(2);
    REQUIRE(!limiter.admit(now, account));
    const core::Micros wait = limiter.timeUntilAdmission(now, account);
    CHECK(!limiter.admit(now + wait - core::Millis(1), account));
    CHECK(limiter.admit(now + wait + core::Millis(1), account));
}

TEST_CASE("retries of all VMs stay within the fleet's budget however load is split")
{
    const RetryBudgetOptions options {.ratio = 0.2, .slack = 60};
    for (const std::size_t vms : {1UL, 12UL, 40UL}) {
        std::vector<RetryBudget> budgets(vms, RetryBudget(options));
        std::deque<core::MonoTime> requests;
        std::deque<core::MonoTime> retries;
        std::mt19937_64 random(3);
        for (int i = 0; i < 6000; ++i) {
            const core::MonoTime now = start + core::Millis(10 * i);
            RetryBudget &budget = budgets[random() % vms];
            budget.requestStarted(now);
            requests.push_back(now);
            // Every request fails and asks for a retry.
            if (budget.take(now, 1.0 / static_cast<double>(vms), RetryPurpose::Failure, 0))
                retries.push_back(now);
            while (now - requests.front() > options.window)
                requests.pop_front();
            while (!retries.empty() && now - retries.front() > options.window)
                retries.pop_front();
            REQUIRE(static_cast<double>(retries.size())
                    <= options.ratio * static_cast<double>(requests.size()) + options.slack);
        }
    }
}

TEST_CASE("entries that expire in a store outage are kept until they had time to be renewed")
{
    RemovalHold<core::UpstreamId> hold;
    const core::UpstreamId back("back");
    const core::UpstreamId gone("gone");
    CHECK(!hold.tryHold(start, gone)); // No outage: the removal takes effect at once.
    hold.storeRecovered(start);
    CHECK(hold.tryHold(start + core::Millis(10), back));
    CHECK(hold.tryHold(start + core::Millis(10), gone));
    hold.cancel(back);
    CHECK(hold.takeExpired(start + core::Seconds(2)).empty());
    CHECK(hold.takeExpired(start + core::Millis(2200)) == std::vector {gone});
    CHECK(!hold.tryHold(start + core::Millis(2200), back));
}

TEST_CASE("callers are sent to the active VMs of their zone, or of another zone if it has none")
{
    EntryVmSelector entries({.minActivePerZone = 2});
    for (const char *zone : {"z1", "z2"}) {
        for (int i = 0; i < 8; ++i)
            entries.memberJoined(
                makeMember(std::string(zone) + "-" + std::to_string(i), zone, "west"));
    }
    entries.memberJoined(makeMember("far", "z3", "east"));
    const core::Location caller {core::AvailabilityZoneId("z1"), core::RegionId("west")};
    const auto addresses = entries.addressesFor(caller, nobodySilent);
    REQUIRE(addresses.size() == 2);
    CHECK(addresses.front().starts_with("z1-"));
    for (int i = 0; i < 8; ++i)
        entries.memberLeft(start, core::VmId("z1-" + std::to_string(i)));
    const auto elsewhere = entries.addressesFor(caller, nobodySilent);
    REQUIRE(elsewhere.size() == 2);
    CHECK(elsewhere.front().starts_with("z2-"));
}

TEST_CASE("VMs with the largest capacity are active, and more small ones if those are gone")
{
    EntryVmSelector entries(
        {.minActivePerZone = 2, .minActiveCapacity = 0.4, .minActiveCapacityShare = 0});
    for (int i = 0; i < 10; ++i) {
        EntryMember member = makeMember("vm-" + std::to_string(i), "z1", "west");
        member.capacity = i < 2 ? 0.5 : 0.1;
        entries.memberJoined(member);
    }
    const core::Location caller {core::AvailabilityZoneId("z1"), core::RegionId("west")};
    CHECK(entries.isActive(core::VmId("vm-0")));
    CHECK(entries.isActive(core::VmId("vm-1")));
    CHECK(entries.addressesFor(caller, nobodySilent).size() == 2);
    entries.memberLeft(start, core::VmId("vm-0"));
    entries.memberLeft(start, core::VmId("vm-1"));
    CHECK(entries.addressesFor(caller, nobodySilent).size() == 4);
}

TEST_CASE("callers are not sent to a silent VM unless there is no other")
{
    EntryVmSelector entries({.minActivePerZone = 2});
    entries.memberJoined(makeMember("a", "z1", "west"));
    entries.memberJoined(makeMember("b", "z1", "west"));
    const core::Location caller {core::AvailabilityZoneId("z1"), core::RegionId("west")};
    const auto aSilent = [](const core::VmId &id) { return id == core::VmId("a"); };
    CHECK(entries.addressesFor(caller, aSilent) == std::vector<std::string> {"b:80"});
    const auto allSilent = [](const core::VmId &) { return true; };
    CHECK(entries.addressesFor(caller, allSilent).size() == 2);
}

TEST_CASE("an account whose limit is lowered is refused everything for a window, or overruns")
{
    AccountRateLimiter limiter({});
    limiter.setShares(1, 1);
    const Account before {
        .id = core::ClientAccountId("a"), .ratePerSecond = 121, .burst = 121}; // 726 per window.
    const Account lowered {
        .id = core::ClientAccountId("a"), .ratePerSecond = 38, .burst = 38}; // 228 per window.
    std::vector<core::MonoTime> admitted;
    const auto run = [&](const Account &account, int fromMs, int toMs) {
        for (int at = fromMs; at < toMs; at += 5) { // 200 requests per second.
            const core::MonoTime now = start + core::Millis(at);
            if (limiter.admit(now, account))
                admitted.push_back(now);
            const auto inWindow =
                std::count_if(admitted.begin(), admitted.end(),
                              [&](core::MonoTime time) { return now - time <= core::Seconds(5); });
            CHECK(inWindow <= 726);
        }
    };
    run(before, 0, 6000);
    const std::size_t earlier = admitted.size();
    run(lowered, 6000, 11000);
    // The whole new limit in the first window, and no more.
    CHECK(admitted.size() - earlier == 228);
    const std::size_t settled = admitted.size();
    run(lowered, 11000, 16000);
    CHECK(admitted.size() - settled <= 228);
}

TEST_CASE("one VM of a zone reads the store on behalf of the others")
{
    EntryVmSelector entries({.minActivePerZone = 2});
    for (int i = 0; i < 6; ++i)
        entries.memberJoined(makeMember("vm-" + std::to_string(i), "z1", "west"));
    std::set<core::VmId> relays;
    int withoutRelay = 0;
    for (int i = 0; i < 6; ++i) {
        const auto relay = entries.relayOf(core::VmId("vm-" + std::to_string(i)));
        withoutRelay += relay ? 0 : 1;
        if (relay)
            relays.insert(relay->id);
    }
    CHECK(withoutRelay == 1);
    CHECK(relays.size() == 1);
    CHECK(!entries.relayOf(core::VmId("unknown")));
    // While the store turned away the first relay, all VMs of its zone read the store themselves.
    const core::VmId first = *relays.begin();
    for (int i = 0; i < 6; ++i) {
        const core::VmId id("vm-" + std::to_string(i));
        const std::vector<EntryMember> asked = entries.relaysOf(id);
        CHECK(asked.empty() == (id == first));
        for (const EntryMember &relay : asked) {
            const std::vector<EntryMember> back = entries.relaysOf(relay.id);
            CHECK(std::none_of(back.begin(), back.end(),
                               [&](const EntryMember &other) { return other.id == id; }));
        }
        if (!entries.isActive(id))
            CHECK(asked.size() == 2);
    }
}

TEST_CASE("limit shares never add up to more than one while VMs join and leave")
{
    EntryVmSelector entries({.minActivePerZone = 2});
    std::mt19937_64 random(4);
    std::set<std::string> live;
    std::map<std::string, double> lastShare; // A disconnected VM keeps its last share.
    std::map<std::string, core::MonoTime> leftAt;
    core::MonoTime now = start;
    for (int step = 0; step < 400; ++step) {
        now += core::Millis(300);
        const std::string id = "vm-" + std::to_string(random() % 18);
        const std::string zone = "z" + std::to_string(std::hash<std::string> {}(id) % 6);
        if (live.contains(id) && random() % 2 == 0) {
            entries.memberLeft(now, core::VmId(id));
            live.erase(id);
            leftAt[id] = now;
        } else {
            entries.memberJoined(makeMember(id, zone, "west"));
            live.insert(id);
            leftAt.erase(id);
        }
        double sum = 0;
        for (const std::string &vm : live)
            sum += entries.limitShareOf(now, core::VmId(vm));
        REQUIRE(sum <= 1.0 + 1e-9);
    }
}
