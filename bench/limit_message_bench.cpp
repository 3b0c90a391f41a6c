/** @file limit_message_bench.cpp Borrow messages and bytes per VM at several fleet sizes. */
#include "entry/entry_address_func.h"
#include "record/record_validate_func.h"
#include "standins/virtual_fleet.h"

#include <cstdio>
#include <random>

using namespace teaselreach;
using namespace teaselreach::limit;

namespace {

using Fleet = standins::VirtualFleet<LimitState>;

constexpr double requestsPerVm = 200; // 94,000/s over 470 VMs, design 1.3
constexpr double load = 0.95;
constexpr double maxBytesPerSecond = 28'000; // design 1.2, for all control traffic
/** MessagePack bytes of a request and its answer, with one token and one finished loan. */
constexpr std::size_t documentBytes = 229;
/** Assumed size of the HTTP/1.1 headers of a request and its answer on a persistent connection. */
constexpr std::size_t headerBytes = 320;
constexpr std::size_t exchangeBytes = documentBytes + headerBytes;
constexpr core::Micros measuredTime = core::Seconds(10);

core::EntryVm makeVm(int i, int regions)
{
    return {.id = core::VmId("vm" + std::to_string(i)),
            .location = {core::AvailabilityZoneId(std::to_string(i % (regions * 4))),
                         core::RegionId(std::to_string(i % regions))}};
}

/** Simulates a fleet without faults. */
class FleetSimulation
{
public:
    FleetSimulation(int vms, int accounts, double nonHomeShare)
        : nonHomeShare_(nonHomeShare)
    {
        core::VmList list;
        for (int i = 0; i < vms; ++i)
            list.entryVms.push_back(makeVm(i, 2));
        VmHistory history;
        history.onVmList(core::MonoTime(), list);
        placement_ = std::make_shared<const Placement>(*nextPlacement(Placement {}, history));
        fleet_.network = [](const auto &, const auto &) { return core::Millis(1); };
        fleet_.decided = [this](auto &, auto, Decision decision) {
            ++decisions_[decision == Decision::Admitted ? 0 : 1];
        };
        makeAccounts(vms, accounts);
        for (const core::EntryVm &vm : list.entryVms)
            startVm(vm.id, list);
        for (const record::Limit &limit : config_->records().limits)
            addCaller(limit, list);
    }

    /** Simulates measuredTime and prints one row. */
    void runAndPrint(int vms, int accounts)
    {
        for (std::size_t i = 0; i < callers_.size(); ++i)
            scheduleArrival(i);
        fleet_.events.runUntil(fleet_.events.now() + measuredTime);
        const double seconds = std::chrono::duration<double>(measuredTime).count();
        std::uint64_t most = 0;
        std::uint64_t sum = 0;
        for (const auto &vm : fleet_.vms()) {
            most = std::max(most, vm->messages);
            sum += vm->messages;
        }
        const double perMessage = static_cast<double>(exchangeBytes) / 2;
        const double mean = static_cast<double>(sum) / vms / seconds;
        maxBytesSentPerSecond_ = static_cast<double>(most) / seconds * perMessage;
        std::printf("%4d %9d %8.0f%% %12.1f %12.1f %12.0f %12.0f %10.3f%%\n", vms, accounts,
                    nonHomeShare_ * 100, mean, static_cast<double>(most) / seconds,
                    mean * perMessage, maxBytesSentPerSecond_,
                    100.0 * decisions_[1] / std::max(1L, decisions_[0] + decisions_[1]));
        std::fflush(stdout);
    }
    /** @return Bytes per second of the VM that sends most; 0 before runAndPrint(). */
    double maxBytesSentPerSecond() const { return maxBytesSentPerSecond_; }

private:
    /** The callers of one account: their total request rate and the VMs that they use. */
    struct Caller
    {
        core::ClientAccountId account;
        double rate = 0;
        std::vector<Fleet::Vm *> addresses;
    };

