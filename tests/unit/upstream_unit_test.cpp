/** @file upstream_unit_test.cpp Tests of retries, subsets and the encoding of digests. */
#include "upstream/digest_json_func.h"
#include "upstream/floor_func.h"
#include "upstream/retry_base.h"
#include "upstream/service_state_base.h"
#include "upstream/subset_func.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <map>

using namespace teaselreach;
using namespace teaselreach::upstream;

namespace {

const core::MonoTime start {core::Seconds(1000)};

SubsetRequest makeFleet(std::size_t vms, std::size_t upstreams, std::size_t zones)
{
    SubsetRequest request {.maxConnectionsPerUpstream = 350};
    const auto place = [&](std::size_t i) {
        const std::size_t zone = i % zones;
        return core::Location {core::AvailabilityZoneId("z" + std::to_string(zone)),
                               core::RegionId("r" + std::to_string(zone / 2))};
    };
    for (std::size_t i = 0; i < vms; ++i)
        request.entryVms.push_back(
            {.id = core::VmId("v" + std::to_string(i)), .location = place(i)});
    for (std::size_t i = 0; i < upstreams; ++i)
        request.upstreams.push_back(
            {.id = core::UpstreamId("u" + std::to_string(i)), .location = place(i)});
    return request;
}

} // namespace

TEST_CASE("a retry is never granted for a request that is not idempotent and may have run")
{
    for (int outcome = 0; outcome <= static_cast<int>(Outcome::Superseded); ++outcome) {
        for (const bool ranBefore : {false, true}) {
            RetryBudget budget;
            RetryRequest request {.outcome = static_cast<Outcome>(outcome),
                                  .mayHaveRunBefore = ranBefore,
                                  .timeLeft = core::Seconds(1)};
            const bool surelyNotRun = !ranBefore
                && (request.outcome == Outcome::Shed || request.outcome == Outcome::ConnectFailed);
            CHECK((decideRetry(start, request, budget) == RetryDecision::Retry) == surelyNotRun);
        }
    }
}

TEST_CASE("retries stay within 10% of requests plus 1 per second, so they cannot multiply load")
{
    RetryBudget budget;
    core::MonoTime now = start;
    int granted = 0;
    for (int i = 0; i < 100'000; ++i) {
        now += core::Millis(1);
        budget.requestStarted(now);
        granted += budget.tryTake(now) ? 1 : 0;
    }
    CHECK(granted <= 10'000 + 100 + 10);
    CHECK(granted >= 10'000);
}

TEST_CASE("connections to an upstream stay within its limit over all VMs")
{
    for (const auto &[vms, upstreams, zones] :
         {std::tuple(40, 20, 6), std::tuple(40, 17, 6), std::tuple(470, 21, 8)}) {
        SubsetRequest request = makeFleet(vms, upstreams, zones);
        std::map<core::UpstreamId, int> connections;
        for (const core::EntryVm &vm : request.entryVms) {
            request.ownVm = vm.id;
            request.ownLocation = vm.location;
            const ConnectionPlan plan = planConnections(request);
            CHECK(plan.members.size() >= 2);
            for (const core::UpstreamId &id : plan.members)
                connections[id] += plan.connectionsPerUpstream;
        }
        CHECK(connections.size() == upstreams);
        for (const auto &[id, count] : connections)
            CHECK(count <= 350);
    }
}

TEST_CASE("a digest survives encoding and decoding, and a malformed one is rejected")
{
    const EvidenceDigest digest {.service = core::ServiceId("s"),
                                 .upstream = core::UpstreamId("u"),
                                 .reporter = core::VmId("v"),
                                 .zone = core::AvailabilityZoneId("z"),
                                 .sequence = 7,
                                 .counts = {.good = 1.25, .overdue = 3},
                                 .drain = DrainState::Leaving};
    nlohmann::json json = digestToJson(digest);
    const EvidenceDigest read = digestFromJson(json);
    CHECK(read.counts.good == 1.25);
    CHECK(read.counts.overdue == 3);
    CHECK(read.drain == DrainState::Leaving);
    for (std::size_t i = 0; i < json.size(); ++i) {
        nlohmann::json broken = json;
        broken[i] = -1;
        CHECK_THROWS_AS(digestFromJson(broken), InvalidDigest);
    }
    json.erase(json.size() - 1);
    CHECK_THROWS_AS(digestFromJson(json), InvalidDigest);
}

namespace {

/** A service with two upstreams, of which "first" has the first attempt of a request. */
struct HedgedService
{
    explicit HedgedService(int upstreams = 2)
        : state({.service = {.id = core::ServiceId("s")}})
    {
        core::VmList list;
        for (const char *id : {"first", "second"}) {
            if (static_cast<int>(list.upstreams.size()) < upstreams)
                list.upstreams.push_back({.id = core::UpstreamId(id),
                                          .service = core::ServiceId("s"),
                                          .address = "127.0.0.1",
                                          .port = 1});
        }
        state.applyVmList(start, list);
    }

    HedgeChoice hedge(core::Micros timeLeft = core::Seconds(60))
    {
        return state.chooseHedge(start, {.first = core::UpstreamId("first"), .timeLeft = timeLeft},
                                 random);
    }
    void finishFirst(Outcome outcome)
    {
        const AttemptId attempt =
            state.startAttempt(start, {.upstream = core::UpstreamId("first")});
        state.finishAttempt(start, attempt, {.outcome = outcome});
    }

    ServiceState state;
    Random random {1};
};

} // namespace

TEST_CASE("a hedge goes to the upstream of the first attempt, comes too late, or is a trial")
{
    HedgedService two;
    const HedgeChoice hedge = two.hedge();
    REQUIRE(hedge.choice);
    CHECK(hedge.choice->upstream == core::UpstreamId("second"));
    CHECK(!hedge.choice->trial);
    CHECK(two.hedge(core::Micros(0)).refusal == HedgeRefusal::DeadlineTooClose);
    HedgedService one(1);
    CHECK(one.hedge().refusal == HedgeRefusal::NoUpstream);
}

TEST_CASE("hedges use up the budget that retries of refused and failed requests need")
{
    HedgedService service;
    int hedges = 0;
    while (hedges < 100 && service.hedge().choice)
        ++hedges;
    CHECK(service.hedge().refusal == HedgeRefusal::BudgetExhausted);
    CHECK(hedges == 5);
    int retries = 0;
    while (retries < 100
           && service.state.decideRetry(start,
                                        {.outcome = Outcome::Shed, .timeLeft = core::Seconds(1)})
               == RetryDecision::Retry)
        ++retries;
    CHECK(retries == 5);
}

TEST_CASE("hedges hide an upstream that answers nothing")
{
    // A cancelled attempt is no evidence, so attempts at the upstream must also run to their end.
    HedgedService service;
    for (int i = 0; i < maxSupersededInRow; ++i) {
        service.finishFirst(Outcome::Superseded);
        service.finishFirst(Outcome::Cancelled); // Does not count.
    }
    CHECK(service.hedge().refusal == HedgeRefusal::NeedsResult);
    service.finishFirst(Outcome::Success);
    CHECK(service.hedge().choice);
}
