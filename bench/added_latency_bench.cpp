/**
 * @file added_latency_bench.cpp Time that a daemon adds to a request, on kept connections.
 *
 * Sends the same requests in turn to an upstream directly and through a daemon, each at --rate,
 * and compares the 99th percentiles of the same run. Exits with 1 if the daemon adds more than
 * 1.3 ms or a request fails. scripts/demo.sh starts the processes (`make measure`).
 */
#include "http/client_base.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

DEFINE_string(upstream, "", "ADDRESS:PORT of an upstream");
DEFINE_string(daemon, "", "ADDRESS:PORT of a daemon's caller port");
DEFINE_string(key, "", "Key of a client account that may use --path");
DEFINE_string(path, "/slots", "Path of a route to the upstream's service");
DEFINE_double(rate, 200, "Requests per second to each of the two");
DEFINE_int32(seconds, 20, "Length of the run");

using namespace teaselreach;

namespace {

constexpr int senderThreads = 4;
constexpr double maxAddedMillis = 1.3;
constexpr int okStatus = 200;

struct Samples
{
    std::vector<double> millis;
    int failed = 0;

    double percentile(double fraction)
    {
        if (millis.empty())
            return 0;
        std::sort(millis.begin(), millis.end());
        const auto last = static_cast<double>(millis.size() - 1);
        return millis[static_cast<std::size_t>(last * fraction)];
    }
};

http::Target parseTarget(const std::string &text)
{
    const std::size_t colon = text.find(':');
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

/** Sends one request and adds its duration. */
void sample(http::Client &client, const http::Target &target, Samples &samples)
{
    const http::Request request {.method = "GET",
                                 .target = FLAGS_path,
                                 .headers = {{"Authorization", "Bearer " + FLAGS_key}}};
    const core::MonoTime start = core::MonoClock::now();
    const http::Result result = client.send(target, request, core::Millis(5000));
    const core::Micros duration = core::MonoClock::now() - start;
    if (result.status != okStatus)
        ++samples.failed;
    constexpr double microsPerMilli = 1000;
    samples.millis.push_back(static_cast<double>(duration.count()) / microsPerMilli);
}

/** Sends to both targets at a steady rate; the order of the two changes with each pair. */
void sendPairs(const http::Target &upstream, const http::Target &daemon, Samples &direct,
               Samples &through)
{
    http::Client client({});
    const std::chrono::duration<double> gap(senderThreads / FLAGS_rate);
    const int pairs = static_cast<int>(FLAGS_rate * FLAGS_seconds / senderThreads);
    auto next = std::chrono::steady_clock::now();
    for (int i = 0; i < pairs; ++i) {
        std::this_thread::sleep_until(next);
        next += std::chrono::duration_cast<std::chrono::steady_clock::duration>(gap);
        if (i % 2 == 0)
            sample(client, upstream, direct);
        sample(client, daemon, through);
        if (i % 2 != 0)
            sample(client, upstream, direct);
    }
}

void append(Samples &all, const Samples &more)
{
    all.millis.insert(all.millis.end(), more.millis.begin(), more.millis.end());
    all.failed += more.failed;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const http::Target upstream = parseTarget(FLAGS_upstream);
    const http::Target daemon = parseTarget(FLAGS_daemon);
    Samples direct;
    Samples through;
    std::mutex mutex;
    std::vector<std::jthread> threads;
    threads.reserve(senderThreads);
    for (int i = 0; i < senderThreads; ++i) {
        threads.emplace_back([&] {
            Samples ownDirect;
            Samples ownThrough;
            sendPairs(upstream, daemon, ownDirect, ownThrough);
            const std::lock_guard lock(mutex);
            append(direct, ownDirect);
            append(through, ownThrough);
        });
    }
    threads.clear();

    const double added = through.percentile(0.99) - direct.percentile(0.99);
    std::printf("%-12s %10s %10s %8s %8s\n", "path", "median ms", "p99 ms", "requests", "failed");
    std::printf("%-12s %10.3f %10.3f %8zu %8d\n", "direct", direct.percentile(0.5),
                direct.percentile(0.99), direct.millis.size(), direct.failed);
    std::printf("%-12s %10.3f %10.3f %8zu %8d\n", "daemon", through.percentile(0.5),
                through.percentile(0.99), through.millis.size(), through.failed);
    const bool met = added <= maxAddedMillis && direct.failed == 0 && through.failed == 0;
    std::printf("added at the 99th percentile: %.3f ms, bound %.1f ms: %s\n", added, maxAddedMillis,
                met ? "met" : "MISSED");
    return met ? 0 : 1;
}
