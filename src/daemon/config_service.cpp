/** @file config_service.cpp Keeps a daemon's configuration up to date from the store and peers. */
#include "config/fetch_func.h"
#include "core/log_func.h"
#include "daemon/config_service_base.h"

#include <nlohmann/json.hpp>

namespace teaselreach::daemon {

namespace {

/** Rounds of `config.fetch` to one peer; each answer brings at least one group. */
constexpr int maxFetchRounds = 400;

} // namespace

ConfigService::ConfigService(ConfigServiceOptions options, Parts parts)
    : options_(options)
    , parts_(std::move(parts))
    , fetches_({.threads = 1, .maxQueued = 4})
    , follower_(options.retryPause, [this] { followStore(); })
{ }

ConfigService::~ConfigService() = default;

/** Watches the head until the store cannot be reached; the ticker then calls again. */
void ConfigService::followStore()
{
    try {
        auto stored = parts_.store.watch(config::headKey, seenVersion_, options_.watch);
        parts_.shared.noteStoreContact(core::MonoClock::now());
        // A store restored to an older state has a lower version, which no watch reports.
        if (!stored)
            stored = parts_.store.get(config::headKey);
        if (!stored)
            return;
        if (stored->version != seenVersion_)
            takeHead(stored->value);
        seenVersion_ = stored->version;
        follower_.wake();
    } catch (const core::Error &error) {
        core::logEvent(core::LogLevel::Warn, "store_unavailable",
                       {{"code", error.code()}, {"reason", error.what()}});
    }
}

/** Applies a head from the store with the groups that it needs. */
void ConfigService::takeHead(const std::string &text)
{
    config::GroupDigests needed;
    {
        const std::lock_guard lock(mutex_);
        const config::HeadVerdict verdict = state_.offerHead(text, config::UpdateSource::Store);
        if (verdict == config::HeadVerdict::Older || verdict == config::HeadVerdict::OtherForm) {
            core::logEvent(
                core::LogLevel::Error, "store_behind",
                {{"revision", static_cast<std::int64_t>(state_.inForce().revision.count())}});
        }
        if (verdict != config::HeadVerdict::Newer)
            return;
        needed = state_.neededFor(config::headFromText(text));
    }
    apply(text, readGroups(needed), nullptr);
}

/** @return The values of groups from the store; those that are missing there are left out. */
config::GroupValues ConfigService::readGroups(const config::GroupDigests &needed)
{
    config::GroupValues values;
    for (const auto &[name, digest] : needed) {
        const auto stored = parts_.store.get(config::groupKey(name, digest));
        if (stored)
            values[name] = stored->value;
    }
    return values;
}

void ConfigService::peerReported(const core::VmId &peer, core::Revision revision)
{
    {
        const std::lock_guard lock(mutex_);
        if (revision <= state_.inForce().revision || fetching_)
            return;
        fetching_ = true;
    }
    const bool queued = fetches_.add([this, peer] {
        fetchFrom(peer);
        const std::lock_guard lock(mutex_);
        fetching_ = false;
    });
    if (!queued) {
        const std::lock_guard lock(mutex_);
        fetching_ = false;
    }
}

/** Fetches head and groups from a peer, in as many rounds as its answers need. */
void ConfigService::fetchFrom(const core::VmId &peer)
{
    const auto endpoint = parts_.directory.endpointOf(peer);
    if (!endpoint)
        return;
    try {
        const std::string head = ask(*endpoint, {.wantHead = true}).headText;
        config::GroupDigests needed;
        bool applied = head.empty() || apply(head, {}, &needed);
        for (int round = 0; !applied && !needed.empty() && round < maxFetchRounds; ++round) {
            const std::size_t before = needed.size();
            const auto values = ask(*endpoint, {.wantHead = false, .wanted = needed}).values;
            applied = apply(head, values, &needed);
            if (!applied && needed.size() >= before)
                return;
        }
    } catch (const core::Error &error) {
        core::logEvent(core::LogLevel::Warn, "config_fetch_failed",
                       {{"peer", peer.str()}, {"code", error.code()}, {"reason", error.what()}});
    }
}

config::FetchAnswer ConfigService::ask(const rpc::Endpoint &endpoint,
                                       const config::FetchRequest &request)
{
    return config::fetchAnswerFromJson(parts_.transport.call(
        endpoint, "config.fetch", config::toJson(request), options_.peerTimeout));
}

/**
 * Applies a head with group values and tells the listener.
 * @param needed Receives the groups still missing, if not null.
 * @return Whether the revision is in force now or is not newer than the one in force.
 */
bool ConfigService::apply(const std::string &head, const config::GroupValues &values,
                          config::GroupDigests *needed)
{
    const std::lock_guard applyLock(applyMutex_);
    std::shared_ptr<const config::ConfigSnapshot> snapshot;
    config::ApplyResult result;
    {
        const std::lock_guard lock(mutex_);
        result = state_.apply(head, values);
        snapshot = state_.snapshot();
    }
    for (const config::RejectedRecord &rejected : result.rejected) {
        core::logEvent(core::LogLevel::Error, "config_rejected",
                       {{"group", rejected.group}, {"reason", rejected.reason}});
    }
    if (result.verdict == config::ApplyVerdict::GroupsNeeded && needed != nullptr)
        *needed = result.needed;
    if (result.verdict == config::ApplyVerdict::Applied) {
        core::logEvent(core::LogLevel::Info, "config_applied",
                       {{"revision", static_cast<std::int64_t>(snapshot->revision().count())}});
        parts_.listener(snapshot);
        return true;
    }
    return result.verdict == config::ApplyVerdict::NotNewer;
}

nlohmann::json ConfigService::answerFetch(const nlohmann::json &params) const
{
    const config::FetchRequest request = config::fetchRequestFromJson(params);
    const std::lock_guard lock(mutex_);
    return config::toJson(config::answerFetch(state_, request));
}

config::HeadId ConfigService::inForce() const
{
    const std::lock_guard lock(mutex_);
    return state_.inForce();
}

bool ConfigService::storeBehind() const
{
    const std::lock_guard lock(mutex_);
    return state_.storeBehind();
}

std::size_t ConfigService::rejectedRecords() const
{
    const std::lock_guard lock(mutex_);
    return state_.rejected().size();
}

} // namespace teaselreach::daemon
