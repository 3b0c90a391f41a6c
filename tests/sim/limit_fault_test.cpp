/** @file limit_fault_test.cpp Guards against admissions beyond rate * t + burst under faults. */
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
constexpr int firstVms = 7;
const core::ClientAccountId account("bakery");

/** One random schedule of faults; checks the reference bucket after every admission. */
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : random_(seed)
        , drifts_(seed % 2 == 1)
        , dense_(seed % 5 == 0)
        , reference_(fleet_.events.now(), drifts_ ? fastestClock : 1.0)
    {
        limit_ = {.account = account,
                  .ratePerSecond = pick({5.0, 20.0, 40.0}),
                  .burst = pick({3.0, 6.0, 20.0}),
                  .homes = static_cast<int>(seed / 2 % slotsPerPartition) + 1};
        publishConfig();
        fleet_.network = [this](const Vm &from, const Vm &to) { return carry(from, to); };
        fleet_.decided = [this](Vm &, core::MonoTime, Decision decision) { check(decision); };
        for (int i = 0; i < firstVms; ++i)
            addVm();
        placement_ =
            std::make_shared<const Placement>(*nextPlacement(Placement {}, initialHistory()));
        for (const auto &vm : fleet_.vms())
            startProcess(*vm);
    }

    /** Runs the schedule. @return Lowest level of the reference bucket, below 0 if exceeded. */
    double run()
    {
        arrive();
        chaos();
        fleet_.events.runUntil(fleet_.events.now() + runLength);
        return lowest_;
    }
    int admitted() const { return admitted_; }
    /** @return Rounding: 1e-6, and with drifting clocks the microseconds they are rounded to. */
    double slack() const { return 1e-6 + (drifts_ ? 4e-6 * reference_.rate() : 0); }

