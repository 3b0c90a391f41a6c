/** @file fleet_status_func.h Result of the method `fleet.status` (design, section 3.3). */
#pragma once

#include "config/head_type.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace teaselreach::config {

/** What a daemon tells of itself. A daemon may add further members to the JSON form. */
struct FleetStatus
{
    core::VmId vm;
    std::string state;          ///< live or leaving.
    HeadId activeHead;          ///< Revision 0 if the daemon has no configuration.
    bool storeBehind = false;   ///< See ConfigState::storeBehind().
    std::uint64_t rejected = 0; ///< Records in force in an older form.
};

/** @return The JSON form. */
nlohmann::json toJson(const FleetStatus &status);
/** @return The status. @throws UnreadableConfig */
FleetStatus fleetStatusFromJson(const nlohmann::json &json);

} // namespace teaselreach::config
