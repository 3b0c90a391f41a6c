/** @file platform_adapter_test.cpp Tests of the platform clients that need no running service. */
#include "store/http_store_base.h"
#include "vmlist/http_vm_list_base.h"

#include <doctest/doctest.h>

using namespace teaselreach;

namespace {

constexpr auto *entryText =
    R"({"id":"e1","address":"127.0.1.1","role":"entry","availability_zone":"a1","region":"r1",
        "state":"leaving","caller_port":8000,"control_port":8001})";

std::string listOf(const std::string &entries)
{
    return R"({"vms":[)" + entries + "]}";
}

} // namespace

TEST_CASE("the fields of entry VMs and upstreams are parsed")
{
    const auto list = vmlist::parseVmList(
        listOf(std::string(entryText)
               + R"(,{"id":"u1","address":"127.0.2.1","role":"upstream","service":"slot-desk",
              "availability_zone":"a2","region":"r1","state":"live","port":9000})"));
    REQUIRE(list.entryVms.size() == 1);
    REQUIRE(list.upstreams.size() == 1);
    CHECK(list.entryVms[0].state == core::VmState::Leaving);
    CHECK(list.entryVms[0].controlPort == 8001);
    CHECK(list.upstreams[0].service == core::ServiceId("slot-desk"));
    CHECK(list.upstreams[0].location.availabilityZone == core::AvailabilityZoneId("a2"));
}

TEST_CASE("a list with an invalid entry is rejected as a whole, so that no VM appears removed")
{
    CHECK_THROWS_AS(vmlist::parseVmList(listOf(std::string(entryText) + R"(,{"id":"e2"})")),
                    vmlist::VmListUnavailable);
    CHECK_THROWS_AS(vmlist::parseVmList("<html>"), vmlist::VmListUnavailable);
    CHECK_THROWS_AS(vmlist::parseVmList("{}"), vmlist::VmListUnavailable);
}

TEST_CASE("a write to an unreachable service is reported as not applied")
{
    store::HttpStore unreachable({.endpoints = {"http://127.0.0.1:1", "http://127.0.0.1:2"}});
    CHECK_THROWS_AS(unreachable.put("a", "1", store::StoreVersion(0)), store::StoreUnavailable);
    CHECK_THROWS_AS(unreachable.get("a"), store::StoreUnavailable);
    CHECK_THROWS_AS(unreachable.put("Upper", "1", store::StoreVersion(0)), store::StoreRejected);
}
