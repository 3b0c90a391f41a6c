/** @file registry_type.h Labels of the metrics that a daemon reports. */
#pragma once

#include "core/id_type.h"

#include <string>
#include <utility>
#include <vector>

namespace teaselreach::metrics {

/** Name and value of a label. */
using Label = std::pair<std::string, std::string>;
using Labels = std::vector<Label>;

/** Labels of the series in which a finished request is counted. */
struct RequestLabels
{
    core::ServiceId service;
    core::ClientAccountId account;
    std::string outcome; ///< "answered" or the code of a refusal.
};

} // namespace teaselreach::metrics
