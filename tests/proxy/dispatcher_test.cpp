/** @file dispatcher_test.cpp Tests of soft timeouts, trials, queueing and Retry-After. */
#include "placement/dispatcher_base.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

using namespace teaselreach;
using namespace teaselreach::proxy;

namespace {

constexpr core::MonoTime start {core::Seconds(100)};
const core::ServiceId desk("desk");

/** Dispatcher of one VM with upstreams of one slot each. */
struct DispatcherFixture
{
    explicit DispatcherFixture(int count, DispatcherOptions options = {})
        : table({.self = {core::AvailabilityZoneId("here"), core::RegionId("west")},
                 .regionOfZone = {{core::AvailabilityZoneId("here"), core::RegionId("west")}}},
                1)
        , dispatcher(table, options)
    {
        for (int i = 0; i < count; ++i)
            table.update(start,
                         {.id = core::UpstreamId("i-" + std::to_string(i)),
                          .service = desk,
                          .address = "127.0.0.1",
                          .port = static_cast<std::uint16_t>(1 + i),
                          .availabilityZone = core::AvailabilityZoneId("here"),
                          .slots = 1});
        dispatcher.setFleetShare(1);
    }

    DispatchRequest request(core::Micros timeout) const
    {
        return {.service = desk, .route = &route, .arrivedAt = start, .deadline = start + timeout};
    }

    /** Dispatches a request. @return The selected upstream. */
    core::UpstreamId send(const DispatchRequest &request)
    {
        dispatcher.requestArrived(start, desk);
        const DispatchResult result = dispatcher.submit(start, request);
        REQUIRE(result.placement);
        return result.placement->upstream;
    }

    Route route {.id = core::RouteId("read"),
                 .idempotent = true,
                 .timeout = core::Millis(1500),
                 .targetLatency = core::Millis(500),
                 .maxAttempts = 3,
                 .destinations = {{.service = desk}}};
    UpstreamTable table;
    Dispatcher<UpstreamTable> dispatcher;
};

} // namespace

TEST_CASE("a slow attempt is not abandoned if too little time is left for another one")
{
    // An attempt was abandoned and then not retried, so a request that an upstream was processing
    // got 504 before its deadline (fournet-sn, trouble-2, seed 634897311271: LOST).
    DispatcherFixture fixture(2);
    DispatchRequest request = fixture.request(core::Millis(1500));
    const core::UpstreamId upstream = fixture.send(request);
    const core::Micros work =
        fixture.table.expectedProcessingTime(fixture.route.id, fixture.route.targetLatency);
    REQUIRE(work > core::Micros(0));
    const core::MonoTime late = request.deadline - work + core::Millis(1);
    CHECK(!fixture.dispatcher.grantRetry(late, request, AttemptEnd::TimedOut));
    CHECK(!fixture.dispatcher.grantAbandon(late, request, upstream));
    CHECK(!request.retryGranted);
    const core::MonoTime inTime = request.deadline - work - core::Millis(1);
    CHECK(fixture.dispatcher.grantAbandon(inTime, request, upstream));
    CHECK(fixture.dispatcher.grantRetry(inTime, request, AttemptEnd::TimedOut));
}

TEST_CASE("a slow attempt is abandoned only for an upstream that has room")
{
    // An attempt was abandoned although no other upstream had room. The request was queued behind
    // others and refused, although its upstream was still processing it.
    DispatcherFixture fixture(2);
    DispatchRequest slow = fixture.request(core::Millis(1500));
    const core::UpstreamId upstream = fixture.send(slow);
    // Fill the other upstream.
    DispatchRequest other = fixture.request(core::Millis(1500));
    other.tried = {upstream};
    DispatchResult filled = fixture.dispatcher.submit(start, other);
    std::vector<AttemptRecord> ends;
    while (filled.placement) {
        ends.push_back({.upstream = filled.placement->upstream,
                        .route = fixture.route.id,
                        .attempt = filled.placement->attempt,
                        .startedAt = start,
                        .endedAt = start + core::Millis(600)});
        filled = fixture.dispatcher.submit(start, other);
    }
    const core::MonoTime now = start + core::Millis(600);
    CHECK(!fixture.dispatcher.grantAbandon(now, slow, upstream));
    // The queue is empty, and the other upstream has room again.
    fixture.dispatcher.withdraw(now, desk, *filled.wait);
    for (const AttemptRecord &end : ends)
        fixture.dispatcher.attemptFinished(end, other);
    CHECK(fixture.dispatcher.grantAbandon(now, slow, upstream));
    CHECK(slow.retryGranted);
}

TEST_CASE("after the last queued request has left, idle time lowers the departure rate")
{
    DispatcherFixture fixture(1);
    const DispatchRequest request = fixture.request(core::Millis(1500));
    DispatchResult result = fixture.dispatcher.submit(start, request);
    while (result.placement)
        result = fixture.dispatcher.submit(start, request);
    REQUIRE(result.wait);
    const auto rateAt = [&](core::MonoTime now) {
        double rate = 0;
        fixture.dispatcher.forEachQueue(
            now, [&](const core::ServiceId &, std::size_t, double perSecond) { rate = perSecond; });
        return rate;
    };
    const double before = rateAt(start);
    fixture.dispatcher.withdraw(start, desk, *result.wait);
    CHECK(rateAt(start + core::Seconds(2)) == doctest::Approx(before));
}

