/** @file upstream_floor_test.cpp Property test of the floors and of drains. */
#include "upstream/service_state_base.h"

#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <map>
#include <set>

using namespace teaselreach;
using namespace teaselreach::upstream;

namespace {

/** Three VMs, each with its own VM list, that exchange digests with loss, delay and partitions. */
class RandomFleet
{
public:
    explicit RandomFleet(std::uint64_t seed)
        : random_(seed)
        , floor_(0.5 + 0.1 * static_cast<double>(randomBelow(5)))
        , zones_(1 + randomBelow(6))
    {
        const std::size_t upstreams = 1 + randomBelow(24);
        for (std::size_t i = 0; i < 3; ++i)
            list_.entryVms.push_back(
                {.id = core::VmId("v" + std::to_string(i)),
                 .location = {core::AvailabilityZoneId("z" + std::to_string(i)),
                              core::RegionId("r")}});
        for (std::size_t i = 0; i < upstreams; ++i)
            addUpstream();
        for (std::size_t i = 0; i < 3; ++i) {
            vms_.push_back({.state = ServiceState({.service = {.id = service_, .floor = floor_},
                                                   .ownVm = list_.entryVms[i].id,
                                                   .ownLocation = list_.entryVms[i].location})});
            publish(i);
        }
    }

    /** Runs one random event and then checks the floors on every VM. */
    void step()
    {
        now_ += core::Millis(randomBelow(4) == 0 ? randomBelow(2000) : randomBelow(60));
        Vm &vm = vms_[randomBelow(vms_.size())];
        switch (randomBelow(9)) {
        case 0:
            changeList();
            publish(randomBelow(vms_.size()));
            break;
        case 1:
            receiveFailureReports(vm);
            break;
        case 2:
            deliverDigests();
            break;
        case 3:
        case 4:
            sendRequest(vm);
            break;
        case 5:
            partitioned_ = randomBelow(3);
            break;
        default:
            for (Vm &one : vms_)
                one.state.tick(now_);
            collectDigests();
        }
        for (Vm &one : vms_)
            checkFloors(one);
    }

    std::size_t ejections = 0;
    std::size_t refusals = 0;
    std::size_t restorations = 0;

private:
    struct Vm
    {
        ServiceState state;
        core::VmList list;
        std::set<core::UpstreamId> leaving; ///< Known to this VM to be leaving or draining.
    };

    std::size_t randomBelow(std::size_t bound) { return random_() % bound; }

    void addUpstream()
    {
        const std::string number = std::to_string(nextUpstream_++);
        list_.upstreams.push_back(
            {.id = core::UpstreamId("u" + number),
             .service = service_,
             .location = {core::AvailabilityZoneId("z" + std::to_string(randomBelow(zones_))),
                          core::RegionId("r")}});
    }

    void changeList()
    {
        if (randomBelow(3) == 0 || list_.upstreams.empty()) {
            addUpstream();
            return;
        }
        const std::size_t i = randomBelow(list_.upstreams.size());
        if (randomBelow(2) == 0)
            list_.upstreams[i].state = core::VmState::Leaving;
        else
            list_.upstreams.erase(list_.upstreams.begin() + static_cast<std::ptrdiff_t>(i));
    }

    void publish(std::size_t vm)
    {
        std::set<core::UpstreamId> listed;
        for (const core::UpstreamVm &one : list_.upstreams) {
            listed.insert(one.id);
            if (one.state == core::VmState::Leaving)
                vms_[vm].leaving.insert(one.id);
        }
        for (const core::UpstreamVm &one : vms_[vm].list.upstreams) {
            if (!listed.contains(one.id))
                vms_[vm].leaving.insert(one.id);
        }
        vms_[vm].list = list_;
        vms_[vm].state.applyVmList(now_, list_);
    }

    /** Delivers digests of six peers in three zones that report failures of several upstreams. */
    void receiveFailureReports(Vm &vm)
    {
        if (vm.list.upstreams.empty())
            return;
        const std::size_t targets = 1 + randomBelow(4);
        for (std::size_t i = 0; i < targets * 6; ++i)
            receiveFailureReport(
                vm, vm.list.upstreams[(nextTarget_ + i / 6) % vm.list.upstreams.size()], i % 6);
        nextTarget_ += randomBelow(100);
    }

    void receiveFailureReport(Vm &vm, const core::UpstreamVm &target, std::size_t reporter)
    {
        const bool drains = randomBelow(300) == 0;
        if (drains)
            vm.leaving.insert(target.id);
        vm.state.applyDigest(
            now_,
            {.service = service_,
             .upstream = target.id,
             .reporter = core::VmId("far" + std::to_string(reporter)),
             .zone = core::AvailabilityZoneId("z" + std::to_string(reporter % 3)),
             .sequence = ++reportsMade_,
             .counts = {.good = 0.1, .failed = static_cast<double>(randomBelow(10))},
             .drain = drains ? DrainState::Draining : DrainState::None});
    }

