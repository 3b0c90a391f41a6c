/** @file standins_test.cpp Tests of the adapters against the stand-ins, and of the stand-ins. */
#include "standins/free_port.h"
#include "standins/kv_store_base.h"
#include "standins/relay_base.h"
#include "standins/upstream_base.h"
#include "standins/vm_list_base.h"
#include "store/http_store_base.h"
#include "vmlist/http_vm_list_base.h"

#include <doctest/doctest.h>

#include <array>
#include <fstream>
#include <future>
#include <set>
#include <thread>

using namespace teaselreach;
using namespace std::chrono_literals;
using store::StoreVersion;

namespace {

/** Polls a condition for at most 5 s. */
template <typename Condition>
bool eventually(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(2ms);
    }
    return true;
}

store::HttpAnswer callUpstream(const std::string &url, const std::string &path,
                               core::Millis timeout = 2s)
{
    store::HttpPool pool;
    return pool.perform({.url = url + path, .timeout = timeout});
}

} // namespace

TEST_CASE("a free port is named once, also while nobody has bound it")
{
    // Two daemons of soak seed 404 were given the same port; one could not start again.
    std::set<std::uint16_t> ports;
    for (int i = 0; i < 2000; ++i)
        REQUIRE(ports.insert(standins::freePort("127.0.0.1")).second);
}

TEST_CASE("a named port is taken by an outgoing connection before its server binds it")
{
    int firstEphemeral = 0;
    std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> firstEphemeral;
    REQUIRE(firstEphemeral > 0);
    for (int i = 0; i < 100; ++i)
        CHECK(standins::freePort("127.0.0.1") < firstEphemeral);
}

TEST_CASE("compare-and-swap reports the present version to the writer that lost")
{
    standins::KvStore service({});
    store::HttpStore client({.endpoints = {service.url()}});
    const StoreVersion first = client.put("head", "a", StoreVersion(0));
    const StoreVersion second = client.put("head", "b", first);
    try {
        client.put("head", "c", first);
        FAIL("the write with an old version was accepted");
    } catch (const store::StoreConflict &conflict) {
        CHECK(conflict.current() == second);
    }
    CHECK(client.get("head")->value == "b");
    CHECK_THROWS_AS(client.remove("head", first), store::StoreConflict);
    client.remove("head", second);
    CHECK_FALSE(client.get("head"));
    CHECK_THROWS_AS(client.remove("head", second), store::StoreConflict);
}

TEST_CASE("no increment is lost when several threads share one client")
{
    standins::KvStore service({});
    store::HttpStore client({.endpoints = {service.url()}});
    client.put("count", "0", StoreVersion(0));
    const auto increment = [&] {
        for (int done = 0; done < 20;) {
            const store::StoredValue seen = *client.get("count");
            try {
                client.put("count", std::to_string(std::stoi(seen.value) + 1), seen.version);
                ++done;
            } catch (const store::StoreConflict &) {
                continue;
            }
        }
    };
    {
        std::array<std::jthread, 4> writers;
        for (std::jthread &writer : writers)
            writer = std::jthread(increment);
    }
    CHECK(client.get("count")->value == "80");
}

TEST_CASE("values up to the limit pass unchanged and larger ones are refused")
{
    standins::KvStore service({});
    store::HttpStore client({.endpoints = {service.url()}});
    const std::string largest(store::maxValueBytes, '"');
    client.put("group/a", largest, StoreVersion(0));
    CHECK(client.get("group/a")->value == largest);
    CHECK_THROWS_AS(client.put("group/b", largest + "x", StoreVersion(0)), store::StoreRejected);
    CHECK_THROWS_AS(client.put("group/b", "\xff", StoreVersion(0)), store::StoreRejected);
}

TEST_CASE("a watch wakes on a write, counts as one call and ends empty after its time")
{
    standins::KvStore service({});
    store::HttpStore client({.endpoints = {service.url()}});
    const StoreVersion first = client.put("head", "a", StoreVersion(0));
    CHECK_FALSE(client.watch("head", first, 20ms));
    auto watch = std::async(std::launch::async, [&] { return client.watch("head", first, 30s); });
    REQUIRE(eventually([&] { return service.counters()["GET /watch"] == 2; }));
    client.put("head", "b", first);
    REQUIRE(watch.wait_for(5s) == std::future_status::ready);
    CHECK(watch.get()->value == "b");
    CHECK(service.counters()["GET /watch"] == 2);
}

TEST_CASE("an outage is reported as surely not applied, and another endpoint takes over")
{
    standins::KvStore broken({});
    standins::KvStore working({});
    broken.setFaults({.outage = true});
    store::HttpStore single({.endpoints = {broken.url()}});
    CHECK_THROWS_AS(single.put("head", "a", StoreVersion(0)), store::StoreUnavailable);
    store::HttpStore both({.endpoints = {broken.url(), working.url()}});
    both.put("head", "a", StoreVersion(0));
    CHECK(both.get("head")->value == "a");
    broken.setFaults({});
    CHECK_FALSE(single.get("head"));
}

TEST_CASE("a lost answer leaves the outcome unknown and is not tried at another endpoint")
{
    standins::KvStore service({});
    standins::KvStore other({});
    store::HttpStore client({.endpoints = {service.url(), other.url()}});
    CHECK_FALSE(client.get("head"));
    service.setFaults({.loseAnswers = true});
    CHECK_THROWS_AS(client.put("head", "a", StoreVersion(0)), store::StoreOutcomeUnknown);
    CHECK(client.get("head")->value == "a");
    CHECK(service.counters()["PUT /kv"] == 1);
    CHECK(other.counters().empty());
}

