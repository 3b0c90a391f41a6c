/** @file fleet_sync_base.h Keeps this VM registered and its state in step with the store. */
#pragma once

#include "core/log_func.h"
#include "proxy/fleet_state_base.h"
#include "proxy/fleet_store_type.h"

#include <random>

namespace teaselreach::proxy {

/** Times of the exchange with the store. */
struct FleetSyncOptions
{
    EntryMember self;
    /** Longest wait of one watch call. */
    core::Micros watchWait {core::Seconds(8)};
    /** The same after a failure: the changes that were missed are to be known at once. */
    core::Micros watchWaitAfterFailure {core::Millis(100)};
    /** Shortest loss of the store in which entries of live upstreams may lapse. They are renewed
     * every 1.5 s and lapse after three intervals, one of which may have passed before. */
    core::Micros shortestLapse {core::Seconds(1)};
    /** Pause between two watch calls, so that changes in a row share one answer. */
    core::Micros watchPause {core::Millis(150)};
    /** Lifetime of the registration, and the time between renewals. */
    core::Micros leaseTime {core::Millis(4500)};
    core::Micros renewEvery {core::Millis(1500)};
    /** Pause after a failed call, doubled up to the longest, with jitter. */
    core::Micros retryPause {core::Millis(100)};
    core::Micros longestRetryPause {core::Millis(400)};
};

/** Follows the store and renews the registration; runs until the process ends. */
template <FleetStore Store>
class FleetSync
{
public:
    /** Collaborators; all must outlive the object. */
    struct Parts
    {
        asio::io_context &context;
        Store &store;
        FleetState &state;
    };

    /** @param parts Collaborators. @param options Identity and times. @param seed For jitter. */
    FleetSync(Parts parts, FleetSyncOptions options, std::uint64_t seed)
        : parts_(parts)
        , options_(std::move(options))
        , random_(seed)
    { }

    /** Starts both loops. */
    void start()
    {
        asio::co_spawn(
            parts_.context, [this]() { return follow(); }, asio::detached);
        asio::co_spawn(
            parts_.context, [this]() { return stayRegistered(); }, asio::detached);
    }

    /** Withdraws the registration: callers are no longer sent here. */
    void leave()
    {
        leaving_ = true;
        asio::co_spawn(
            parts_.context, [this]() { return withdraw(); }, asio::detached);
    }

private:
    asio::awaitable<void> pause(core::Micros time)
    {
        asio::steady_timer timer(parts_.context, time);
        ErrorCode ignored; // Nothing cancels the timer.
        co_await timer.async_wait(storeError(ignored));
    }

    /** @return The pause after a failure: doubled each time, half of it by chance. */
    core::Micros nextPause()
    {
        const core::Micros full = std::min(options_.longestRetryPause,
                                           options_.retryPause * (1 << std::min(failures_, 6)));
        std::uniform_int_distribution<core::Micros::rep> chance(full.count() / 2, full.count());
        return core::Micros(chance(random_));
    }

    void storeFailed(const core::Error &error)
    {
        ++failures_;
        if (failures_ == 1)
            lostAt_ = core::MonoClock::now();
        if (failures_ == 1)
            core::logEvent(core::LogLevel::Warn, "store_lost",
                           {{"code", error.code()}, {"detail", error.what()}});
    }

    void storeAnswered()
    {
        if (failures_ == 0)
            return;
        const core::MonoTime now = core::MonoClock::now();
        core::logEvent(
            core::LogLevel::Info, "store_regained",
            {{"failures", failures_},
             {"lost_ms", std::chrono::duration_cast<core::Millis>(now - lostAt_).count()}});
        failures_ = 0;
        if (now - lostAt_ >= options_.shortestLapse)
            parts_.state.storeReturned(now);
    }

    asio::awaitable<void> follow()
    {
        bool wholeNeeded = true;
        while (true) {
            core::Micros wait = options_.watchPause;
            try {
                if (wholeNeeded)
                    co_await readAll();
                else
                    co_await watchOnce();
                wholeNeeded = false;
            } catch (const StoreHistoryLost &error) {
                storeAnswered();
                core::logEvent(core::LogLevel::Warn, "store_history_lost",
                               {{"after", static_cast<std::int64_t>(revision_.count())}});
                wholeNeeded = true;
            } catch (const core::Error &error) {
                behind_ = true;
                storeFailed(error);
                wait = nextPause();
            }
            co_await pause(wait);
        }
    }

