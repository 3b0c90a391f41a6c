/** @file config_service_base.h Keeps a daemon's configuration up to date from the store and peers.
 */
#pragma once

#include "config/config_state_base.h"
#include "config/update_func.h"
#include "core/ticker_base.h"
#include "core/work_queue_base.h"
#include "daemon/peer_directory_base.h"
#include "daemon/spread_service_base.h"
#include "rpc/http_transport_base.h"
#include "store/http_store_base.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

namespace teaselreach::daemon {

/** How a ConfigService waits for the store. */
struct ConfigServiceOptions
{
    core::Millis watchTimeout {5000}; ///< Longest time that one watch stays pending.
    core::Millis retryInterval {500}; ///< After the store could not be reached.
    core::Millis peerTimeout {2000};  ///< For an answer to `config.fetch`.
};

/**
 * Follows `head`: watchers of the zone watch it in the store, the others fetch higher revisions
 * that peers report and poll the store after a silence.
 */
class ConfigService
{
public:
    /** Puts a new revision in force in the daemon; called with rising revisions. */
    using Listener =
        std::function<void(const std::shared_ptr<const config::ConfigSnapshot> &snapshot)>;

    /** What the service works with; all of it must outlive the object. */
    struct Parts
    {
        SpreadService &spread;
        store::HttpStore &store;
        const PeerDirectory &directory;
        rpc::HttpTransport &transport;
        Listener listener;
    };

    /** @param options Times. @param parts Collaborators. */
    ConfigService(ConfigServiceOptions options, Parts parts);
    ~ConfigService();
    ConfigService(const ConfigService &) = delete;
    ConfigService &operator=(const ConfigService &) = delete;

    /** Fetches the configuration of a peer that has a higher revision, unless a fetch is on. */
    void scheduleFetch(const core::VmId &peer);
    /** Answers `config.fetch`. @throws config::UnreadableConfig if params are malformed. */
    nlohmann::json answerFetch(const nlohmann::json &params) const;

    /** @return Revision and digest in force. */
    config::HeadId activeHead() const;
    /** @return Whether the store last showed an older revision. */
    bool storeBehind() const;
    /** @return Number of records in force in an older form. */
    std::size_t rejectedRecordCount() const;

private:
    void pollOrWatchStore();
    void waitForHeadChange();
    void readStore();
    void fetchConfig(const core::VmId &peer);
    void notifyListener();

    ConfigServiceOptions options_;
    Parts parts_;
    mutable std::mutex mutex_;
    config::ConfigState state_;
    std::mutex listenerMutex_; ///< Held while listeners run, so that revisions reach them in order.
    core::Revision notifiedRevision_; ///< The last that the listener was told of.
    store::StoreVersion seenVersion_; ///< Only used by the store's thread.
    bool fetching_ = false;           ///< Whether a fetch from a peer is queued or running.
    bool stopping_ = false;
    std::condition_variable stopped_;
    // Destroyed first: their threads use all of the above.
    core::WorkQueue fetchQueue_;
    core::Ticker storeTicker_;
};

} // namespace teaselreach::daemon
