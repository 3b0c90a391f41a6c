/** @file registry_base.h All metrics of one daemon, sharded, with one lock per shard. */
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

/** Counters, gauges and request summaries. Thread-safe. */
class Registry
{
public:
    /**
     * Counts a finished request.
     * @param labels Labels of the request's series.
     * @param duration Time from the request's arrival to its answer or refusal.
     * @param now Current time; assigns the request to a one-minute window.
     */
    void countRequest(const RequestLabels &labels, core::Micros duration, core::MonoTime now);
    /** Increases a counter by `amount`. @param name Prometheus name, ending in _total. */
    void addCounter(const std::string &name, const Labels &labels, double amount);
    /** Sets a gauge. @param name Prometheus name, including the unit. */
    void setGauge(const std::string &name, const Labels &labels, double value);

    /** @return All metrics in the Prometheus text format. @param now Current time. */
    std::string prometheusText(core::MonoTime now) const;

private:
    static constexpr std::size_t shardCount = 16;

    /** Durations of one label set, in the current and the previous one-minute window. */
    struct RequestSeries
    {
        LatencySummary current;
        LatencySummary previous;
        core::MonoTime currentStart;
        std::uint64_t count = 0; ///< Over all windows, as is sumSeconds.
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
