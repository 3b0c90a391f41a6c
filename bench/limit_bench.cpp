/** @file limit_bench.cpp Wrongful refusals and waits of three ways to enforce limits. */
#include "limit/baseline_base.h"
#include "record/record_validate_func.h"
#include "standins/virtual_fleet.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>

using namespace teaselreach;
using namespace teaselreach::limit;

namespace {

constexpr int fleetSize = 40;
constexpr double load = 0.95;
constexpr double maxWrongfulRefusalRate = 0.001; // design 1.2
constexpr core::Micros warmUp = core::Seconds(60);
constexpr core::Micros vmListLag = core::Seconds(5);
const core::ClientAccountId account("large-customer");

/** VMs that receive the requests: a home VM, one in another region, the home and two, or all. */
enum class Callers { OnHome, OnOther, OnThree, Everywhere };
/** Event at the start of the measurement. */
enum class Event { None, Outage, Restart, Failure, RegionCut };

/** Parameters of one row of the table. */
struct Case
{
    double rate = 0;
    double burst = 0;
    Callers callers = Callers::Everywhere;
    Event event = Event::None;
    core::Micros length {};
    int runs = 1;
    core::Micros maxWait = core::Millis(400);
};

/** Counts of the requests that arrived after the warm-up. */
struct Result
{
    long arrivals = 0;
    long refused = 0;
    long centralRefused = 0; ///< By a single token bucket with the same limit, for comparison.
    std::vector<double> waitsMs;

    /** @return Share of arrivals refused beyond the refusals of the central bucket. */
    double wrongfulRefusalRate() const
    {
        return arrivals == 0 ? 0 : std::max(0L, refused - centralRefused) / double(arrivals);
    }
    /** Reorders waitsMs. @return The 99th percentile, 0 without samples. */
    double waitP99()
    {
        if (waitsMs.empty())
            return 0;
        const auto at = waitsMs.begin() + static_cast<std::ptrdiff_t>(waitsMs.size() * 99 / 100);
        std::nth_element(waitsMs.begin(), at, waitsMs.end());
        return *at;
    }
};

core::VmList makeList(int vms)
{
    core::VmList list;
    for (int i = 0; i < vms; ++i) {
        const std::string number = std::to_string(i);
        list.entryVms.push_back({.id = core::VmId("vm" + number),
                                 .location = {core::AvailabilityZoneId(std::to_string(i % 6)),
                                              core::RegionId(std::to_string(i % 3))}});
    }
    return list;
}

/** Simulates one account on a fleet in which all VMs run the same strategy. */
template <LimitStrategy Strategy>
class Simulation
{
    using Fleet = standins::VirtualFleet<Strategy>;
    using Vm = typename Fleet::Vm;

public:
    Simulation(const Case &options, std::uint64_t seed, Result &result)
        : options_(options)
        , random_(seed)
        , result_(result)
        , centralBucket_({.ratePerSecond = options.rate, .burst = options.burst}, core::MonoTime())
        , limit_ {.account = account,
                  .ratePerSecond = options.rate,
                  .burst = options.burst,
                  .homes = record::homeCountForBurst(options.burst)}
        , list_(makeList(fleetSize))
    {
        if (std::is_same_v<Strategy, LeasedOwner>)
            limit_.homes = 1;
        VmHistory history;
        history.onVmList(core::MonoTime(), list_);
        placement_ = std::make_shared<const Placement>(*nextPlacement(Placement {}, history));
        record::RecordSet records;
        records.limits = {limit_};
        config_ = std::make_shared<const config::ConfigSnapshot>(core::Revision(1), records);
        fleet_.network = [this](const Vm &from, const Vm &to) { return networkDelay(from, to); };
        fleet_.decided = [this](Vm &, core::MonoTime arrivedAt, Decision decision) {
            onDecision(arrivedAt, decision);
        };
        for (const core::EntryVm &vm : list_.entryVms)
            startProcess(fleet_.add(vm.id));
        chooseCallers();
    }

    void run()
    {
        begin_ = fleet_.events.now() + warmUp;
        end_ = begin_ + options_.length;
        fleet_.events.at(begin_, [this] { injectEvent(); });
        renewLease();
        scheduleArrival();
        fleet_.events.runUntil(end_ + core::Seconds(1));
    }

private:
    const core::VmId &home() const { return placement_->homesOf(account)[0]; }
    Vm &vmOf(const core::VmId &id)
    {
        return **std::find_if(fleet_.vms().begin(), fleet_.vms().end(),
                              [&](const auto &vm) { return vm->id == id; });
    }
    static int regionOf(const Vm &vm) { return std::stoi(vm.id.str().substr(2)) % 3; }