namespace {

/** Sends requests until the dispatcher queues one. @return The sent ones. */
std::vector<Placement> fillUpstreams(DispatcherFixture &fixture)
{
    std::vector<Placement> sent;
    while (true) {
        DispatchResult result =
            fixture.dispatcher.submit(start, fixture.request(core::Millis(1500)));
        if (!result.placement)
            return sent;
        sent.push_back(*result.placement);
    }
}

} // namespace

TEST_CASE("an arrival of high priority displaces the lowest one from a full queue")
{
    // Guards against refusals of high priority while lower ones wait.
    DispatcherFixture fixture(1, {.queue = {.maxWaiting = 2}});
    fillUpstreams(fixture); // One request waits.
    Route low = fixture.route;
    low.priority = 3;
    DispatchRequest request = fixture.request(core::Seconds(60));
    request.route = &low;
    const DispatchResult waiting = fixture.dispatcher.submit(start, request);
    REQUIRE(waiting.wait);
    CHECK(fixture.dispatcher.submit(start, request).refusal == PlacementFailure::AllBusy);
    request.route = &fixture.route;
    const DispatchResult high = fixture.dispatcher.submit(start, request);
    CHECK(high.wait);
    REQUIRE(high.evicted);
    CHECK(high.evicted->ticket == *waiting.wait);
    CHECK(high.evicted->result.reason == PlacementFailure::Evicted);
    CHECK(fixture.dispatcher.waiting() == 2);
    CHECK(!fixture.dispatcher.submit(start, request).wait); // An equal priority is not displaced.
}

TEST_CASE("a queue that does not drain refuses early and names the time until it has drained")
{
    // Guards against admission by slots whose upstreams do not answer, and a constant Retry-After.
    DispatcherFixture fixture(1);
    fillUpstreams(fixture);
    const core::MonoTime later = start + core::Millis(1200);
    DispatchRequest request = fixture.request(core::Millis(1500));
    request.arrivedAt = later;
    request.deadline = later + core::Millis(700);
    DispatcherFixture bySlots(1, DispatcherOptions::withoutLoadControl());
    fillUpstreams(bySlots);
    CHECK(bySlots.dispatcher.submit(later, request).wait);
    CHECK(fixture.dispatcher.submit(later, request).refusal == PlacementFailure::AllBusy);
    const core::Micros least = fixture.dispatcher.retryAfter(later, request, 0);
    CHECK(least > core::Millis(100));
    CHECK(fixture.dispatcher.retryAfter(later, request, 1) > least);
    CHECK(fixture.dispatcher.retryAfter(later, request, 1) <= core::Seconds(2));
    CHECK(DispatcherFixture(1).dispatcher.retryAfter(start, request, 0) == core::Millis(100));
}

TEST_CASE("a failing upstream gets trials from one VM of its zone, within the retry budget")
{
    // In a calm period each VM of each zone made trials, and each cost a retry.
    const core::UpstreamId failing("i-0");
    const auto triesFailing = [&](UpstreamTable &table, core::MonoTime now, TrialPolicy trials) {
        for (const char *healthy : {"i-1", "i-2"}) // Not due for a trial themselves.
            table.peerOutcomeReported(now, {.upstream = core::UpstreamId(healthy)});
        const PlacementResult result = table.choose(now,
                                                    {.service = desk,
                                                     .route = core::RouteId("read"),
                                                     .idempotent = true,
                                                     .trials = trials,
                                                     .targetLatency = core::Millis(500),
                                                     .timeLeft = core::Millis(1500)});
        return result.placement && result.placement->isTrial
            && result.placement->upstream == failing;
    };
    std::vector<std::unique_ptr<DispatcherFixture>> vms;
    for (int vm = 0; vm < 4; ++vm) {
        vms.push_back(std::make_unique<DispatcherFixture>(3));
        std::vector<core::VmId> peers;
        for (int peer = 0; peer < 4; ++peer) {
            if (peer != vm)
                peers.emplace_back("vm-" + std::to_string(peer));
        }
        vms.back()->table.setTrialVms(core::VmId("vm-" + std::to_string(vm)), peers);
        for (int i = 0; i < 3; ++i)
            vms.back()->table.peerOutcomeReported(start, {.upstream = failing, .failed = true});
    }
    const auto count = [&](core::Micros after, TrialPolicy trials) {
        return std::count_if(vms.begin(), vms.end(), [&](const auto &vm) {
            return triesFailing(vm->table, start + after, trials);
        });
    };
    CHECK(count(core::Millis(1200), TrialPolicy::EachVm) == 4);
    CHECK(count(core::Millis(1200), TrialPolicy::InTurns) == 1);
    CHECK(count(core::Millis(1700), TrialPolicy::InTurns) == 2); // The first one made none.
    CHECK(count(core::Millis(1700), TrialPolicy::None) == 0);
}