    void sendRequest(Vm &vm)
    {
        const auto choice = vm.state.choose(now_, {.idempotent = randomBelow(2) == 0}, random_);
        if (!choice)
            return;
        CHECK_FALSE(vm.leaving.contains(choice->upstream));
        const AttemptId attemptId = vm.state.startAttempt(now_, *choice);
        const bool drains = randomBelow(100) == 0;
        if (drains)
            vm.leaving.insert(choice->upstream);
        vm.state.finishAttempt(now_ + core::Millis(randomBelow(300)), attemptId,
                               {.outcome = static_cast<Outcome>(randomBelow(8)),
                                .hasLoad = drains,
                                .load = {.draining = drains}});
    }

    void collectDigests()
    {
        for (std::size_t from = 0; from < vms_.size(); ++from) {
            for (EvidenceDigest &digest : vms_[from].state.takeDigestsToSend(now_, 64)) {
                if (randomBelow(4) > 0 && from != partitioned_)
                    delayedDigests_.push_back(digest);
            }
        }
    }

    void deliverDigests()
    {
        const std::size_t to = randomBelow(vms_.size());
        for (int i = 0; i < 10 && !delayedDigests_.empty(); ++i) {
            const EvidenceDigest digest = delayedDigests_.front();
            delayedDigests_.pop_front();
            if (to == partitioned_)
                continue;
            if (digest.drain != DrainState::None)
                vms_[to].leaving.insert(digest.upstream);
            vms_[to].state.applyDigest(now_, digest);
        }
    }

    /**
     * Checks the floors of the service and of each zone. Only drains may violate a floor, and then
     * no upstream there may be ejected.
     */
    void checkFloors(Vm &vm)
    {
        std::map<core::AvailabilityZoneId, std::array<std::size_t, 3>> zones;
        std::array<std::size_t, 3> all {}; // listed, in use, ejected
        for (const core::UpstreamVm &one : vm.list.upstreams) {
            const auto explanation = vm.state.explain(now_, one.id);
            if (one.state != core::VmState::Live || !explanation)
                continue;
            for (auto *counts : {&all, &zones[one.location.availabilityZone]}) {
                ++(*counts)[0];
                (*counts)[1] += explanation->state == UseState::InUse ? 1U : 0U;
                (*counts)[2] += explanation->state == UseState::Ejected ? 1U : 0U;
            }
        }
        if (all[2] > 0)
            CHECK(static_cast<double>(all[1]) >= static_cast<double>(all[0]) * floor_ - 1e-6);
        for (const auto &[zone, counts] : zones) {
            const double least =
                std::max(1.0, std::floor(floor_ * static_cast<double>(counts[0]) + 1e-6));
            if (counts[2] > 0)
                CHECK(static_cast<double>(counts[1]) >= least);
        }
        for (const HealthEvent &event : vm.state.takeEvents()) {
            ejections += event.kind == HealthEvent::Kind::Ejected ? 1 : 0;
            refusals += event.kind == HealthEvent::Kind::RefusedByFloor ? 1 : 0;
            restorations += event.kind == HealthEvent::Kind::FloorRestored ? 1 : 0;
        }
    }

    Random random_;
    double floor_;
    std::size_t zones_;
    core::ServiceId service_ {"s"};
    core::MonoTime now_ {core::Seconds(1000)};
    core::VmList list_;
    std::vector<Vm> vms_;
    std::deque<EvidenceDigest> delayedDigests_;
    std::size_t partitioned_ = 3;
    std::size_t nextUpstream_ = 0;
    std::uint64_t nextTarget_ = 0; ///< Offset in the VM list of the next upstream to report.
    std::uint64_t reportsMade_ = 0;
};

} // namespace

TEST_CASE("ejection keeps the floors and a leaving upstream is never chosen, over 1,000 seeds")
{
    std::size_t ejections = 0;
    std::size_t refusals = 0;
    std::size_t restorations = 0;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        CAPTURE(seed);
        RandomFleet fleet(seed);
        for (int i = 0; i < 300; ++i)
            fleet.step();
        ejections += fleet.ejections;
        refusals += fleet.refusals;
        restorations += fleet.restorations;
    }
    // Ejections, refusals and restorations must have occurred, or the checks above prove nothing.
    CHECK(ejections > 1000);
    CHECK(refusals > 500);
    CHECK(restorations > 100);
    MESSAGE("ejections " << ejections << ", refused " << refusals << ", restored " << restorations);
}
