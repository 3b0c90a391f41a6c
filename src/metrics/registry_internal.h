/** @file registry_internal.h Helpers of the metrics registry. */
#pragma once

#include "core/clock_type.h"
#include "metrics/registry_type.h"

#include <string>

namespace teaselreach::metrics::detail {

/** Quantiles are reported over one full window of this length. */
inline constexpr core::Seconds summaryWindow {60};

inline const std::string requestMetricName = "teaselreach_request_duration_seconds";

/**
 * @param labels Names and values, in the order in which they are to appear.
 * @return The labels between braces, values escaped as Prometheus's text format wants; empty text
 *     without labels.
 */
std::string renderLabels(const Labels &labels);

} // namespace teaselreach::metrics::detail
