/** @file registry_base.h All metrics of one daemon, in shards that each have their own lock. */
#pragma once

#include "core/clock_type.h"
#include "metrics/latency_summary_base.h"
#include "metrics/registry_type.h"

#include <array>
#include <iosfwd>
#include <map>
#include <mutex>
#include <string>

namespace teaselreach::metrics {

/** Counters, gauges and request summaries. May be used by several threads. */
class Registry
{
public:
    /**
     * Counts a finished request.
     * @param labels What it is counted under.
     * @param duration Time from its arrival to its answer or refusal.
     * @param now Present time; quantiles cover the last full minute.
     */
    void countRequest(const RequestLabels &labels, core::Micros duration, core::MonoTime now);
    /** Adds to a counter. @param name Prometheus name, ending in _total. */
    void addCounter(const std::string &name, const Labels &labels, double amount);
    /** Sets a gauge. @param name Prometheus name with its unit. */
    void setGauge(const std::string &name, const Labels &labels, double value);

    /** @return All metrics in Prometheus's text format. */
    std::string prometheusText(core::MonoTime now) const;

private:
    static constexpr std::size_t shardCount = 16;

    /** Durations of one label set: a running minute and the one before. */
    struct RequestSeries
    {
        LatencySummary current;
        LatencySummary previous;
        core::MonoTime currentStart;
        std::uint64_t count = 0;
        double sumSeconds = 0;
    };

    struct Shard
    {
        mutable std::mutex mutex;
        std::map<std::string, RequestSeries> requests;                 ///< By rendered labels.
        std::map<std::string, std::map<std::string, double>> counters; ///< By name, then labels.
        std::map<std::string, std::map<std::string, double>> gauges;
    };

    Shard &shardFor(const std::string &name, const std::string &labels);
    static void rotate(RequestSeries &series, core::MonoTime now);
    static void writeRequests(std::ostream &out, const std::string &labels,
                              const RequestSeries &series, core::MonoTime now);

    std::array<Shard, shardCount> shards_;
};

} // namespace teaselreach::metrics
