/** @file upstream_bytes_test.cpp Request bodies that exceed the memory of an upstream. */
#include "placement/dispatcher_base.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

using namespace teaselreach;
using namespace teaselreach::proxy;

namespace {

constexpr std::size_t megabyte = 1'000'000;
const core::ServiceId archive("archive");
const core::RouteId upload("upload");
const core::MonoTime start {core::Seconds(100)};

UpstreamEntry entryOf(const std::string &id, std::int64_t startedAt = 1)
{
    return {.id = core::UpstreamId(id),
            .service = archive,
            .address = "127.0.0.1",
            .port = 1,
            .availabilityZone = core::AvailabilityZoneId("here"),
            .slots = 100,
            .startedAt = startedAt};
}

UpstreamTableOptions tableOptions(bool enabled)
{
    return {.self = {core::AvailabilityZoneId("here"), core::RegionId("west")},
            .regionOfZone = {{core::AvailabilityZoneId("here"), core::RegionId("west")}},
            .bytes = {.enabled = enabled}};
}

PlacementRequest uploadOf(std::size_t bytes)
{
    return {.service = archive,
            .route = upload,
            .targetLatency = core::Seconds(1),
            .timeLeft = core::Seconds(5),
            .bodyBytes = bytes};
}

/** Sends a body, if a table has a place for it. @return The placement. */
std::optional<Placement> send(UpstreamTable &table, core::MonoTime now, std::size_t bytes)
{
    std::optional<Placement> placement = table.choose(now, uploadOf(bytes)).placement;
    if (placement)
        table.attemptStarted(now, *placement);
    return placement;
}

void finish(UpstreamTable &table, core::MonoTime now, const Placement &placement, AttemptEnd end)
{
    table.attemptFinished({.upstream = placement.upstream,
                           .route = upload,
                           .attempt = placement.attempt,
                           .end = end,
                           .startedAt = now,
                           .endedAt = now});
}

/** VMs of one zone that send uploads to one upstream, which crashes if the bodies that it holds
 * exceed its memory. */
class UploadingFleet
{
public:
    UploadingFleet(bool enabled, std::uint64_t seed)
        : random_(seed)
    {
        for (int i = 0; i < vms; ++i) {
            tables_.emplace_back(tableOptions(enabled), seed + static_cast<std::uint64_t>(i));
            tables_.back().setLimitShares({}, {.own = 1.0 / vms, .pool = 1.0 / vms});
            tables_.back().update(start, entryOf("u"));
        }
    }

    void run(core::Micros duration)
    {
        std::uniform_int_distribution<std::size_t> bytes(200'000, 600'000);
        for (core::MonoTime now = start; now < start + duration; now += core::Millis(20)) {
            while (!sent_.empty() && sent_.front().endsAt <= now) {
                finishFirst(now, AttemptEnd::Answered);
                ++served_;
            }
            for (UpstreamTable &table : tables_) {
                const std::size_t size = bytes(random_);
                if (const auto placement = send(table, now, size)) {
                    held_ += size;
                    sent_.push_back({&table, *placement, now + core::Millis(400)});
                }
            }
            highest_ = std::max(highest_, held_);
            if (held_ > memory)
                crash(now);
        }
    }
    int crashes() const { return crashes_; }
    int served() const { return served_; }
    std::size_t highestAfterCrash() const { return highest_; }

    static constexpr int vms = 12;
    static constexpr std::size_t memory = 24 * megabyte;

private:
    struct Sent
    {
        UpstreamTable *table;
        Placement placement;
        core::MonoTime endsAt {};
    };

    void finishFirst(core::MonoTime now, AttemptEnd end)
    {
        held_ -= sent_.front().placement.bodyBytes;
        finish(*sent_.front().table, now, sent_.front().placement, end);
        sent_.pop_front();
    }

    void crash(core::MonoTime now)
    {
        ++crashes_;
        while (!sent_.empty())
            finishFirst(now, AttemptEnd::Broken);
        for (UpstreamTable &table : tables_)
            table.update(now, entryOf("u", 1 + crashes_));
        highest_ = 0;
    }

    std::mt19937_64 random_;
    std::deque<UpstreamTable> tables_;
    std::deque<Sent> sent_; ///< In the order of their ends.
    std::size_t held_ = 0;
    std::size_t highest_ = 0; ///< Since the last crash.
    int crashes_ = 0;
    int served_ = 0;
};

} // namespace

// Failure guarded against: an upstream that cannot hold the bodies of 12 VMs crashes again and
// again, because each VM sends it more after its restart.
TEST_CASE("12 VMs keep an upstream below the bytes at which it crashed")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        UploadingFleet bounded(true, seed);
        bounded.run(core::Seconds(50));
        UploadingFleet unbounded(false, seed);
        unbounded.run(core::Seconds(50));
        CHECK(bounded.crashes() == 1);
        CHECK(unbounded.crashes() > 10);
        CHECK(bounded.highestAfterCrash() <= 6 * UploadingFleet::memory / 10);
        CHECK(bounded.served() > 2 * unbounded.served());
        MESSAGE("seed ", seed, ": served ", bounded.served(), " and ", unbounded.served(),
                ", crashes ", bounded.crashes(), " and ", unbounded.crashes());
    }
}

