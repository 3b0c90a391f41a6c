/** @file latency_pairs.h Measures the latency that a daemon adds, with pairs of requests. */
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

/** Targets, requests and rate of a measurement. */
struct LatencyPairOptions
{
    http::Target upstream; ///< Receives the direct request of each pair.
    http::Target daemon;   ///< Forwards the other request of each pair.
    /** Returns the next request. Called from several threads at the same time. */
    std::function<http::Request()> makeRequest;
    double rate = 200; ///< Requests per second to each target.
    int seconds = 20;
};

/** Durations of the requests to one target. */
struct LatencySamples
{
    std::vector<double> millis;
    int failed = 0;

    /** Sorts the samples. @return The given quantile in ms, fraction 0 to 1; 0 without samples. */
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

/** Sends one request and records its duration; any status but 200 counts as failed. */
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

/**
 * Sends one thread's part of the pairs at a steady rate. The target that comes first alternates
 * from pair to pair, so that neither profits from the order.
 */
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
 * Sends pairs of requests for the configured time and prints the results.
 * @return Whether the 99th percentile through the daemon is at most 1.3 ms higher than that of the
 *     direct requests (docs/design.md 1.2) and no request failed.
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
