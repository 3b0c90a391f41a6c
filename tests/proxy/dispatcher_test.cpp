/** @file dispatcher_test.cpp Tests of abandoning slow attempts after the soft timeout. */
#include "placement/dispatcher_base.h"

#include <doctest/doctest.h>

using namespace teaselreach;
using namespace teaselreach::proxy;

namespace {

constexpr core::MonoTime start {core::Seconds(100)};
const core::ServiceId desk("desk");

/** Dispatcher of one VM with upstreams of one slot each. */
struct DispatcherFixture
{
    explicit DispatcherFixture(int count)
        : table({.self = {core::AvailabilityZoneId("here"), core::RegionId("west")},
                 .regionOfZone = {{core::AvailabilityZoneId("here"), core::RegionId("west")}}},
                1)
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
    Dispatcher<UpstreamTable> dispatcher {table, {}};
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
    fixture.dispatcher.withdraw(desk, *filled.wait);
    for (const AttemptRecord &end : ends)
        fixture.dispatcher.attemptFinished(end, other);
    CHECK(fixture.dispatcher.grantAbandon(now, slow, upstream));
    CHECK(slow.retryGranted);
}
