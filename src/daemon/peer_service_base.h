/** @file peer_service_base.h Exchange of revisions and evidence with other daemons. */
#pragma once

#include "core/ticker_base.h"
#include "core/vm_type.h"
#include "daemon/config_service_base.h"
#include "daemon/lifecycle_base.h"
#include "daemon/limit_service_base.h"
#include "daemon/peer_message_func.h"
#include "daemon/upstream_service_base.h"

#include <map>
#include <mutex>
#include <random>
#include <vector>

namespace teaselreach::daemon {

/** Identity of the VM among its peers. */
struct PeerServiceOptions
{
    core::VmId self;
    core::Location location;
    core::Incarnation incarnation;
    core::Millis timeout {500}; ///< For one exchange.
};

/** When a peer was last heard, in each direction. */
struct PeerContact
{
    core::MonoTime heardAt;    ///< A message or answer of the peer arrived.
    core::MonoTime answeredAt; ///< The peer answered a call, so it hears this VM.
    core::Incarnation incarnation;
    core::Revision configRevision;
    bool leaving = false;
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

    /** Answers `peer.exchange`. @throws nlohmann::json::exception if params are malformed. */
    nlohmann::json answerExchange(const nlohmann::json &params);
    /** Answers `limit.placement`: the stored form in force, or null. */
    nlohmann::json answerPlacement() const;
    /** Takes over a VM list. */
    void onVmList(const core::VmList &list);
    /** Tells some peers at once. */
    void push();

    /** @return When each peer was last heard. */
    std::map<core::VmId, PeerContact> contacts() const;

private:
    void exchangeRound();
    void pushUrgent();
    std::vector<core::VmId> choosePeers();
    std::vector<core::VmId> choosePushPeers();
    void exchangeWith(const core::VmId &peer);
    void takeMessage(const PeerMessage &message, bool isAnswer);
    void fetchPlacement(const core::VmId &peer);
    PeerMessage makeMessage();

    PeerServiceOptions options_;
    Parts parts_;
    mutable std::mutex mutex_;
    std::mt19937_64 random_;
    std::vector<core::EntryVm> peers_; ///< Without this VM.
    std::map<core::VmId, PeerContact> contacts_;
    // Destroyed first: their threads use all of the above.
    core::WorkQueue calls_;
    core::Ticker rounds_;
    core::Ticker urgent_;
};

} // namespace teaselreach::daemon
