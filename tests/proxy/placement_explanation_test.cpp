/** @file placement_explanation_test.cpp Explanations agree with decisions and change nothing. */
#include "placement/dispatcher_base.h"
#include "proxy/placement_query_func.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace teaselreach;
using namespace teaselreach::proxy;

namespace {

constexpr core::MonoTime start {core::Seconds(100)};
const core::ServiceId service("slot");

UpstreamTableOptions options()
{
    return {.self = {core::AvailabilityZoneId("here"), core::RegionId("west")},
            .regionOfZone = {{core::AvailabilityZoneId("here"), core::RegionId("west")},
                             {core::AvailabilityZoneId("near"), core::RegionId("west")},
                             {core::AvailabilityZoneId("far"), core::RegionId("east")}}};
}

UpstreamEntry makeEntry(const std::string &id, const std::string &zone = "here")
{
    return {.id = core::UpstreamId(id),
            .service = service,
            .address = "127.0.0.9",
            .port = 80,
            .availabilityZone = core::AvailabilityZoneId(zone),
            .slots = 1};
}

PlacementRequest makeRequest()
{
    return {.service = service,
            .route = core::RouteId("booking"),
            .targetLatency = core::Millis(500),
            .timeLeft = core::Millis(1500)};
}

/** Sends one request to an upstream of the table. */
void startAt(UpstreamTable &table, const std::string &id)
{
    Placement placement {.upstream = core::UpstreamId(id)};
    table.attemptStarted(start, placement);
}

void finishAt(UpstreamTable &table, const std::string &id, const UpstreamStatus &status)
{
    Placement placement {.upstream = core::UpstreamId(id)};
    table.attemptStarted(start, placement);
    table.attemptFinished({.upstream = placement.upstream,
                           .route = core::RouteId("booking"),
                           .attempt = placement.attempt,
                           .startedAt = start,
                           .endedAt = start,
                           .status = status});
}

std::string reasonOf(const PlacementExplanation &explanation, const std::string &id)
{
    for (const CandidateExplanation &candidate : explanation.candidates) {
        if (candidate.upstream.str() == id)
            return std::string(candidateReason(candidate));
    }
    return "missing";
}

} // namespace

TEST_CASE("an explanation gives another reason than the decision rests on")
{
    UpstreamTable table(options(), 1);
    table.setLimitShares({}, {});
    table.setServices(start, {{.id = service, .coldPerSecond = 1}});
    UpstreamEntry draining = makeEntry("draining");
    draining.draining = true;
    table.update(start, draining);
    UpstreamEntry cold = makeEntry("cold");
    cold.warmupLeft = core::Seconds(5);
    table.update(start, cold);
    for (const char *id : {"good", "good too", "full", "limited", "holding"})
        table.update(start, makeEntry(id));
    table.update(start, makeEntry("evacuated", "near"));
    table.update(start, makeEntry("abroad", "far"));
    table.beginEvacuation(core::AvailabilityZoneId("near"));
    startAt(table, "full");
    startAt(table, "full");
    finishAt(table, "limited", {.limit = RequestRate {0}});
    finishAt(table, "holding", {.retryAfter = core::Seconds(5)});
    PlacementRequest request = makeRequest();
    request.allowedRegions = RegionSet::of({core::RegionId("west")});
    const PlacementExplanation explanation = table.explain(start, request);
    REQUIRE(explanation.selected);
    const std::string selected = explanation.selected->str();
    CHECK(selected.starts_with("good"));
    CHECK(reasonOf(explanation, selected) == "selected");
    CHECK(reasonOf(explanation, selected == "good" ? "good too" : "good") == "tied");
    CHECK(reasonOf(explanation, "draining") == "draining");
    CHECK(reasonOf(explanation, "cold") == "cold limit");
    CHECK(reasonOf(explanation, "full") == "full");
    CHECK(reasonOf(explanation, "limited") == "limit");
    CHECK(reasonOf(explanation, "holding") == "holding off");
    CHECK(reasonOf(explanation, "evacuated") == "evacuated");
    CHECK(reasonOf(explanation, "abroad") == "other region");
}