    /** @return One-way delay, or nothing if the message is lost. */
    std::optional<core::Micros> networkDelay(const Vm &from, const Vm &to) const
    {
        const bool sameRegion = regionOf(from) == regionOf(to);
        if (!sameRegion && cutRegion_ >= 0
            && (regionOf(from) == cutRegion_ || regionOf(to) == cutRegion_))
            return std::nullopt;
        return sameRegion ? core::Millis(1) : core::Millis(20);
    }
    void chooseCallers()
    {
        for (const auto &vm : fleet_.vms()) {
            const PartitionHomes &homes = placement_->homesOf(account);
            const bool isHome = std::find(homes.begin(), homes.end(), vm->id) != homes.end();
            const bool first = vm->id == home();
            const bool other = !isHome && regionOf(*vm) != regionOf(vmOf(home()));
            const std::size_t wanted = options_.callers == Callers::OnThree ? 2 : 1;
            if (options_.callers == Callers::Everywhere
                || (first && options_.callers != Callers::OnOther)
                || (other && options_.callers != Callers::OnHome && otherCallerCount_++ < wanted))
                callers_.push_back(vm.get());
        }
    }
    void startProcess(Vm &vm)
    {
        if constexpr (std::is_same_v<Strategy, FixedSplit>) {
            fleet_.start(vm, std::make_unique<FixedSplit>(limit_, fleetSize));
        } else {
            Strategy &strategy = fleet_.start(
                vm, std::make_unique<Strategy>(vm.id, core::Incarnation(++incarnation_)));
            stateOf(strategy).onVmList(vm.localTime(fleet_.events.now()), list_);
            stateOf(strategy).onConfig(vm.localTime(fleet_.events.now()), config_);
            publishPlacement(vm);
        }
    }
    static LimitState &stateOf(LimitState &state) { return state; }
    static LimitState &stateOf(LeasedOwner &owner) { return owner.state(); }
    void publishPlacement(Vm &vm)
    {
        if constexpr (!std::is_same_v<Strategy, FixedSplit>) {
            fleet_.onVm(vm, [this](Strategy &strategy, core::MonoTime now) {
                stateOf(strategy).onPlacement(now, placement_);
            });
        }
    }

    void scheduleArrival()
    {
        const std::chrono::duration<double> gap(
            std::exponential_distribution<double>(options_.rate * load)(random_));
        const core::MonoTime time =
            fleet_.events.now() + std::chrono::duration_cast<core::Micros>(gap);
        if (time >= end_)
            return;
        fleet_.events.at(time, [this] {
            const core::MonoTime now = fleet_.events.now();
            const bool admitted = centralBucket_.tryTake(now);
            if (now >= begin_) {
                ++result_.arrivals;
                result_.centralRefused += admitted ? 0 : 1;
            }
            // Callers of a VM that is down use another address.
            Vm *vm = callers_[random_() % callers_.size()];
            while (vm->strategy == nullptr)
                vm = fleet_.vms()[random_() % fleet_.vms().size()].get();
            fleet_.request(*vm, account, options_.maxWait);
            scheduleArrival();
        });
    }
    void onDecision(core::MonoTime arrivedAt, Decision decision)
    {
        if (arrivedAt < begin_)
            return;
        const std::chrono::duration<double, std::milli> wait = fleet_.events.now() - arrivedAt;
        if (decision == Decision::Admitted)
            result_.waitsMs.push_back(wait.count());
        else
            ++result_.refused;
    }

    void injectEvent()
    {
        Vm &vm = vmOf(home());
        if (options_.event == Event::Outage)
            storeUp_ = false;
        if (options_.event == Event::RegionCut)
            cutRegion_ = regionOf(vm);
        if (options_.event == Event::Restart) {
            fleet_.stop(vm);
            leaseLost_ = true;
            fleet_.events.at(begin_ + core::Seconds(1), [this, &vm] { startProcess(vm); });
            fleet_.events.at(begin_ + LeasedOwner::leaseLifetime, [this] { leaseLost_ = false; });
        }
        if (options_.event == Event::Failure) {
            fleet_.stop(vm);
            const bool leased = std::is_same_v<Strategy, LeasedOwner>;
            fleet_.events.at(begin_ + (leased ? LeasedOwner::leaseLifetime : vmListLag),
                             [this, removed = vm.id] { removeVmAndMoveHomes(removed); });
        }
    }
    void removeVmAndMoveHomes(const core::VmId &removed)
    {
        VmHistory history;
        history.onVmList(core::MonoTime(), list_);
        std::erase_if(list_.entryVms, [&](const core::EntryVm &vm) { return vm.id == removed; });
        history.onVmList(core::MonoTime(), list_);
        placement_ = std::make_shared<const Placement>(*nextPlacement(*placement_, history));
        for (const auto &vm : fleet_.vms())
            publishPlacement(*vm);
    }
    void renewLease()
    {
        if constexpr (std::is_same_v<Strategy, LeasedOwner>) {
            // The store is in region 0: after a region cut, owners in other regions can't renew.
            Vm &vm = vmOf(home());
            const bool reachable = storeUp_ && (cutRegion_ < 0 || regionOf(vm) == 0);
            if (vm.strategy != nullptr && reachable && !leaseLost_)
                vm.strategy->onLeaseRenewed(vm.localTime(fleet_.events.now()));
            fleet_.events.at(fleet_.events.now() + core::Seconds(1), [this] { renewLease(); });
        }
    }

