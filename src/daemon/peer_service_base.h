/** @file peer_service_base.h Exchanges membership, revisions and evidence with peers. */
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

/** Identity of the VM and timeout of a PeerService. */
struct PeerServiceOptions
{
    core::VmId self;
    core::Incarnation incarnation;
    core::Millis timeout {500}; ///< Of one call to a peer.
};

/**
 * Gossips with three peers each second: one in the zone, one in the region, one anywhere. Calls a
 * few more at once after a configuration was applied or when evidence about an upstream is urgent.
 */
class PeerService
{
public:
    /** Collaborators of the service; all must outlive it. */
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

    /** @param options Identity and timeout. @param parts Collaborators. */
    PeerService(PeerServiceOptions options, Parts parts);
    ~PeerService();
    PeerService(const PeerService &) = delete;
    PeerService &operator=(const PeerService &) = delete;

    /** Answers `peer.exchange`. @throws member::MalformedMessage, nlohmann::json::exception if
     * params are malformed. */
    nlohmann::json answerExchange(const nlohmann::json &params);
    /** Answers `limit.placement`. @return The active placement in its stored form, or null. */
    nlohmann::json answerPlacement() const;
    /** Applies a VM list. */
    void onVmList(const core::VmList &list);
    /** Queues an exchange with a few peers outside the regular rounds. */
    void pushToPeers();

    /** @return What is known of each listed VM except this one. */
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
    std::vector<core::VmId> peerIds_; ///< The listed VMs except this one.
    // Declared last and so destroyed first: their threads use the members above.
    core::WorkQueue callQueue_;
    core::Ticker exchangeTicker_;
    core::Ticker urgentTicker_;
};

} // namespace teaselreach::daemon
