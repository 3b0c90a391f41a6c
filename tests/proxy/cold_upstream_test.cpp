/** @file cold_upstream_test.cpp Several VMs keep to the cold-start limits of upstreams together. */
#include "fleet/entry_vm_selector_base.h"
#include "fleet/peer_messenger_base.h"
#include "placement/upstream_table_base.h"
#include "standins/event_queue.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>

using namespace teaselreach;
using namespace teaselreach::proxy;
using standins::EventQueue;

namespace {

const core::ServiceId desk("slot-desk");
constexpr int zones = 6;
/** At each VM; more than the other zones have slots for. */
constexpr double requestsPerSecond = 110;
constexpr core::Millis responseTime {180};
/** The zone returns cold then, and becomes cold again later without a restart. */
constexpr core::Seconds returnAt {8};
constexpr core::Seconds riseAt {20};
constexpr core::Seconds warmup {6};
/** Time after the rise for which VMs that do not know of it yet send requests: until the next
 * response, or until the next entry has reached all VMs. */
constexpr core::Millis learnTimeByResponses {500};
constexpr core::Millis learnTimeByEntries {2800};

/** What may go wrong in a run. */
struct ColdLoad
{
    std::uint64_t seed = 1;
    double coldPerSecond = 4;
    bool isConfigured = true;           ///< Whether the VMs know the limit.
    bool isolatesVm = false;            ///< Whether one VM of the zone exchanges no messages.
    bool losesMessages = false;         ///< Whether no VM receives messages.
    bool silencesZone = false;          ///< Whether the VMs of the zone neither send nor report.
    bool saysInResponses = true;        ///< Whether responses state the warm-up.
    core::Micros restartAt {0};         ///< Both VMs of the zone lose their state; never if zero.
    core::Seconds duplicateFrom {1000}; ///< One VM of the zone runs twice for three seconds.
};

/** Three regions of two zones, with VMs in each zone. */
struct Site
{
    explicit Site(int vmsPerZone)
    {
        for (int zone = 0; zone < zones; ++zone) {
            const core::Location place {core::AvailabilityZoneId(std::to_string(zone)),
                                        core::RegionId("r" + std::to_string(zone / 2))};
            regionOfZone[place.availabilityZone] = place.region;
            for (int i = 0; i < vmsPerZone; ++i) {
                const core::VmId id(std::to_string(zone) + "-" + std::to_string(i));
                members.push_back({.id = id, .location = place, .capacity = 0.01});
                entries.memberJoined(members.back());
            }
        }
    }
    /** @return The shares of a VM in the limits of the upstreams of the first zone. */
    UpstreamLimitShare shareOf(const EntryMember &member) const
    {
        return entries.upstreamLimitShares(regionOfZone, member, {}).begin()->second;
    }
    std::map<core::AvailabilityZoneId, core::RegionId> regionOfZone;
    std::vector<EntryMember> members;
    EntryVmSelector entries {{}};
};

/** Twelve VMs, and three upstreams in each zone. Those of the first zone return cold. */
class ColdFleet
{
public:
    explicit ColdFleet(ColdLoad load)
        : load_(load)
        , random_(load.seed)
    {
        for (int i = 0; i < 3 * zones; ++i)
            upstreams_.push_back(
                {.entry = {.id = core::UpstreamId("i-" + std::to_string(i)),
                           .service = desk,
                           .address = "10.0.0.1",
                           .port = static_cast<std::uint16_t>(i + 1),
                           .availabilityZone = core::AvailabilityZoneId(std::to_string(i / 3)),
                           .slots = 4}});
        site_.members.push_back(site_.members.front()); // The duplicate.
        vms_.resize(site_.members.size());
        for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
            start(vm);
            scheduleRequest(vm);
        }
        exchangeMessages();
        renewEntries();
        events_.after(core::Seconds(5), [this] { setListed(false); });
        events_.after(returnAt, [this] { setListed(true); });
        events_.after(riseAt, [this] { becomeCold(); });
        if (load_.restartAt > core::Micros(0))
            events_.after(load_.restartAt, [this] { start(0), start(1); });
    }