TEST_CASE("a write that times out after it was sent has an unknown outcome")
{
    standins::KvStore service({});
    store::HttpStore client({.endpoints = {service.url()}, .requestTimeout = 50ms});
    service.setFaults({.delay = 300ms});
    CHECK_THROWS_AS(client.put("head", "a", StoreVersion(0)), store::StoreOutcomeUnknown);
    service.setFaults({});
    CHECK(eventually([&] { return client.get("head").has_value(); }));
}

TEST_CASE("a key bound to a lease ends with the lease")
{
    standins::KvStore service({});
    store::HttpPool pool;
    store::HttpStore client({.endpoints = {service.url()}});
    const std::string url = service.url();
    pool.perform({.method = "POST", .url = url + "/lease", .body = R"({"ttl_ms":60000})"});
    const std::string put = R"({"value":"v","expect_version":0,"lease":"1"})";
    REQUIRE(pool.perform({.method = "PUT", .url = url + "/kv/owner", .body = put}).status == 200);
    CHECK(pool.perform({.method = "POST", .url = url + "/lease/1/renew"}).status == 200);
    CHECK(client.get("owner"));
    service.expireLeases();
    CHECK_FALSE(client.get("owner"));
    CHECK(pool.perform({.method = "POST", .url = url + "/lease/1/renew"}).status == 404);
}

TEST_CASE("the VM list shows a change only after its lag, and an outage is reported")
{
    standins::VmListServer service({});
    vmlist::HttpVmList client({.endpoints = {service.url()}});
    service.setVms(R"({"vms":[{"id":"e1","address":"127.0.1.1","role":"entry",
        "availability_zone":"a1","region":"r1","state":"live",
        "caller_port":8000,"control_port":8001}]})");
    service.setFaults({.lag = 1h});
    service.setVms(R"({"vms":[]})");
    CHECK(client.read().entryVms.size() == 1);
    service.setFaults({});
    CHECK(client.read().entryVms.empty());
    service.setFaults({.outage = true});
    CHECK_THROWS_AS(client.read(), vmlist::VmListUnavailable);
}

TEST_CASE("an upstream echoes what it saw and records what it ran")
{
    standins::Upstream upstream({}, {.name = "u1"});
    store::HttpPool pool;
    const auto answer = pool.perform(
        {.method = "POST", .url = upstream.url() + "/slots?day=2", .body = R"({"a":1})"});
    CHECK(answer.status == 200);
    CHECK(answer.body.find(R"("body":"{\"a\":1}")") != std::string::npos);
    CHECK(answer.body.find(R"("content-type":"application/json")") != std::string::npos);
    REQUIRE(upstream.executions().size() == 1);
    CHECK(upstream.executions()[0].path == "/slots");
}

TEST_CASE("an upstream that sheds or drains does not run the request")
{
    standins::Upstream upstream({});
    upstream.setFaults({.shed = true});
    CHECK(callUpstream(upstream.url(), "/x").status == 503);
    upstream.setFaults({.drain = true});
    CHECK(callUpstream(upstream.url(), "/x").status == 503);
    CHECK(callUpstream(upstream.url(), "/load").body.find(R"("draining":true)")
          != std::string::npos);
    CHECK(upstream.executions().empty());
}

TEST_CASE("a stalled upstream answers its health endpoint, and frees slots of callers that left")
{
    standins::Upstream upstream({}, {.slots = 1});
    upstream.setFaults({.stall = true});
    CHECK_THROWS_AS(callUpstream(upstream.url(), "/x", 50ms), store::HttpCallFailed);
    CHECK(callUpstream(upstream.url(), "/health").status == 200);
    CHECK(upstream.executions().size() == 1);
    upstream.setFaults({});
    CHECK(callUpstream(upstream.url(), "/x").status == 200);
}

TEST_CASE("errors and truncated answers come at the set rate, and both have run")
{
    standins::Upstream upstream({});
    upstream.setFaults({.errorEvery = 3});
    int errors = 0;
    for (int i = 0; i < 9; ++i)
        errors += callUpstream(upstream.url(), "/x").status == 500 ? 1 : 0;
    CHECK(errors == 3);
    upstream.setFaults({.truncateEvery = 1});
    CHECK_THROWS_AS(callUpstream(upstream.url(), "/x"), store::HttpCallFailed);
    CHECK(upstream.executions().size() == 10);
}

TEST_CASE("a relay holds one direction and delivers it once it is open again")
{
    standins::Upstream upstream({});
    standins::Relay relay({}, {.port = upstream.port()});
    CHECK(callUpstream(relay.url(), "/x").status == 200);
    relay.setCuts({.toCaller = true});
    auto held = std::async(std::launch::async, [&] { return callUpstream(relay.url(), "/y", 5s); });
    CHECK(eventually([&] { return upstream.executions().size() == 2; }));
    relay.setCuts({.toTarget = true});
    CHECK(held.get().status == 200);
    CHECK_THROWS_AS(callUpstream(relay.url(), "/z", 100ms), store::HttpCallFailed);
    CHECK(upstream.executions().size() == 2);
}
