/** @file tool_test.cpp Tests of the tool's commands over a fake store and fake daemons. */
#include "config/config_state_base.h"
#include "standins/fake_store.h"
#include "table/exit_code_table.h"
#include "tool/json_transport_base.h"
#include "tool/tool_base.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <mutex>
#include <sstream>

using namespace teaselreach;
using nlohmann::json;
using tool::ExitCode;

namespace {

struct FakeVmList
{
    core::VmList list;
    core::VmList read() const { return list; }
};

/** Daemons with a configuration each; the address is the VM id. */
struct FakeFleet
{
    std::map<std::string, config::ConfigState> daemons;
    std::set<std::string> down;
    std::mutex mutex;

    json call(const rpc::Endpoint &endpoint, const std::string &method, const json &params,
              core::Millis)
    {
        const std::scoped_lock lock(mutex);
        if (down.contains(endpoint.address))
            throw rpc::RpcNoResponse(endpoint.address + " " + method);
        const config::ConfigState &state = daemons[endpoint.address];
        if (method == "fleet.status")
            return config::toJson(config::FleetStatus {.vm = core::VmId(endpoint.address),
                                                       .state = "live",
                                                       .activeHead = state.activeHead()});
        if (method == "config.fetch")
            return config::toJson(config::answerFetch(state, config::fetchRequestFromJson(params)));
        if (method == "fleet.burn")
            return burn::samplesToJson({});
        return {{"said", params}};
    }
};

struct Bench
{
    standins::FakeStore store;
    FakeVmList vms;
    FakeFleet fleet;
    tool::ToolOptions options;
    core::MonoTime now;
    std::string output;

    Bench()
    {
        for (const char *id : {"vm-1", "vm-2"})
            vms.list.entryVms.push_back({.id = core::VmId(id), .address = id});
        options.now = [this] { return now; };
        options.pause = [this](core::Millis pause) { now += pause; };
    }

    /** @return The exit code, also of failures. */
    ExitCode run(const std::vector<std::string> &words)
    {
        std::ostringstream out;
        ExitCode code = ExitCode::Done;
        try {
            code = tool::Tool(store, vms, fleet, options, out).run(words);
        } catch (const core::Error &error) {
            code = table::exitCodeFor(error.code());
            out << error.what();
        }
        output = out.str();
        return code;
    }

    /** Brings a daemon to the store's revision. */
    void update(const std::string &vm)
    {
        const auto head = config::readHead(store);
        fleet.daemons[vm].apply(head.text, config::readGroups(store, head.head));
    }

    bool storeHolds(const std::string &text) const
    {
        return std::any_of(store.values.begin(), store.values.end(), [&](const auto &entry) {
            return entry.second.value.find(text) != std::string::npos;
        });
    }

    void makeAccount()
    {
        REQUIRE(run({"service", "create", "slots"}) == ExitCode::Done);
        REQUIRE(run({"route", "create", "book", "path_prefix=/b", "service=slots"})
                == ExitCode::Done);
        REQUIRE(run({"account", "create", "bakery", "routes=book"}) == ExitCode::Done);
    }
};

} // namespace

TEST_CASE("records are created, changed, shown, listed and withdrawn")
{
    Bench bench;
    bench.makeAccount();
    CHECK(bench.run({"limit", "create", "bakery", "rate_per_second=2", "burst=4"})
          == ExitCode::Done);
    CHECK(bench.run({"limit", "change", "bakery", "rate_per_second=3"}) == ExitCode::Done);
    bench.options.output = tool::OutputForm::Json;
    CHECK(bench.run({"limit", "show", "bakery"}) == ExitCode::Done);
    CHECK(json::parse(bench.output)["records"][0]["rate_per_second"] == 3.0);
    CHECK(json::parse(bench.output)["records"][0]["homes"] == 1);
    CHECK(bench.run({"limit", "change", "bakery", "homes=2"}) == ExitCode::Invalid);
    CHECK(bench.run({"service", "withdraw", "slots"}) == ExitCode::Invalid);
    CHECK(bench.run({"limit", "withdraw", "bakery"}) == ExitCode::Done);
    CHECK(bench.run({"limit", "show", "bakery"}) == ExitCode::Invalid);
}

TEST_CASE("a command line that is wrong changes nothing and says what would be right")
{
    Bench bench;
    bench.makeAccount();
    const auto writes = bench.store.writes;
    const std::vector<std::vector<std::string>> wrong {{"route", "create", "x", "pathprefix=/"},
                                                       {"route", "create", "x", "timeout_ms=fast"},
                                                       {"route", "create", "x", "open_to_all=1"},
                                                       {"route", "drop", "x"},
                                                       {"route", "withdraw"},
                                                       {"key", "create", "x", "digest=aa"},
                                                       {"explain", "weather", "x"},
                                                       {"wait", "-3"},
                                                       {"frob"}};
    for (const auto &words : wrong) {
        CAPTURE(words[0]);
        CHECK(bench.run(words) == ExitCode::Usage);
        CHECK(!bench.output.empty());
    }
    CHECK(bench.store.writes == writes);
}

TEST_CASE("a new key is printed once and only its digest is stored")
{
    Bench bench;
    bench.makeAccount();
    bench.options.output = tool::OutputForm::Json;
    REQUIRE(bench.run({"key", "create", "k1", "account=bakery"}) == ExitCode::Done);
    const std::string key = json::parse(bench.output)["key"];
    CHECK(!bench.storeHolds(key));
    CHECK(bench.storeHolds(core::sha256Hex(key)));
    CHECK(bench.run({"key", "show", "k1"}) == ExitCode::Done);
    CHECK(bench.output.find(key) == std::string::npos);
}

