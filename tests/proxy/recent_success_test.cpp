/** @file recent_success_test.cpp Rates, switch and choices of the preference for recent successes.
 */
#include "placement/upstream_table_base.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace teaselreach;
using namespace teaselreach::proxy;

namespace {

constexpr core::MonoTime start {core::Seconds(100)};
const core::ServiceId service("slot");
const core::UpstreamId recent("recent");
const core::UpstreamId old("old");

/** A table with two upstreams, one of which had a success just before the returned time. Others
 * began to fail often enough for a rate. */
struct PreferringTable
{
    PreferringTable()
    {
        for (const core::UpstreamId &id : {recent, old})
            add(id, "here");
        for (int i = 0; i < 20; ++i) {
            const core::UpstreamId failing("far" + std::to_string(i));
            add(failing, "far");
            table.peerOutcomeReported(now, {.upstream = failing});
            table.peerOutcomeReported(now, {.upstream = failing, .failed = true});
        }
        now += core::Seconds(2);
        table.peerOutcomeReported(now, {.upstream = recent});
        table.peerOutcomeReported(now - core::Millis(900), {.upstream = old});
    }
    void add(const core::UpstreamId &id, const std::string &zone)
    {
        table.update(now,
                     {.id = id,
                      .service = service,
                      .address = "127.0.0.9",
                      .port = 80,
                      .availabilityZone = core::AvailabilityZoneId(zone),
                      .slots = 2});
    }
    std::optional<Placement> choose(bool idempotent = false, bool prefersOldSuccess = false)
    {
        return table
            .choose(now,
                    {.service = service,
                     .route = core::RouteId("booking"),
                     .idempotent = idempotent,
                     .targetLatency = core::Millis(500),
                     .timeLeft = core::Millis(1500),
                     .prefersOldSuccess = prefersOldSuccess})
            .placement;
    }
    /** @return Number of 200 choices, without sending, that are the upstream. */
    int choicesOf(const core::UpstreamId &id, bool idempotent, bool prefersOldSuccess)
    {
        int count = 0;
        for (int i = 0; i < 200; ++i)
            count += choose(idempotent, prefersOldSuccess)->upstream == id ? 1 : 0;
        return count;
    }

    core::MonoTime now = start;
    UpstreamTable table {
        {.self = {core::AvailabilityZoneId("here"), core::RegionId("west")},
         .regionOfZone = {{core::AvailabilityZoneId("here"), core::RegionId("west")},
                          {core::AvailabilityZoneId("far"), core::RegionId("east")}},
         .prefersRecentSuccess = true},
        1};
};

} // namespace

TEST_CASE("the onset rate is zero at first, follows the failures, is bounded and ages")
{
    OnsetRate rate;
    core::MonoTime now = start;
    const core::UpstreamId first("u");
    rate.succeeded(now, first);
    rate.failed(now, first);
    CHECK(rate.perSecond(now) == 0); // A single time-out would count as a rate.
    // Twenty upstreams that fail every 10 s and answer once more in each failing period.
    for (int tenth = 0; tenth < 1200; ++tenth, now += core::Millis(100)) {
        for (int i = 0; i < 20; ++i) {
            const core::UpstreamId id("u" + std::to_string(i));
            const int phase = (tenth + 5 * i) % 100;
            if (phase == 0 || phase == 2)
                rate.failed(now, id);
            else
                rate.succeeded(now, id);
        }
    }
    CHECK(rate.perSecond(now) == doctest::Approx(0.1).epsilon(0.15));
    for (int second = 0; second < 60; ++second, now += core::Seconds(1)) {
        for (int i = 0; i < 20; ++i)
            rate.succeeded(now, core::UpstreamId("u" + std::to_string(i)));
    }
    CHECK(rate.perSecond(now) == doctest::Approx(0.1 * std::exp(-2)).epsilon(0.2));
    CHECK(rate.perSecond(now + core::Seconds(600)) == 0);
    for (int i = 0; i < 5000; ++i) {
        const core::UpstreamId id("v" + std::to_string(i));
        rate.succeeded(now, id);
        rate.failed(now, id);
    }
    CHECK(rate.perSecond(now) == 0.5);
}

TEST_CASE("the preference is off while requests are not served and for two seconds after")
{
    RecentSuccessPreference preference;
    core::MonoTime now = start;
    CHECK(preference.ratePerSecond(now, service) == 0);
    for (int i = 0; i < 5; ++i) {
        const core::UpstreamId id("u" + std::to_string(i));
        preference.outcome(now, service, id, false);
        preference.outcome(now, service, id, true);
    }
    const auto finish = [&](int requests, int unserved) {
        for (int i = 0; i < requests; ++i)
            preference.requestFinished(now, service, i < requests - unserved);
    };
    finish(100, 5);
    CHECK(preference.ratePerSecond(now, service) > 0);
    finish(20, 2); // 7 of 120.
    CHECK(preference.ratePerSecond(now, service) == 0);
    CHECK_FALSE(preference.isPreferred(service));
    now += core::Millis(900);
    finish(100, 0); // 7 of 220 are more than 3 percent.
    CHECK(preference.ratePerSecond(now, service) == 0);
    now += core::Millis(200);
    finish(100, 0);
    now += core::Millis(1900);
    CHECK(preference.ratePerSecond(now, service) == 0);
    now += core::Millis(200);
    CHECK(preference.ratePerSecond(now, service) > 0);
    CHECK(preference.isPreferred(service));
    CHECK(preference.onsetRate(now, service) > 0);
}

TEST_CASE("a request that may not be retried goes to the upstream with the recent success")
{
    PreferringTable preferring;
    CHECK(preferring.choicesOf(recent, false, false) > 190);
    // While the retry budget is short, requests that may be retried are spread evenly.
    const int evenly = preferring.choicesOf(old, true, false);
    CHECK(evenly > 60);
    CHECK(evenly < 140);
    CHECK(preferring.choicesOf(old, true, true) > evenly);
}

TEST_CASE("the preference sends no more requests to an upstream than it has slots")
{
    PreferringTable preferring;
    for (int i = 0; i < 4; ++i) {
        std::optional<Placement> placement = preferring.choose();
        REQUIRE(placement);
        CHECK(placement->upstream == (i < 2 ? recent : old));
        preferring.table.attemptStarted(preferring.now, *placement);
    }
}

TEST_CASE("a success of a request sent before a failure does not return the upstream to use")
{
    PreferringTable preferring;
    const core::MonoTime sentAt = preferring.now;
    std::vector<Placement> sent;
    for (int i = 0; i < 2; ++i) {
        std::optional<Placement> placement = preferring.choose();
        REQUIRE(placement);
        REQUIRE(placement->upstream == recent);
        preferring.table.attemptStarted(sentAt, *placement);
        sent.push_back(*placement);
    }
    for (const AttemptEnd end : {AttemptEnd::ServerError, AttemptEnd::Answered}) {
        preferring.now += core::Millis(50);
        preferring.table.attemptFinished({.upstream = recent,
                                          .route = core::RouteId("booking"),
                                          .attempt = sent.back().attempt,
                                          .end = end,
                                          .startedAt = sentAt,
                                          .endedAt = preferring.now});
        sent.pop_back();
    }
    CHECK(preferring.table.takeReports().size() == 1);
    CHECK(preferring.choicesOf(recent, false, false) == 0);
}
