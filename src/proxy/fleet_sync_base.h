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
    core::Micros watchTimeout {core::Seconds(8)};
    /** The same after a failure: the changes that were missed are to be known at once. */
    core::Micros watchTimeoutAfterFailure {core::Millis(100)};
    /** Shortest loss of the store in which entries of live upstreams may lapse. They are renewed
     * every 1.5 s and lapse after three intervals, one of which may have passed before. */
    core::Micros minOutageForExpiry {core::Seconds(1)};
    /** Pause between two watch calls, so that changes in a row share one answer. */
    core::Micros watchPause {core::Millis(600)};
    /** Lifetime of the registration of a VM that takes callers, and the time between renewals. A
     * renewal costs a tenth of a call; it also tells soon that the store is out of reach. */
    core::Micros leaseTtl {core::Millis(4500)};
    core::Micros renewInterval {core::Millis(500)};
    /** The same for a VM that takes none. */
    core::Micros idleLeaseTtl {core::Seconds(10)};
    core::Micros idleRenewInterval {core::Seconds(3)};
    /** Longest time since the store's last answer for which this VM passes on what it knows. */
    core::Micros maxRelayStaleness {core::Millis(1100)};
    /** How long a VM reads the store itself after its relay did not answer. */
    core::Micros relayBackoff {core::Seconds(2)};
    /** Pause after a failed call, doubled up to the longest, with jitter. */
    core::Micros initialBackoff {core::Millis(100)};
    core::Micros maxBackoff {core::Millis(400)};
    /** The longest pause of a VM that takes no callers and knows the fleet. Refused calls are paid
     * for, and most VMs are idle; with the hold of removals it stays under the three seconds after
     * which a VM counts as in touch again. */
    core::Micros idleMaxBackoff {core::Millis(800)};
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
    const FleetChangeLog &changeLog() const { return changeLog_; }

    /** @return How long this VM has read the store itself without a break; nothing if it does not
     * now. */
    std::optional<core::Micros> connectedFor() const
    {
        const core::MonoTime now = core::MonoClock::now();
        if (catchUpNeeded_ || usingRelay_ || revision_.count() == 0
            || now - lastResponseAt_ >= options_.maxRelayStaleness)
            return std::nullopt;
        return now - connectedSince_;
    }

    /** Starts both loops. */
    void start()
    {
        asio::co_spawn(
            parts_.context, [this]() { return watchLoop(); }, asio::detached);
        asio::co_spawn(
            parts_.context, [this]() { return registrationLoop(); }, asio::detached);
    }

    /** Withdraws the registration: callers are no longer sent here. */
    void deregister()
    {
        deregistering_ = true;
        asio::co_spawn(
            parts_.context, [this]() { return removeRegistration(); }, asio::detached);
    }

