/** @file registry_type.h Names and labels of the metrics that a daemon reports. */
#pragma once

#include "core/id_type.h"

#include <string>
#include <utility>
#include <vector>

namespace teaselreach::metrics {

/** A label's name and value. */
using Label = std::pair<std::string, std::string>;
using Labels = std::vector<Label>;

/** What a finished request is counted under. */
struct RequestLabels
{
    core::ServiceId service;
    core::ClientAccountId account;
    std::string outcome; ///< "answered" or the code of a refusal.
};

} // namespace teaselreach::metrics