    void run() { events_.runUntil(begin_ + core::Seconds(28)); }
    /** @return The largest number of arrivals in one second as a multiple of the rule. */
    double worst() const { return worst_; }
    /** @return Arrivals at the cold upstreams while they returned, as a part of the limit. */
    double usedPart() const
    {
        return arrivals_ / (3 * load_.coldPerSecond * static_cast<double>(warmup.count()));
    }

private:
    struct Vm
    {
        std::shared_ptr<UpstreamTable> table;
        core::MonoTime readsAt {}; ///< Last delivery of an entry.
    };
    struct Upstream
    {
        UpstreamEntry entry;
        bool isListed = true;
        core::MonoTime warmAt {};
        std::deque<core::MonoTime> arrivals;
    };

    core::Micros elapsed() const { return events_.now() - begin_; }
    bool isDuplicate(std::size_t vm) const { return vm + 1 == vms_.size(); }
    bool isIsolated(std::size_t vm) const
    {
        return load_.losesMessages || isDuplicate(vm) || isSilent(vm)
            || (load_.isolatesVm && vm == 0);
    }
    bool isSilent(std::size_t vm) const { return load_.silencesZone && vm < 2; }
    core::Micros delay(int fromMillis, int toMillis)
    {
        return core::Millis(std::uniform_int_distribution<int>(fromMillis, toMillis)(random_));
    }

    /** @return The entry of an upstream as it would be written now. */
    UpstreamEntry entryOf(const Upstream &upstream) const
    {
        UpstreamEntry entry = upstream.entry;
        entry.warmupLeft = std::max(core::Micros(0), upstream.warmAt - events_.now());
        return entry;
    }

    /** Starts a VM, or starts it again without what it knew. */
    void start(std::size_t index)
    {
        const EntryMember &member = site_.members[index];
        UpstreamTable &table = *(
            vms_[index].table = std::make_shared<UpstreamTable>(
                UpstreamTableOptions {.self = member.location, .regionOfZone = site_.regionOfZone},
                load_.seed * 100 + index));
        table.setLimitShares(site_.entries.upstreamLimitShares(site_.regionOfZone, member, {}), {});
        for (const Upstream &upstream : upstreams_) {
            if (upstream.isListed)
                table.update(events_.now(), entryOf(upstream));
        }
        if (load_.isConfigured)
            table.setServices(events_.now(), {{.id = desk, .coldPerSecond = load_.coldPerSecond}});
    }

    /** Delivers an entry to all VMs. They read the store at different times, in its order. */
    void publish(const Upstream &upstream)
    {
        for (Vm &vm : vms_) {
            vm.readsAt = std::max(vm.readsAt, events_.now() + delay(100, 1200));
            events_.at(vm.readsAt,
                       [this, &vm, entry = entryOf(upstream), isListed = upstream.isListed] {
                           if (isListed)
                               vm.table->update(events_.now(), entry);
                           else
                               vm.table->remove(entry.id);
                       });
        }
    }

    void setListed(bool isListed)
    {
        if (isListed)
            becomeCold();
        for (std::size_t i = 0; i < 3; ++i) {
            upstreams_[i].isListed = isListed;
            upstreams_[i].entry.startedAt = elapsed().count();
            publish(upstreams_[i]);
        }
    }

    void becomeCold()
    {
        for (std::size_t i = 0; i < 3; ++i)
            upstreams_[i].warmAt = events_.now() + warmup;
    }

    void renewEntries()
    {
        for (const Upstream &upstream : upstreams_) {
            if (upstream.isListed)
                publish(upstream);
        }
        events_.after(core::Millis(1500), [this] { renewEntries(); });
    }

    void scheduleRequest(std::size_t index)
    {
        const double gap = std::exponential_distribution<double>(requestsPerSecond)(random_);
        events_.after(std::chrono::duration_cast<core::Micros>(std::chrono::duration<double>(gap)),
                      [this, index] {
                          const core::Micros twiceFor = elapsed() - load_.duplicateFrom;
                          if (!isSilent(index)
                              && (!isDuplicate(index)
                                  || (twiceFor >= core::Micros(0) && twiceFor < core::Seconds(3))))
                              send(vms_[index].table);
                          scheduleRequest(index);
                      });
    }