    void makeAccounts(int vms, int accounts)
    {
        // Rates are proportional to 1/rank (Zipf), so that a few accounts are large.
        double weights = 0;
        for (int i = 1; i <= accounts; ++i)
            weights += 1.0 / i;
        record::RecordSet records;
        for (int i = 1; i <= accounts; ++i) {
            const double rate = requestsPerVm * vms / weights / i / load;
            const double burst = std::max(4.0, rate);
            records.limits.push_back({.account = core::ClientAccountId("a" + std::to_string(i)),
                                      .ratePerSecond = rate,
                                      .burst = burst,
                                      .homes = record::homeCountForBurst(burst)});
        }
        config_ = std::make_shared<const config::ConfigSnapshot>(core::Revision(1), records);
    }
    void startVm(const core::VmId &id, const core::VmList &list)
    {
        Fleet::Vm &vm = fleet_.add(id);
        byId_[id] = &vm;
        LimitState &state =
            fleet_.start(vm, std::make_unique<LimitState>(id, core::Incarnation(1)));
        const core::MonoTime past = fleet_.events.now() - core::Seconds(100);
        state.onVmList(past, list);
        state.onPlacement(past, placement_);
        state.onConfig(past, config_);
    }
    void addCaller(const record::Limit &limit, const core::VmList &list)
    {
        const PartitionHomes &homes = placement_->homesOf(limit.account);
        const auto chosen = entry::chooseEntryAddresses(
            list.entryVms,
            {.account = limit.account, .homes = {homes.begin(), homes.begin() + limit.homes}});
        Caller caller {.account = limit.account, .rate = limit.ratePerSecond * load};
        for (const core::EntryVm &vm : chosen)
            caller.addresses.push_back(byId_.at(vm.id));
        caller.addresses.resize(std::max<std::size_t>(2, static_cast<std::size_t>(limit.homes)));
        homes_.push_back(limit.homes);
        callers_.push_back(std::move(caller));
    }
    void scheduleArrival(std::size_t index)
    {
        const Caller &caller = callers_[index];
        const std::chrono::duration<double> gap(
            std::exponential_distribution<double>(caller.rate)(random_));
        const auto time = fleet_.events.now() + std::chrono::duration_cast<core::Micros>(gap);
        fleet_.events.at(time, [this, index] {
            const Caller &from = callers_[index];
            const auto homes = static_cast<std::size_t>(homes_[index]);
            const bool other = std::bernoulli_distribution(nonHomeShare_)(random_);
            const std::size_t address = other ? from.addresses.size() - 1 : random_() % homes;
            fleet_.request(*from.addresses[address], from.account, core::Millis(400));
            scheduleArrival(index);
        });
    }

    double nonHomeShare_; ///< Share of requests to the last address of their caller.
    std::mt19937_64 random_ {1};
    Fleet fleet_;
    std::shared_ptr<const Placement> placement_;
    std::shared_ptr<const config::ConfigSnapshot> config_;
    std::map<core::VmId, Fleet::Vm *> byId_;
    std::vector<Caller> callers_;
    std::vector<int> homes_;
    long decisions_[2] = {0, 0};
    double maxBytesSentPerSecond_ = 0;
};

} // namespace

int main()
{
    constexpr std::pair<int, int> sizes[] = {{10, 8}, {40, 8}, {160, 4'000}, {470, 14'000}};
    std::printf("one exchange: %zu bytes with %zu of HTTP headers\n", exchangeBytes, headerBytes);
    std::printf("%4s %9s %9s %12s %12s %12s %12s %11s\n", "VMs", "accounts", "not home",
                "messages/s", "most", "bytes/s", "most", "refused");
    bool withinBound = true;
    for (const double nonHomeShare : {0.0, 0.1, 0.5}) {
        for (const auto &[vms, accounts] : sizes) {
            FleetSimulation run(vms, accounts, nonHomeShare);
            run.runAndPrint(vms, accounts);
            withinBound &= nonHomeShare > 0 || run.maxBytesSentPerSecond() <= maxBytesPerSecond;
        }
    }
    std::puts(withinBound ? "within 28 KB/s with callers on home VMs"
                          : "MISSED: over 28 KB/s with callers on home VMs");
    return withinBound ? 0 : 1;
}