    asio::awaitable<void> readAll()
    {
        const FleetContents contents = co_await parts_.store.readAll();
        storeAnswered();
        const core::MonoTime now = core::MonoClock::now();
        std::vector<core::UpstreamId> present;
        for (const FleetItem &item : contents.items) {
            apply(now, item);
            if (item.subject == FleetSubject::Upstream)
                present.emplace_back(item.id);
        }
        parts_.state.keepOnly(now, present);
        revision_ = contents.revision;
    }

    asio::awaitable<void> watchOnce()
    {
        const FleetContents changes = co_await parts_.store.watch(
            revision_, behind_ ? options_.watchWaitAfterFailure : options_.watchWait);
        behind_ = false;
        storeAnswered();
        const core::MonoTime now = core::MonoClock::now();
        for (const FleetItem &item : changes.items)
            apply(now, item);
        revision_ = std::max(revision_, changes.revision);
    }

    /** Applies one item; one that cannot be read names nothing to use and changes nothing. */
    void apply(core::MonoTime now, const FleetItem &item)
    {
        try {
            applyReadable(now, item);
        } catch (const StoreValueMalformed &error) {
            core::logEvent(core::LogLevel::Warn, "store_value_malformed",
                           {{"id", item.id}, {"detail", error.what()}});
            if (item.subject == FleetSubject::Upstream)
                parts_.state.removeUpstream(now, core::UpstreamId(item.id));
        }
    }

    void applyReadable(core::MonoTime now, const FleetItem &item)
    {
        FleetState &state = parts_.state;
        switch (item.subject) {
        case FleetSubject::Configuration:
            if (item.value)
                state.applyConfiguration(parts_.store.decodeConfiguration(*item.value));
            break;
        case FleetSubject::Upstream:
            if (item.value)
                state.applyUpstream(now, parts_.store.decodeUpstream(item.id, *item.value));
            else
                state.removeUpstream(now, core::UpstreamId(item.id));
            break;
        case FleetSubject::Member:
            if (item.value)
                state.applyMember(parts_.store.decodeMember(item.id, *item.value));
            else
                state.removeMember(now, core::VmId(item.id));
            break;
        case FleetSubject::Other:
            break;
        }
    }

    asio::awaitable<void> stayRegistered()
    {
        std::optional<StoreLease> lease;
        while (!leaving_) {
            core::Micros wait = options_.renewEvery;
            try {
                if (lease) {
                    co_await parts_.store.keepLease(*lease);
                    storeAnswered();
                } else {
                    const StoreLease granted = co_await parts_.store.grantLease(options_.leaseTime);
                    co_await parts_.store.registerMember(options_.self, granted);
                    lease = granted;
                }
            } catch (const StoreLeaseLost &error) {
                storeAnswered();
                core::logEvent(core::LogLevel::Warn, "registration_lapsed", {});
                lease.reset();
                wait = options_.retryPause;
            } catch (const core::Error &error) {
                core::logEvent(core::LogLevel::Debug, "registration_call_failed",
                               {{"code", error.code()}, {"detail", error.what()}});
                wait = options_.longestRetryPause;
            }
            co_await pause(wait);
        }
    }

    asio::awaitable<void> withdraw()
    {
        try {
            co_await parts_.store.removeMember(options_.self.id);
        } catch (const core::Error &error) {
            // The registration lapses by itself.
            core::logEvent(core::LogLevel::Warn, "registration_not_withdrawn",
                           {{"code", error.code()}, {"detail", error.what()}});
        }
    }

    Parts parts_;
    FleetSyncOptions options_;
    std::mt19937_64 random_;
    StoreRevision revision_;
    bool behind_ = false;      ///< The last reading failed.
    int failures_ = 0;         ///< Since the last answer of any call.
    core::MonoTime lostAt_ {}; ///< Time of the first of the failures.
    bool leaving_ = false;
};

} // namespace teaselreach::proxy
