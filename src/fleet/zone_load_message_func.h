/** @file zone_load_message_func.h Reports on the load of zones in the messages of VMs. */
#pragma once

#include "fleet/peer_messenger_base.h"

#include <nlohmann/json_fwd.hpp>

namespace teaselreach::proxy {

/** Appends reports to the view of an encoded message, the third element of which earlier versions
 * ignore. Leaves out those that would exceed the size of a datagram. Changes nothing without
 * reports.
 * @param body The message with all its other elements. */
void appendZoneLoads(const std::vector<ZoneLoadReport> &reports, nlohmann::json &body);

/** Reads the reports from the encoded view of a message. A malformed report is counted in
 * PeerMessage::malformedZoneLoads. Removes a view that only carries reports.
 * @param message Its sender and view must be set. */
void readZoneLoads(const nlohmann::json &view, PeerMessage &message);

} // namespace teaselreach::proxy
