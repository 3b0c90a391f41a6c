/** @file peer_message_func.h The message of `peer.exchange`, in both directions. */
#pragma once

#include "core/id_type.h"
#include "upstream/upstream_type.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace teaselreach::daemon {

/** What a daemon tells a peer of itself and of upstreams. */
struct PeerMessage
{
    core::VmId vm;
    core::Incarnation incarnation;
    bool leaving = false;
    core::Revision configRevision;
    core::Revision placementRevision;
    core::Millis storeSilence {-1}; ///< Since contact with the store, own or reported; -1 if never.
    std::vector<upstream::EvidenceDigest> digests;
};

/** @return The JSON form. */
nlohmann::json toJson(const PeerMessage &message);
/**
 * @return The message; digests that cannot be read are left out, since a newer daemon may send a
 *     form that this one does not know.
 * @throws nlohmann::json::exception if another member is missing or wrong.
 */
PeerMessage peerMessageFromJson(const nlohmann::json &document);

} // namespace teaselreach::daemon
