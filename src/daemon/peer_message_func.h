/** @file peer_message_func.h The message that is both request and answer of `peer.exchange`. */
#pragma once

#include "member/member_type.h"
#include "upstream/upstream_type.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace teaselreach::daemon {

/** What a daemon sends to a peer about VMs, the placement and upstreams. */
struct PeerMessage
{
    member::MemberMessage membership; ///< Of the sender and of other VMs.
    core::Revision placementRevision;
    std::vector<upstream::EvidenceDigest> digests;
};

/** @return The message as JSON. */
nlohmann::json toJson(const PeerMessage &message);
/**
 * @return The message; digests that cannot be read are left out, since a newer daemon may send a
 *     form that this one does not know.
 * @throws member::MalformedMessage, nlohmann::json::exception if another member is missing or
 *     wrong.
 */
PeerMessage peerMessageFromJson(const nlohmann::json &document);

} // namespace teaselreach::daemon
