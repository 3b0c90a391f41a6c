/** @file fleet_status.cpp Result of the method `fleet.status`. */
#include "config/fleet_status_func.h"

#include <nlohmann/json.hpp>

namespace teaselreach::config {

using nlohmann::json;

json toJson(const FleetStatus &status)
{
    return {{"vm", status.vm.str()},
            {"state", status.state},
            {"revision", status.activeHead.revision.count()},
            {"digest", status.activeHead.digest},
            {"store_behind", status.storeBehind},
            {"rejected", status.rejected}};
}

FleetStatus fleetStatusFromJson(const json &document)
{
    try {
        return {.vm = core::VmId(document.at("vm").get<std::string>()),
                .state = document.at("state").get<std::string>(),
                .activeHead = {core::Revision(document.at("revision").get<std::uint64_t>()),
                               document.at("digest").get<std::string>()},
                .storeBehind = document.value("store_behind", false),
                .rejected = document.value("rejected", std::uint64_t {0})};
    } catch (const json::exception &error) {
        throw UnreadableConfig(std::string("malformed result of fleet.status: ") + error.what());
    }
}

} // namespace teaselreach::config
