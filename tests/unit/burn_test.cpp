/** @file burn_test.cpp Tests of the sliding-window counter, counting by account and the burn
 * report. */
#include "burn/burn_report_func.h"
#include "burn/burn_tracker_base.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <random>

using namespace teaselreach;

namespace {

constexpr core::MonoTime start {core::Seconds(7200)};

const record::Objective lookups {.id = core::ObjectiveId("lookups"),
                                 .service = core::ServiceId("slots"),
                                 .target = 0.99,
                                 .latency = core::Millis(500)};

burn::FinishedRequest makeRequest(const char *account, bool answered, core::Millis duration)
{
    return {.service = lookups.service,
            .account = core::ClientAccountId(account),
            .answered = answered,
            .duration = duration};
}

} // namespace

TEST_CASE("window counts match a recount of every request, also after the ring has wrapped")
{
    std::mt19937 random(3);
    burn::SlidingWindowCounter window;
    std::deque<std::pair<core::MonoTime, bool>> all;
    core::MonoTime now = start;
    for (int i = 0; i < 20000; ++i) {
        now += core::Seconds(random() % 120);
        const bool good = random() % 10 != 0;
        window.add(good, now);
        all.emplace_back(now, good);
        if (i % 500 != 0)
            continue;
        for (const core::Seconds length : {core::Seconds(300), core::Seconds(3600)}) {
            const auto minute = core::Micros(core::Seconds(60));
            const std::int64_t first = now.time_since_epoch() / minute - length.count() / 60 + 1;
            burn::RequestCounts expected;
            for (const auto &[time, wasGood] : all) {
                if (time.time_since_epoch() / minute < first)
                    continue;
                expected += {.good = wasGood ? 1U : 0U, .total = 1};
            }
            REQUIRE(window.count(length, now) == expected);
        }
    }
}

TEST_CASE("slow and failed requests count against the account that sent them, and no other")
{
    burn::BurnTracker tracker;
    tracker.setObjectives({lookups});
    for (int i = 0; i < 98; ++i)
        tracker.countRequest(makeRequest("bakery", true, core::Millis(20)), start);
    tracker.countRequest(makeRequest("bakery", true, core::Millis(501)), start);
    tracker.countRequest(makeRequest("bakery", false, core::Millis(20)), start);
    tracker.countRequest(makeRequest("cafe", true, core::Millis(20)), start);
    const auto rows = burn::mergeSamples(tracker.samples(start));
    REQUIRE(rows.size() == 2);
    CHECK(rows[0].account == core::ClientAccountId("bakery"));
    CHECK(burn::burnRate(rows[0].counts[0], rows[0].target) == doctest::Approx(2.0));
    CHECK(burn::budgetLeft(rows[0]) == doctest::Approx(-1.0));
    CHECK(burn::burnRate(rows[1].counts[0], rows[1].target) == 0);
}

TEST_CASE("a new configuration keeps the counts of objectives that it still contains")
{
    burn::BurnTracker tracker;
    tracker.setObjectives({lookups});
    tracker.countRequest(makeRequest("bakery", true, core::Millis(20)), start);
    record::Objective other = lookups;
    other.id = core::ObjectiveId("other");
    tracker.setObjectives({lookups, other});
    CHECK(tracker.samples(start).size() == 1);
    tracker.setObjectives({other});
    CHECK(tracker.samples(start).empty());
}

TEST_CASE("accounts beyond the limit share one counter, so that memory stays bounded")
{
    burn::BurnTracker tracker;
    tracker.setObjectives({lookups});
    for (int i = 0; i < 2500; ++i)
        tracker.countRequest(makeRequest(std::to_string(i).c_str(), true, core::Millis(1)), start);
    const auto samples = tracker.samples(start);
    CHECK(samples.size() == 2001);
    std::uint64_t total = 0;
    for (const burn::BurnSample &sample : samples)
        total += sample.counts[0].total;
    CHECK(total == 2500);
}

TEST_CASE("the report sums daemons, survives a JSON round trip and lists unreachable VMs")
{
    burn::BurnTracker first;
    burn::BurnTracker second;
    for (burn::BurnTracker *tracker : {&first, &second}) {
        tracker->setObjectives({lookups});
        tracker->countRequest(makeRequest("bakery", true, core::Millis(20)), start);
    }
    auto samples = burn::samplesFromJson(burn::samplesToJson(first.samples(start)));
    const auto more = burn::samplesFromJson(burn::samplesToJson(second.samples(start)));
    samples.insert(samples.end(), more.begin(), more.end());
    const burn::BurnReport report {.rows = burn::mergeSamples(samples),
                                   .answered = {core::VmId("a"), core::VmId("b")},
                                   .unreachable = {core::VmId("vm<3>")}};
    CHECK(report.rows.at(0).counts[0].total == 2);
    CHECK(burn::reportAsTable(report).find("not reached: vm<3>") != std::string::npos);
    CHECK(burn::reportAsJson(report).at("unreachable").at(0) == "vm<3>");
    CHECK(burn::reportAsSvg(report).find("vm&lt;3&gt;") != std::string::npos);
    CHECK_THROWS_AS(burn::samplesFromJson({{{"objective", "x"}}}), burn::BurnSampleMalformed);
}
