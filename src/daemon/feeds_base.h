/** @file feeds_base.h Services that update a daemon from the store, the VM list and peers. */
#pragma once

#include "core/ticker_base.h"
#include "daemon/config_service_base.h"
#include "daemon/peer_service_base.h"
#include "daemon/placement_service_base.h"
#include "settings/settings_type.h"
#include "store/http_store_base.h"
#include "vmlist/http_vm_list_base.h"

#include <atomic>
#include <functional>

namespace teaselreach::daemon {

/** Owns the services that update the daemon from outside, and their clients. */
class Feeds
{
public:
    /** Collaborators of the services; all must outlive the object. */
    struct Parts
    {
        const settings::Settings &settings;
        core::Incarnation incarnation;
        const Lifecycle &lifecycle;
        SharedConfig &shared;
        LimitService &limits;
        UpstreamService &upstreams;
        const PeerDirectory &directory;
        rpc::HttpTransport &transport;
        ConfigService::Listener onConfig;
        std::function<void(core::VmList)> onVmList;
    };

    /** @param parts Collaborators. */
    explicit Feeds(Parts parts);
    ~Feeds();
    Feeds(const Feeds &) = delete;
    Feeds &operator=(const Feeds &) = delete;

    /** @return The service that updates the configuration. */
    ConfigService &config() { return config_; }
    /** @return The service that exchanges messages with peers. */
    PeerService &peers() { return peers_; }
    /** @return The service that maintains the placement of limit homes. */
    PlacementService &placement() { return placement_; }

private:
    void readVmList();

    Parts parts_;
    /** For the threads of config_, which run before peers_ is constructed. */
    std::atomic<PeerService *> startedPeers_ {nullptr};
    store::HttpStore store_;
    vmlist::HttpVmList vmList_;
    SpreadService spread_;
    ConfigService config_;
    PlacementService placement_;
    PeerService peers_;
    core::Ticker vmListReader_; // Destroyed first: it uses the members above.
};

} // namespace teaselreach::daemon
