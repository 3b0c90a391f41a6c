/** @file platform_adapter_test.cpp Tests of the platform clients that need no running service. */
#include "store/http_store_base.h"
#include "vmlist/http_vm_list_base.h"

#include <doctest/doctest.h>

#include <algorithm>

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

TEST_CASE("a list without a valid entry, or that is no list, removes all VMs")
{
    for (const char *text :
         {"<html>", "{}", R"({"vms":[{"id":"e2"}]})", R"({"vms":7})", R"({"vms":[[]]})"})
        CHECK_THROWS_AS(vmlist::parseVmList(text), vmlist::VmListUnavailable);
    const std::string nested = std::string(100000, '[') + std::string(100000, ']');
    CHECK_THROWS_AS(vmlist::parseVmList(listOf(nested)), vmlist::VmListUnavailable);
}

TEST_CASE(
    "an invalid entry makes its VM or another one look removed, or hides the changes of others")
{
    const auto idsOf = [](const core::VmList &list) {
        std::vector<std::string> ids;
        for (const core::EntryVm &vm : list.entryVms)
            ids.push_back(vm.id.str());
        for (const core::UpstreamVm &vm : list.upstreams)
            ids.push_back(vm.id.str());
        std::sort(ids.begin(), ids.end());
        return ids;
    };
    using Ids = std::vector<std::string>;
    const std::string upstream = R"({"id":"u1","address":"127.0.2.1","role":"upstream",
        "service":"slot-desk","availability_zone":"a2","region":"r1","state":"live","port":9000})";
    const std::string second = R"({"id":"u2","address":"127.0.2.2","role":"upstream",
        "service":"slot-desk","availability_zone":"a2","region":"r1","state":"live","port":9000})";
    const core::VmList last = vmlist::parseVmList(listOf(entryText + ("," + upstream)));
    REQUIRE(idsOf(last) == Ids {"e1", "u1"});
    // The invalid entry names u1: it stays as it was, e1 has left and u2 has come.
    for (const char *odd :
         {R"({"id":"u1"})", R"({"id":"u1","role":"upstream","service":"s","address":"a",
             "availability_zone":"z","region":"r","state":"live","port":99999})",
          R"({"id":"u1","role":"upstream","service":"s","address":"a","availability_zone":"z",
             "region":"r","state":"live","port":1e99})"}) {
        const core::VmList list =
            vmlist::parseVmList(listOf(second + ("," + std::string(odd))), last);
        CHECK(idsOf(list) == Ids {"u1", "u2"});
        CHECK(list.upstreams.back().port == 9000);
    }
    // Nobody knows for which VM these stand, so none is removed.
    for (const char *odd : {R"({"id":"u9"})", R"({"role":"entry"})", "[]", "null", R"({"id":7})"})
        CHECK(idsOf(vmlist::parseVmList(listOf(second + ("," + std::string(odd))), last))
              == Ids {"e1", "u1", "u2"});
    // A later valid list removes what has left.
    CHECK(idsOf(vmlist::parseVmList(listOf(second), last)) == Ids {"u2"});
}

TEST_CASE("a write to an unreachable service is reported as not applied")
{
    store::HttpStore unreachable({.endpoints = {"http://127.0.0.1:1", "http://127.0.0.1:2"}});
    CHECK_THROWS_AS(unreachable.put("a", "1", store::StoreVersion(0)), store::StoreUnavailable);
    CHECK_THROWS_AS(unreachable.get("a"), store::StoreUnavailable);
    CHECK_THROWS_AS(unreachable.put("Upper", "1", store::StoreVersion(0)), store::StoreRejected);
}
