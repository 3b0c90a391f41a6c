/** @file entry_address_test.cpp Tests of chooseEntryAddresses(). */
#include "entry/entry_address_func.h"

#include <doctest/doctest.h>

#include <set>

using namespace teaselreach;

namespace {

std::vector<core::EntryVm> makeVms(int count, int zones)
{
    std::vector<core::EntryVm> vms;
    vms.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        vms.push_back({.id = core::VmId("vm" + std::to_string(i)),
                       .location = {core::AvailabilityZoneId(std::to_string(i % zones)),
                                    core::RegionId(std::to_string(i % zones % 3))}});
    }
    return vms;
}

entry::EntryQuery queryOf(int account)
{
    return {.account = core::ClientAccountId("account" + std::to_string(account))};
}

} // namespace

TEST_CASE("a leaving VM is never an entry address, even if it is a home")
{
    std::vector<core::EntryVm> vms = makeVms(4, 2);
    vms[1].state = core::VmState::Leaving;
    entry::EntryQuery query = queryOf(1);
    query.homes = {vms[1].id, vms[2].id};
    query.count = 4;
    const auto chosen = entry::chooseEntryAddresses(vms, query);
    REQUIRE(chosen.size() == 3);
    CHECK(chosen[0].id == vms[2].id);
    for (const core::EntryVm &vm : chosen)
        CHECK(vm.id != vms[1].id);
}

TEST_CASE("the addresses cover two zones, so that one remains if a zone fails")
{
    const auto vms = makeVms(40, 6);
    for (int account = 0; account < 200; ++account) {
        entry::EntryQuery query = queryOf(account);
        query.callerZone = core::AvailabilityZoneId("3");
        const auto chosen = entry::chooseEntryAddresses(vms, query);
        REQUIRE(chosen.size() == 3);
        CHECK(chosen[0].location.availabilityZone.str() == "3");
        std::set<core::AvailabilityZoneId> zones;
        for (const core::EntryVm &vm : chosen)
            zones.insert(vm.location.availabilityZone);
        CHECK(zones.size() >= 2);
    }
    CHECK(entry::chooseEntryAddresses(makeVms(1, 1), queryOf(1)).size() == 1);
    CHECK(entry::chooseEntryAddresses({}, queryOf(1)).empty());
}

TEST_CASE("accounts are spread evenly over VMs, and a loaded VM ranks first for fewer accounts")
{
    const auto vms = makeVms(40, 6);
    std::map<core::VmId, int> first;
    for (int account = 0; account < 4000; ++account) {
        entry::EntryQuery query = queryOf(account);
        query.load = {{vms[0].id, 0.5}, {vms[1].id, 0.95}};
        const auto chosen = entry::chooseEntryAddresses(vms, query);
        ++first[chosen[0].id];
    }
    CHECK(first[vms[1].id] == 0);
    CHECK(first[vms[0].id] < 80);
    for (const auto &[vm, accounts] : first)
        CHECK(accounts < 160);
}
