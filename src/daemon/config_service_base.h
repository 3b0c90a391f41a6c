/** @file config_service_base.h Updates the configuration from the store and from peers. */
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

/** Timeouts and intervals of a ConfigService. */
struct ConfigServiceOptions
{
    core::Millis watchTimeout {5000}; ///< Longest duration of one watch call to the store.
    core::Millis retryInterval {500}; ///< Of pollOrWatchStore(); a watcher skips it after success.
    core::Millis peerTimeout {2000};  ///< Timeout of each `config.fetch` call.
};

/**
 * Tracks the `head` record of the configuration. The watchers of each availability zone watch it
 * in the store. Every VM fetches higher revisions from the peers that report them; a VM that is
 * not a watcher polls the store only after a time without news of a contact with it.
 */
class ConfigService
{
public:
    /** Applies a new revision in the daemon; called with increasing revisions. */
    using Listener =
        std::function<void(const std::shared_ptr<const config::ConfigSnapshot> &snapshot)>;

    /** Collaborators of the service; all must outlive it. */
    struct Parts
    {
        SpreadService &spread;
        store::HttpStore &store;
        const PeerDirectory &directory;
        rpc::HttpTransport &transport;
        Listener listener;
    };

    /** @param options Timeouts and intervals. @param parts Collaborators. */
    ConfigService(ConfigServiceOptions options, Parts parts);
    ~ConfigService();
    ConfigService(const ConfigService &) = delete;
    ConfigService &operator=(const ConfigService &) = delete;

    /** Queues a fetch from a peer with a higher revision, unless one is queued or running. */
    void scheduleFetch(const core::VmId &peer);
    /** Answers `config.fetch`. @throws config::UnreadableConfig if params are malformed. */
    nlohmann::json answerFetch(const nlohmann::json &params) const;

    /** @return Revision and digest of the active configuration; revision 0 before the first. */
    config::HeadId activeHead() const;
    /** @return Whether the store last had an older revision or another form of the active one. */
    bool storeBehind() const;
    /** @return Number of records active in an older form, since their newest cannot be read. */
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
    std::mutex listenerMutex_; ///< Held during listener calls, so that revisions arrive in order.
    core::Revision notifiedRevision_; ///< Last revision passed to the listener.
    store::StoreVersion seenVersion_; ///< Only used by the thread of storeTicker_.
    bool fetching_ = false;           ///< Whether a fetch from a peer is queued or running.
    bool stopping_ = false;
    std::condition_variable stopped_;
    // Declared last and so destroyed first: their threads use the members above.
    core::WorkQueue fetchQueue_;
    core::Ticker storeTicker_;
};

} // namespace teaselreach::daemon
