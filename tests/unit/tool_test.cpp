/** @file tool_test.cpp Tests of the tool's commands with a fake store and fake daemons. */
#include "config/config_state_base.h"
#include "standins/fake_store.h"
#include "standins/raw_server.h"
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

/** Daemons that each hold a configuration. The address of a daemon is its VM id. */
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

struct ToolFixture
{
    standins::FakeStore store;
    FakeVmList vms;
    FakeFleet fleet;
    tool::ToolOptions options;
    core::MonoTime now;
    std::string output;

    ToolFixture()
    {
        for (const char *id : {"vm-1", "vm-2"})
            vms.list.entryVms.push_back({.id = core::VmId(id), .address = id});
        options.now = [this] { return now; };
        options.pause = [this](core::Millis pause) { now += pause; };
    }

    /** Runs a command. @return The exit code, also if the command throws core::Error. */
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

    /** Applies the store's current revision to a daemon. */
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
    ToolFixture fixture;
    fixture.makeAccount();
    CHECK(fixture.run({"limit", "create", "bakery", "rate_per_second=2", "burst=4"})
          == ExitCode::Done);
    CHECK(fixture.run({"limit", "change", "bakery", "rate_per_second=3"}) == ExitCode::Done);
    fixture.options.output = tool::OutputFormat::Json;
    CHECK(fixture.run({"limit", "show", "bakery"}) == ExitCode::Done);
    CHECK(json::parse(fixture.output)["records"][0]["rate_per_second"] == 3.0);
    CHECK(json::parse(fixture.output)["records"][0]["homes"] == 1);
    CHECK(fixture.run({"limit", "change", "bakery", "homes=2"}) == ExitCode::Invalid);
    CHECK(fixture.run({"service", "withdraw", "slots"}) == ExitCode::Invalid);
    CHECK(fixture.run({"limit", "withdraw", "bakery"}) == ExitCode::Done);
    CHECK(fixture.run({"limit", "show", "bakery"}) == ExitCode::Invalid);
}

TEST_CASE("a malformed command line writes nothing and prints a usage error")
{
    ToolFixture fixture;
    fixture.makeAccount();
    const auto writes = fixture.store.writes;
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
        CHECK(fixture.run(words) == ExitCode::Usage);
        CHECK(!fixture.output.empty());
    }
    CHECK(fixture.store.writes == writes);
}

TEST_CASE("a new key is printed once and only its digest is stored")
{
    ToolFixture fixture;
    fixture.makeAccount();
    fixture.options.output = tool::OutputFormat::Json;
    REQUIRE(fixture.run({"key", "create", "k1", "account=bakery"}) == ExitCode::Done);
    const std::string key = json::parse(fixture.output)["key"];
    CHECK(!fixture.storeHolds(key));
    CHECK(fixture.storeHolds(core::sha256Hex(key)));
    CHECK(fixture.run({"key", "show", "k1"}) == ExitCode::Done);
    CHECK(fixture.output.find(key) == std::string::npos);
}

TEST_CASE(
    "a key whose creation has an unknown outcome is printed; repeating the change prints no key")
{
    ToolFixture fixture;
    fixture.makeAccount();
    fixture.options.changeId = "c-key";
    fixture.store.beforePut = [&fixture] {
        fixture.store.loseAnswers = 1;
        fixture.store.outageAfterLoss = true;
    };
    CHECK(fixture.run({"key", "create", "k1", "account=bakery"}) == ExitCode::OutcomeUnknown);
    const std::size_t at = fixture.output.find("tr_");
    REQUIRE(at != std::string::npos);
    fixture.store.outage = false;
    CHECK(fixture.storeHolds(core::sha256Hex(fixture.output.substr(at, 67))));
    CHECK(fixture.run({"key", "create", "k1", "account=bakery"}) == ExitCode::Done);
    CHECK(fixture.output.find("tr_") == std::string::npos);
}

