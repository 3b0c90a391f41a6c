/** @file registry_query.cpp Metrics in the Prometheus text format. */
#include "metrics/registry_base.h"
#include "metrics/registry_internal.h"

#include <sstream>

namespace teaselreach::metrics {

namespace detail {

namespace {

/** @return The label value with line feeds, double quotes and backslashes escaped. */
std::string escapeLabelValue(const std::string &value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            text.push_back('\\');
        text.push_back(c);
    }
    return text;
}

/** @return The rendered labels with one more label appended. */
std::string appendLabel(const std::string &rendered, const std::string &label)
{
    if (rendered.empty())
        return "{" + label + "}";
    return rendered.substr(0, rendered.size() - 1) + "," + label + "}";
}

using ValuesByName = std::map<std::string, std::map<std::string, double>>;

/** Writes all metrics of one type; a TYPE line precedes the values of each name. */
void writeMetrics(std::ostream &out, const ValuesByName &metrics, const char *type)
{
    for (const auto &[name, values] : metrics) {
        out << "# TYPE " << name << ' ' << type << '\n';
        for (const auto &[labels, value] : values)
            out << name << labels << ' ' << value << '\n';
    }
}

} // namespace

std::string renderLabels(const Labels &labels)
{
    if (labels.empty())
        return {};
    std::string text = "{";
    for (const auto &[name, value] : labels) {
        if (text.size() > 1)
            text += ",";
        text += name + "=\"" + escapeLabelValue(value) + "\"";
    }
    return text + "}";
}

} // namespace detail

/**
 * Writes quantiles, sum and count of one series. The quantiles cover the previous window, or the
 * current one if the previous is empty. They are left out if the current window started at least
 * two window lengths ago.
 */
void Registry::writeRequests(std::ostream &out, const std::string &labels,
                             const RequestSeries &series, core::MonoTime now)
{
    const bool stale = now >= series.currentStart + 2 * detail::summaryWindow;
    const LatencySummary &window = series.previous.count() > 0 ? series.previous : series.current;
    for (std::size_t i = 0; !stale && i < summaryQuantiles.size(); ++i) {
        std::ostringstream quantile;
        quantile << "quantile=\"" << summaryQuantiles[i] << '"';
        out << detail::requestMetricName << detail::appendLabel(labels, quantile.str()) << ' '
            << window.quantileSeconds(i) << '\n';
    }
    out << detail::requestMetricName << "_sum" << labels << ' ' << series.sumSeconds << '\n'
        << detail::requestMetricName << "_count" << labels << ' ' << series.count << '\n';
}

std::string Registry::prometheusText(core::MonoTime now) const
{
    // The text format requires all lines of a metric to be adjacent, so the values of all shards
    // are merged before any is written.
    detail::ValuesByName counters;
    detail::ValuesByName gauges;
    std::ostringstream requests;
    for (const Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[name, values] : shard.counters)
            counters[name].insert(values.begin(), values.end());
        for (const auto &[name, values] : shard.gauges)
            gauges[name].insert(values.begin(), values.end());
        for (const auto &[labels, series] : shard.requests)
            writeRequests(requests, labels, series, now);
    }

    std::ostringstream out;
    detail::writeMetrics(out, counters, "counter");
    detail::writeMetrics(out, gauges, "gauge");
    const std::string requestLines = requests.str();
    if (!requestLines.empty())
        out << "# TYPE " << detail::requestMetricName << " summary\n" << requestLines;
    return out.str();
}

} // namespace teaselreach::metrics
