/** @file limit_test.cpp Tests of HomeBucket, the placement and LimitState. */
#include "limit/limit_state_base.h"

#include <doctest/doctest.h>

using namespace teaselreach;
using namespace teaselreach::limit;

namespace {

const core::MonoTime start = core::MonoTime(core::Seconds(100));
const core::ClientAccountId account("bakery");

LoanId loanId(std::uint64_t sequence)
{
    return {.incarnation = core::Incarnation(1), .sequence = sequence};
}

core::EntryVm entryVm(const std::string &id, const std::string &zone, const std::string &region)
{
    return {.id = core::VmId(id),
            .address = "127.0.0.1",
            .location = {core::AvailabilityZoneId(zone), core::RegionId(region)}};
}

core::VmList fourVms()
{
    return {.entryVms = {entryVm("a", "1", "east"), entryVm("b", "2", "east"),
                         entryVm("c", "3", "west"), entryVm("d", "4", "west")}};
}

VmHistory historyOf(const core::VmList &list)
{
    VmHistory history;
    history.onVmList(start, list);
    return history;
}

std::shared_ptr<const config::ConfigSnapshot> configOf(std::uint64_t revision, double burst)
{
    record::RecordSet records;
    records.limits = {{.account = account, .ratePerSecond = 10, .burst = burst, .homes = 1}};
    return std::make_shared<const config::ConfigSnapshot>(core::Revision(revision), records);
}

} // namespace

TEST_CASE("a restarted home grants no tokens until its predecessor's loans have expired")
{
    HomeBucket home({.ratePerSecond = 100, .burst = 10}, start);
    CHECK_FALSE(home.tryTake(start + restartHoldDown));
    CHECK_FALSE(home.tryTake(start + core::withDrift(restartHoldDown)));
    CHECK(home.tryTake(start + core::withDrift(restartHoldDown) + core::Millis(10)));
}

TEST_CASE("tokens on loan count against the burst until they expire or are reported as finished")
{
    HomeBucket home({.ratePerSecond = 10, .burst = 10}, start);
    const core::MonoTime later = start + core::Seconds(10);
    const Grant grant = home.lend(later, loanId(1), 10, core::Micros(0));
    REQUIRE(grant.delays.size() == 10);
    HomeBucket finished = home;
    const core::MonoTime expiry = later + core::withDrift(grant.lifetime);
    CHECK_FALSE(home.tryTake(expiry - core::Micros(1)));
    finished.finishLoan(later, {.id = loanId(1), .unused = 4});
    finished.finishLoan(later, {.id = loanId(1), .unused = 4});
    CHECK(finished.level(later) == doctest::Approx(4));
}

TEST_CASE("a token lent in advance is usable only after its refill, in the order of the requests")
{
    HomeBucket home({.ratePerSecond = 10, .burst = 2}, start);
    const core::MonoTime later = start + core::Seconds(10);
    const Grant grant = home.lend(later, loanId(1), 9, core::Millis(250));
    CHECK(grant.delays == std::vector<core::Micros> {core::Micros(0), core::Micros(0)});
    home.finishLoan(later, {.id = loanId(1)});
    const Grant next = home.lend(later, loanId(2), 9, core::Millis(250));
    CHECK(next.delays == std::vector<core::Micros> {core::Millis(100), core::Millis(200)});
    CHECK_FALSE(home.tryTake(later + core::Millis(200)));
}

TEST_CASE("a smaller burst reduces the level immediately")
{
    HomeBucket home({.ratePerSecond = 10, .burst = 10}, start);
    const core::MonoTime later = start + core::Seconds(10);
    home.lend(later, loanId(1), 6, core::Micros(0));
    home.setShare(later, {.ratePerSecond = 10, .burst = 5});
    CHECK(home.level(later) < 0);
}

TEST_CASE("a placement survives encoding, and malformed text or an unknown version is rejected")
{
    const Placement first = *nextPlacement(Placement {}, historyOf(fourVms()));
    CHECK(decodePlacement(encodePlacement(first)) == first);
    CHECK_THROWS_AS(decodePlacement(R"({"schema_version":2})"), PlacementInvalid);
    CHECK_THROWS_AS(decodePlacement("{"), PlacementInvalid);
}