TEST_CASE("a file is validated and applied as one change, and may contain older schema versions")
{
    ToolFixture fixture;
    const std::string path = "tool_test_records.json";
    const auto write = [&path](const std::string &text) { std::ofstream(path) << text; };
    write(R"({"records":[
        {"kind":"client_account","id":"a","schema_version":1,"routes":["r"]},
        {"kind":"route","id":"r","schema_version":1,"path_prefix":"/r","service":"s"},
        {"kind":"limit","id":"a","schema_version":2,"rate_per_second":5,"burst":100},
        {"kind":"service","id":"s","schema_version":1}]})");
    CHECK(fixture.run({"validate", path}) == ExitCode::Done);
    CHECK(fixture.store.writes == 0);
    CHECK(fixture.run({"apply", path}) == ExitCode::Done);
    CHECK(config::readHead(fixture.store).head.revision == core::Revision(1));
    write(R"({"records":[{"kind":"service","id":"t","schema_version":1,"floor":2}]})");
    CHECK(fixture.run({"validate", path}) == ExitCode::Invalid);
    CHECK(fixture.run({"apply", path}) == ExitCode::Invalid);
    write(R"({"recods":[]})");
    CHECK(fixture.run({"apply", path}) == ExitCode::Usage);
    write(R"({"withdraw":[{"kind":"client_account","id":"a"},{"kind":"limit","id":"a"}]})");
    CHECK(fixture.run({"apply", path}) == ExitCode::Done);
    std::remove(path.c_str());
}

TEST_CASE(
    "changes are refused while the store is behind the fleet; restore brings the store up to date")
{
    ToolFixture fixture;
    fixture.makeAccount();
    const auto older = fixture.store.values;
    REQUIRE(fixture.run({"service", "create", "crew"}) == ExitCode::Done);
    fixture.update("vm-1");
    fixture.store.values = older;
    CHECK(fixture.run({"service", "create", "other"}) == ExitCode::StoreBehind);
    CHECK(fixture.run({"restore"}) == ExitCode::Done);
    CHECK(fixture.run({"service", "show", "crew"}) == ExitCode::Done);
    CHECK(fixture.run({"service", "create", "other"}) == ExitCode::Done);
}

TEST_CASE("a change is refused if no daemon answers, unless the fleet check is disabled")
{
    ToolFixture fixture;
    fixture.fleet.down = {"vm-1", "vm-2"};
    CHECK(fixture.run({"service", "create", "a"}) == ExitCode::Unavailable);
    CHECK(fixture.store.values.empty());
    fixture.options.fleetCheck = false;
    CHECK(fixture.run({"service", "create", "a"}) == ExitCode::Done);
}

TEST_CASE("waiting for a change prints the VMs that have not confirmed it at the timeout")
{
    ToolFixture fixture;
    fixture.options.wait = true;
    fixture.options.waitTimeout = core::Seconds(3);
    fixture.options.pause = [&fixture](core::Millis pause) {
        fixture.now += pause;
        fixture.update("vm-1");
    };
    CHECK(fixture.run({"service", "create", "a"}) == ExitCode::NotConfirmed);
    CHECK(fixture.output.find("vm-2") != std::string::npos);
    CHECK(fixture.output.find("vm-1") == std::string::npos);
    fixture.update("vm-2");
    CHECK(fixture.run({"wait", "1"}) == ExitCode::Done);
}

TEST_CASE("status, explain and report print the daemons that could not be queried")
{
    ToolFixture fixture;
    fixture.fleet.down = {"vm-2"};
    const std::vector<std::vector<std::string>> commands {
        {"status"}, {"explain", "account", "a"}, {"report", "burn"}};
    for (const auto &words : commands) {
        CHECK(fixture.run(words) == ExitCode::Partial);
        CHECK(fixture.output.find("vm-2") != std::string::npos);
    }
    fixture.store.outage = true;
    CHECK(fixture.run({"status"}) == ExitCode::Partial);
}

