/** @file peer_message.cpp The message of `peer.exchange`, in both directions. */
#include "core/log_func.h"
#include "daemon/peer_message_func.h"
#include "upstream/digest_json_func.h"

#include <nlohmann/json.hpp>

namespace teaselreach::daemon {

nlohmann::json toJson(const PeerMessage &message)
{
    nlohmann::json digests = nlohmann::json::array();
    for (const upstream::EvidenceDigest &digest : message.digests)
        digests.push_back(upstream::digestToJson(digest));
    return {{"vm", message.vm.str()},
            {"incarnation", message.incarnation.count()},
            {"state", message.leaving ? "leaving" : "live"},
            {"config", message.configRevision.count()},
            {"placement", message.placementRevision.count()},
            {"store_silence_ms", message.storeSilence.count()},
            {"digests", std::move(digests)}};
}

PeerMessage peerMessageFromJson(const nlohmann::json &document)
{
    PeerMessage message {
        .vm = core::VmId(document.at("vm")),
        .incarnation = core::Incarnation(document.at("incarnation").get<std::uint64_t>()),
        .leaving = document.at("state") == "leaving",
        .configRevision = core::Revision(document.at("config").get<std::uint64_t>()),
        .placementRevision = core::Revision(document.at("placement").get<std::uint64_t>()),
        .storeSilence = core::Millis(document.at("store_silence_ms").get<std::int64_t>()),
        .digests = {}};
    for (const nlohmann::json &digest : document.at("digests")) {
        try {
            message.digests.push_back(upstream::digestFromJson(digest));
        } catch (const upstream::InvalidDigest &error) {
            core::logEvent(core::LogLevel::Warn, "digest_malformed",
                           {{"peer", message.vm.str()}, {"reason", error.what()}});
        }
    }
    return message;
}

} // namespace teaselreach::daemon
