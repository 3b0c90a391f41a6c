/** @file registry_cmd.cpp Updates of metrics. */
#include "core/digest_func.h"
#include "metrics/registry_base.h"
#include "metrics/registry_internal.h"

namespace teaselreach::metrics {

void Registry::countRequest(const RequestLabels &labels, core::Micros duration, core::MonoTime now)
{
    const std::string rendered = detail::renderLabels({{"account", labels.account.str()},
                                                       {"outcome", labels.outcome},
                                                       {"service", labels.service.str()}});
    Shard &shard = shardFor(detail::requestMetricName, rendered);
    const std::lock_guard lock(shard.mutex);
    RequestSeries &series = shard.requests[rendered];
    rotate(series, now);
    series.current.add(duration);
    ++series.count;
    series.sumSeconds += std::chrono::duration<double>(duration).count();
}

void Registry::addCounter(const std::string &name, const Labels &labels, double amount)
{
    const std::string rendered = detail::renderLabels(labels);
    Shard &shard = shardFor(name, rendered);
    const std::lock_guard lock(shard.mutex);
    shard.counters[name][rendered] += amount;
}

void Registry::setGauge(const std::string &name, const Labels &labels, double value)
{
    const std::string rendered = detail::renderLabels(labels);
    Shard &shard = shardFor(name, rendered);
    const std::lock_guard lock(shard.mutex);
    shard.gauges[name][rendered] = value;
}

/** Starts a new window in a series if the current one is over. */
void Registry::rotate(RequestSeries &series, core::MonoTime now)
{
    if (now < series.currentStart + detail::summaryWindow)
        return;
    const bool recent = now < series.currentStart + 2 * detail::summaryWindow;
    series.previous = recent ? std::move(series.current) : LatencySummary();
    series.current = LatencySummary();
    series.currentStart = now;
}

Registry::Shard &Registry::shardFor(const std::string &name, const std::string &labels)
{
    return shards_[core::stableHash(name + labels) % shardCount];
}

} // namespace teaselreach::metrics
