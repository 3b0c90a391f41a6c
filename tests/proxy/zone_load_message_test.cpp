/** @file zone_load_message_test.cpp Reports on the load of zones in messages, and their exchange.
 */
#include "fleet/zone_load_exchange_base.h"
#include "fleet/zone_load_message_func.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace teaselreach;
using namespace teaselreach::proxy;

namespace {

ZoneLoadReport reportNumber(int number)
{
    return {
        .service = core::ServiceId("service-" + std::to_string(number)),
        .zone = core::AvailabilityZoneId("zone"),
        .age = core::Millis(30),
        .load = {.demandPerSecond = 12.5, .slots = 40, .freeSlots = 7.5, .refusedPerSecond = 0.5}};
}

nlohmann::json encodedBody(const PeerMessage &message)
{
    return nlohmann::json::from_msgpack(encodeMessage(message));
}

PeerMessage messageWith(int reports)
{
    PeerMessage message {.sender = core::VmId("vm")};
    for (int i = 0; i < reports; ++i)
        message.zoneLoads.push_back(reportNumber(i));
    return message;
}

std::optional<PeerMessage> decodeBody(const nlohmann::json &body)
{
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(body);
    return decodeMessage({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

} // namespace

TEST_CASE("reports survive a message, and without them it is as before")
{
    const auto decoded = decodeMessage(encodeMessage(messageWith(1)));
    REQUIRE(decoded);
    REQUIRE(decoded->zoneLoads.size() == 1);
    const ZoneLoadReport &report = decoded->zoneLoads.front();
    CHECK(report.sender == core::VmId("vm"));
    CHECK(report.service == core::ServiceId("service-0"));
    CHECK(report.zone == core::AvailabilityZoneId("zone"));
    CHECK(report.age == core::Millis(30));
    CHECK(report.load.demandPerSecond == doctest::Approx(12.5));
    CHECK(report.load.slots == doctest::Approx(40));
    CHECK(report.load.freeSlots == doctest::Approx(7.5));
    CHECK(report.load.refusedPerSecond == doctest::Approx(0.5));
    CHECK(!decoded->view);
    CHECK(encodedBody(messageWith(0)).size() == 5);
    PeerMessage pooled = messageWith(0);
    pooled.view = PoolView {.digest = 9};
    CHECK(encodedBody(pooled).at(5).size() == 2);
}

TEST_CASE("an earlier version reads a message with reports as one without")
{
    // It reads the first two elements of the view if there is one, and a history after it.
    PeerMessage message = messageWith(2);
    const nlohmann::json alone = encodedBody(message);
    CHECK(alone.size() == 6);
    CHECK(alone.at(5).at(0).get<std::uint64_t>() == 0); // It does not pool its share.
    CHECK(!alone.at(5).at(1).get<bool>());
    message.view = PoolView {.digest = 9, .asksHistory = true};
    message.history = UsageHistory {.isComplete = true};
    const nlohmann::json pooled = encodedBody(message);
    CHECK(pooled.size() == 7);
    CHECK(pooled.at(5).at(0).get<std::uint64_t>() == 9);
    CHECK(pooled.at(6).at(0).get<bool>());
    const auto decoded = decodeMessage(encodeMessage(message));
    REQUIRE(decoded);
    CHECK(decoded->view->digest == 9);
    CHECK(decoded->history->isComplete);
    CHECK(decoded->zoneLoads.size() == 2);
}

TEST_CASE("a message has at most 12 reports, and they never make it longer than a packet")
{
    CHECK(decodeMessage(encodeMessage(messageWith(20)))->zoneLoads.size() == 12);
    PeerMessage message = messageWith(12);
    for (ZoneLoadReport &report : message.zoneLoads)
        report.service = core::ServiceId(std::string(200, 'x'));
    const std::string bytes = encodeMessage(message);
    CHECK(bytes.size() <= 1400);
    CHECK(decodeMessage(bytes)->zoneLoads.size() >= 5);
    // Other elements that already fill the packet are kept.
    for (int i = 0; i < 40; ++i)
        message.outcomes.push_back({.upstream = core::UpstreamId(std::string(40, 'u'))});
    const auto full = decodeMessage(encodeMessage(message));
    CHECK(full->outcomes.size() == 40);
    CHECK(full->zoneLoads.empty());
    CHECK(!full->view);
}

TEST_CASE("a malformed report is counted, and the rest of the message is used")
{
    nlohmann::json body = encodedBody(messageWith(3));
    body[5][2][1] = {"service", 7};
    body[5][2][2][3] = "many";
    const auto decoded = decodeBody(body);
    REQUIRE(decoded);
    CHECK(decoded->zoneLoads.size() == 1);
    CHECK(decoded->malformedZoneLoads == 2);
    body[5][2] = "none";
    CHECK(decodeBody(body)->malformedZoneLoads == 1);
    body = encodedBody(messageWith(1));
    body[5][2][0][2] = -5; // A report from the future.
    body[5][2][0][3] = 1e300;
    UpstreamTable table({.regionOfZone = {{core::AvailabilityZoneId("zone"), core::RegionId("r")}},
                         .zoneLoad = {.enabled = true}},
                        1);
    ZoneLoadExchange exchange(table);
    exchange.receive(core::MonoTime(core::Seconds(1000)), *decoded);
    exchange.receive(core::MonoTime(core::Seconds(1000)), *decodeBody(body));
    CHECK(table.zoneLoads()->rejected() == 3);
}

TEST_CASE("without the setting a VM neither sends nor reads reports")
{
    UpstreamTable table({}, 1);
    ZoneLoadExchange exchange(table);
    const core::MonoTime now {core::Seconds(1000)};
    table.update(now, {.id = core::UpstreamId("u"), .service = core::ServiceId("s"), .slots = 1});
    table.requestArrived(now, core::ServiceId("s"), {});
    exchange.measure(now);
    exchange.receive(now, messageWith(3));
    CHECK(exchange.reportsForRegion(now).empty());
    CHECK(exchange.reportsForOtherRegions(now).empty());
    metrics::Registry registry;
    exchange.publishMetrics(registry);
    CHECK(registry.prometheusText(now).find("zone") == std::string::npos);
}
