/** @file main.cpp Flags and entry point of the command-line tool `teaselreach`. */
#include "store/http_store_base.h"
#include "tool/json_transport_base.h"
#include "tool/tool_base.h"
#include "vmlist/http_vm_list_base.h"

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>
#include <thread>

DEFINE_string(store, "http://127.0.0.1:7000",
              "base URLs of the key-value service, separated by commas");
DEFINE_string(vm_list, "http://127.0.0.1:7001", "base URLs of the VM list, separated by commas");
DEFINE_string(output, "table", "table or json; 'report burn' also svg");
DEFINE_bool(wait, false, "wait until the change is in force on every VM");
DEFINE_int32(wait_timeout_s, 30, "timeout of --wait and of 'wait', in seconds");
DEFINE_int32(call_timeout_ms, 1000, "timeout of each call to a daemon, in milliseconds");
DEFINE_string(change_id, "", "id of a change to repeat after an unknown outcome");
DEFINE_bool(fleet_check, true, "ask the daemons whether the store is behind before writing");
DEFINE_string(daemon, "", "address and port for other VMs of the daemon that explains a placement");
DEFINE_string(account, "", "account of the request whose placement is explained");
DEFINE_uint64(body_bytes, 0, "size of its body, in bytes");
DECLARE_bool(help);

namespace {

using namespace teaselreach;

std::vector<std::string> splitUrls(const std::string &text)
{
    std::vector<std::string> urls;
    std::istringstream items(text);
    for (std::string url; std::getline(items, url, ',');) {
        if (!url.empty())
            urls.push_back(url);
    }
    if (urls.empty())
        throw tool::UsageError("--store and --vm_list need at least one URL");
    return urls;
}

tool::OutputFormat parseOutputFormat(const std::string &name, bool svgAllowed)
{
    if (name == "table")
        return tool::OutputFormat::Table;
    if (name == "json")
        return tool::OutputFormat::Json;
    if (name == "svg" && svgAllowed)
        return tool::OutputFormat::Svg;
    throw tool::UsageError("--output is '" + name + "', expected table or json"
                           + (svgAllowed ? " or svg" : ""));
}

tool::ToolOptions optionsFromFlags(const std::vector<std::string> &words)
{
    if (FLAGS_wait_timeout_s < 0 || FLAGS_call_timeout_ms < 1)
        throw tool::UsageError("--wait_timeout_s must be at least 0, --call_timeout_ms at least 1");
    tool::ToolOptions options;
    options.output = parseOutputFormat(FLAGS_output, !words.empty() && words.front() == "report");
    options.wait = FLAGS_wait;
    options.waitTimeout = core::Seconds(FLAGS_wait_timeout_s);
    options.callTimeout = core::Millis(FLAGS_call_timeout_ms);
    options.fleetCheck = FLAGS_fleet_check;
    options.changeId = FLAGS_change_id;
    options.daemon = FLAGS_daemon;
    options.account = FLAGS_account;
    options.bodyBytes = FLAGS_body_bytes;
    options.pause = [](core::Millis pause) { std::this_thread::sleep_for(pause); };
    options.now = [] { return core::MonoClock::now(); };
    return options;
}

tool::ExitCode runCommand(const std::vector<std::string> &words)
{
    const tool::ToolOptions options = optionsFromFlags(words);
    if (FLAGS_help || words.empty()) {
        tool::printHelp(std::cout, words.empty() ? "" : words.front());
        return tool::ExitCode::Done;
    }
    store::HttpStore store({.endpoints = splitUrls(FLAGS_store)});
    vmlist::HttpVmList vmList({.endpoints = splitUrls(FLAGS_vm_list)});
    tool::JsonTransport transport;
    return tool::Tool(store, vmList, transport, options, std::cout).run(words);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("teaselreach COMMAND [ARGUMENT...] [--FLAG...]");
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    const std::vector<std::string> words(argv + 1, argv + argc);
    try {
        if (!FLAGS_help)
            gflags::HandleCommandLineHelpFlags();
        return static_cast<int>(runCommand(words));
    } catch (const core::Error &error) {
        std::cerr << "teaselreach: " << error.code() << ": " << error.what() << "\n";
        return static_cast<int>(table::exitCodeFor(error.code()));
    } catch (const std::exception &error) {
        std::cerr << "teaselreach: " << error.what() << "\n";
        return static_cast<int>(tool::ExitCode::Failed);
    }
}