TEST_CASE("a partition's slots have different owners, and only slots of removed VMs are reassigned")
{
    VmHistory history = historyOf(fourVms());
    const Placement first = *nextPlacement(Placement {}, history);
    for (const PartitionHomes &homes : first.partitions)
        CHECK(std::set<core::VmId>(homes.begin(), homes.end()).size() == slotsPerPartition);
    CHECK_FALSE(nextPlacement(first, history).has_value());
    core::VmList list = fourVms();
    list.entryVms.erase(list.entryVms.begin());
    list.entryVms[0].state = core::VmState::Leaving;
    history.onVmList(start, list);
    const Placement second = *nextPlacement(first, history);
    CHECK_FALSE(second.hasOwner(core::VmId("a")));
    for (std::size_t partition = 0; partition < partitionCount; ++partition) {
        for (std::size_t slot = 0; slot < slotsPerPartition; ++slot) {
            const core::VmId &before = first.partitions[partition][slot];
            CHECK((before.str() == "a" || second.partitions[partition][slot] == before));
        }
    }
    CHECK_FALSE(
        placementAfterHandOver(second, history, core::VmId("b"))->hasOwner(core::VmId("b")));
}

TEST_CASE("an owner that a lagging VM list does not contain yet keeps its slots")
{
    const Placement first = *nextPlacement(Placement {}, historyOf(fourVms()));
    core::VmList lagging = fourVms();
    lagging.entryVms.pop_back();
    VmHistory history = historyOf(lagging);
    CHECK_FALSE(nextPlacement(first, history).has_value());
    history.onVmList(start + maxListLag, lagging);
    CHECK(nextPlacement(first, history).has_value());
}

TEST_CASE("a VM that was listed as leaving never acts as home again")
{
    LimitState state(core::VmId("a"), core::Incarnation(1));
    CHECK_FALSE(state.actsAsHome());
    state.onVmList(start, fourVms());
    CHECK(state.actsAsHome());
    core::VmList list = fourVms();
    list.entryVms[0].state = core::VmState::Leaving;
    state.onVmList(start, list);
    state.onVmList(start, fourVms());
    CHECK_FALSE(state.actsAsHome());
}

TEST_CASE("a request on another VM waits for a loan, and an expired loan admits nothing")
{
    LimitState home(core::VmId("a"), core::Incarnation(1));
    LimitState other(core::VmId("b"), core::Incarnation(2));
    Placement placement {.revision = core::Revision(1)};
    placement.partitions.assign(partitionCount,
                                {core::VmId("a"), core::VmId("a"), core::VmId("a")});
    for (LimitState *state : {&home, &other}) {
        state->onVmList(start, fourVms());
        state->onPlacement(start, std::make_shared<const Placement>(placement));
        state->onConfig(start, configOf(1, 20));
    }
    const core::MonoTime later = start + core::Seconds(10);
    const AdmissionResult admission = other.tryAdmit(later, account, core::Millis(400));
    REQUIRE(admission.decision == Decision::Pending);
    const LimitOutput output = other.takeOutput();
    REQUIRE(output.borrowRequests.size() == 1);
    CHECK(output.borrowRequests[0].to == core::VmId("a"));
    const BorrowAnswer answer = home.onBorrowRequest(later, output.borrowRequests[0].request);
    SUBCASE("answer before the loan expires")
    {
        other.onBorrowAnswer(later + core::Millis(40), answer);
        REQUIRE(other.takeOutput().resolved.size() == 1);
    }
    SUBCASE("answer after the loan has expired")
    {
        other.onBorrowAnswer(later + answer.lifetime, answer);
        CHECK(other.takeOutput().resolved.empty());
    }
    SUBCASE("answer to an earlier process of the same VM id")
    {
        LimitState restarted(core::VmId("b"), core::Incarnation(3));
        restarted.onPlacement(later, std::make_shared<const Placement>(placement));
        restarted.onConfig(later, configOf(1, 20));
        restarted.tryAdmit(later, account, core::Millis(400));
        restarted.onBorrowAnswer(later, answer);
        CHECK(restarted.takeOutput().resolved.empty());
    }
}