// Failure guarded against: a second crash at the same number of bytes raises the bound, or the
// bound never rises again.
TEST_CASE("an upstream that crashes twice at the same bytes has half of them as its bound")
{
    UpstreamByteLimiter limiter({.enabled = true});
    const UpstreamEntry entry = entryOf("u");
    const auto crash = [&](core::MonoTime now) {
        limiter.started(now, entry.id, 1, 4 * megabyte);
        limiter.ended(now, entry, UpstreamEnd::Restarted, 0.5);
        return limiter.boundOf(now, archive).value_or(0);
    };
    CHECK(!limiter.boundOf(start, archive));
    CHECK(crash(start) == doctest::Approx(4 * megabyte));
    CHECK(limiter.hasRoom(start, entry, 2 * megabyte, 0.5));
    CHECK(!limiter.hasRoom(start, entry, 2 * megabyte + 1, 0.5));
    CHECK(*limiter.boundOf(start + core::Seconds(59), archive) == doctest::Approx(4 * megabyte));
    CHECK(*limiter.boundOf(start + core::Seconds(60), archive) == doctest::Approx(4.4 * megabyte));
    CHECK(*limiter.boundOf(start + core::Seconds(600), archive) > 8 * megabyte);
    CHECK(crash(start + core::Seconds(600)) == doctest::Approx(4 * megabyte));
}

// Failure guarded against: an upstream that is stopped as planned, a single connection that breaks,
// or small bodies lower the bound; or a crash whose entry vanishes later does not.
TEST_CASE("the bound is learnt from crashes with many bytes only")
{
    const auto boundAfter = [](const std::vector<std::pair<std::size_t, AttemptEnd>> &bodies,
                               core::Micros removedAfter) {
        UpstreamTable table(tableOptions(true), 1);
        table.update(start, entryOf("u"));
        std::vector<Placement> sent;
        sent.reserve(bodies.size());
        for (const auto &[bytes, end] : bodies)
            sent.push_back(*send(table, start, bytes));
        for (std::size_t i = 0; i < bodies.size(); ++i)
            finish(table, start, sent[i], bodies[i].second);
        table.takeLimitReports(start + removedAfter, 10);
        table.remove(core::UpstreamId("u"));
        return table.byteBoundOf(start + removedAfter, archive).value_or(0);
    };
    const core::Micros soon {core::Seconds(2)};
    const core::Micros late {core::Seconds(6)};
    CHECK(boundAfter({{megabyte, AttemptEnd::Answered}}, soon) == 0);
    CHECK(boundAfter({{megabyte, AttemptEnd::Broken}}, late) == 0);
    CHECK(boundAfter({{megabyte, AttemptEnd::Broken}}, soon) == doctest::Approx(0.5 * megabyte));
    CHECK(boundAfter({{400'000, AttemptEnd::Broken}, {400'000, AttemptEnd::Broken}}, soon) == 0);
    CHECK(boundAfter({{megabyte, AttemptEnd::Broken}, {megabyte, AttemptEnd::Broken}}, late)
          == doctest::Approx(megabyte));
    CHECK(boundAfter({{megabyte, AttemptEnd::Broken}, {megabyte, AttemptEnd::Answered}}, late)
          == 0);
}

// Failure guarded against: a request beyond the bound goes to the upstream, is refused although
// another one has room, or blocks small requests.
TEST_CASE("a request beyond the bound goes to another upstream, or waits without blocking others")
{
    UpstreamTable table(tableOptions(true), 1);
    table.update(start, entryOf("u", 1));
    CHECK(send(table, start, 4 * megabyte));
    table.update(start, entryOf("u", 2));
    Dispatcher<UpstreamTable> dispatcher(table, {});
    dispatcher.setFleetShare(1);
    const Route route {.id = upload,
                       .timeout = core::Seconds(5),
                       .targetLatency = core::Seconds(2),
                       .maxAttempts = 2};
    const auto requestOf = [&](std::size_t bytes) {
        return DispatchRequest {.service = archive,
                                .route = &route,
                                .bodyBytes = bytes,
                                .arrivedAt = start,
                                .deadline = start + core::Seconds(5)};
    };
    DispatchRequest first = requestOf(2 * megabyte);
    const DispatchResult sent = dispatcher.submit(start, first);
    REQUIRE(sent.placement);
    // It can never fit, so it does not wait.
    CHECK(dispatcher.submit(start, requestOf(3 * megabyte)).refusal
          == PlacementFailure::LimitReached);
    const DispatchResult waiting = dispatcher.submit(start, requestOf(megabyte));
    CHECK(waiting.wait);
    CHECK(dispatcher.submit(start, requestOf(0)).placement);
    table.update(start, entryOf("v"));
    const auto decided = dispatcher.dispatchWaiting(start);
    REQUIRE(decided.size() == 1);
    REQUIRE(decided.front().result.placement);
    CHECK(decided.front().result.placement->upstream == core::UpstreamId("v"));
}
