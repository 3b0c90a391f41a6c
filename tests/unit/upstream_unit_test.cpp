/** @file upstream_unit_test.cpp Tests of retries, subsets and the encoding of digests. */
#include "upstream/digest_json_func.h"
#include "upstream/floor_func.h"
#include "upstream/retry_base.h"
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
    for (int outcome = 0; outcome <= static_cast<int>(Outcome::Cancelled); ++outcome) {
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
