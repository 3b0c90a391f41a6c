/** @file placement_test.cpp Tests of upstream selection and of the wait queue. */
#include "placement/upstream_table_base.h"
#include "placement/wait_queue_base.h"

#include <doctest/doctest.h>

#include <map>

using namespace teaselreach;
using namespace teaselreach::proxy;

namespace {

constexpr core::MonoTime start {core::Seconds(100)};
const core::ServiceId service("slot");
const core::RouteId route("booking");

UpstreamTableOptions options()
{
    return {.self = {core::AvailabilityZoneId("here"), core::RegionId("west")},
            .regionOfZone = {{core::AvailabilityZoneId("here"), core::RegionId("west")},
                             {core::AvailabilityZoneId("near"), core::RegionId("west")},
                             {core::AvailabilityZoneId("far"), core::RegionId("east")}}};
}

UpstreamEntry makeEntry(const std::string &id, const std::string &zone = "here", int slots = 2)
{
    return {.id = core::UpstreamId(id),
            .service = service,
            .address = "127.0.0.9",
            .port = 80,
            .availabilityZone = core::AvailabilityZoneId(zone),
            .slots = slots};
}

PlacementRequest makeRequest(bool idempotent = false)
{
    return {.service = service,
            .route = route,
            .idempotent = idempotent,
            .targetLatency = core::Millis(500),
            .timeLeft = core::Millis(1500)};
}

/** Runs one attempt of 100 ms. @return The selected upstream, empty if there was none. */
core::UpstreamId oneAttempt(UpstreamTable &table, core::MonoTime now, AttemptEnd end,
                            bool idempotent = false)
{
    PlacementResult result = table.choose(now, makeRequest(idempotent));
    if (!result.placement)
        return {};
    table.attemptStarted(now, *result.placement);
    table.attemptFinished({.upstream = result.placement->upstream,
                           .route = route,
                           .attempt = result.placement->attempt,
                           .end = end,
                           .startedAt = now,
                           .endedAt = now + core::Millis(100)});
    return result.placement->upstream;
}

} // namespace

TEST_CASE("a finished attempt no longer occupies its upstream")
{
    // Guards against attempts that stay in flight forever, so that all upstreams seem busy.
    UpstreamTable table(options(), 1);
    table.update(start, makeEntry("a", "here", 1));
    for (int i = 0; i < 50; ++i)
        REQUIRE(!oneAttempt(table, start + core::Millis(200 * i), AttemptEnd::Answered).empty());
}

TEST_CASE("an upstream loses its traffic after one failure and regains it after recovery")
{
    UpstreamTable table(options(), 1);
    for (const char *id : {"a", "b", "c", "d"})
        table.update(start, makeEntry(id));
    core::MonoTime now = start;
    const core::UpstreamId unhealthy = oneAttempt(table, now, AttemptEnd::ServerError);
    for (int i = 0; i < 20; ++i) {
        now += core::Millis(100);
        REQUIRE(oneAttempt(table, now, AttemptEnd::Answered) != unhealthy);
    }
    now += core::Seconds(40);
    bool used = false;
    for (int i = 0; i < 40; ++i) {
        now += core::Millis(100);
        used = used || oneAttempt(table, now, AttemptEnd::Answered) == unhealthy;
    }
    CHECK(used);
}

TEST_CASE("many past successes do not outweigh the first failure of an unhealthy period")
{
    // Guards against a failure estimate that is so close to zero after a few successes that one
    // failure leaves it below that of an unknown upstream. The next booking failed there too.
    UpstreamTable table(options(), 1);
    for (const char *id : {"a", "b", "c", "d"})
        table.update(start, makeEntry(id));
    core::MonoTime now = start;
    for (int i = 0; i < 200; ++i)
        REQUIRE(!oneAttempt(table, now += core::Millis(50), AttemptEnd::Answered).empty());
    const core::UpstreamId unhealthy =
        oneAttempt(table, now += core::Millis(50), AttemptEnd::ServerError);
    for (int i = 0; i < 20; ++i)
        REQUIRE(oneAttempt(table, now += core::Millis(50), AttemptEnd::Answered) != unhealthy);
}

TEST_CASE("a new upstream receives requests although the others have many successes")
{
    // Guards against upstreams in use being rated better than one without any evidence.
    UpstreamTable table(options(), 1);
    table.update(start, makeEntry("a"));
    core::MonoTime now = start;
    for (int i = 0; i < 50; ++i)
        oneAttempt(table, now += core::Millis(100), AttemptEnd::Answered);
    table.update(now, makeEntry("new"));
    int count = 0;
    for (int i = 0; i < 40; ++i)
        count += oneAttempt(table, now += core::Millis(100), AttemptEnd::Answered)
                == core::UpstreamId("new")
            ? 1
            : 0;
    CHECK(count > 5);
}

