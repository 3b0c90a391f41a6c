/** @file fleet_sync_base.h Keeps this VM registered and its state in step with the store. */
#pragma once

#include "core/log_func.h"
#include "proxy/fleet_relay_base.h"
#include "proxy/fleet_state_base.h"
#include "proxy/fleet_store_type.h"

#include <map>
#include <random>
#include <string>

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
    core::Micros watchPause {core::Millis(600)};
    /** Lifetime of the registration of a VM that takes callers, and the time between renewals. A
     * renewal costs a tenth of a call; it also tells soon that the store is out of reach. */
    core::Micros leaseTime {core::Millis(4500)};
    core::Micros renewEvery {core::Millis(500)};
    /** The same for a VM that takes none. */
    core::Micros idleLeaseTime {core::Seconds(10)};
    core::Micros idleRenewEvery {core::Seconds(3)};
    /** Longest time since the store's last answer for which this VM passes on what it knows. */
    core::Micros relayTrust {core::Millis(1100)};
    /** How long a VM reads the store itself after its relay did not answer. */
    core::Micros relayAvoidance {core::Seconds(2)};
    /** Pause after a failed call, doubled up to the longest, with jitter. */
    core::Micros retryPause {core::Millis(100)};
    core::Micros longestRetryPause {core::Millis(400)};
    /** The longest pause of a VM that takes no callers and knows the fleet. Refused calls are paid
     * for, and most VMs are idle; with the hold of removals it stays under the three seconds after
     * which a VM counts as in touch again. */
    core::Micros idleLongestRetryPause {core::Millis(800)};
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
        const EntryChoice &entries;
    };

    /** @param parts Collaborators. @param options Identity and times. @param seed For jitter. */
    FleetSync(Parts parts, FleetSyncOptions options, std::uint64_t seed)
        : parts_(parts)
        , options_(std::move(options))
        , relays_(parts.context)
        , random_(seed)
    { }

    /** @return What the store holds, for followers. */
    const FleetLog &log() const { return log_; }

    /** @return How long this VM has read the store itself without a break; nothing if it does not
     * now. */
    std::optional<core::Micros> steadyFor() const
    {
        const core::MonoTime now = core::MonoClock::now();
        if (behind_ || following_ || revision_.count() == 0
            || now - answeredAt_ >= options_.relayTrust)
            return std::nullopt;
        return now - steadySince_;
    }

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

    /** @return The longest pause between calls to a store that does not answer. */
    core::Micros longestPause() const
    {
        const bool isIdle = revision_.count() != 0 && !parts_.entries.isActive(options_.self.id);
        return isIdle ? options_.idleLongestRetryPause : options_.longestRetryPause;
    }

    /** @return The pause after a failure: doubled each time, half of it by chance. */
    core::Micros nextPause()
    {
        const core::Micros full =
            std::min(longestPause(), options_.retryPause * (1 << std::min(failures_, 6)));
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
        answeredAt_ = core::MonoClock::now();
        noteRegained(answeredAt_);
    }

    /** Records that changes arrive again, from the store or from a relay that is in touch. */
    void noteRegained(core::MonoTime now, core::Micros relaySteadyFor = core::Micros(0))
    {
        if (failures_ == 0)
            return;
        core::logEvent(
            core::LogLevel::Info, "store_regained",
            {{"failures", failures_},
             {"lost_ms", std::chrono::duration_cast<core::Millis>(now - lostAt_).count()}});
        failures_ = 0;
        steadySince_ = now;
        // A relay that was in touch all the while knows that only this VM was away.
        const bool onlyThisVm = relaySteadyFor > now - lostAt_;
        if (now - lostAt_ >= options_.shortestLapse && !onlyThisVm)
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
                else if (co_await followRelay())
                    wait = core::Micros(0);
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
        passedOn_.clear();
        for (const FleetItem &item : contents.items) {
            apply(now, item);
            if (item.subject == FleetSubject::Upstream)
                present.emplace_back(item.id);
        }
        parts_.state.keepOnly(now, present);
        log_.reset(contents);
        revision_ = contents.revision;
    }

    /** Asks the VM of the zone that reads the store. @return Whether it answered. */
    asio::awaitable<bool> followRelay()
    {
        following_ = false;
        const std::optional<EntryMember> relay = parts_.entries.relayOf(options_.self.id);
        if (!relay || core::MonoClock::now() < relaysAvoidedUntil_)
            co_return false;
        try {
            following_ = true;
            const FleetContents changes = co_await relays_.fetch(relay->peerAddress, revision_);
            noteRegained(core::MonoClock::now(), changes.steadyFor);
            applyChanges(changes);
            co_return true;
        } catch (const core::Error &error) {
            core::logEvent(core::LogLevel::Info, "relay_failed",
                           {{"relay", relay->id.str()}, {"detail", error.what()}});
        }
        following_ = false;
        relaysAvoidedUntil_ = core::MonoClock::now() + options_.relayAvoidance;
        // The relay may have been out of touch: what it did not tell is asked for at once.
        behind_ = true;
        co_return false;
    }

    void applyChanges(const FleetContents &changes)
    {
        const core::MonoTime now = core::MonoClock::now();
        FleetContents news {.revision = changes.revision};
        for (const FleetItem &item : changes.items) {
            if (apply(now, item))
                news.items.push_back(item);
        }
        log_.append(news);
        revision_ = std::max(revision_, changes.revision);
    }

    asio::awaitable<void> watchOnce()
    {
        const FleetContents changes = co_await parts_.store.watch(
            revision_, behind_ ? options_.watchWaitAfterFailure : options_.watchWait);
        behind_ = false;
        storeAnswered();
        applyChanges(changes);
    }

    /**
     * Applies one item; one that cannot be read names nothing to use and changes nothing.
     * @return Whether followers have to know of it. Upstreams renew their entries every 1.5 s, and
     * an entry that says what it said before would be most of what the relay sends.
     */
    bool apply(core::MonoTime now, const FleetItem &item)
    {
        try {
            return applyReadable(now, item);
        } catch (const StoreValueMalformed &error) {
            core::logEvent(core::LogLevel::Warn, "store_value_malformed",
                           {{"id", item.id}, {"detail", error.what()}});
            if (item.subject == FleetSubject::Upstream)
                parts_.state.removeUpstream(now, core::UpstreamId(item.id));
            passedOn_.erase(item.id);
            return true;
        }
    }

    bool applyReadable(core::MonoTime now, const FleetItem &item)
    {
        FleetState &state = parts_.state;
        switch (item.subject) {
        case FleetSubject::Configuration:
            if (item.value)
                state.applyConfiguration(parts_.store.decodeConfiguration(*item.value));
            break;
        case FleetSubject::Upstream:
            if (item.value) {
                const UpstreamEntry entry = parts_.store.decodeUpstream(item.id, *item.value);
                state.applyUpstream(now, entry);
                return notePassedOn(item.id, entry);
            }
            state.removeUpstream(now, core::UpstreamId(item.id));
            passedOn_.erase(item.id);
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
        return true;
    }

    /** @return Whether an entry differs from the one that was last passed on. */
    bool notePassedOn(const std::string &id, const UpstreamEntry &entry)
    {
        const auto [known, isNew] = passedOn_.try_emplace(id, entry);
        if (!isNew && known->second == entry)
            return false;
        known->second = entry;
        return true;
    }

    asio::awaitable<void> stayRegistered()
    {
        std::optional<StoreLease> lease;
        bool leasedAsActive = false;
        while (!leaving_) {
            const bool active = parts_.entries.isActive(options_.self.id);
            core::Micros wait = active ? options_.renewEvery : options_.idleRenewEvery;
            if (failures_ > 0)
                wait = longestPause(); // The first answer starts the hold of removals.
            // A VM that begins to take callers has to be missed sooner.
            if (active != leasedAsActive)
                lease.reset();
            try {
                if (lease) {
                    co_await parts_.store.keepLease(*lease);
                    storeAnswered();
                } else {
                    const StoreLease granted = co_await parts_.store.grantLease(
                        active ? options_.leaseTime : options_.idleLeaseTime);
                    co_await parts_.store.registerMember(options_.self, granted);
                    leasedAsActive = active;
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
                wait = longestPause();
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
    FleetRelayClient relays_;
    FleetLog log_;
    std::map<std::string, UpstreamEntry> passedOn_; ///< What followers know of upstreams.
    std::mt19937_64 random_;
    StoreRevision revision_;
    bool following_ = false; ///< Changes come from a relay, not from the store.
    core::MonoTime relaysAvoidedUntil_ {};
    core::MonoTime answeredAt_ {};                        ///< Time of the store's last answer.
    core::MonoTime steadySince_ = core::MonoClock::now(); ///< In touch without a break since.
    bool behind_ = false;                                 ///< The last reading failed.
    int failures_ = 0;                                    ///< Since the last answer of any call.
    core::MonoTime lostAt_ {};                            ///< Time of the first of the failures.
    bool leaving_ = false;
};

} // namespace teaselreach::proxy