    Case options_;
    std::mt19937_64 random_;
    Result &result_;
    HomeBucket centralBucket_;
    record::Limit limit_;
    core::VmList list_;
    std::shared_ptr<const Placement> placement_;
    std::shared_ptr<const config::ConfigSnapshot> config_;
    Fleet fleet_;
    std::vector<Vm *> callers_;
    std::size_t otherCallerCount_ = 0;
    core::MonoTime begin_;
    core::MonoTime end_;
    int cutRegion_ = -1;
    bool storeUp_ = true;
    bool leaseLost_ = false;
    std::uint64_t incarnation_ = 0;
};

template <LimitStrategy Strategy>
Result measure(const Case &options)
{
    Result result;
    for (int run = 0; run < options.runs; ++run)
        Simulation<Strategy>(options, static_cast<std::uint64_t>(run) + 1, result).run();
    return result;
}

const char *nameOf(Callers callers)
{
    constexpr const char *names[] = {"1, home", "1, other", "3", "40"};
    return names[static_cast<int>(callers)];
}

const char *nameOf(Event event)
{
    constexpr const char *names[] = {"calm", "store outage", "home restarts", "home dies",
                                     "region cut"};
    return names[static_cast<int>(event)];
}

/**
 * Prints one row.
 * @return Whether the wrongful refusals of LimitState are within the bound, which applies without
 *     an event and during a store outage.
 */
bool printRow(const Case &options)
{
    Result split = measure<FixedSplit>(options);
    Result lease = measure<LeasedOwner>(options);
    Result held = measure<LimitState>(options);
    const double central = held.centralRefused / std::max(1.0, double(held.arrivals));
    const bool bounded = options.event == Event::None || options.event == Event::Outage;
    const bool withinBound = !bounded || held.wrongfulRefusalRate() <= maxWrongfulRefusalRate;
    std::printf("%-13s %4.0f/s %4.0f  %-8s %8.3f%% %9.3f%% %9.3f%% %9.3f%% %8.1f %8.1f%s\n",
                nameOf(options.event), options.rate, options.burst, nameOf(options.callers),
                central * 100, split.wrongfulRefusalRate() * 100, lease.wrongfulRefusalRate() * 100,
                held.wrongfulRefusalRate() * 100, lease.waitP99(), held.waitP99(),
                withinBound ? "" : "  MISSED: over 0.1%");
    std::fflush(stdout);
    return withinBound;
}

bool runEvents(Event event, core::Micros length, int runs, std::span<const Callers> callers)
{
    bool withinBound = true;
    constexpr std::pair<double, double> limits[] = {{100, 100}, {100, 20}, {2, 4}};
    for (const auto &[rate, burst] : limits) {
        for (const Callers where : callers) {
            withinBound &= printRow({.rate = rate,
                                     .burst = burst,
                                     .callers = where,
                                     .event = event,
                                     .length = length,
                                     .runs = runs});
        }
    }
    return withinBound;
}

} // namespace

int main(int argc, char **argv)
{
    const bool quick = argc > 1 && std::string(argv[1]) == "--quick";
    const core::Micros calm = quick ? core::Seconds(300) : core::Seconds(1200);
    const core::Micros outage = quick ? core::Seconds(600) : core::Seconds(7200);
    constexpr Callers all[] = {Callers::OnHome, Callers::OnOther, Callers::OnThree,
                               Callers::Everywhere};
    constexpr Callers some[] = {Callers::OnThree, Callers::Everywhere};
    std::printf("%-13s %6s %4s  %-8s %9s %10s %10s %10s %8s %8s\n", "event", "rate", "burst",
                "callers", "central", "split", "lease", "held", "lease", "held");
    std::printf("%-35s %9s %32s %17s\n", "", "refused", "wrongful refusals", "wait p99 ms");
    bool withinBound = runEvents(Event::None, calm, 1, all);
    withinBound &= runEvents(Event::Outage, outage, 1, some);
    for (const Event event : {Event::Restart, Event::Failure, Event::RegionCut})
        runEvents(event, core::Seconds(30), 10, some);
    return withinBound ? 0 : 1;
}