TEST_CASE("a suspected upstream receives regular trials by requests that may be retried")
{
    // Upstreams that had failed once received nothing for up to ten seconds, although most had
    // recovered. Together they were more than may be out of use at a time.
    UpstreamTable table(options(), 1);
    for (const char *id : {"a", "b", "c"})
        table.update(start, makeEntry(id));
    core::MonoTime now = start;
    const core::UpstreamId suspected = oneAttempt(table, now, AttemptEnd::ServerError);
    std::vector<core::MonoTime> tries {now};
    for (int i = 0; i < 80; ++i) {
        now += core::Millis(100);
        const bool idempotent = i % 2 == 0;
        PlacementResult result = table.choose(now, makeRequest(idempotent));
        REQUIRE(result.placement);
        table.attemptStarted(now, *result.placement);
        const bool chosen = result.placement->upstream == suspected;
        table.attemptFinished({.upstream = result.placement->upstream,
                               .route = route,
                               .attempt = result.placement->attempt,
                               .end = chosen ? AttemptEnd::ServerError : AttemptEnd::Answered,
                               .startedAt = now,
                               .endedAt = now + core::Millis(50)});
        if (!chosen)
            continue;
        CHECK(idempotent);
        CHECK(now - tries.back() > core::Millis(900));
        CHECK(now - tries.back() < core::Millis(1500));
        tries.push_back(now);
    }
    CHECK(tries.size() >= 5);
}

TEST_CASE("cold upstreams receive some requests while others are warm")
{
    // Most upstreams that a release had just started received nothing while they were cold.
    UpstreamTable table(options(), 1);
    table.update(start, makeEntry("warm"));
    UpstreamEntry cold = makeEntry("cold");
    cold.warmupLeft = core::Seconds(5);
    table.update(start, cold);
    int coldCount = 0;
    for (int i = 0; i < 40; ++i)
        coldCount += oneAttempt(table, start + core::Millis(100 * i), AttemptEnd::Answered, true)
                == core::UpstreamId("cold")
            ? 1
            : 0;
    CHECK(coldCount >= 3);
    CHECK(coldCount <= 20);
}

TEST_CASE("a request that may not be retried waits for a busy healthy upstream")
{
    // An unhealthy upstream fails within a millisecond and always has free slots. While all healthy
    // ones were busy, it received one booking after the other.
    UpstreamTable table(options(), 1);
    table.update(start, makeEntry("sound", "here", 1));
    table.update(start, makeEntry("sick", "here", 1));
    for (int i = 0; i < 3; ++i)
        table.peerOutcomeReported(start, {.upstream = core::UpstreamId("sick"), .failed = true});
    for (int i = 0; i < 2; ++i) {
        PlacementResult result = table.choose(start, makeRequest());
        REQUIRE(result.placement);
        REQUIRE(result.placement->upstream == core::UpstreamId("sound"));
        table.attemptStarted(start, *result.placement);
    }
    const PlacementResult booking = table.choose(start, makeRequest(false));
    CHECK(!booking.placement);
    CHECK(booking.reason == PlacementFailure::AllBusy);
    CHECK(table.choose(start, makeRequest(true)).placement);
}

TEST_CASE("a failure reported by another VM diverts traffic too")
{
    UpstreamTable table(options(), 1);
    table.update(start, makeEntry("a"));
    table.update(start, makeEntry("b"));
    table.peerOutcomeReported(start, {.upstream = core::UpstreamId("a"), .failed = true});
    for (int i = 0; i < 10; ++i)
        CHECK(oneAttempt(table, start + core::Millis(i), AttemptEnd::Answered)
              == core::UpstreamId("b"));
}

TEST_CASE("only failures of the upstream itself are reported to other VMs")
{
    UpstreamTable table(options(), 1);
    table.update(start, makeEntry("a"));
    oneAttempt(table, start, AttemptEnd::Answered);
    oneAttempt(table, start, AttemptEnd::NotSent); // May be this VM's network path alone.
    oneAttempt(table, start, AttemptEnd::NotExecuted);
    CHECK(table.takeReports().empty());
    oneAttempt(table, start + core::Seconds(2), AttemptEnd::ServerError);
    CHECK(table.takeReports().size() == 1);
}

TEST_CASE("overdue attempts count against an upstream before they time out")
{
    UpstreamTable table(options(), 1);
    table.update(start, makeEntry("a"));
    table.update(start, makeEntry("b"));
    std::map<core::UpstreamId, int> count;
    PlacementResult overdue = table.choose(start, makeRequest());
    table.attemptStarted(start, *overdue.placement);
    const core::MonoTime later = start + core::Millis(900);
    for (int i = 0; i < 10; ++i)
        CHECK(oneAttempt(table, later, AttemptEnd::Answered) != overdue.placement->upstream);
}

