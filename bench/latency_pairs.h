/** @file latency_pairs.h Pairs of requests, straight to an upstream and through a daemon. */
#pragma once

#include "http/client_base.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace teaselreach::bench {

/** What is sent, and where. */
struct LatencyPairOptions
{
    http::Target upstream;
    http::Target daemon;
    /** Makes the next request; called from several threads. */
    std::function<http::Request()> makeRequest;
    double rate = 200; ///< Requests a second to each of the two.
    int seconds = 20;
};

/** Durations of the requests to one target. */
struct LatencySamples
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

    void append(const LatencySamples &more)
    {
        millis.insert(millis.end(), more.millis.begin(), more.millis.end());
        failed += more.failed;
    }
};

namespace detail {

constexpr int senderThreads = 4;

/** Sends one request and adds its duration. */
inline void sendAndRecord(http::Client &client, const http::Target &target,
                          const http::Request &request, LatencySamples &samples)
{
    constexpr int okStatus = 200;
    constexpr double microsPerMilli = 1000;
    const core::MonoTime start = core::MonoClock::now();
    const http::Result result = client.send(target, request, core::Millis(5000));
    const core::Micros duration = core::MonoClock::now() - start;
    if (result.status != okStatus)
        ++samples.failed;
    samples.millis.push_back(static_cast<double>(duration.count()) / microsPerMilli);
}

/** Sends to both targets at a steady rate; the order of the two changes with each pair. */
inline void sendPairs(const LatencyPairOptions &options, LatencySamples &direct,
                      LatencySamples &viaDaemon)
{
    http::Client client({});
    const std::chrono::duration<double> interval(senderThreads / options.rate);
    const int pairs = static_cast<int>(options.rate * options.seconds / senderThreads);
    auto next = std::chrono::steady_clock::now();
    for (int i = 0; i < pairs; ++i) {
        std::this_thread::sleep_until(next);
        next += std::chrono::duration_cast<std::chrono::steady_clock::duration>(interval);
        if (i % 2 == 0)
            sendAndRecord(client, options.upstream, options.makeRequest(), direct);
        sendAndRecord(client, options.daemon, options.makeRequest(), viaDaemon);
        if (i % 2 != 0)
            sendAndRecord(client, options.upstream, options.makeRequest(), direct);
    }
}

} // namespace detail

/**
 * Sends pairs for the whole time and prints the table.
 * @return Whether the daemon adds at most 1.3 ms at the 99th percentile (docs/design.md 1.2) and no
 * request failed.
 */
inline bool measureLatencyPairs(const LatencyPairOptions &options)
{
    constexpr double maxAddedMillis = 1.3;
    LatencySamples direct;
    LatencySamples viaDaemon;
    std::mutex mutex;
    std::vector<std::jthread> threads;
    threads.reserve(detail::senderThreads);
    for (int i = 0; i < detail::senderThreads; ++i) {
        threads.emplace_back([&] {
            LatencySamples ownDirect;
            LatencySamples ownViaDaemon;
            detail::sendPairs(options, ownDirect, ownViaDaemon);
            const std::lock_guard lock(mutex);
            direct.append(ownDirect);
            viaDaemon.append(ownViaDaemon);
        });
    }
    threads.clear();

    const double added = viaDaemon.percentile(0.99) - direct.percentile(0.99);
    std::printf("%-12s %10s %10s %8s %8s\n", "path", "median ms", "p99 ms", "requests", "failed");
    std::printf("%-12s %10.3f %10.3f %8zu %8d\n", "direct", direct.percentile(0.5),
                direct.percentile(0.99), direct.millis.size(), direct.failed);
    std::printf("%-12s %10.3f %10.3f %8zu %8d\n", "daemon", viaDaemon.percentile(0.5),
                viaDaemon.percentile(0.99), viaDaemon.millis.size(), viaDaemon.failed);
    const bool met = added <= maxAddedMillis && direct.failed == 0 && viaDaemon.failed == 0;
    std::printf("added at the 99th percentile: %.3f ms, bound %.1f ms: %s\n", added, maxAddedMillis,
                met ? "met" : "MISSED");
    return met;
}

} // namespace teaselreach::bench