private:
    asio::awaitable<void> sleepFor(core::Micros time)
    {
        asio::steady_timer timer(parts_.context, time);
        ErrorCode ignored; // Nothing cancels the timer.
        co_await timer.async_wait(storeError(ignored));
    }

    /** @return The longest pause between calls to a store that does not answer. */
    core::Micros currentMaxBackoff() const
    {
        const bool isIdle = revision_.count() != 0 && !parts_.entries.isActive(options_.self.id);
        return isIdle ? options_.idleMaxBackoff : options_.maxBackoff;
    }

    /** @return The pause after a failure: doubled each time, half of it by chance. */
    core::Micros nextBackoff()
    {
        const core::Micros backoff =
            std::min(currentMaxBackoff(), options_.initialBackoff * (1 << std::min(failures_, 6)));
        std::uniform_int_distribution<core::Micros::rep> distribution(backoff.count() / 2,
                                                                      backoff.count());
        return core::Micros(distribution(random_));
    }

    void recordFailure(const core::Error &error)
    {
        ++failures_;
        if (failures_ == 1)
            outageStartedAt_ = core::MonoClock::now();
        if (failures_ == 1)
            core::logEvent(core::LogLevel::Warn, "store_lost",
                           {{"code", error.code()}, {"detail", error.what()}});
    }

    void recordResponse()
    {
        lastResponseAt_ = core::MonoClock::now();
        endOutage(lastResponseAt_);
    }

    /** Records that changes arrive again, from the store or from a relay that is in touch. */
    void endOutage(core::MonoTime now, core::Micros relayConnectedFor = core::Micros(0))
    {
        if (failures_ == 0)
            return;
        core::logEvent(
            core::LogLevel::Info, "store_regained",
            {{"failures", failures_},
             {"lost_ms",
              std::chrono::duration_cast<core::Millis>(now - outageStartedAt_).count()}});
        failures_ = 0;
        connectedSince_ = now;
        // A relay that was in touch all the while knows that only this VM was away.
        const bool onlyThisVm = relayConnectedFor > now - outageStartedAt_;
        if (now - outageStartedAt_ >= options_.minOutageForExpiry && !onlyThisVm)
            parts_.state.storeRecovered(now);
    }

    asio::awaitable<void> watchLoop()
    {
        bool fullReadNeeded = true;
        while (true) {
            core::Micros wait = options_.watchPause;
            try {
                if (fullReadNeeded)
                    co_await readAll();
                else if (co_await fetchFromRelay())
                    wait = core::Micros(0);
                else
                    co_await watchOnce();
                fullReadNeeded = false;
            } catch (const StoreHistoryLost &error) {
                recordResponse();
                core::logEvent(core::LogLevel::Warn, "store_history_lost",
                               {{"after", static_cast<std::int64_t>(revision_.count())}});
                fullReadNeeded = true;
            } catch (const core::Error &error) {
                catchUpNeeded_ = true;
                recordFailure(error);
                wait = nextBackoff();
            }
            co_await sleepFor(wait);
        }
    }

    asio::awaitable<void> readAll()
    {
        const FleetUpdate snapshot = co_await parts_.store.readAll();
        recordResponse();
        const core::MonoTime now = core::MonoClock::now();
        std::vector<core::UpstreamId> listed;
        relayedEntries_.clear();
        for (const FleetItem &item : snapshot.items) {
            applyItem(now, item);
            if (item.kind == FleetItemKind::Upstream)
                listed.emplace_back(item.id);
        }
        parts_.state.removeUnlistedUpstreams(now, listed);
        changeLog_.reset(snapshot);
        revision_ = snapshot.revision;
    }

    /** Asks the VM of the zone that reads the store. @return Whether it answered. */
    asio::awaitable<bool> fetchFromRelay()
    {
        usingRelay_ = false;
        const std::optional<EntryMember> relay = parts_.entries.relayOf(options_.self.id);
        if (!relay || core::MonoClock::now() < relayBackoffUntil_)
            co_return false;
        try {
            usingRelay_ = true;
            const FleetUpdate changes = co_await relays_.fetch(relay->peerAddress, revision_);
            endOutage(core::MonoClock::now(), changes.connectedFor);
            applyChanges(changes);
            co_return true;
        } catch (const core::Error &error) {
            core::logEvent(core::LogLevel::Info, "relay_failed",
                           {{"relay", relay->id.str()}, {"detail", error.what()}});
        }
        usingRelay_ = false;
        relayBackoffUntil_ = core::MonoClock::now() + options_.relayBackoff;
        // The relay may have been out of touch: what it did not tell is asked for at once.
        catchUpNeeded_ = true;
        co_return false;
    }

    void applyChanges(const FleetUpdate &changes)
    {
        const core::MonoTime now = core::MonoClock::now();
        FleetUpdate relayed {.revision = changes.revision};
        for (const FleetItem &item : changes.items) {
            if (applyItem(now, item))
                relayed.items.push_back(item);
        }
        changeLog_.append(relayed);
        revision_ = std::max(revision_, changes.revision);
    }

    asio::awaitable<void> watchOnce()
    {
        const FleetUpdate changes = co_await parts_.store.watch(
            revision_, catchUpNeeded_ ? options_.watchTimeoutAfterFailure : options_.watchTimeout);
        catchUpNeeded_ = false;
        recordResponse();
        applyChanges(changes);
    }

    /**
     * Applies one item; one that cannot be read names nothing to use and changes nothing.
     * @return Whether followers have to know of it. Upstreams renew their entries every 1.5 s, and
     * an entry that says what it said before would be most of what the relay sends.
     */
    bool applyItem(core::MonoTime now, const FleetItem &item)
    {
        try {
            return decodeAndApply(now, item);
        } catch (const StoreValueMalformed &error) {
            core::logEvent(core::LogLevel::Warn, "store_value_malformed",
                           {{"id", item.id}, {"detail", error.what()}});
            if (item.kind == FleetItemKind::Upstream)
                parts_.state.removeUpstream(now, core::UpstreamId(item.id));
            relayedEntries_.erase(item.id);
            return true;
        }
    }

    bool decodeAndApply(core::MonoTime now, const FleetItem &item)
    {
        FleetState &state = parts_.state;
        switch (item.kind) {
        case FleetItemKind::Configuration:
            if (item.value)
                state.applyConfiguration(parts_.store.decodeConfiguration(*item.value));
            break;
        case FleetItemKind::Upstream:
            if (item.value) {
                const UpstreamEntry entry = parts_.store.decodeUpstream(item.id, *item.value);
                state.applyUpstream(now, entry);
                return updateRelayedEntry(item.id, entry);
            }
            state.removeUpstream(now, core::UpstreamId(item.id));
            relayedEntries_.erase(item.id);
            break;
        case FleetItemKind::Member:
            if (item.value)
                state.applyMember(parts_.store.decodeMember(item.id, *item.value));
            else
                state.removeMember(now, core::VmId(item.id));
            break;
        case FleetItemKind::Other:
            break;
        }
        return true;
    }

    /** @return Whether an entry differs from the one that was last passed on. */
    bool updateRelayedEntry(const std::string &id, const UpstreamEntry &entry)
    {
        const auto [previous, isInserted] = relayedEntries_.try_emplace(id, entry);
        if (!isInserted && previous->second == entry)
            return false;
        previous->second = entry;
        return true;
    }

    asio::awaitable<void> registrationLoop()
    {
        std::optional<StoreLease> lease;
        bool leasedAsActive = false;
        while (!deregistering_) {
            const bool active = parts_.entries.isActive(options_.self.id);
            core::Micros wait = active ? options_.renewInterval : options_.idleRenewInterval;
            if (failures_ > 0)
                wait = currentMaxBackoff(); // The first answer starts the hold of removals.
            // A VM that begins to take callers has to be missed sooner.
            if (active != leasedAsActive)
                lease.reset();
            try {
                if (lease) {
                    co_await parts_.store.renewLease(*lease);
                    recordResponse();
                } else {
                    const StoreLease granted = co_await parts_.store.grantLease(
                        active ? options_.leaseTtl : options_.idleLeaseTtl);
                    co_await parts_.store.registerMember(options_.self, granted);
                    leasedAsActive = active;
                    lease = granted;
                }
            } catch (const StoreLeaseLost &error) {
                recordResponse();
                core::logEvent(core::LogLevel::Warn, "registration_lapsed", {});
                lease.reset();
                wait = options_.initialBackoff;
            } catch (const core::Error &error) {
                core::logEvent(core::LogLevel::Debug, "registration_call_failed",
                               {{"code", error.code()}, {"detail", error.what()}});
                wait = currentMaxBackoff();
            }
            co_await sleepFor(wait);
        }
    }

    asio::awaitable<void> removeRegistration()
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
    FleetChangeLog changeLog_;
    std::map<std::string, UpstreamEntry> relayedEntries_; ///< What followers know of upstreams.
    std::mt19937_64 random_;
    StoreRevision revision_;
    bool usingRelay_ = false; ///< Changes come from a relay, not from the store.
    core::MonoTime relayBackoffUntil_ {};
    core::MonoTime lastResponseAt_ {};                       ///< Time of the store's last answer.
    core::MonoTime connectedSince_ = core::MonoClock::now(); ///< In touch without a break since.
    bool catchUpNeeded_ = false;                             ///< The last reading failed.
    int failures_ = 0;                                       ///< Since the last answer of any call.
    core::MonoTime outageStartedAt_ {};                      ///< Time of the first of the failures.
    bool deregistering_ = false;
};

} // namespace teaselreach::proxy