TEST_CASE(
    "requests stay in the zone, then in the region, until the loss there exceeds the distance")
{
    UpstreamTable table(options(), 1);
    table.update(start, makeEntry("here"));
    table.update(start, makeEntry("near", "near"));
    table.update(start, makeEntry("far", "far"));
    CHECK(oneAttempt(table, start, AttemptEnd::ServerError) == core::UpstreamId("here"));
    CHECK(oneAttempt(table, start, AttemptEnd::ServerError) == core::UpstreamId("near"));
    // Each has failed once; the second failure makes its loss exceed the distance.
    for (const char *id : {"here", "near"})
        table.peerOutcomeReported(start, {.upstream = core::UpstreamId(id), .failed = true});
    CHECK(oneAttempt(table, start, AttemptEnd::Answered) == core::UpstreamId("far"));
}

TEST_CASE("full and draining upstreams receive no new requests")
{
    UpstreamTable table(options(), 1);
    table.update(start, makeEntry("a"));
    for (int i = 0; i < 4; ++i) {
        PlacementResult result = table.choose(start, makeRequest());
        REQUIRE(result.placement);
        table.attemptStarted(start, *result.placement);
    }
    CHECK(table.choose(start, makeRequest()).reason == PlacementFailure::AllBusy);
    UpstreamEntry draining = makeEntry("a");
    draining.draining = true;
    table.update(start, draining);
    CHECK(table.choose(start, makeRequest()).reason == PlacementFailure::NoUpstream);
}

TEST_CASE("an upstream that says in a response that it leaves receives more requests")
{
    UpstreamTable table(options(), 1);
    UpstreamEntry leaving = makeEntry("a");
    leaving.startedAt = 5;
    table.update(start, leaving);
    table.update(start, makeEntry("b", "near"));
    PlacementResult result = table.choose(start, makeRequest());
    REQUIRE(result.placement->upstream == leaving.id);
    table.attemptStarted(start, *result.placement);
    table.attemptFinished({.upstream = leaving.id,
                           .route = route,
                           .attempt = result.placement->attempt,
                           .startedAt = start,
                           .endedAt = start,
                           .status = {.leaving = true}});
    const auto chosen = [&] { return table.choose(start, makeRequest()).placement->upstream; };
    CHECK(chosen() == core::UpstreamId("b"));
    // Its entry is written again, or lost and written again, while it still leaves.
    table.update(start, leaving);
    CHECK(chosen() == core::UpstreamId("b"));
    table.remove(leaving.id);
    table.update(start, leaving);
    CHECK(chosen() == core::UpstreamId("b"));
    CHECK(table.slotsOf(service, core::Millis(100)) == 2);
    // Another start of it under the same id.
    leaving.startedAt = 6;
    table.update(start, leaving);
    CHECK(chosen() == leaving.id);
}

TEST_CASE("an upstream receives requests before the time that it named with its refusal is over")
{
    UpstreamTable table(options(), 1);
    table.update(start, makeEntry("a"));
    const auto refuse = [&](core::MonoTime now, std::optional<core::Micros> retryAfter) {
        PlacementResult result = table.choose(now, makeRequest(true));
        REQUIRE(result.placement);
        table.attemptStarted(now, *result.placement);
        table.attemptFinished({.upstream = result.placement->upstream,
                               .route = route,
                               .attempt = result.placement->attempt,
                               .end = AttemptEnd::NotExecuted,
                               .startedAt = now,
                               .endedAt = now,
                               .status = {.load = LoadReport {}, .retryAfter = retryAfter}});
    };
    refuse(start, core::Millis(2500));
    // Every kind of attempt, and a trial of an upstream that has not been tried for long.
    for (const int millis : {0, 600, 1500, 2499}) {
        const core::Millis time(millis);
        const PlacementResult result = table.choose(start + time, makeRequest(true));
        CHECK(!result.placement);
        CHECK(result.reason == PlacementFailure::LimitReached); // Refused at once.
        CHECK(!table.choose(start + time, makeRequest(false)).placement);
    }
    table.update(start + core::Millis(1000), makeEntry("b"));
    CHECK(table.choose(start + core::Millis(1000), makeRequest()).placement->upstream
          == core::UpstreamId("b"));
    table.remove(core::UpstreamId("b"));
    CHECK(table.choose(start + core::Millis(2500), makeRequest()).placement);
    // A refusal without a time, and one that names less than before.
    refuse(start + core::Millis(3000), core::Millis(0));
    refuse(start + core::Millis(3000), std::nullopt);
    CHECK(table.choose(start + core::Millis(3100), makeRequest(true)).placement);
}

