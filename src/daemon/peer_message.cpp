/** @file peer_message.cpp The message that is both request and answer of `peer.exchange`. */
#include "core/log_func.h"
#include "daemon/peer_message_func.h"
#include "member/member_table_base.h"
#include "upstream/digest_json_func.h"

#include <nlohmann/json.hpp>

namespace teaselreach::daemon {

nlohmann::json toJson(const PeerMessage &message)
{
    nlohmann::json digests = nlohmann::json::array();
    for (const upstream::EvidenceDigest &digest : message.digests)
        digests.push_back(upstream::digestToJson(digest));
    return {{"membership", member::toJson(message.membership)},
            {"placement", message.placementRevision.count()},
            {"digests", std::move(digests)}};
}

PeerMessage peerMessageFromJson(const nlohmann::json &document)
{
    PeerMessage message {.membership = member::memberMessageFromJson(document.at("membership")),
                         .placementRevision =
                             core::Revision(document.at("placement").get<std::uint64_t>()),
                         .digests = {}};
    for (const nlohmann::json &digest : document.at("digests")) {
        try {
            message.digests.push_back(upstream::digestFromJson(digest));
        } catch (const upstream::InvalidDigest &error) {
            core::logEvent(
                core::LogLevel::Warn, "digest_malformed",
                {{"peer", message.membership.sender.vm.str()}, {"reason", error.what()}});
        }
    }
    return message;
}

} // namespace teaselreach::daemon