private:
    static constexpr double fastestClock = 1.00495;
    static constexpr double slowestClock = 0.99505;

    /** The platform's view of a VM and what the daemon around LimitState remembers. */
    struct Extra
    {
        core::EntryVm listed;
        bool ended = false;          ///< Gone for good.
        bool leaving = false;        ///< As the VM list will say.
        std::size_t listVersion = 0; ///< Last version read; never goes back.
        std::size_t configIndex = 0;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    std::size_t below(std::size_t n) { return random_() % n; }
    bool chance(double probability) { return uniform() < probability; }
    double pick(std::initializer_list<double> values)
    {
        return values.begin()[below(values.size())];
    }
    core::Micros upTo(core::Micros longest)
    {
        return core::Micros(static_cast<std::int64_t>(uniform() * double(longest.count())));
    }
    void after(core::Micros delay, standins::Action action)
    {
        fleet_.events.at(fleet_.events.now() + delay, std::move(action));
    }
    Extra &extra(const Vm &vm) { return extra_[vm.id]; }
    Vm &anyVm() { return *fleet_.vms()[below(fleet_.vms().size())]; }

    void check(Decision decision)
    {
        if (decision != Decision::Admitted)
            return;
        ++admitted_;
        lowest_ = std::min(lowest_, reference_.admit(fleet_.events.now()));
    }

    std::optional<core::Micros> carry(const Vm &from, const Vm &to)
    {
        if (cut_.contains({from.id, to.id}) || chance(0.02))
            return std::nullopt;
        const core::Micros usual = core::Millis(1) + upTo(core::Millis(30));
        return chance(0.03) ? usual + upTo(core::Seconds(3)) : usual;
    }

    // Traffic: floods and pauses, so that full buckets and empty ones are both reached.
    void arrive()
    {
        const double rate = limit_.ratePerSecond * (flood_ ? 6 : 0.7);
        fleet_.request(anyVm(), account, chance(0.2) ? core::Micros(0) : core::Millis(400));
        if (chance(flood_ ? 0.004 : 0.05))
            flood_ = !flood_;
        const std::chrono::duration<double> gap(-std::log(1 - uniform()) / rate);
        after(std::chrono::duration_cast<core::Micros>(gap), [this] { arrive(); });
    }

    // The platform.
    void addVm()
    {
        const std::size_t n = fleet_.vms().size();
        Vm &vm = fleet_.add(core::VmId("vm" + std::to_string(n)));
        if (drifts_)
            vm.clockSpeed = slowestClock + uniform() * (fastestClock - slowestClock);
        vm.clockOffset = upTo(core::Seconds(100));
        const std::string zone = std::to_string(n % 6);
        const std::string region = std::to_string(n % 3);
        extra(vm).listed = {.id = vm.id,
                            .location = {core::AvailabilityZoneId(zone), core::RegionId(region)}};
        publishList();
    }
    void publishList()
    {
        core::VmList list;
        for (const auto &vm : fleet_.vms()) {
            if (!extra(*vm).ended)
                list.entryVms.push_back(extra(*vm).listed);
        }
        lists_.push_back(std::move(list));
    }
    VmHistory initialHistory() const
    {
        VmHistory history;
        history.onVmList(core::MonoTime(), lists_.back());
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
        fleet_.start(vm, std::make_unique<LimitState>(vm.id, core::Incarnation(++incarnation_)));
        extra(vm).configIndex = 0;
        tick(vm, incarnation_);
    }

    // The daemon around LimitState: VM list, store and one peer, a few times a second.
    void tick(Vm &vm, std::uint64_t incarnation)
    {
        if (vm.strategy == nullptr || processes_[vm.id] > incarnation)
            return;
        processes_[vm.id] = incarnation;
        if (!vm.frozen)
            work(vm);
        after(core::Millis(100) + upTo(core::Millis(400)),
              [this, &vm, incarnation] { tick(vm, incarnation); });
    }
    void work(Vm &vm)
    {
        Extra &own = extra(vm);
        const bool platformReachable = !cut_.contains({vm.id, platform_});
        if (platformReachable && chance(0.5))
            own.listVersion += below(lists_.size() - own.listVersion);
        fleet_.onVm(vm, [&](LimitState &state, core::MonoTime now) {
            state.onVmList(now, lists_[own.listVersion]);
        });
        if (platformReachable && storeUp_ && !chance(0.1))
            useStore(vm);
        const Vm &peer = anyVm();
        if (peer.strategy != nullptr && !peer.frozen && carry(peer, vm).has_value())
            learn(vm, extra(peer).configIndex, peer.strategy->placement());
    }
    void learn(Vm &vm, std::size_t configIndex, const std::shared_ptr<const Placement> &placement)
    {
        Extra &own = extra(vm);
        own.configIndex = std::max(own.configIndex, configIndex);
        fleet_.onVm(vm, [&](LimitState &state, core::MonoTime now) {
            if (placement != nullptr)
                state.onPlacement(now, placement);
            state.onConfig(now, configs_[own.configIndex]);
        });
        follow(vm);
    }
    void useStore(Vm &vm)
    {
        const LimitState &state = *vm.strategy;
        const bool leaving = state.vmHistory().known() && !state.actsAsHome();
        const bool expired = vm.localTime(fleet_.events.now()) >= state.loansExpireAt();
        std::optional<Placement> next;
        if (leaving && expired)
            next = handOver(*placement_, state.vmHistory(), vm.id);
        else if (chance(0.05)) // usually another VM writes first
            next = nextPlacement(*placement_, state.vmHistory());
        if (next.has_value())
            placement_ = std::make_shared<const Placement>(std::move(*next));
        // A lost response leaves the writer without the news.
        if (!next.has_value() || chance(0.7))
            learn(vm, configs_.size() - 1, placement_);
    }

    // Tells the reference bucket which shares are in force at the slots that a VM owns.
    void follow(Vm &vm)
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
            followSlot(vm, slot, *state.bucket(account, slot));
        }
    }
    void followSlot(Vm &vm, int slot, const HomeBucket &bucket)
    {
        const core::MonoTime now = fleet_.events.now();
        const auto owner = std::make_pair(vm.id, processes_[vm.id]);
        if (std::exchange(owners_[slot], owner) != owner)
            reference_.holdOld(now, slot, now + core::Micros(restartHold) * 102 / 100);
        const Share share = bucket.share();
        if (shares_[slot] == share)
            return;
        shares_[slot] = share;
        // Tokens promised before a change keep their time, and loans are not called back.
        const bool ahead = bucket.runsAheadTo() > vm.localTime(now);
        const core::MonoTime effective = ahead ? vm.virtualTime(bucket.runsAheadTo()) : now;
        const core::MonoTime expiry = vm.virtualTime(bucket.loansExpireAt());
        fleet_.events.at(effective, [=, this, lent = bucket.outstanding()] {
            reference_.setShare(fleet_.events.now(), slot, share, lent, expiry);
        });
    }

    // Faults.
    void chaos()
    {
        // Dense faults reach odd states; between sparse ones the fleet uses its whole rate.
        after(upTo(dense_ ? core::Millis(900) : core::Millis(3500)), [this] {
            fault(below(9));
            chaos();
        });
    }
    void fault(std::size_t kind)
    {
        Vm &vm = anyVm();
        if (kind == 0)
            cutOff(vm);
        else if (kind == 1)
            cutRegion();
        else if (kind == 2 && vm.strategy != nullptr && !vm.frozen)
            freeze(vm);
        else if (kind == 3 && !extra(vm).ended)
            startProcess(vm);
        else if (kind == 4 && fleet_.vms().size() < 14)
            startProcess((addVm(), *fleet_.vms().back()));
        else if (kind == 5 && chance(0.5))
            loseVm(vm);
        else if (kind == 6 && chance(0.5))
            leave(vm);
        else if (kind == 7)
            storeUp_ = chance(0.6);
        else if (kind == 8)
            changeLimit();
    }
    void cutOff(const Vm &vm)
    {
        const bool bothWays = chance(0.5);
        cut_.insert({vm.id, platform_});
        for (const auto &other : fleet_.vms()) {
            cut_.insert({vm.id, other->id});
            if (bothWays)
                cut_.insert({other->id, vm.id});
        }
        after(upTo(core::Seconds(6)), [this] { cut_.clear(); });
    }
    void cutRegion()
    {
        const bool bothWays = chance(0.5);
        for (const auto &from : fleet_.vms()) {
            if (extra(*from).listed.location.region.str() == "0")
                cut_.insert({from->id, platform_});
            for (const auto &to : fleet_.vms()) {
                const bool inside = extra(*from).listed.location.region.str() == "0";
                const bool toInside = extra(*to).listed.location.region.str() == "0";
                if (inside != toInside && (inside || bothWays))
                    cut_.insert({from->id, to->id});
            }
        }
        after(upTo(core::Seconds(8)), [this] { cut_.clear(); });
    }
    void freeze(Vm &vm)
    {
        vm.frozen = true;
        after(upTo(chance(0.5) ? core::Millis(800) : core::Seconds(8)), [this, &vm] {
            if (vm.frozen)
                fleet_.wake(vm);
        });
    }
    void loseVm(Vm &vm)
    {
        fleet_.stop(vm);
        after(upTo(core::Seconds(3)), [this, &vm] {
            fleet_.stop(vm);
            extra(vm).ended = true;
            publishList();
        });
    }
    void leave(Vm &vm)
    {
        extra(vm).listed.state = core::VmState::Leaving;
        publishList();
        if (chance(0.6)) // the others see it leaving before it does
            cutOff(vm);
    }
    void changeLimit()
    {
        limit_.ratePerSecond = pick({5.0, 10.0, 40.0});
        limit_.burst = pick({3.0, 8.0, 30.0});
        publishConfig();
    }

    std::mt19937_64 random_;
    bool drifts_;
    bool dense_;
    Fleet fleet_;
    sim::ReferenceBucket reference_;
    record::Limit limit_;
    std::map<core::VmId, Extra> extra_;
    std::map<core::VmId, std::uint64_t> processes_; ///< Incarnation of the present process.
    std::map<int, std::pair<core::VmId, std::uint64_t>> owners_;
    std::map<int, Share> shares_;
    std::vector<core::VmList> lists_;
    std::vector<std::shared_ptr<const config::ConfigSnapshot>> configs_;
    std::shared_ptr<const Placement> placement_;
    std::set<std::pair<core::VmId, core::VmId>> cut_;
    const core::VmId platform_ {"platform"}; ///< Store and VM list, as an end of a cut.
    bool storeUp_ = true;
    bool flood_ = false;
    std::uint64_t incarnation_ = 0;
    double lowest_ = 0;
    int admitted_ = 0;
};

} // namespace

TEST_CASE("no account gets more than rate * t + burst under any schedule of faults")
{
    const char *only = std::getenv("LIMIT_SEED");
    const std::uint64_t first = only != nullptr ? std::strtoull(only, nullptr, 10) : 1;
    const std::uint64_t last = only != nullptr ? first : 1000;
    long admitted = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        Schedule schedule(seed);
        const double lowest = schedule.run();
        admitted += schedule.admitted();
        INFO("seed ", seed, ", lowest level of the reference bucket ", lowest);
        CHECK(lowest >= -schedule.slack());
    }
    MESSAGE("admissions checked: " << admitted);
    CHECK(admitted > 0);
}