TEST_CASE("a key whose creation has an unknown outcome is shown, and a repeat shows no wrong key")
{
    Bench bench;
    bench.makeAccount();
    bench.options.changeId = "c-key";
    bench.store.beforePut = [&bench] {
        bench.store.loseAnswers = 1;
        bench.store.outageAfterLoss = true;
    };
    CHECK(bench.run({"key", "create", "k1", "account=bakery"}) == ExitCode::OutcomeUnknown);
    const std::size_t at = bench.output.find("tr_");
    REQUIRE(at != std::string::npos);
    bench.store.outage = false;
    CHECK(bench.storeHolds(core::sha256Hex(bench.output.substr(at, 67))));
    CHECK(bench.run({"key", "create", "k1", "account=bakery"}) == ExitCode::Done);
    CHECK(bench.output.find("tr_") == std::string::npos);
}

TEST_CASE("a file is one change, is checked before, and may hold older schema versions")
{
    Bench bench;
    const std::string path = "tool_test_records.json";
    const auto write = [&path](const std::string &text) { std::ofstream(path) << text; };
    write(R"({"records":[
        {"kind":"client_account","id":"a","schema_version":1,"routes":["r"]},
        {"kind":"route","id":"r","schema_version":1,"path_prefix":"/r","service":"s"},
        {"kind":"limit","id":"a","schema_version":2,"rate_per_second":5,"burst":100},
        {"kind":"service","id":"s","schema_version":1}]})");
    CHECK(bench.run({"validate", path}) == ExitCode::Done);
    CHECK(bench.store.writes == 0);
    CHECK(bench.run({"apply", path}) == ExitCode::Done);
    CHECK(config::readHead(bench.store).head.revision == core::Revision(1));
    write(R"({"records":[{"kind":"service","id":"t","schema_version":1,"floor":2}]})");
    CHECK(bench.run({"validate", path}) == ExitCode::Invalid);
    CHECK(bench.run({"apply", path}) == ExitCode::Invalid);
    write(R"({"recods":[]})");
    CHECK(bench.run({"apply", path}) == ExitCode::Usage);
    write(R"({"withdraw":[{"kind":"client_account","id":"a"},{"kind":"limit","id":"a"}]})");
    CHECK(bench.run({"apply", path}) == ExitCode::Done);
    std::remove(path.c_str());
}

TEST_CASE("nothing is written while the store is behind the fleet; restore repairs it")
{
    Bench bench;
    bench.makeAccount();
    const auto older = bench.store.values;
    REQUIRE(bench.run({"service", "create", "crew"}) == ExitCode::Done);
    bench.update("vm-1");
    bench.store.values = older;
    CHECK(bench.run({"service", "create", "other"}) == ExitCode::StoreBehind);
    CHECK(bench.run({"restore"}) == ExitCode::Done);
    CHECK(bench.run({"service", "show", "crew"}) == ExitCode::Done);
    CHECK(bench.run({"service", "create", "other"}) == ExitCode::Done);
}

TEST_CASE("a fleet that cannot be asked stops a write unless the check is switched off")
{
    Bench bench;
    bench.fleet.down = {"vm-1", "vm-2"};
    CHECK(bench.run({"service", "create", "a"}) == ExitCode::Unavailable);
    CHECK(bench.store.values.empty());
    bench.options.fleetCheck = false;
    CHECK(bench.run({"service", "create", "a"}) == ExitCode::Done);
}

TEST_CASE("waiting names the VMs that have not confirmed")
{
    Bench bench;
    bench.options.wait = true;
    bench.options.waitTimeout = core::Seconds(3);
    bench.options.pause = [&bench](core::Millis pause) {
        bench.now += pause;
        bench.update("vm-1");
    };
    CHECK(bench.run({"service", "create", "a"}) == ExitCode::NotConfirmed);
    CHECK(bench.output.find("vm-2") != std::string::npos);
    CHECK(bench.output.find("vm-1") == std::string::npos);
    bench.update("vm-2");
    CHECK(bench.run({"wait", "1"}) == ExitCode::Done);
}

TEST_CASE("status, explain and report name the daemons that could not be queried")
{
    Bench bench;
    bench.fleet.down = {"vm-2"};
    const std::vector<std::vector<std::string>> commands {
        {"status"}, {"explain", "account", "a"}, {"report", "burn"}};
    for (const auto &words : commands) {
        CHECK(bench.run(words) == ExitCode::Partial);
        CHECK(bench.output.find("vm-2") != std::string::npos);
    }
    bench.store.outage = true;
    CHECK(bench.run({"status"}) == ExitCode::Partial);
}

TEST_CASE("an answer that is not JSON-RPC, or an error in it, is a typed failure")
{
    CHECK(tool::resultOf("x", R"({"jsonrpc":"2.0","id":1,"result":{"a":1}})")["a"] == 1);
    CHECK_THROWS_AS(tool::resultOf("x", "<html>"), rpc::RpcNoResponse);
    CHECK_THROWS_AS(tool::resultOf("x", "{}"), rpc::RpcNoResponse);
    CHECK_THROWS_AS(tool::resultOf("x", R"({"error":{"code":-32601,"message":"no"}})"),
                    rpc::RpcErrorResponse);
}

TEST_CASE("help exists for each command and lists fields and exit codes")
{
    Bench bench;
    CHECK(bench.run({"help"}) == ExitCode::Done);
    CHECK(bench.run({"help", "limit"}) == ExitCode::Done);
    CHECK(bench.output.find("rate_per_second") != std::string::npos);
    CHECK(bench.output.find("exit codes") != std::string::npos);
}
