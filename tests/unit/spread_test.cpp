/** @file spread_test.cpp Tests of SpreadPolicy and MemberTable. */
#include "config/spread_policy_base.h"
#include "member/member_table_base.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <set>

using namespace teaselreach;
using namespace teaselreach::member;
using config::SpreadPolicy;

namespace {

constexpr core::MonoTime start {};

std::vector<core::EntryVm> makeList(int count)
{
    std::vector<core::EntryVm> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        list.push_back({.id = core::VmId("vm-" + std::to_string(i)),
                        .location = {core::AvailabilityZoneId("z" + std::to_string(i % 3)),
                                     core::RegionId(i % 3 == 0 ? "north" : "south")}});
    return list;
}

SpreadPolicy makePolicy(const std::vector<core::EntryVm> &list, std::size_t self)
{
    SpreadPolicy policy(list[self].id, list[self].location, {}, start);
    policy.setVmList(list);
    return policy;
}

MemberTable makeTable(const std::string &id, std::uint64_t incarnation)
{
    MemberTable table(core::VmId {id}, core::Incarnation {incarnation});
    table.setVmList({{.id = core::VmId("a")}, {.id = core::VmId("b")}, {.id = core::VmId("c")}});
    table.beginRound();
    return table;
}

/** Encodes a message, decodes it and delivers it. */
void send(MemberTable &from, MemberTable &to, core::MonoTime now)
{
    to.receive(memberMessageFromJson(toJson(from.makeMessage(to.ownEntry().vm))), now);
}

} // namespace

TEST_CASE("each zone has exactly two watchers, and a leaving watcher is replaced")
{
    auto list = makeList(30);
    const auto watchers = [&list] {
        std::map<core::AvailabilityZoneId, std::vector<std::size_t>> found;
        for (std::size_t i = 0; i < list.size(); ++i) {
            if (makePolicy(list, i).isWatcher())
                found[list[i].location.availabilityZone].push_back(i);
        }
        return found;
    };
    auto found = watchers();
    REQUIRE(found.size() == 3);
    for (const auto &[zone, ids] : found)
        CHECK(ids.size() == 2);
    list[found.begin()->second[0]].state = core::VmState::Leaving;
    for (const auto &[zone, ids] : watchers())
        CHECK(ids.size() == 2);
}

TEST_CASE("peers are distinct, never this VM, and cover zone, region and fleet")
{
    const auto list = makeList(30);
    const SpreadPolicy policy = makePolicy(list, 1);
    SpreadPolicy::Random random(7);
    std::set<core::VmId> anywhere;
    for (int round = 0; round < 500; ++round) {
        const auto targets = policy.exchangeTargets(random);
        REQUIRE(targets.size() == 3);
        CHECK(std::set(targets.begin(), targets.end()).size() == 3);
        CHECK(policy.pushTargets(random).size() == 4);
        anywhere.insert(targets.begin(), targets.end());
    }
    CHECK(anywhere.size() == 29);
    CHECK(!anywhere.contains(list[1].id));
}

TEST_CASE("a poll is due after the poll time and jitter without known contact with the store")
{
    SpreadPolicy policy = makePolicy(makeList(3), 0);
    SpreadPolicy::Random random(7);
    CHECK(policy.pollDue(start));
    policy.notePoll(start, random);
    CHECK_FALSE(policy.pollDue(start + core::Seconds(9)));
    policy.noteStoreContact(start + core::Seconds(8));
    CHECK_FALSE(policy.pollDue(start + core::Seconds(17)));
    CHECK(policy.pollDue(start + core::Seconds(24)));
    CHECK(*policy.storeAge(start + core::Seconds(9)) == core::Seconds(1));
}

TEST_CASE("the two directions of a link are tracked separately")
{
    MemberTable a = makeTable("a", 1);
    MemberTable b = makeTable("b", 1);
    const core::Seconds within(5);
    send(a, b, start);
    CHECK(b.viewOf(core::VmId("a")).lastHeardAt == start);
    CHECK(!b.viewOf(core::VmId("a")).lastAckedAt);
    send(b, a, start);
    CHECK(a.hasTwoWayContact(core::VmId("b"), start, within));
    CHECK_FALSE(b.hasTwoWayContact(core::VmId("a"), start, within));
    CHECK_FALSE(a.hasTwoWayContact(core::VmId("b"), start + core::Seconds(6), within));
}

TEST_CASE("reports by other VMs are not direct messages; old entries never replace newer ones")
{
    MemberTable a = makeTable("a", 1);
    MemberTable b = makeTable("b", 1);
    MemberTable c = makeTable("c", 1);
    const MemberMessage old = b.makeMessage(core::VmId("a"));
    b.setOwnState(core::VmState::Live, core::Revision(5));
    b.beginRound();
    send(b, c, start);
    send(c, a, start);
    CHECK(a.viewOf(core::VmId("b")).newest->revision == core::Revision(5));
    CHECK(!a.viewOf(core::VmId("b")).lastHeardAt);
    CHECK(a.vmsWithHigherRevision(core::Revision(4)) == std::vector {core::VmId("b")});
    a.receive(old, start);
    CHECK(a.viewOf(core::VmId("b")).newest->revision == core::Revision(5));
}

TEST_CASE("a daemon restarted with its clock set back raises its incarnation above the earlier one")
{
    MemberTable a = makeTable("a", 1);
    MemberTable before = makeTable("b", 9);
    send(before, a, start);
    MemberTable after = makeTable("b", 3);
    send(a, after, start);
    CHECK(after.ownEntry().incarnation > core::Incarnation(9));
}

TEST_CASE("messages are limited in size, and rotation reaches every VM")
{
    MemberTable table(core::VmId("self"), core::Incarnation(1));
    const auto list = makeList(100);
    table.setVmList(list);
    for (const core::EntryVm &vm : list)
        table.receive({.sender = {.vm = vm.id, .incarnation = core::Incarnation(1)}}, start);
    std::set<core::VmId> told;
    for (int i = 0; i < 4; ++i) {
        const MemberMessage message = table.makeMessage(list[0].id);
        CHECK(message.entries.size() == maxEntries);
        for (const MemberEntry &entry : message.entries)
            told.insert(entry.vm);
    }
    CHECK(told.size() == 100);
    nlohmann::json tooLong = toJson(table.makeMessage(list[0].id));
    tooLong["entries"].push_back(tooLong["entries"][0]);
    CHECK_THROWS_AS(memberMessageFromJson(tooLong), MalformedMessage);
    CHECK_THROWS_AS(memberMessageFromJson(nlohmann::json {{"sender", 3}}), MalformedMessage);
    table.setVmList({list[0]});
    CHECK(table.makeMessage(list[0].id).entries.size() == 1);
}
