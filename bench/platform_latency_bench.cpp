/**
 * @file platform_latency_bench.cpp Latency that teaselreachd_platform adds.
 *
 * Starts the daemon as a process, with the store of the soak test and an upstream that answers at
 * once, and sends the same requests directly to the upstream and through the daemon, each at
 * --rate. Exits with 1 if the daemon adds more than 1.3 ms at the 99th percentile or a request
 * fails.
 */
#include "latency_pairs.h"
#include "platform/names_type.h"
#include "platform_store_base.h"
#include "standins/free_port.h"

#include <gflags/gflags.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

DEFINE_string(program, "", "Path of teaselreachd_platform");
DEFINE_double(rate, 200, "Requests per second to each of the two");
DEFINE_int32(seconds, 20, "Length of the run");

using namespace teaselreach;
using nlohmann::json;

namespace {

const std::string address = soak::soakAddress();

/** Answers without delay, with the response headers that an upstream of the platform sets. */
proxy::asio::awaitable<void> answerAtOnce(std::shared_ptr<proxy::CallerExchange> exchange)
{
    const proxy::HeaderNames names = platform::headerNames();
    proxy::HttpResponse response(proxy::beasthttp::status::ok, proxy::httpVersion11);
    response.set(names.attemptId, exchange->request[names.attemptId]);
    response.set(names.seal, "sealed");
    response.body() = std::string(400, 'x'); // Mean size of a lookup response in bytes.
    response.prepare_payload();
    exchange->response = std::move(response);
    co_return;
}

/** Stores a configuration with one route and one tenant without a rate limit. */
void writeConfiguration(soak::PlatformStore &store)
{
    const json route {{"name", "lookup"},     {"host", address},     {"prefix", "/slots/"},
                      {"kind", "idempotent"}, {"timeout", "1500ms"}, {"targetLatency", "500ms"},
                      {"maxAttempts", 2},     {"service", "work"}};
    const json tenant {
        {"name", "bakery"}, {"apiKeys", {"key-bakery"}}, {"ratePerS", 0}, {"burst", 0}};
    const json limits {{"maxHeaderBytes", 16384},
                       {"maxBodyBytes", 100000},
                       {"headerTimeout", "3s"},
                       {"idleTimeout", "15s"}};
    store.put("op/config",
              json {{"version", 1}, {"routes", {route}}, {"limits", limits}, {"tenants", {tenant}}}
                  .dump());
}

/** Registers the upstream in the store. */
void writeUpstream(soak::PlatformStore &store, std::uint16_t port)
{
    store.put("servers/i-1",
              json {{"service", "work"},
                    {"address", address + ":" + std::to_string(port)},
                    {"zone", "z"},
                    {"slots", 4},
                    {"state", "ready"},
                    {"warmupLeft", "0ms"},
                    {"sequence", 1}}
                  .dump());
}

std::string endpoint(std::uint16_t port)
{
    return address + ":" + std::to_string(port);
}

/** Writes the settings file of the daemon. */
void writeSettings(const std::string &path, std::uint16_t callerPort, std::uint16_t storePort)
{
    const json listen {{"front", endpoint(callerPort)},
                       {"readiness", endpoint(standins::freePort(address))},
                       {"directory", endpoint(standins::freePort(address))}};
    const json settings {{"nodeName", "vm"},
                         {"ip", address},
                         {"zone", "z"},
                         {"region", "r"},
                         {"zones", {{"z", "r"}}},
                         {"listen", listen},
                         {"internalPorts", {standins::freePort(address)}},
                         {"bootstrap", true},
                         {"limits", {{"cpuShare", 1}, {"cores", 1}}},
                         {"platform", {{"address", endpoint(storePort)}}}};
    std::ofstream(path) << settings.dump();
}

http::Request nextRequest()
{
    static std::atomic<int> count {0};
    const proxy::HeaderNames names = platform::headerNames();
    return {.method = "GET",
            .target = "/slots/1",
            .headers = {{"Authorization", "Bearer key-bakery"},
                        {names.attemptId, "bench-" + std::to_string(++count)},
                        {names.deadlineMs, "3000"}}};
}

/** Sends requests until one succeeds. @return False if none did within ten seconds. */
bool waitUntilServing(const http::Target &daemon)
{
    http::Client client({});
    const core::MonoTime end = core::MonoClock::now() + core::Seconds(10);
    while (core::MonoClock::now() < end) {
        if (client.send(daemon, nextRequest(), core::Millis(500)).status == 200)
            return true;
        std::this_thread::sleep_for(core::Millis(50));
    }
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Time that the event-driven daemon adds to a request");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    proxy::asio::io_context context(1);
    const std::uint16_t storePort = standins::freePort(address);
    soak::PlatformStore store(context, storePort);
    const std::uint16_t upstreamPort = standins::freePort(address);
    const proxy::CallerServer upstream(context, address, upstreamPort,
                                       {.serve = answerAtOnce,
                                        .limits = [] { return proxy::SessionLimits {}; },
                                        .shouldClose = [] { return false; }});
    writeConfiguration(store);
    writeUpstream(store, upstreamPort);
    std::thread loop([&context] { context.run(); });

    const std::string folder = std::filesystem::temp_directory_path()
        / ("teaselreach-latency." + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    const std::uint16_t callerPort = standins::freePort(address);
    writeSettings(folder + "/vm.json", callerPort, storePort);
    soak::DaemonProcess process(FLAGS_program, folder + "/vm.json", folder + "/vm.log");
    process.start();

    const http::Target daemon {address, callerPort};
    const bool serving = waitUntilServing(daemon);
    if (!serving)
        std::cerr << "the daemon does not serve; its log is " << folder << "/vm.log\n";
    const bool met = serving
        && bench::measureLatencyPairs({.upstream = {address, upstreamPort},
                                       .daemon = daemon,
                                       .makeRequest = nextRequest,
                                       .rate = FLAGS_rate,
                                       .seconds = FLAGS_seconds});
    process.signal(SIGTERM);
    process.waitForEnd();
    context.stop();
    loop.join();
    if (serving)
        std::filesystem::remove_all(folder);
    return met ? EXIT_SUCCESS : EXIT_FAILURE;
}
