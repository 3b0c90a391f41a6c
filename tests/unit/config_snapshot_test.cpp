/** @file config_snapshot_test.cpp Tests of the key and route lookups of ConfigSnapshot. */
#include "config/config_snapshot_base.h"
#include "core/digest_func.h"

#include <doctest/doctest.h>

using namespace teaselreach;

namespace {

config::ConfigSnapshot makeSnapshot()
{
    record::RecordSet records;
    records.keys = {{.id = core::KeyId("k1"),
                     .account = core::ClientAccountId("bakery"),
                     .digest = core::sha256Hex("secret-1")},
                    {.id = core::KeyId("k2"),
                     .account = core::ClientAccountId("bakery"),
                     .digest = core::sha256Hex("secret-2"),
                     .withdrawn = true}};
    records.routes = {
        {.id = core::RouteId("all"), .pathPrefix = "/slots"},
        {.id = core::RouteId("book"), .pathPrefix = "/slots/bookings", .methods = {"POST"}}};
    return config::ConfigSnapshot(core::Revision(7), std::move(records));
}

} // namespace

TEST_CASE("a withdrawn key is not found")
{
    const auto snapshot = makeSnapshot();
    REQUIRE(snapshot.findKey("secret-1") != nullptr);
    CHECK(snapshot.findKey("secret-1")->id == core::KeyId("k1"));
    CHECK(snapshot.findKey("secret-2") == nullptr);
    CHECK(snapshot.findKey("") == nullptr);
}

TEST_CASE("the longest prefix that allows the method matches, and only at path segment boundaries")
{
    const auto snapshot = makeSnapshot();
    CHECK(snapshot.matchRoute("POST", "/slots/bookings/3")->id == core::RouteId("book"));
    CHECK(snapshot.matchRoute("GET", "/slots/bookings/3")->id == core::RouteId("all"));
    CHECK(snapshot.matchRoute("GET", "/slotsX") == nullptr);
}
