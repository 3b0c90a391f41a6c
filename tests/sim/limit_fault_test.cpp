/** @file limit_fault_test.cpp Tests that faults never cause admissions beyond rate * t + burst. */
#include "core/log_func.h"
#include "limit/limit_state_base.h"
#include "sim/limit_reference.h"
#include "standins/virtual_fleet.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <random>

using namespace teaselreach;
using namespace teaselreach::limit;

namespace {

using Fleet = standins::VirtualFleet<LimitState>;
using Vm = Fleet::Vm;

constexpr core::Micros runLength = core::Seconds(30);
constexpr int initialVmCount = 7;
const core::ClientAccountId account("bakery");

/** Runs a fleet under a random schedule of faults and counts admissions in a reference bucket. */
class FaultSchedule
{
public:
    explicit FaultSchedule(std::uint64_t seed)
        : random_(seed)
        , clocksDrift_(seed % 2 == 1)
        , frequentFaults_(seed % 5 == 0)
        , reference_(fleet_.events.now(), clocksDrift_ ? fastestClock : 1.0)
    {
        limit_ = {.account = account,
                  .ratePerSecond = pick({5.0, 20.0, 40.0}),
                  .burst = pick({3.0, 6.0, 20.0}),
                  .homes = static_cast<int>(seed / 2 % slotsPerPartition) + 1};
        publishConfig();
        fleet_.network = [this](const Vm &from, const Vm &to) { return messageDelay(from, to); };
        fleet_.decided = [this](Vm &, core::MonoTime, Decision decision) {
            recordDecision(decision);
        };
        for (int i = 0; i < initialVmCount; ++i)
            addVm();
        placement_ =
            std::make_shared<const Placement>(*nextPlacement(Placement {}, initialHistory()));
        for (const auto &vm : fleet_.vms())
            startProcess(*vm);
    }

    /** Runs the schedule. @return Lowest level of the reference bucket; negative if exceeded. */
    double run()
    {
        sendRequests();
        scheduleFaults();
        fleet_.events.runUntil(fleet_.events.now() + runLength);
        return lowestLevel_;
    }
    int admitted() const { return admitted_; }
    /**
     * @return Tolerance of the level: 1e-6 for rounding errors, and with drifting clocks the refill
     * of 4 us, because local times are rounded to microseconds.
     */
    double slack() const { return 1e-6 + (clocksDrift_ ? 4e-6 * reference_.rate() : 0); }

private:
    static constexpr double fastestClock = 1.00495;
    static constexpr double slowestClock = 0.99505;

    /** State of a VM in the simulated platform, and of the simulated daemon around LimitState. */
    struct SimulatedVm
    {
        core::EntryVm listed;
        bool removed = false;        ///< Missing from all later VM lists.
        bool leaving = false;        ///< Unused; listed.state holds the state.
        std::size_t listVersion = 0; ///< Last version read; never decreases.
        std::size_t configIndex = 0;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    std::size_t randomBelow(std::size_t n) { return random_() % n; }
    bool chance(double probability) { return uniform() < probability; }
    double pick(std::initializer_list<double> values)
    {
        return values.begin()[randomBelow(values.size())];
    }
    core::Micros randomUpTo(core::Micros longest)
    {
        return core::Micros(static_cast<std::int64_t>(uniform() * double(longest.count())));
    }
    void after(core::Micros delay, standins::Action action)
    {
        fleet_.events.at(fleet_.events.now() + delay, std::move(action));
    }
    SimulatedVm &simulatedVm(const Vm &vm) { return simulatedVms_[vm.id]; }
    Vm &anyVm() { return *fleet_.vms()[randomBelow(fleet_.vms().size())]; }

    void recordDecision(Decision decision)
    {
        if (decision != Decision::Admitted)
            return;
        ++admitted_;
        lowestLevel_ = std::min(lowestLevel_, reference_.admit(fleet_.events.now()));
    }

