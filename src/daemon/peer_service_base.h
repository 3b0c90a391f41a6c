/** @file peer_service_base.h Exchange of revisions and evidence with other daemons. */
#pragma once

#include "core/ticker_base.h"
#include "core/vm_type.h"
#include "daemon/config_service_base.h"
#include "daemon/lifecycle_base.h"
#include "daemon/limit_service_base.h"
#include "daemon/peer_message_func.h"
#include "daemon/spread_service_base.h"
#include "daemon/upstream_service_base.h"
#include "member/member_table_base.h"

#include <map>
#include <mutex>
#include <vector>

namespace teaselreach::daemon {

/** Identity of the VM among its peers. */
struct PeerServiceOptions
{
    core::VmId self;
    core::Incarnation incarnation;
    core::Millis timeout {500}; ///< For one exchange.
};

/**
 * Calls three peers each second: one in the zone, one in the region, one anywhere. Pushes at once
 * to a few more when a configuration was applied or an upstream became suspect.
 */
class PeerService
{
public:
    /** What the service works with; all of it must outlive the object. */
    struct Parts
    {
        const Lifecycle &lifecycle;
        SharedConfig &shared;
        SpreadService &spread;
        ConfigService &config;
        LimitService &limits;
        UpstreamService &upstreams;
        const PeerDirectory &directory;
        rpc::HttpTransport &transport;
    };

    /** @param options Identity. @param parts Collaborators. */
    PeerService(PeerServiceOptions options, Parts parts);
    ~PeerService();
    PeerService(const PeerService &) = delete;
    PeerService &operator=(const PeerService &) = delete;

    /** Answers `peer.exchange`. @throws member::MalformedMessage, nlohmann::json::exception if
     * params are malformed. */
    nlohmann::json answerExchange(const nlohmann::json &params);
    /** Answers `limit.placement`: the stored form in force, or null. */
    nlohmann::json answerPlacement() const;
    /** Takes over a VM list. */
    void onVmList(const core::VmList &list);
    /** Tells some peers at once. */
    void pushToPeers();

    /** @return What is known of each listed VM but this one. */
    std::map<core::VmId, member::MemberView> members() const;

private:
    void runExchangeRound();
    void pushUrgentDigests();
    void exchangeWith(const core::VmId &peer);
    void applyMessage(const PeerMessage &message, core::MonoTime sentAt);
    void fetchPlacement(const core::VmId &peer);
    PeerMessage makeMessage(const core::VmId &receiver);

    PeerServiceOptions options_;
    Parts parts_;
    mutable std::mutex mutex_;
    member::MemberTable memberTable_;
    std::vector<core::VmId> peerIds_; ///< Without this VM.
    // Destroyed first: their threads use all of the above.
    core::WorkQueue callQueue_;
    core::Ticker exchangeTicker_;
    core::Ticker urgentTicker_;
};

} // namespace teaselreach::daemon