    void send(const std::shared_ptr<UpstreamTable> &table)
    {
        PlacementResult result = table->choose(
            events_.now(),
            {.service = desk, .targetLatency = core::Millis(500), .timeLeft = core::Millis(1500)});
        if (!result.placement)
            return;
        table->attemptStarted(events_.now(), *result.placement);
        Upstream &upstream = upstreams_[result.placement->port - 1U];
        AttemptRecord record {.upstream = result.placement->upstream,
                              .attempt = result.placement->attempt,
                              .startedAt = events_.now(),
                              .endedAt = events_.now() + responseTime};
        events_.after(delay(1, 80), [this, &upstream] { arrive(upstream); });
        events_.at(record.endedAt, [this, table, &upstream, record]() mutable {
            if (load_.saysInResponses)
                record.status.warmupLeft = entryOf(upstream).warmupLeft;
            table->attemptFinished(record);
        });
    }

    /** Checks the rule with one more request at an upstream. */
    void arrive(Upstream &upstream)
    {
        const core::MonoTime now = events_.now();
        const auto learnTime = load_.saysInResponses ? learnTimeByResponses : learnTimeByEntries;
        if (now >= upstream.warmAt || !upstream.isListed
            || (elapsed() > riseAt && elapsed() < riseAt + learnTime))
            return;
        arrivals_ += elapsed() < riseAt ? 1 : 0;
        upstream.arrivals.push_back(now);
        while (now - upstream.arrivals.front() >= core::Seconds(1))
            upstream.arrivals.pop_front();
        worst_ = std::max(worst_,
                          static_cast<double>(upstream.arrivals.size())
                              / (1.5 * load_.coldPerSecond + 8));
    }

    /** Exchanges reports within the regions every 50 ms, as the daemons do. */
    void exchangeMessages()
    {
        for (std::size_t from = 0; from < vms_.size(); ++from) {
            const auto message = decodeMessage(encodeMessage(
                {.limits = vms_[from].table->takeLimitReports(events_.now(), maxLimitReports)}));
            REQUIRE(message);
            for (std::size_t to = 0; to < vms_.size(); ++to) {
                if (from == to || isIsolated(from) || isIsolated(to)
                    || site_.members[from].location.region != site_.members[to].location.region)
                    continue;
                for (const UpstreamLimitReport &report : message->limits)
                    vms_[to].table->limitReported(events_.now(), report);
            }
        }
        events_.after(core::Millis(50), [this] { exchangeMessages(); });
    }

    ColdLoad load_;
    std::mt19937_64 random_;
    EventQueue events_;
    core::MonoTime begin_ = events_.now();
    Site site_ {2};
    std::deque<Vm> vms_;
    std::vector<Upstream> upstreams_;
    double worst_ = 0;
    double arrivals_ = 0;
};

/** Runs a load with several limits and seeds. @return The worst use of a limit; see worst(). */
double worstOf(ColdLoad load, double leastUsed = 0)
{
    double worst = 0;
    double leastPart = 1;
    for (const double limit : {0.5, 4.0, 12.0}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            load.coldPerSecond = limit;
            load.seed = seed;
            ColdFleet fleet(load);
            fleet.run();
            worst = std::max(worst, fleet.worst());
            leastPart = limit < 1 ? leastPart : std::min(leastPart, fleet.usedPart());
            // A limit of three requests in the time of the warm-up leaves parts of requests unused.
            CHECK_MESSAGE((limit < 1 || fleet.usedPart() >= leastUsed), "limit ", limit, ", seed ",
                          seed, ", used ", fleet.usedPart());
        }
    }
    MESSAGE("worst use ", worst, ", least part used ", leastPart);
    return worst;
}

} // namespace

TEST_CASE("a zone that returns cold at full load gets more than its upstreams can take")
{
    CHECK(worstOf({.isConfigured = false}) > 1); // The load would break the rule.
    CHECK(worstOf({}, 0.5) <= 1);
    CHECK(worstOf({.saysInResponses = false}, 0.5) <= 1);
}

TEST_CASE("a VM out of contact uses the cold-start limit once more")
{
    CHECK(worstOf({.isolatesVm = true}, 0.5) <= 1);
    CHECK(worstOf({.losesMessages = true}, 0.5) <= 1);
}

TEST_CASE("a cold upstream gets nothing while the VMs of its zone are silent")
{
    CHECK(worstOf({.silencesZone = true}, 0.05) <= 1);
}

TEST_CASE("VMs that restart use the cold-start limit once more")
{
    CHECK(worstOf({.restartAt = core::Seconds(11)}) <= 1);
    CHECK(worstOf({.losesMessages = true, .restartAt = core::Seconds(23)}) <= 1);
}