    /** @return Time that a message takes; nothing if it is lost. */
    std::optional<core::Micros> messageDelay(const Vm &from, const Vm &to)
    {
        if (cutLinks_.contains({from.id, to.id}) || chance(0.02))
            return std::nullopt;
        const core::Micros usual = core::Millis(1) + randomUpTo(core::Millis(30));
        return chance(0.03) ? usual + randomUpTo(core::Seconds(3)) : usual;
    }

    // Requests: alternates between overload and light load, so that buckets run empty and full.
    void sendRequests()
    {
        const double rate = limit_.ratePerSecond * (overload_ ? 6 : 0.7);
        fleet_.request(anyVm(), account, chance(0.2) ? core::Micros(0) : core::Millis(400));
        if (chance(overload_ ? 0.004 : 0.05))
            overload_ = !overload_;
        const std::chrono::duration<double> gap(-std::log(1 - uniform()) / rate);
        after(std::chrono::duration_cast<core::Micros>(gap), [this] { sendRequests(); });
    }

    // Simulated platform: VM list and configuration.
    void addVm()
    {
        const std::size_t n = fleet_.vms().size();
        Vm &vm = fleet_.add(core::VmId("vm" + std::to_string(n)));
        if (clocksDrift_)
            vm.clockSpeed = slowestClock + uniform() * (fastestClock - slowestClock);
        vm.clockOffset = randomUpTo(core::Seconds(100));
        const std::string zone = std::to_string(n % 6);
        const std::string region = std::to_string(n % 3);
        simulatedVm(vm).listed = {
            .id = vm.id, .location = {core::AvailabilityZoneId(zone), core::RegionId(region)}};
        publishVmList();
    }
    void publishVmList()
    {
        core::VmList list;
        for (const auto &vm : fleet_.vms()) {
            if (!simulatedVm(*vm).removed)
                list.entryVms.push_back(simulatedVm(*vm).listed);
        }
        vmLists_.push_back(std::move(list));
    }
    VmHistory initialHistory() const
    {
        VmHistory history;
        history.onVmList(core::MonoTime(), vmLists_.back());
        return history;
    }
    void publishConfig()
    {
        record::RecordSet records;
        records.limits = {limit_};
        configs_.push_back(std::make_shared<const config::ConfigSnapshot>(
            core::Revision(configs_.size() + 1), records));
    }
    void startProcess(Vm &vm)
    {
        fleet_.start(vm,
                     std::make_unique<LimitState>(vm.id, core::Incarnation(++lastIncarnation_)));
        simulatedVm(vm).configIndex = 0;
        runDaemon(vm, lastIncarnation_);
    }

    // Simulated daemon around LimitState: reads VM list, store and one peer every 100 to 500 ms.
    void runDaemon(Vm &vm, std::uint64_t incarnation)
    {
        if (vm.strategy == nullptr || incarnations_[vm.id] > incarnation)
            return;
        incarnations_[vm.id] = incarnation;
        if (!vm.frozen)
            runDaemonCycle(vm);
        after(core::Millis(100) + randomUpTo(core::Millis(400)),
              [this, &vm, incarnation] { runDaemon(vm, incarnation); });
    }
    void runDaemonCycle(Vm &vm)
    {
        SimulatedVm &own = simulatedVm(vm);
        const bool platformReachable = !cutLinks_.contains({vm.id, platform_});
        if (platformReachable && chance(0.5))
            own.listVersion += randomBelow(vmLists_.size() - own.listVersion);
        fleet_.onVm(vm, [&](LimitState &state, core::MonoTime now) {
            state.onVmList(now, vmLists_[own.listVersion]);
        });
        if (platformReachable && storeUp_ && !chance(0.1))
            useStore(vm);
        const Vm &peer = anyVm();
        if (peer.strategy != nullptr && !peer.frozen && messageDelay(peer, vm).has_value())
            applyState(vm, simulatedVm(peer).configIndex, peer.strategy->placement());
    }
    void applyState(Vm &vm, std::size_t configIndex,
                    const std::shared_ptr<const Placement> &placement)
    {
        SimulatedVm &own = simulatedVm(vm);
        own.configIndex = std::max(own.configIndex, configIndex);
        fleet_.onVm(vm, [&](LimitState &state, core::MonoTime now) {
            if (placement != nullptr)
                state.onPlacement(now, placement);
            state.onConfig(now, configs_[own.configIndex]);
        });
        updateReference(vm);
    }
    void useStore(Vm &vm)
    {
        const LimitState &state = *vm.strategy;
        const bool leaving = state.vmHistory().hasVmList() && !state.actsAsHome();
        const bool expired = vm.localTime(fleet_.events.now()) >= state.loansExpireAt();
        std::optional<Placement> next;
        if (leaving && expired)
            next = placementAfterHandOver(*placement_, state.vmHistory(), vm.id);
        else if (chance(0.05)) // Usually another VM writes first.
            next = nextPlacement(*placement_, state.vmHistory());
        if (next.has_value())
            placement_ = std::make_shared<const Placement>(std::move(*next));
        // With a lost response the writer does not learn that its write succeeded.
        if (!next.has_value() || chance(0.7))
            applyState(vm, configs_.size() - 1, placement_);
    }

