/** @file fleet_status_func.h Result of the method `fleet.status` (design, section 3.3). */
#pragma once

#include "config/head_type.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace teaselreach::config {

/** Status of one daemon. Unknown members of its JSON object are ignored. */
struct FleetStatus
{
    core::VmId vm;
    std::string state;          ///< `live` or `leaving`.
    HeadId activeHead;          ///< Revision 0 if the daemon has no configuration yet.
    bool storeBehind = false;   ///< See ConfigState::storeBehind().
    std::uint64_t rejected = 0; ///< Number of records that the daemon could not parse.
};

/** Encodes a status. */
nlohmann::json toJson(const FleetStatus &status);
/** Decodes a status. @throws UnreadableConfig */
FleetStatus fleetStatusFromJson(const nlohmann::json &json);

} // namespace teaselreach::config