TEST_CASE("a VM that briefly runs twice uses the cold-start limit once more")
{
    CHECK(worstOf({.duplicateFrom = core::Seconds(10)}) <= 1);
    CHECK(worstOf({.losesMessages = true, .duplicateFrom = core::Seconds(9)}) <= 1);
}

namespace {

const core::UpstreamId coldOne("i-1");

/** @return Requests that a VM may start at once after a long time without any. */
int savedBy(const UpstreamLimitShare &share, double perSecond)
{
    UpstreamRateLimiter limiter({}, 1);
    const core::MonoTime begin {core::Seconds(100)};
    limiter.setCold(begin, coldOne, {.perSecond = perSecond, .until = begin + core::Seconds(1000)},
                    ColdSource::Entry, share);
    int started = 0;
    while (limiter.mayStart(begin + core::Seconds(900), coldOne, share)) {
        limiter.started(begin + core::Seconds(900), coldOne, share);
        ++started;
    }
    return started;
}

} // namespace

TEST_CASE("VMs that have each saved up requests use them in the same second")
{
    for (const int vmsPerZone : {1, 2, 3, 5, 9}) {
        const Site fleet(vmsPerZone);
        for (const double perSecond : {0.5, 4.0, 40.0}) {
            double sum = 0;
            double largest = 0;
            for (const EntryMember &member : fleet.members) {
                const UpstreamLimitShare share = fleet.shareOf(member);
                const double ofVm = savedBy(share, perSecond) + share.cold * perSecond;
                sum += ofVm;
                largest = std::max(largest, ofVm);
            }
            CHECK(sum >= 1);
            CHECK(sum + largest <= 1.5 * perSecond + 8); // One VM may run twice.
        }
    }
}

TEST_CASE("VMs that lost the store and those that take over their shares exceed the limit")
{
    // All holders of the first zone and of the zone beside it are cut off and keep serving.
    Site fleet(2);
    std::vector<UpstreamLimitShare> shares;
    for (std::size_t i = 0; i < 4; ++i)
        shares.push_back(fleet.shareOf(fleet.members[i]));
    for (std::size_t i = 0; i < 4; ++i)
        fleet.entries.memberLeft(core::MonoTime(core::Seconds(1)), fleet.members[i].id);
    fleet.entries.limitShareOf(core::MonoTime(core::Seconds(60)), fleet.members[4].id);
    for (std::size_t i = 4; i < fleet.members.size(); ++i)
        shares.push_back(fleet.shareOf(fleet.members[i]));
    for (const double perSecond : {0.5, 4.0, 40.0}) {
        double sum = 0;
        for (const UpstreamLimitShare &share : shares)
            sum += savedBy(share, perSecond) + share.cold * perSecond;
        CHECK(sum <= 1.5 * perSecond + 8);
    }
}

TEST_CASE(
    "a zone leaves its cold upstreams to its VMs alone, or departed VMs' shares pass on early")
{
    Site fleet(2);
    const auto sumOf = [&](int fromZone, int toZone) {
        double sum = 0;
        for (int i = 2 * fromZone; i < 2 * toZone; ++i)
            sum += fleet.shareOf(fleet.members[static_cast<std::size_t>(i)]).cold;
        return sum;
    };
    CHECK(sumOf(0, 1) == doctest::Approx(0.8));
    CHECK(sumOf(1, 2) == doctest::Approx(0.2));
    CHECK(sumOf(2, zones) == 0);
    for (int i : {0, 1})
        fleet.entries.memberLeft(core::MonoTime(core::Seconds(1)), fleet.members[i].id);
    CHECK(sumOf(0, zones) == doctest::Approx(0.2)); // They may still be serving.
    fleet.entries.limitShareOf(core::MonoTime(core::Seconds(60)), fleet.members[2].id);
    CHECK(sumOf(1, 2) == doctest::Approx(0.5));
    CHECK(sumOf(2, zones) == 0);
}