    // Updates the reference bucket with the shares of the buckets that a VM keeps as home.
    void updateReference(Vm &vm)
    {
        const LimitState &state = *vm.strategy;
        if (state.placement() == nullptr)
            return;
        const PartitionHomes &homes = state.placement()->homesOf(account);
        for (int slot = 0; slot < limit_.homes; ++slot) {
            if (homes[static_cast<std::size_t>(slot)] != vm.id || !state.actsAsHome())
                continue;
            fleet_.onVm(vm, [&](LimitState &own, core::MonoTime now) {
                own.onBorrowRequest(now, {.account = account, .slot = slot});
            });
            updateReferenceSlot(vm, slot, *state.bucket(account, slot));
        }
    }
    void updateReferenceSlot(Vm &vm, int slot, const HomeBucket &bucket)
    {
        const core::MonoTime now = fleet_.events.now();
        const auto owner = std::make_pair(vm.id, incarnations_[vm.id]);
        if (std::exchange(owners_[slot], owner) != owner)
            reference_.keepOldShare(now, slot, now + core::Micros(restartHoldDown) * 102 / 100);
        const Share share = bucket.share();
        if (shares_[slot] == share)
            return;
        shares_[slot] = share;
        // A change applies after the refill that is lent already, and loans are not revoked.
        const bool ahead = bucket.refilledUntil() > vm.localTime(now);
        const core::MonoTime effective = ahead ? vm.virtualTime(bucket.refilledUntil()) : now;
        const core::MonoTime expiry = vm.virtualTime(bucket.loansExpireAt());
        fleet_.events.at(effective, [=, this, lent = bucket.outstanding()] {
            reference_.setShare(fleet_.events.now(), slot, share, lent, expiry);
        });
    }

