/** @file config_service.cpp Updates the configuration from the store and from peers. */
#include "core/log_func.h"
#include "daemon/config_service_base.h"

#include <nlohmann/json.hpp>

namespace teaselreach::daemon {

ConfigService::ConfigService(ConfigServiceOptions options, Parts parts)
    : options_(options)
    , parts_(std::move(parts))
    , fetchQueue_({.threads = 1, .maxQueued = 4})
    , storeTicker_(options.retryInterval, [this] { pollOrWatchStore(); })
{ }

ConfigService::~ConfigService()
{
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    stopped_.notify_all();
}

/**
 * Watches the store if this VM is a watcher, otherwise reads it if a poll is due. After success a
 * watcher watches again at once; after a failure it waits for the interval of the ticker.
 */
void ConfigService::pollOrWatchStore()
{
    const bool watches = parts_.spread.isWatcher();
    if (!watches && !parts_.spread.tryStartPoll(core::MonoClock::now()))
        return;
    try {
        if (watches)
            waitForHeadChange();
        readStore();
        if (watches)
            storeTicker_.wake();
    } catch (const core::Error &error) {
        core::logEvent(core::LogLevel::Warn, "store_unavailable",
                       {{"code", error.code()}, {"reason", error.what()}});
    }
}

void ConfigService::waitForHeadChange()
{
    auto stored = parts_.store.watch(config::headKey, seenVersion_, options_.watchTimeout);
    // A store that was restored to an older state has a lower version, which watch() never reports.
    if (!stored)
        stored = parts_.store.get(config::headKey);
    seenVersion_ = stored ? stored->version : store::StoreVersion();
}

/** Reads the head from the store and, if it is newer, the groups that are missing. */
void ConfigService::readStore()
{
    const core::MonoTime readAt = core::MonoClock::now();
    const auto access = [this](const auto &function) {
        const std::lock_guard lock(mutex_);
        return function(state_);
    };
    const bool wasBehind = storeBehind();
    const auto pace = [this] {
        std::unique_lock lock(mutex_);
        stopped_.wait_for(lock, parts_.spread.storeReadInterval(), [this] { return stopping_; });
    };
    config::updateFromStore(access, parts_.store, pace);
    parts_.spread.noteStoreContact(readAt);
    if (storeBehind() && !wasBehind)
        core::logEvent(core::LogLevel::Error, "store_behind",
                       {{"revision", static_cast<std::int64_t>(activeHead().revision.count())}});
    notifyListener();
}

void ConfigService::scheduleFetch(const core::VmId &peer)
{
    {
        const std::lock_guard lock(mutex_);
        if (fetching_)
            return;
        fetching_ = true;
    }
    const bool queued = fetchQueue_.add([this, peer] {
        fetchConfig(peer);
        const std::lock_guard lock(mutex_);
        fetching_ = false;
    });
    if (!queued) {
        const std::lock_guard lock(mutex_);
        fetching_ = false;
    }
}

/** Fetches the head and the missing groups from a peer, in several calls if necessary. */
void ConfigService::fetchConfig(const core::VmId &peer)
{
    const auto endpoint = parts_.directory.endpointOf(peer);
    if (!endpoint)
        return;
    const auto access = [this](const auto &function) {
        const std::lock_guard lock(mutex_);
        return function(state_);
    };
    try {
        config::updateFromPeer(access, parts_.transport, *endpoint, options_.peerTimeout);
        notifyListener();
    } catch (const core::Error &error) {
        core::logEvent(core::LogLevel::Warn, "config_fetch_failed",
                       {{"peer", peer.str()}, {"code", error.code()}, {"reason", error.what()}});
    }
}

/** Calls the listener if the active revision is higher than the last one passed to it. */
void ConfigService::notifyListener()
{
    const std::lock_guard announceLock(listenerMutex_);
    std::shared_ptr<const config::ConfigSnapshot> snapshot;
    std::vector<config::RejectedRecord> rejected;
    {
        const std::lock_guard lock(mutex_);
        snapshot = state_.snapshot();
        rejected = state_.rejectedRecords();
    }
    if (!snapshot || snapshot->revision() <= notifiedRevision_)
        return;
    notifiedRevision_ = snapshot->revision();
    for (const config::RejectedRecord &record : rejected) {
        core::logEvent(core::LogLevel::Error, "config_rejected",
                       {{"group", record.group}, {"reason", record.reason}});
    }
    core::logEvent(core::LogLevel::Info, "config_applied",
                   {{"revision", static_cast<std::int64_t>(snapshot->revision().count())}});
    parts_.listener(snapshot);
}

nlohmann::json ConfigService::answerFetch(const nlohmann::json &params) const
{
    const config::FetchRequest request = config::fetchRequestFromJson(params);
    const std::lock_guard lock(mutex_);
    return config::toJson(config::answerFetch(state_, request));
}

config::HeadId ConfigService::activeHead() const
{
    const std::lock_guard lock(mutex_);
    return state_.activeHead();
}

bool ConfigService::storeBehind() const
{
    const std::lock_guard lock(mutex_);
    return state_.storeBehind();
}

std::size_t ConfigService::rejectedRecordCount() const
{
    const std::lock_guard lock(mutex_);
    return state_.rejectedRecords().size();
}

} // namespace teaselreach::daemon