TEST_CASE("requests sent before a VM learns of a cold start come on top of the limit")
{
    UpstreamRateLimiter limiter({}, 1);
    const core::MonoTime begin {core::Seconds(100)};
    limiter.setCold(begin, coldOne, {.perSecond = 4}, ColdSource::Configuration, {});
    for (int i = 0; i < 10; ++i)
        limiter.started(begin + core::Millis(100 * i), coldOne, {});
    const core::MonoTime told = begin + core::Seconds(1);
    CHECK(limiter.mayStart(told, coldOne, {}));
    limiter.setCold(told, coldOne, {.perSecond = 4, .until = told + core::Seconds(3)},
                    ColdSource::Response, {});
    CHECK(!limiter.mayStart(told + core::Millis(500), coldOne, {})); // Five in the last second.
    CHECK(limiter.mayStart(told + core::Millis(950), coldOne, {}));
    UpstreamRateLimiter again = limiter;
    again.restarted(coldOne); // The new process may receive what was sent to the old one.
    again.setCold(told, coldOne, {.perSecond = 4, .until = told + core::Seconds(3)},
                  ColdSource::Entry, {});
    CHECK(!again.mayStart(told + core::Millis(500), coldOne, {}));
    const std::vector<UpstreamLimitReport> reports = limiter.takeReports(told, 10);
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().coldLeft == core::Seconds(3));
    CHECK(reports.front().requests == 0); // None since it is cold.
    CHECK(limiter.isCold(told + core::Millis(2999), coldOne));
    CHECK(limiter.mayStart(told + core::Seconds(3), coldOne, {})); // Warm.
}

TEST_CASE("the report of a VM that knows a cold start only ends a limit that the upstream named")
{
    const core::MonoTime named {core::Seconds(100000)};
    UpstreamRateLimiter teller({}, 1);
    const core::MonoTime booted {core::Seconds(5)}; // The clocks of two VMs differ.
    teller.setCold(booted, coldOne, {.perSecond = 4, .until = booted + core::Seconds(9)},
                   ColdSource::Entry, {});
    teller.started(booted, coldOne, {});
    const auto reports = teller.takeReports(booted + core::Millis(50), 10);
    REQUIRE(reports.size() == 1);
    UpstreamRateLimiter limiter({}, 1);
    limiter.responded(named, coldOne, RequestRate {.perSecond = 2}, true, {});
    const PeerMessage message {.sender = core::VmId("vm"), .limits = reports};
    const auto decoded = decodeMessage(encodeMessage(message));
    REQUIRE(decoded);
    limiter.reported(named + core::Seconds(30), decoded->limits.front(), {});
    CHECK(limiter.limitOf(coldOne) == RequestRate {.perSecond = 2});
    limiter.setCold(named, coldOne, {.perSecond = 1, .until = named + core::Seconds(60)},
                    ColdSource::Entry, {});
    CHECK(limiter.limitOf(coldOne) == RequestRate {.perSecond = 1}); // The lower of both.
}

TEST_CASE("an entry ends a cold start that a later response stated, or a rise is overlooked")
{
    UpstreamTable table({}, 1);
    const core::MonoTime begin {core::Seconds(100)};
    UpstreamEntry entry {.id = coldOne, .service = desk, .address = "10.0.0.1", .port = 1};
    const auto coldAt = [&](core::Micros time) { return table.countsOf(begin + time, desk).cold; };
    table.update(begin, entry);
    table.attemptFinished(
        {.upstream = coldOne, .endedAt = begin, .status = {.warmupLeft = core::Seconds(3)}});
    CHECK(coldAt(core::Seconds(0)) == 0); // No limit is configured.
    table.setServices(begin, {{.id = desk, .coldPerSecond = 4}});
    table.update(begin + core::Seconds(1), entry); // Written before the response.
    CHECK(coldAt(core::Seconds(2)) == 1);
    CHECK(coldAt(core::Seconds(3)) == 0);
    entry.warmupLeft = core::Seconds(4);
    table.update(begin + core::Seconds(4), entry);
    CHECK(coldAt(core::Seconds(7)) == 1);
    entry.warmupLeft = core::Micros(0);
    table.update(begin + core::Seconds(5), entry);
    CHECK(coldAt(core::Seconds(5)) == 0);
    table.limitReported(begin + core::Seconds(6),
                        {.upstream = coldOne, .coldLeft = core::Seconds(2)});
    CHECK(coldAt(core::Seconds(7)) == 1);
    table.setServices(begin + core::Seconds(7), {});
    CHECK(coldAt(core::Seconds(7)) == 0);
}