    // Fault injection.
    void scheduleFaults()
    {
        // Frequent faults reach unusual states; between rare ones the fleet uses its whole rate.
        after(randomUpTo(frequentFaults_ ? core::Millis(900) : core::Millis(3500)), [this] {
            injectFault(randomBelow(9));
            scheduleFaults();
        });
    }
    void injectFault(std::size_t kind)
    {
        Vm &vm = anyVm();
        if (kind == 0)
            cutOff(vm);
        else if (kind == 1)
            cutRegion();
        else if (kind == 2 && vm.strategy != nullptr && !vm.frozen)
            freeze(vm);
        else if (kind == 3 && !simulatedVm(vm).removed)
            startProcess(vm);
        else if (kind == 4 && fleet_.vms().size() < 14)
            startProcess((addVm(), *fleet_.vms().back()));
        else if (kind == 5 && chance(0.5))
            crashVm(vm);
        else if (kind == 6 && chance(0.5))
            startLeaving(vm);
        else if (kind == 7)
            storeUp_ = chance(0.6);
        else if (kind == 8)
            changeLimit();
    }
    void cutOff(const Vm &vm)
    {
        const bool bothWays = chance(0.5);
        cutLinks_.insert({vm.id, platform_});
        for (const auto &other : fleet_.vms()) {
            cutLinks_.insert({vm.id, other->id});
            if (bothWays)
                cutLinks_.insert({other->id, vm.id});
        }
        after(randomUpTo(core::Seconds(6)), [this] { cutLinks_.clear(); });
    }
    void cutRegion()
    {
        const bool bothWays = chance(0.5);
        for (const auto &from : fleet_.vms()) {
            if (simulatedVm(*from).listed.location.region.str() == "0")
                cutLinks_.insert({from->id, platform_});
            for (const auto &to : fleet_.vms()) {
                const bool inside = simulatedVm(*from).listed.location.region.str() == "0";
                const bool toInside = simulatedVm(*to).listed.location.region.str() == "0";
                if (inside != toInside && (inside || bothWays))
                    cutLinks_.insert({from->id, to->id});
            }
        }
        after(randomUpTo(core::Seconds(8)), [this] { cutLinks_.clear(); });
    }
    void freeze(Vm &vm)
    {
        vm.frozen = true;
        after(randomUpTo(chance(0.5) ? core::Millis(800) : core::Seconds(8)), [this, &vm] {
            if (vm.frozen)
                fleet_.wake(vm);
        });
    }
    void crashVm(Vm &vm)
    {
        fleet_.stop(vm);
        after(randomUpTo(core::Seconds(3)), [this, &vm] {
            fleet_.stop(vm);
            simulatedVm(vm).removed = true;
            publishVmList();
        });
    }
    void startLeaving(Vm &vm)
    {
        simulatedVm(vm).listed.state = core::VmState::Leaving;
        publishVmList();
        if (chance(0.6)) // The other VMs see it as leaving before it does itself.
            cutOff(vm);
    }
    void changeLimit()
    {
        limit_.ratePerSecond = pick({5.0, 10.0, 40.0});
        limit_.burst = pick({3.0, 8.0, 30.0});
        publishConfig();
    }

    std::mt19937_64 random_;
    bool clocksDrift_;
    bool frequentFaults_;
    Fleet fleet_;
    sim::ReferenceBucket reference_;
    record::Limit limit_;
    std::map<core::VmId, SimulatedVm> simulatedVms_;
    std::map<core::VmId, std::uint64_t> incarnations_; ///< Of the present process of each VM.
    std::map<int, std::pair<core::VmId, std::uint64_t>> owners_; ///< By slot: VM and incarnation.
    std::map<int, Share> shares_; ///< By slot, as last set in the reference.
    std::vector<core::VmList> vmLists_;
    std::vector<std::shared_ptr<const config::ConfigSnapshot>> configs_;
    std::shared_ptr<const Placement> placement_;
    std::set<std::pair<core::VmId, core::VmId>> cutLinks_;
    const core::VmId platform_ {"platform"}; ///< Endpoint of links to store and VM list.
    bool storeUp_ = true;
    bool overload_ = false;
    std::uint64_t lastIncarnation_ = 0;
    double lowestLevel_ = 0;
    int admitted_ = 0;
};

} // namespace

TEST_CASE("an account is never admitted more than rate * t + burst under random faults")
{
    const char *only = std::getenv("LIMIT_SEED");
    const std::uint64_t first = only != nullptr ? std::strtoull(only, nullptr, 10) : 1;
    const std::uint64_t last = only != nullptr ? first : 1000;
    long admitted = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        FaultSchedule schedule(seed);
        const double lowest = schedule.run();
        admitted += schedule.admitted();
        INFO("seed ", seed, ", lowest level of the reference bucket ", lowest);
        CHECK(lowest >= -schedule.slack());
    }
    MESSAGE("admissions checked: " << admitted);
    CHECK(admitted > 0);
}