TEST_CASE("an upstream that restarts under its id loses its history")
{
    UpstreamTable table(options(), 1);
    UpstreamEntry entry = makeEntry("a");
    entry.startedAt = 1;
    table.update(start, entry);
    oneAttempt(table, start, AttemptEnd::ServerError);
    const double before = table.choose(start, makeRequest()).placement->failureEstimate;
    entry.startedAt = 2;
    table.update(start, entry);
    const double after = table.choose(start, makeRequest()).placement->failureEstimate;
    CHECK(before > 0.5);
    CHECK(after < 0.2);
}

TEST_CASE("a request that no upstream can answer in time is refused at once")
{
    UpstreamTable table(options(), 1);
    table.update(start, makeEntry("a"));
    PlacementRequest request = makeRequest();
    request.timeLeft = core::Millis(20);
    CHECK(table.choose(start, request).reason == PlacementFailure::TooLate);
    WaitQueue queue({});
    const WaitRequest late {.ticket = WaitTicket(1),
                            .expectedProcessingTime = core::Millis(200),
                            .deadline = start + core::Millis(100)};
    CHECK(!queue.enqueue(start, late, 4));
}

TEST_CASE("a queue that is too long for a request's deadline refuses it at once")
{
    WaitQueue queue({});
    std::uint64_t ticket = 0;
    const auto ask = [&](int priority) {
        return queue.enqueue(start,
                             {.ticket = WaitTicket(++ticket),
                              .account = core::ClientAccountId("a"),
                              .routePriority = priority,
                              .expectedProcessingTime = core::Millis(100),
                              .deadline = start + core::Seconds(1)},
                             2);
    };
    // Two slots, 100 ms of processing and one second: eighteen requests can be ahead.
    int accepted = 0;
    while (ask(1))
        ++accepted;
    CHECK(accepted >= 17);
    CHECK(accepted <= 19);
    CHECK(!ask(1));
    CHECK(ask(0)); // A higher priority does not wait behind them.
}

TEST_CASE("higher priorities are served first, and lower ones do not starve")
{
    WaitQueue queue({});
    std::uint64_t ticket = 0;
    std::map<WaitTicket, int> priorityOf;
    for (int i = 0; i < 40; ++i) {
        for (const int priority : {0, 1, 2}) {
            const WaitTicket next(++ticket);
            priorityOf[next] = priority;
            REQUIRE(queue.enqueue(start,
                                  {.ticket = next,
                                   .account = core::ClientAccountId("a" + std::to_string(priority)),
                                   .routePriority = priority,
                                   .expectedProcessingTime = core::Millis(1),
                                   .deadline = start + core::Seconds(60)},
                                  10));
        }
    }
    std::map<int, int> served;
    for (int i = 0; i < 40; ++i) {
        const QueueHead head = queue.removeLateAndPeek(start);
        REQUIRE(head.next);
        ++served[priorityOf[*head.next]];
        queue.remove(*head.next, true);
    }
    CHECK(served[0] > 2 * served[1]);
    CHECK(served[1] > 2 * served[2]);
    CHECK(served[2] >= 2);
}

TEST_CASE("an account's priority outweighs a route's")
{
    // Guards against the former weights, under which the route's priority counted twice as much.
    WaitQueue queue({});
    const auto add = [&](std::uint64_t first, int accountPriority, int routePriority) {
        for (std::uint64_t i = 0; i < 40; ++i)
            REQUIRE(queue.enqueue(start,
                                  {.ticket = WaitTicket(first + i),
                                   .account = core::ClientAccountId(std::to_string(first)),
                                   .accountPriority = accountPriority,
                                   .routePriority = routePriority,
                                   .expectedProcessingTime = core::Millis(1),
                                   .deadline = start + core::Seconds(60)},
                                  10));
    };
    add(0, 0, 1); // High account priority, low route priority.
    add(100, 1, 0);
    int important = 0;
    for (int i = 0; i < 40; ++i) {
        const QueueHead head = queue.removeLateAndPeek(start);
        REQUIRE(head.next);
        important += head.next->count() < 100 ? 1 : 0;
        queue.remove(*head.next, true);
    }
    CHECK(important > 20);
    CHECK(important < 40);
}

TEST_CASE("late requests are removed before the next request is selected")
{
    WaitQueue queue({});
    REQUIRE(queue.enqueue(start,
                          {.ticket = WaitTicket(1),
                           .expectedProcessingTime = core::Millis(100),
                           .deadline = start + core::Millis(300)},
                          1));
    REQUIRE(queue.enqueue(start,
                          {.ticket = WaitTicket(2),
                           .expectedProcessingTime = core::Millis(100),
                           .deadline = start + core::Seconds(3)},
                          1));
    const QueueHead head = queue.removeLateAndPeek(start + core::Millis(250));
    CHECK(head.tooLate == std::vector {WaitTicket(1)});
    CHECK(head.next == WaitTicket(2));
}
