/** @file config_bench.cpp Change propagation, fleet restart and cost by configuration size. */
#include "config/accept_func.h"
#include "config/config_state_base.h"
#include "config/spread_policy_base.h"
#include "member/member_table_base.h"
#include "standins/event_queue.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <functional>
#include <unistd.h>

using namespace teaselreach;
using namespace teaselreach::config;
using standins::EventQueue;

namespace {

constexpr core::MonoTime start {};
constexpr core::Millis storeServiceTime {3}; ///< One call of a healthy store.
constexpr std::size_t changesMeasured = 40;

/**
 * How daemons learn of a change (docs/design.md 4.2): each daemon watches the store, the watchers
 * of each zone pass changes on to the other daemons, or each daemon polls the store.
 */
enum class DistributionMode { WatchEach, Watchers, Polling };

/** Size of a fleet and of its configuration. */
struct Scale
{
    const char *name;
    int vms;
    int regions;
    int zones;
    int accounts;
    int routes;
    core::Millis bound; ///< Maximum time until all daemons have applied a change.
};

constexpr std::array<Scale, 2> scales {
    {{"today", 40, 3, 6, 8, 40, core::Millis(3'000)},
     {"target", 470, 2, 4, 14'000, 1'900, core::Millis(11'000)}}};

record::RecordSet makeRecords(int accounts, int routes)
{
    record::RecordSet records;
    records.services = {{.id = core::ServiceId("s")}};
    for (int i = 0; i < routes; ++i)
        records.routes.push_back({.id = core::RouteId("route-" + std::to_string(i)),
                                  .pathPrefix = "/path/" + std::to_string(i),
                                  .service = core::ServiceId("s")});
    for (int i = 0; i < accounts; ++i) {
        const core::ClientAccountId id("account-" + std::to_string(i));
        record::ClientAccount account {.id = id, .displayName = "Account " + id.str()};
        for (int r = 0; r < std::min(routes, 4); ++r)
            account.routes.push_back(records.routes[static_cast<std::size_t>(r)].id);
        records.accounts.push_back(account);
        records.keys.push_back({.id = core::KeyId("key-" + std::to_string(i)),
                                .account = id,
                                .digest = core::sha256Hex(id.str())});
        records.limits.push_back({.account = id, .ratePerSecond = 5, .burst = 50, .homes = 2});
    }
    return records;
}

/** Head and group values of one revision, as a daemon receives them. */
struct Update
{
    std::string head;
    GroupValues values;
};

Update makeUpdate(std::uint64_t revision, GroupValues values)
{
    Head head {.revision = core::Revision(revision)};
    for (const auto &[name, value] : values)
        head.groups[name] = core::sha256Hex(value);
    for (std::size_t i = 0; i < maxHeadChanges; ++i)
        head.changes.push_back({core::ChangeId(core::randomHex(8)), head.revision});
    return {headToText(head), std::move(values)};
}

std::vector<core::EntryVm> makeVms(const Scale &scale)
{
    std::vector<core::EntryVm> vms;
    for (int i = 0; i < scale.vms; ++i) {
        const int zone = i % scale.zones;
        vms.push_back({.id = core::VmId("vm-" + std::to_string(i)),
                       .location = {core::AvailabilityZoneId("z" + std::to_string(zone)),
                                    core::RegionId("r" + std::to_string(zone % scale.regions))}});
    }
    return vms;
}

/**
 * Simulates the propagation of revision numbers with the real SpreadPolicy. Of the head and the
 * group values, only the sizes are simulated.
 */
class Fleet
{
public:
    Fleet(const Scale &scale, DistributionMode mode, std::size_t headBytes, std::size_t groupBytes)
        : scale_(scale)
        , mode_(mode)
        , headBytes_(headBytes)
        , groupBytes_(groupBytes)
        , vms_(makeVms(scale))
        , appliedRevisions_(vms_.size(), 0)
    {
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            policies_.emplace_back(vms_[i].id, vms_[i].location, SpreadOptions {}, start);
            policies_.back().setVmList(vms_);
            index_[vms_[i].id] = i;
            events_.at(start + randomDelay(1'000), [this, i] { round(i); });
            if (mode_ != DistributionMode::Polling
                && (mode_ == DistributionMode::WatchEach || policies_[i].isWatcher()))
                watchers_.push_back(i);
        }
        for (const std::size_t i : watchers_)
            events_.at(start + randomDelay(2'000), [this, i] { renewWatch(i); });
    }

    /** @return For each change, the delay until all daemons had applied it, in ascending order. */
    std::vector<core::Millis> measure()
    {
        events_.runUntil(start + core::Seconds(60));
        storeCalls_ = storeBytes_ = 0;
        std::vector<core::Millis> delays;
        for (std::size_t i = 0; i < changesMeasured; ++i)
            delays.push_back(propagateChange());
        std::sort(delays.begin(), delays.end());
        return delays;
    }

    double storeCallsPerDaemonSecond() const { return perDaemonSecond(storeCalls_); }
    double storeBytesPerDaemonSecond() const { return perDaemonSecond(storeBytes_); }

private:
    /** @return A random delay from 0 ms to below - 1 ms. */
    core::Millis randomDelay(int below)
    {
        return core::Millis(std::uniform_int_distribution<int>(0, below - 1)(random_));
    }

    double perDaemonSecond(std::uint64_t total) const
    {
        const double seconds = std::chrono::duration<double>(events_.now() - start).count() - 60;
        return static_cast<double>(total) / seconds / static_cast<double>(vms_.size());
    }

    /** @return One-way latency to a region. The store is in region r0. */
    core::Micros latency(std::size_t from, const core::RegionId &to) const
    {
        return vms_[from].location.region == to ? core::Millis(1) : core::Millis(20);
    }
    core::Micros storeCallLatency(std::size_t i) const
    {
        return 2 * latency(i, core::RegionId("r0")) + storeServiceTime;
    }

    /** @return Time until all daemons have applied a new revision, in steps of 5 ms. */
    core::Millis propagateChange()
    {
        events_.runUntil(events_.now() + core::Seconds(30) + randomDelay(1'000));
        const core::MonoTime accepted = events_.now();
        ++acceptedRevision_;
        for (const std::size_t i : watchers_)
            events_.after(latency(i, core::RegionId("r0")), [this, i] { fetchGroupFromStore(i); });
        while (!std::all_of(appliedRevisions_.begin(), appliedRevisions_.end(),
                            [this](std::uint64_t r) { return r == acceptedRevision_; }))
            events_.runUntil(events_.now() + core::Millis(5));
        return std::chrono::duration_cast<core::Millis>(events_.now() - accepted);
    }

    /** Counts the reads of head and changed group; the revision applies when they return. */
    void fetchGroupFromStore(std::size_t i)
    {
        storeCalls_ += 2;
        storeBytes_ += headBytes_ + groupBytes_;
        policies_[i].noteStoreContact(events_.now());
        events_.after(storeCallLatency(i),
                      [this, i, revision = acceptedRevision_] { applyRevision(i, revision); });
    }

    void renewWatch(std::size_t i)
    {
        ++storeCalls_;
        policies_[i].noteStoreContact(events_.now());
        events_.after(core::Seconds(2), [this, i] { renewWatch(i); });
    }

    void applyRevision(std::size_t i, std::uint64_t revision)
    {
        if (revision <= appliedRevisions_[i])
            return;
        appliedRevisions_[i] = revision;
        if (mode_ != DistributionMode::Watchers)
            return;
        for (const core::VmId &peer : policies_[i].pushTargets(random_))
            exchange(i, index_.at(peer));
    }

    /** Sends a message; on its arrival, the side with the lower revision fetches head and group. */
    void exchange(std::size_t from, std::size_t to)
    {
        events_.after(latency(from, vms_[to].location.region), [this, from, to] {
            shareStoreAge(from, to);
            fetchFromPeer(from, to);
            fetchFromPeer(to, from);
        });
    }

    void shareStoreAge(std::size_t from, std::size_t to)
    {
        if (const auto age = policies_[from].storeAge(events_.now()))
            policies_[to].noteStoreContact(events_.now() - *age);
        if (const auto age = policies_[to].storeAge(events_.now()))
            policies_[from].noteStoreContact(events_.now() - *age);
    }

    void fetchFromPeer(std::size_t from, std::size_t to)
    {
        const std::uint64_t revision = appliedRevisions_[from];
        if (revision > appliedRevisions_[to])
            events_.after(4 * latency(to, vms_[from].location.region),
                          [this, to, revision] { applyRevision(to, revision); });
    }

    void round(std::size_t i)
    {
        if (mode_ == DistributionMode::Watchers) {
            for (const core::VmId &peer : policies_[i].exchangeTargets(random_))
                exchange(i, index_.at(peer));
        }
        if (mode_ != DistributionMode::WatchEach && policies_[i].pollDue(events_.now()))
            pollStore(i);
        events_.after(core::Seconds(1), [this, i] { round(i); });
    }

    void pollStore(std::size_t i)
    {
        policies_[i].notePoll(events_.now(), random_);
        ++storeCalls_;
        storeBytes_ += headBytes_;
        if (appliedRevisions_[i] < acceptedRevision_)
            fetchGroupFromStore(i);
        else
            policies_[i].noteStoreContact(events_.now());
    }

    const Scale &scale_;
    DistributionMode mode_;
    std::size_t headBytes_;
    std::size_t groupBytes_;
    std::vector<core::EntryVm> vms_;
    std::vector<SpreadPolicy> policies_;
    std::map<core::VmId, std::size_t> index_;
    std::vector<std::size_t> watchers_;
    std::vector<std::uint64_t> appliedRevisions_;
    std::uint64_t acceptedRevision_ = 0;
    std::uint64_t storeCalls_ = 0;
    std::uint64_t storeBytes_ = 0;
    std::mt19937_64 random_ {11};
    EventQueue events_ {start};
};

/** Prints a line if a bound is missed. @return met. */
bool checkBound(bool met, const char *bound)
{
    if (!met)
        std::printf("MISSED: %s\n", bound);
    return met;
}

bool benchPropagation(const Scale &scale)
{
    const GroupValues values = packGroups(makeRecords(scale.accounts, scale.routes));
    const std::size_t head = makeUpdate(1, values).head.size();
    const std::size_t group = std::prev(values.end(), 2)->second.size();
    std::printf("%s: %d VMs, head %zu B\n", scale.name, scale.vms, head);
    std::printf("  %-11s %10s %10s %18s %18s\n", "way", "median ms", "max ms", "store calls/s/VM",
                "store bytes/s/VM");
    bool met = true;
    for (const auto &[mode, name] : {std::pair(DistributionMode::WatchEach, "watch each"),
                                     {DistributionMode::Watchers, "watchers"},
                                     {DistributionMode::Polling, "polling"}}) {
        Fleet fleet(scale, mode, head, group);
        const auto delays = fleet.measure();
        std::printf("  %-11s %10lld %10lld %18.3f %18.1f\n", name,
                    static_cast<long long>(delays[delays.size() / 2].count()),
                    static_cast<long long>(delays.back().count()),
                    fleet.storeCallsPerDaemonSecond(), fleet.storeBytesPerDaemonSecond());
        if (mode == DistributionMode::Watchers)
            met = checkBound(delays.back() <= scale.bound, "time until in force everywhere");
    }
    return met;
}

/**
 * Simulates a restart of 470 daemons, each at a random time within the given period and without its
 * configuration. A store read takes 200 ms.
 */
bool benchRestart(core::Seconds within)
{
    constexpr core::Millis slowRead {200};
    constexpr int groups = 274;
    constexpr int fetchCalls = 17; ///< The head, then 8 MB in parts of 512 KiB.
    const std::vector<core::EntryVm> vms = makeVms(scales[1]);
    std::mt19937_64 random(5);
    EventQueue events {start};
    std::vector<SpreadPolicy> policies;
    std::map<core::VmId, std::size_t> index;
    std::vector<bool> up(vms.size(), true);
    std::vector<bool> configured(vms.size(), true);
    std::map<std::int64_t, int> readsBySecond;
    std::function<void(std::size_t, int)> readStore = [&](std::size_t i, int left) {
        if (configured[i])
            return;
        ++readsBySecond[std::chrono::duration_cast<core::Seconds>(events.now() - start).count()];
        if (left == 0) {
            configured[i] = true;
            return;
        }
        const core::Millis gap = std::max(slowRead, policies[i].storeReadInterval());
        events.after(gap, [&, i, left] { readStore(i, left - 1); });
    };
    std::function<void(std::size_t)> round = [&](std::size_t i) {
        if (configured[i])
            return;
        for (const core::VmId &peer : policies[i].exchangeTargets(random)) {
            const std::size_t p = index.at(peer);
            if (up[p] && configured[p]) {
                events.after(core::Millis(40) * fetchCalls, [&, i] { configured[i] = true; });
                return;
            }
        }
        events.after(core::Seconds(1), [&, i] { round(i); });
    };
    for (std::size_t i = 0; i < vms.size(); ++i) {
        policies.emplace_back(vms[i].id, vms[i].location, SpreadOptions {}, start);
        policies.back().setVmList(vms);
        index[vms[i].id] = i;
        const core::Millis at(
            std::uniform_int_distribution<std::int64_t>(0, core::Millis(within).count())(random));
        events.at(start + at, [&, i] { up[i] = configured[i] = false; });
        events.at(start + at + core::Millis(500), [&, i] {
            up[i] = true;
            round(i);
            readStore(i, groups);
        });
    }
    events.runUntil(start + within + core::Seconds(1));
    while (!std::all_of(configured.begin(), configured.end(), [](bool c) { return c; }))
        events.runUntil(events.now() + core::Millis(100));
    int peak = 0;
    for (const auto &[second, reads] : readsBySecond)
        peak = std::max(peak, reads);
    std::printf("restart of 470 daemons within %lld s, store read 200 ms: peak %d reads/s, all "
                "have the configuration %.1f s after the last restart\n",
                static_cast<long long>(within.count()), peak,
                std::chrono::duration<double>(events.now() - start - within).count());
    return checkBound(peak <= 2'000, "store reads at most 2000/s");
}

double residentMb()
{
    long pages = 0;
    long resident = 0;
    std::ifstream("/proc/self/statm") >> pages >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double cpuMs(const std::function<void()> &work)
{
    const std::clock_t before = std::clock();
    work();
    return 1e3 * static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
}

/** Prints memory, CPU time and bytes of one change. @return Whether it uses at most 128 MB. */
bool benchSize(int accounts, int routes)
{
    const double before = residentMb();
    record::RecordSet records = makeRecords(accounts, routes);
    GroupValues values = packGroups(records);
    records.limits[0].ratePerSecond = 6;
    const std::string changed = groupNameOf(records.limits[0]);
    Update first = makeUpdate(1, values);
    values[changed] = packGroups(records, {changed})[changed];
    const Update second = makeUpdate(2, values);
    records = {};
    ConfigState state;
    const double cold = cpuMs([&] { state.apply(first.head, first.values); });
    const double warm = cpuMs([&] {
        state.apply(second.head, {{changed, second.values.at(changed)}});
    });
    first.values.clear();
    const double mb = residentMb() - before;
    std::printf("%9d %7d %10.1f %12.1f %14.2f %18zu\n", accounts, routes, mb, cold, warm,
                second.head.size() + second.values.at(changed).size());
    return checkBound(mb <= 128, "memory at most 128 MB");
}

} // namespace

int main()
{
    bool met = true;
    std::printf("accounts  routes  memory MB  CPU ms cold  CPU ms change  bytes of a change\n");
    for (const int divisor : {8, 4, 2, 1})
        met = benchSize(14'000 / divisor, 1'900 / divisor) && met;
    std::printf("memory includes the bench's own copy of the values\n\n");
    for (const Scale &scale : scales)
        met = benchPropagation(scale) && met;
    std::printf("\n");
    met = benchRestart(core::Seconds(60)) && met;
    met = benchRestart(core::Seconds(1)) && met;
    return met ? 0 : 1;
}
