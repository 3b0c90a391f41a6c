/** @file upstream_health_test.cpp Tests of ejection, trials and readmission in one HealthTable. */
#include "upstream/health_table_base.h"

#include <doctest/doctest.h>

using namespace teaselreach;
using namespace teaselreach::upstream;

namespace {

core::Location zone(int number)
{
    return {core::AvailabilityZoneId("z" + std::to_string(number)), core::RegionId("r")};
}

/** One VM in zone 0 with ten upstreams in five zones. */
struct SingleVm
{
    SingleVm()
    {
        std::vector<core::UpstreamVm> upstreams;
        upstreams.reserve(10);
        for (int i = 0; i < 10; ++i)
            upstreams.push_back(
                {.id = core::UpstreamId("u" + std::to_string(i)), .location = zone(i % 5)});
        table.applyVmList(now, upstreams, {{.id = core::VmId("own"), .location = zone(0)}});
    }

    void advance(core::Millis time)
    {
        for (const core::MonoTime end = now + time; now < end;) {
            now += tickInterval;
            table.tick(now);
        }
    }

    void attempt(std::size_t index, Outcome outcome)
    {
        const bool trial = table.needsTrial(now, index);
        const AttemptId attemptId = table.startAttempt(now, index, trial);
        table.finishAttempt(now + core::Millis(25), attemptId, {.outcome = outcome});
    }

    void receiveDigest(const std::string &vm, int fromZone, const EvidenceCounts &counts,
                       double badShareElsewhere = 0)
    {
        table.applyDigest(now,
                          {.upstream = core::UpstreamId("u0"),
                           .reporter = core::VmId(vm),
                           .zone = zone(fromZone).availabilityZone,
                           .sequence = ++sequence,
                           .counts = counts,
                           .badShareElsewhere = badShareElsewhere});
    }

    UseState state() const { return table.stateAt(0); }

    core::MonoTime now {core::Seconds(1000)};
    std::uint64_t sequence = 0;
    HealthTable table {{.ownVm = core::VmId("own"), .ownLocation = zone(0)}};
};

} // namespace

TEST_CASE("fleet-wide ejection needs evidence from two zones, so a partitioned zone causes none")
{
    SingleVm vm;
    for (int i = 0; i < 5; ++i)
        vm.receiveDigest("a" + std::to_string(i), 1, {.failed = 5});
    vm.advance(core::Millis(1000));
    CHECK(vm.state() == UseState::InUse);
    vm.receiveDigest("b", 2, {.failed = 3});
    vm.advance(core::Millis(500));
    REQUIRE(vm.state() == UseState::Ejected);
    const auto why = vm.table.explain(vm.now, core::UpstreamId("u0"));
    CHECK(why->scope == Scope::Fleet);
    CHECK(why->ejectionEvidence.size() == 6);
}

TEST_CASE("the evidence of one VM is bounded, so a faulty VM and random errors cause no ejection")
{
    SingleVm vm;
    vm.receiveDigest("a", 1, {.failed = 500});
    vm.receiveDigest("b", 2, {.failed = 2});
    vm.advance(core::Millis(1000));
    CHECK(vm.state() == UseState::InUse);
}

TEST_CASE("evidence of VMs with failures everywhere is discounted, so an overload ejects none")
{
    SingleVm vm;
    for (int i = 0; i < 9; ++i)
        vm.receiveDigest("a" + std::to_string(i), i % 3, {.good = 1, .overdue = 5}, 0.5);
    vm.advance(core::Millis(1500));
    CHECK(vm.state() == UseState::InUse);
}

TEST_CASE("good evidence of other VMs outweighs a few failures")
{
    SingleVm vm;
    for (int i = 0; i < 20; ++i)
        vm.receiveDigest("g" + std::to_string(i), i % 3, {.good = 6});
    for (int i = 0; i < 6; ++i)
        vm.receiveDigest("b" + std::to_string(i), i % 3, {.good = 5, .failed = 1});
    vm.advance(core::Millis(1000));
    CHECK(vm.state() == UseState::InUse);
}

TEST_CASE("load shedding does not count as a failure")
{
    SingleVm vm;
    for (int i = 0; i < 100; ++i)
        vm.attempt(0, Outcome::Shed);
    vm.advance(core::Millis(1000));
    CHECK(vm.state() == UseState::InUse);
}

TEST_CASE("a stalled upstream is ejected although requests to it never finish")
{
    SingleVm vm;
    for (int i = 0; i < 4; ++i)
        vm.table.startAttempt(vm.now, 0, false);
    vm.advance(core::Millis(2500));
    CHECK(vm.state() == UseState::Ejected);
}

TEST_CASE("the ejection time of a flapping upstream doubles with each relapse, up to 60 s")
{
    SingleVm vm;
    std::vector<core::Micros> waits;
    for (int round = 0; round < 9; ++round) {
        for (int i = 0; i < 8; ++i)
            vm.attempt(0, Outcome::Failed);
        vm.advance(core::Millis(600));
        REQUIRE(vm.state() == UseState::Ejected);
        const auto why = vm.table.explain(vm.now, core::UpstreamId("u0"));
        waits.push_back(why->trialFrom - why->ejectedAt);
        vm.advance(std::chrono::duration_cast<core::Millis>(why->trialFrom - vm.now));
        CHECK(vm.state() == UseState::Ejected);
        vm.advance(core::Millis(100));
        for (int i = 0; i < trialsToPass; ++i)
            vm.attempt(0, Outcome::Success);
        vm.advance(core::Millis(100));
        REQUIRE(vm.state() == UseState::InUse);
    }
    for (std::size_t i = 1; i < waits.size(); ++i)
        CHECK(waits[i] == std::min<core::Micros>(waits[i - 1] * 2, core::Seconds(60)));
    CHECK(waits.back() == core::Seconds(60));
}

TEST_CASE("a failed trial keeps the upstream ejected and doubles the ejection time")
{
    SingleVm vm;
    for (int i = 0; i < 8; ++i)
        vm.attempt(0, Outcome::Failed);
    vm.advance(core::Millis(1700));
    vm.attempt(0, Outcome::Failed);
    vm.advance(core::Millis(100));
    CHECK(vm.state() == UseState::Ejected);
    CHECK_FALSE(vm.table.needsTrial(vm.now + core::Millis(1800), 0));
    CHECK(vm.table.needsTrial(vm.now + core::Millis(2000), 0));
}

TEST_CASE("an outdated VM list does not reinstate an upstream that was leaving or absent")
{
    SingleVm vm;
    core::UpstreamVm upstream {.id = core::UpstreamId("u0"), .location = zone(0)};
    const std::vector<core::EntryVm> entries {{.id = core::VmId("own"), .location = zone(0)}};
    upstream.state = core::VmState::Leaving;
    vm.table.applyVmList(vm.now, {upstream}, entries);
    upstream.state = core::VmState::Live;
    vm.table.applyVmList(vm.now, {upstream}, entries);
    const auto index = vm.table.find(upstream.id);
    CHECK((!index || vm.table.stateAt(*index) == UseState::Draining));
    const core::UpstreamVm other {.id = core::UpstreamId("u1"), .location = zone(1)};
    vm.table.applyVmList(vm.now, {}, entries);
    vm.table.applyVmList(vm.now, {other}, entries);
    CHECK_FALSE(vm.table.find(other.id));
}