TEST_CASE("an answer that is not JSON-RPC and a JSON-RPC error throw different exceptions")
{
    CHECK(tool::parseRpcResult("x", R"({"jsonrpc":"2.0","id":1,"result":{"a":1}})")["a"] == 1);
    CHECK_THROWS_AS(tool::parseRpcResult("x", "<html>"), rpc::RpcNoResponse);
    CHECK_THROWS_AS(tool::parseRpcResult("x", "{}"), rpc::RpcNoResponse);
    CHECK_THROWS_AS(tool::parseRpcResult("x", R"({"error":{"code":-32601,"message":"no"}})"),
                    rpc::RpcErrorResponse);
}

TEST_CASE("help for a record command lists its fields and the exit codes")
{
    ToolFixture fixture;
    CHECK(fixture.run({"help"}) == ExitCode::Done);
    CHECK(fixture.run({"help", "limit"}) == ExitCode::Done);
    CHECK(fixture.output.find("rate_per_second") != std::string::npos);
    CHECK(fixture.output.find("exit codes") != std::string::npos);
}

TEST_CASE("explain placement does not tell a wrong question, an unknown route or account and an "
          "unreachable daemon apart")
{
    std::string answer;
    std::string status = "200 OK";
    std::string asked;
    standins::RawServer daemon("127.0.0.1", [&](const standins::RawRequest &request) {
        asked = request.head.substr(0, request.head.find('\r'));
        return standins::RawReply {.bytes = standins::okReply(answer, "", status), .close = true};
    });
    ToolFixture fixture;
    const std::vector<std::string> words {"explain", "placement", "a.test", "/read/x"};
    CHECK(fixture.run(words) == ExitCode::Usage); // No daemon is named.
    fixture.options.daemon = "127.0.0.1:" + std::to_string(daemon.port());
    fixture.options.account = "bakery";
    CHECK(fixture.run({"explain", "placement", "a.test"}) == ExitCode::Usage);
    answer = R"({"refusal":"unknown_route","services":[]})";
    CHECK(fixture.run(words) == ExitCode::Invalid);
    CHECK(fixture.output.find("no route") != std::string::npos);
    CHECK(asked
          == "GET /explain?host=a.test&path=/read/x&method=GET&bytes=0&account=bakery HTTP/1.1");
    answer = R"({"refusal":"unknown_account","services":[]})";
    CHECK(fixture.run(words) == ExitCode::Invalid);
    CHECK(fixture.output.find("bakery") != std::string::npos);
    answer = R"({"route":{"id":"r","idempotent":true,"max_attempts":2,"priority":0,)"
             R"("allowed_regions":"any"},"account":{"limited":true,"counted":3,"allowed":9,)"
             R"("retry_after_ms":0},"services":[{"service":"s","weight":1,"waiting":0,)"
             R"("departures_per_second":0,"expected_wait_ms":0,"retry_budget_left":1,)"
             R"("hedge_after_ms":null,"tie_width":0.02,"decision":"sent","upstream":"i-1",)"
             R"("candidates":[{"upstream":"i-1","zone":"z","state":"selected","expected_ms":5,)"
             R"("failure_estimate":0.1,"expected_loss":0.2,"trial":false}]}]})";
    CHECK(fixture.run(words) == ExitCode::Done);
    CHECK(fixture.output.find("sent to i-1") != std::string::npos);
    CHECK(fixture.output.find("3 of 9") != std::string::npos);
    fixture.options.output = tool::OutputFormat::Json;
    CHECK(fixture.run(words) == ExitCode::Done);
    CHECK(json::parse(fixture.output).at("services").size() == 1);
    fixture.options.output = tool::OutputFormat::Table;
    answer = "{}";
    CHECK(fixture.run(words) == ExitCode::Failed);
    status = "400 Bad Request";
    answer = R"({"error":"invalid_parameter","parameter":"path","detail":"is wrong"})";
    CHECK(fixture.run(words) == ExitCode::Usage);
    fixture.options.daemon = "127.0.0.1:1";
    CHECK(fixture.run(words) == ExitCode::Unavailable);
}
