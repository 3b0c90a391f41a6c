/** @file registry_internal.h Helpers shared by the sources of the metrics registry. */
#pragma once

#include "core/clock_type.h"
#include "metrics/registry_type.h"

#include <string>

namespace teaselreach::metrics::detail {

/** Length of the windows over which quantiles are reported. */
inline constexpr core::Seconds summaryWindow {60};

inline const std::string requestMetricName = "teaselreach_request_duration_seconds";

/**
 * @param labels Names and values, in the order of the output.
 * @return The labels in braces, with values escaped for the Prometheus text format; an empty string
 *     if there are no labels.
 */
std::string renderLabels(const Labels &labels);

} // namespace teaselreach::metrics::detail