TEST_CASE("an explanation names an upstream that is too slow or worse as usable")
{
    UpstreamTable table(options(), 1);
    table.update(start, makeEntry("local"));
    table.update(start, makeEntry("abroad", "far"));
    PlacementExplanation explanation = table.explain(start, makeRequest());
    CHECK(reasonOf(explanation, "local") == "selected");
    CHECK(reasonOf(explanation, "abroad") == "worse estimate");
    PlacementRequest late = makeRequest();
    late.timeLeft = core::Millis(1);
    explanation = table.explain(start, late);
    CHECK(!explanation.selected);
    CHECK(explanation.failure == PlacementFailure::TooLate);
    CHECK(reasonOf(explanation, "local") == "too late");
}

TEST_CASE("an explanation changes later decisions, or names an upstream that is not selected")
{
    constexpr int decisions = 500;
    UpstreamTable asked(options(), 7);
    UpstreamTable unasked(options(), 7);
    for (int i = 0; i < 12; ++i) {
        const UpstreamEntry entry = makeEntry("u" + std::to_string(i),
                                              i % 3 == 0       ? "near"
                                                  : i % 3 == 1 ? "far"
                                                               : "here");
        asked.update(start, entry);
        unasked.update(start, entry);
    }
    std::mt19937_64 random(3);
    core::MonoTime now = start;
    for (int i = 0; i < decisions; ++i) {
        now += core::Millis(random() % 40);
        const PlacementExplanation explanation = asked.explain(now, makeRequest());
        PlacementResult result = asked.choose(now, makeRequest());
        const PlacementResult other = unasked.choose(now, makeRequest());
        REQUIRE(result.placement.has_value() == other.placement.has_value());
        REQUIRE(result.placement.has_value() == explanation.selected.has_value());
        if (!result.placement) {
            REQUIRE(explanation.failure == result.reason);
            continue;
        }
        REQUIRE(result.placement->upstream == other.placement->upstream);
        const std::string reason = reasonOf(explanation, result.placement->upstream.str());
        REQUIRE((reason == "selected" || reason == "tied"));
        const AttemptEnd end = random() % 2 == 0 ? AttemptEnd::Answered : AttemptEnd::ServerError;
        for (UpstreamTable *table : {&asked, &unasked}) {
            Placement placement = *result.placement;
            table->attemptStarted(now, placement);
            table->attemptFinished({.upstream = placement.upstream,
                                    .route = core::RouteId("booking"),
                                    .attempt = placement.attempt,
                                    .end = end,
                                    .startedAt = now,
                                    .endedAt = now + core::Millis(20)});
        }
    }
}

TEST_CASE("malformed questions are answered instead of refused")
{
    const auto errorOf = [](const std::string &parameters) {
        const auto result = parsePlacementQuery("/explain?" + parameters);
        const auto *error = std::get_if<PlacementQueryError>(&result);
        return error == nullptr ? std::string() : error->parameter;
    };
    CHECK(errorOf("host=a&path=/b").empty());
    CHECK(errorOf("path=/b") == "host");
    CHECK(errorOf("host=a&path=b") == "path");
    CHECK(errorOf("host=a&host=c&path=/b") == "host");
    CHECK(errorOf("host=a&path=/b&size=3") == "size");
    CHECK(errorOf("host=a&path=/b&bytes=-1") == "bytes");
    CHECK(errorOf("host=a&path=/b&bytes=99999999999999999999") == "bytes");
    CHECK(errorOf("host=a&path=%zz") == "path");
    CHECK(errorOf("host=a&path") == "path");
    const PlacementQuery query {.host = "a b", .path = "/x?y=1&z", .method = "GET"};
    const auto again = parsePlacementQuery(placementQueryTarget("/explain", query));
    REQUIRE(std::holds_alternative<PlacementQuery>(again));
    CHECK(std::get<PlacementQuery>(again).host == query.host);
    CHECK(std::get<PlacementQuery>(again).path == query.path);
}
