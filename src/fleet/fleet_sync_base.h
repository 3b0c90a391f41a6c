/** @file fleet_sync_base.h Keeps this VM registered and its state synchronized with the store. */
#pragma once

#include "core/log_func.h"
#include "fleet/fleet_relay_base.h"
#include "fleet/fleet_state_base.h"
#include "fleet/fleet_store_type.h"
#include "fleet/store_contact_base.h"
#include "fleet/use_recorder_base.h"
#include "proxy/event_loop_func.h"

#include <map>
#include <random>
#include <string>
#include <utility>

namespace teaselreach::proxy {

/** Identity of this VM and times of its calls to the store. */
struct FleetSyncOptions
{
    EntryMember self;                            ///< Registered in the store.
    core::Micros limitWindow {core::Seconds(5)}; ///< Of the rate limits of accounts.
    /** Longest time that a watch call waits for a change. Short, because a watch that the store
     * never answers ends only after this time and the margin of the store client. */
    core::Micros watchTimeout {core::Millis(500)};
    /** The same for the first watch after a failure, so that this VM is soon up to date again. */
    core::Micros watchTimeoutAfterFailure {core::Millis(100)};
    /** Shortest outage of the store in which entries of live upstreams may expire. They are renewed
     * every 1.5 s and expire after three intervals, one of which may have passed before the
     * outage. */
    core::Micros minOutageForExpiry {core::Seconds(1)};
    /** Pause between two watch calls, so that successive changes share one response. */
    core::Micros watchPause {core::Millis(600)};
    /** TTL of the registration lease of a VM that takes callers, and the interval of its renewals.
     * A renewal costs a tenth of another call, and it soon shows that the store is unreachable. */
    core::Micros leaseTtl {core::Millis(4500)};
    core::Micros renewInterval {core::Millis(500)};
    /** The same for a VM that takes no callers. */
    core::Micros idleLeaseTtl {core::Seconds(10)};
    core::Micros idleRenewInterval {core::Seconds(3)};
    /** Longest time since this VM was last up to date for which it serves as a relay: a watch, the
     * pause after it, and some time for the store's response. */
    core::Micros maxRelayStaleness {core::Millis(1500)};
    /** How long this VM reads the store itself after a request to its relay failed. */
    core::Micros relayBackoff {core::Seconds(2)};
    /** Backoff after a failed call: doubled with each failure up to the maximum, with jitter. */
    core::Micros initialBackoff {core::Millis(100)};
    core::Micros maxBackoff {core::Millis(400)};
    /** Maximum backoff of a VM that takes no callers and has already read the store. Refused calls
     * are charged for, and most VMs are idle. Together with RemovalHold::holdTime it is shorter
     * than the three seconds after which a VM counts as connected again. */
    core::Micros idleMaxBackoff {core::Millis(800)};
    /** Time over which VMs that take callers spread their calls after the store has come back from
     * a copy, and the others. All are registered again before RemovalHold::holdTime is over. */
    core::Micros maxRestoreDelay {core::Millis(100)};
    core::Micros idleMaxRestoreDelay {core::Seconds(1)};
};

/**
 * Watches the store, directly or through a relay, applies its changes, and keeps this VM
 * registered. Runs until the process ends.
 */
template <FleetStore Store>
class FleetSync
{
public:
    /** Dependencies; all must outlive the object. */
    struct Parts
    {
        asio::io_context &context;
        Store &store;
        FleetState &state;
        const EntryVmSelector &entries;
    };

    /** @param parts Dependencies. @param options Identity and times. @param seed For jitter. */
    FleetSync(Parts parts, FleetSyncOptions options, std::uint64_t seed)
        : parts_(parts)
        , options_(std::move(options))
        , relays_(parts.context)
        , random_(seed)
    { }

    /** @return The items and changes of the store, to be served to followers. */
    const FleetChangeLog &changeLog() const { return changeLog_; }

    /** @return How long this VM has been connected to the store without interruption; nothing if
     * its last read is too old, or if it reads from a relay or has to catch up. Renewals do not
     * count: the store may answer them while a watch gets no response. */
    std::optional<core::Micros> connectedFor() const
    {
        const core::MonoTime now = core::MonoClock::now();
        if (catchUpNeeded_ || usingRelay_ || !hasRead() || isOutdated()
            || contact_.readAge(now) >= options_.maxRelayStaleness)
            return std::nullopt;
        return contact_.connectedFor(now);
    }

    /** @return What the calls to the store have shown. */
    const StoreContact &contact() const { return contact_; }
    /** @return The era of the store that the state was read in. */
    StoreEra era() const { return position_.era; }

    /** Logs each change of connectedFor() between a time and nothing. Call it several times a
     * second. */
    void logConnectionChange(core::MonoTime now)
    {
        const bool isConnected = connectedFor().has_value();
        if (isConnected == loggedAsConnected_)
            return;
        loggedAsConnected_ = isConnected;
        core::logEvent(core::LogLevel::Info, isConnected ? "relay_ready" : "relay_not_ready",
                       {{"using_relay", usingRelay_ ? 1 : 0},
                        {"read_age_ms", toMillis(contact_.readAge(now))},
                        {"response_age_ms", toMillis(contact_.responseAge(now))}});
    }

    /** Starts the watch loop and the registration loop. */
    void start()
    {
        spawn(parts_.context, "watch_store", [this]() { return watchLoop(); });
        spawn(parts_.context, "register", [this]() { return registrationLoop(); });
    }

    /** Writes the accounts whose use is not steady to the store, if it needs them. Call it several
     * times a second on the VM that writes them for its pool. */
    void recordAccountUse(core::MonoTime now, const AccountUseRecord &unsteady)
    {
        const UseRecorder::Action action = useRecorder_.update(now, unsteady);
        if (action == UseRecorder::Action::None)
            return;
        if (useWriteRunning_) {
            useRecorder_.failed(now);
            return;
        }
        useWriteRunning_ = true;
        spawn(parts_.context, "record_account_use",
              [this, action, record = useRecorder_.record()]() mutable {
                  return writeAccountUse(action, std::move(record));
              });
    }

    /** Stops renewing the registration and removes it, so that callers are no longer sent here. */
    void deregister()
    {
        deregistering_ = true;
        spawn(parts_.context, "deregister", [this]() { return removeRegistration(); });
    }

private:
    /** What the last request to a relay showed. */
    struct RelayState
    {
        bool unresponsive = false;      ///< It got no response.
        core::MonoTime backoffUntil {}; ///< No further request before.
    };

    static std::int64_t toMillis(core::Micros time)
    {
        return std::chrono::duration_cast<core::Millis>(time).count();
    }

    asio::awaitable<void> sleepFor(core::Micros time)
    {
        asio::steady_timer timer(parts_.context, time);
        ErrorCode ignored; // Nothing cancels the timer.
        co_await timer.async_wait(captureError(ignored));
    }

    /** @return Whether the store was read at least once. */
    bool hasRead() const { return position_.revision.count() != 0; }
    /** @return Whether the store has come back from a copy since it was read. */
    bool isOutdated() const { return hasRead() && parts_.store.era() != position_.era; }

    /** @return A random part of the time over which the VMs spread their calls after a return of
     * the store from a copy. Those with callers come first. */
    core::Micros restoreDelay()
    {
        const core::Micros longest = parts_.entries.isActive(options_.self.id)
            ? options_.maxRestoreDelay
            : options_.idleMaxRestoreDelay;
        return core::Micros(
            std::uniform_int_distribution<core::Micros::rep>(0, longest.count())(random_));
    }

    /** Starts over if the store has come back from a copy: holds removals back, since entries are
     * missing, and writes again what this VM has written. */
    void noticeRestore()
    {
        const StoreEra era = parts_.store.era();
        if (!isOutdated() || era == noticedEra_)
            return;
        noticedEra_ = era;
        core::logEvent(core::LogLevel::Warn, "store_restored",
                       {{"era", static_cast<std::int64_t>(era.count())},
                        {"era_before", static_cast<std::int64_t>(position_.era.count())},
                        {"revision_before", static_cast<std::int64_t>(position_.revision.count())},
                        {"members", static_cast<std::int64_t>(parts_.entries.size())},
                        {"leaving", deregistering_ ? 1 : 0}});
        parts_.state.storeRestored(core::MonoClock::now());
        useRecorder_.rewrite();
        // The copy may list this VM again.
        if (deregistering_)
            deregister();
        else
            registrationTimer_.cancel();
    }

    /** @return The maximum backoff of this VM at present. */
    core::Micros currentMaxBackoff() const
    {
        const bool isIdle = hasRead() && !parts_.entries.isActive(options_.self.id);
        return isIdle ? options_.idleMaxBackoff : options_.maxBackoff;
    }

    /** @return The next backoff: doubled with each failure up to the maximum, then shortened at
     * random by up to half. */
    core::Micros nextBackoff()
    {
        const core::Micros backoff = std::min(
            currentMaxBackoff(), options_.initialBackoff * (1 << std::min(contact_.failures(), 6)));
        std::uniform_int_distribution<core::Micros::rep> distribution(backoff.count() / 2,
                                                                      backoff.count());
        return core::Micros(distribution(random_));
    }

    /** Records a response of the store to any call, which ends an outage. */
    void recordResponse()
    {
        const core::MonoTime now = core::MonoClock::now();
        holdRemovalsAfter(now, contact_.responded(now));
    }

    /** Holds removals back after an outage that was long enough for entries to expire.
     * @param relayConnectedFor How long the relay that responded has been connected to the store; 0
     * if the store itself responded. */
    void holdRemovalsAfter(core::MonoTime now, const std::optional<StoreOutage> &outage,
                           core::Micros relayConnectedFor = core::Micros(0))
    {
        // If the relay was connected throughout, only this VM was cut off and no entries expired.
        if (outage && outage->length >= options_.minOutageForExpiry
            && relayConnectedFor <= outage->length)
            parts_.state.storeRecovered(now);
    }

    /** Logs the first of several failed renewals or registrations. */
    void logRegistrationFailure(const core::Error &error)
    {
        if (++registrationFailures_ > 1)
            return;
        core::logEvent(core::LogLevel::Info, "registration_failing",
                       {{"code", error.code()}, {"detail", error.what()}});
    }

    /** Logs the first successful renewal or registration after failures. */
    void logRegistrationSuccess()
    {
        const int failures = std::exchange(registrationFailures_, 0);
        if (failures > 0)
            core::logEvent(core::LogLevel::Info, "registration_restored",
                           {{"failures", failures},
                            {"read_age_ms", toMillis(contact_.readAge(core::MonoClock::now()))}});
    }

    /** Reads the store, then watches it, directly or through the relay of the zone. */
    asio::awaitable<void> watchLoop()
    {
        bool fullReadNeeded = true;
        while (true) {
            core::Micros wait = options_.watchPause;
            const core::MonoTime sentAt = core::MonoClock::now();
            try {
                noticeRestore();
                if (fullReadNeeded || isOutdated())
                    co_await readAll();
                else if (co_await fetchFromRelay())
                    wait = core::Micros(0);
                else
                    co_await watchOnce();
                fullReadNeeded = false;
            } catch (const StoreRestored &) {
                recordResponse();
                noticeRestore();
                registrationTimer_.cancel();
                fullReadNeeded = true;
                wait = restoreDelay();
            } catch (const StoreHistoryLost &error) {
                recordResponse();
                core::logEvent(core::LogLevel::Warn, "store_history_lost",
                               {{"after", static_cast<std::int64_t>(position_.revision.count())},
                                {"detail", error.what()}});
                fullReadNeeded = true;
            } catch (const core::Error &error) {
                wait = recordFailedRead(sentAt, error);
            } catch (const std::exception &error) {
                core::reportTaskFailure("watch_store", std::current_exception());
                wait = recordFailedRead(sentAt, core::Error("unexpected_exception", error.what()));
            }
            co_await sleepFor(wait);
        }
    }

    /** @param sentAt Start of the call. @return Time until the next call. */
    core::Micros recordFailedRead(core::MonoTime sentAt, const core::Error &error)
    {
        catchUpNeeded_ = true;
        contact_.callFailed(core::MonoClock::now(), sentAt, error);
        return nextBackoff();
    }

    /** Reads and applies all items of the store. */
    asio::awaitable<void> readAll()
    {
        FleetUpdate snapshot = co_await parts_.store.readAll();
        recordResponse();
        noticeRestore();
        const core::MonoTime now = core::MonoClock::now();
        std::vector<core::UpstreamId> listed;
        std::vector<core::VmId> members;
        std::vector<core::AvailabilityZoneId> evacuated;
        relayedEntries_.clear();
        std::erase_if(snapshot.items, [&](FleetItem &item) {
            if (item.kind == FleetItemKind::Upstream)
                listed.emplace_back(item.id);
            if (item.kind == FleetItemKind::Member)
                members.emplace_back(item.id);
            if (item.kind == FleetItemKind::Evacuation)
                evacuated.emplace_back(item.id);
            return !applyItem(now, item) || !item.value;
        });
        applyEarlierUse();
        parts_.state.removeUnlistedUpstreams(now, listed);
        parts_.state.removeUnlistedMembers(now, members);
        parts_.state.endUnlistedEvacuations(now, evacuated);
        changeLog_.reset(snapshot);
        if (hasRead() && snapshot.position.era != position_.era)
            core::logEvent(core::LogLevel::Info, "store_read_again",
                           {{"era", static_cast<std::int64_t>(snapshot.position.era.count())},
                            {"upstreams", static_cast<std::int64_t>(listed.size())},
                            {"members", static_cast<std::int64_t>(members.size())}});
        position_ = snapshot.position;
        contact_.readApplied(now);
    }

    /** Applies the records of the use of accounts, once all members are known. Another region's
     * are about its own part of the limits. */
    void applyEarlierUse()
    {
        for (const auto &[vm, record] : std::exchange(earlierUse_, {})) {
            const auto region = parts_.entries.regionOf(vm);
            if (region && *region != options_.self.location.region)
                continue;
            parts_.state.applyEarlierUse(record);
        }
    }

    /** Fetches changes from a relay of the availability zone and applies them. If the first relay
     * says that it is not connected to the store, the second one reads the store for all others.
     * @return Whether a relay had the changes. */
    asio::awaitable<bool> fetchFromRelay()
    {
        usingRelay_ = false;
        for (const EntryMember &relay : parts_.entries.relaysOf(options_.self.id)) {
            RelayState &state = relayStates_[relay.id];
            if (core::MonoClock::now() >= state.backoffUntil && co_await fetchFrom(relay, state))
                co_return true;
            // A second frozen relay would delay the calls to the store even more.
            if (state.unresponsive)
                break;
        }
        co_return false;
    }

    /** Fetches changes from one relay and applies them. @return Whether it had them. */
    asio::awaitable<bool> fetchFrom(EntryMember relay, RelayState &state)
    {
        try {
            usingRelay_ = true;
            FleetUpdate changes =
                co_await relays_.fetch(relay.peerAddress, position_,
                                       state.unresponsive ? RelayWait::None : RelayWait::Change);
            state.unresponsive = false;
            requireOwnEra(changes);
            const core::MonoTime now = core::MonoClock::now();
            holdRemovalsAfter(now, contact_.endOutage(now), changes.connectedFor);
            applyChanges(std::move(changes));
            co_return true;
        } catch (const RelayUnresponsive &error) {
            // A frozen relay must not delay the calls to the store, which may be silent as well.
            state.unresponsive = true;
            logRelayFailure(relay, error);
        } catch (const core::Error &error) {
            state.unresponsive = false;
            logRelayFailure(relay, error);
        }
        usingRelay_ = false;
        state.backoffUntil = core::MonoClock::now() + options_.relayBackoff;
        // The relay may have lost the store: the changes that it missed are requested at once.
        catchUpNeeded_ = true;
        co_return false;
    }

    /** Checks that a relay's changes follow on the state of this VM.
     * @throws StoreUnreachable if they are of another era, or if the relay may not know it */
    void requireOwnEra(const FleetUpdate &changes) const
    {
        if (isOutdated() || changes.position.era != position_.era)
            throw StoreUnreachable("the relay has changes of another era of the store");
    }

    static void logRelayFailure(const EntryMember &relay, const core::Error &error)
    {
        core::logEvent(
            core::LogLevel::Info, "relay_failed",
            {{"relay", relay.id.str()}, {"code", error.code()}, {"detail", error.what()}});
    }

    /** Applies changes and adds those that followers need to the change log. */
    void applyChanges(FleetUpdate changes)
    {
        const core::MonoTime now = core::MonoClock::now();
        std::erase_if(changes.items, [&](FleetItem &item) { return !applyItem(now, item); });
        changeLog_.append(changes);
        if (changes.position > position_)
            position_ = changes.position;
        contact_.readApplied(now);
    }

    /** Waits for changes of the store and applies them. */
    asio::awaitable<void> watchOnce()
    {
        FleetUpdate changes = co_await parts_.store.watch(
            position_, catchUpNeeded_ ? options_.watchTimeoutAfterFailure : options_.watchTimeout);
        catchUpNeeded_ = false;
        recordResponse();
        applyChanges(std::move(changes));
    }

    /**
     * Applies one item. A malformed upstream entry removes the upstream; other malformed items are
     * ignored.
     * @param item Loses its value if it is malformed: followers need to know of the removal only.
     * @return Whether the item has to be sent to followers. Upstreams renew their entries every
     * 1.5 s; without this check, unchanged entries would be most of what the relay sends.
     */
    bool applyItem(core::MonoTime now, FleetItem &item)
    {
        try {
            return decodeAndApply(now, item);
        } catch (const StoreValueMalformed &error) {
            core::logEvent(core::LogLevel::Warn, "store_value_malformed",
                           {{"id", item.id}, {"detail", error.what()}});
            item.value.reset();
            if (item.kind != FleetItemKind::Upstream)
                return false;
            parts_.state.removeUpstream(now, core::UpstreamId(item.id));
            relayedEntries_.erase(item.id);
            return true;
        } catch (const std::exception &) {
            // One item must not keep this VM from applying the others.
            core::reportTaskFailure("apply_store_item", std::current_exception());
            return false;
        }
    }

    /** Like applyItem(). @throws StoreValueMalformed */
    bool decodeAndApply(core::MonoTime now, const FleetItem &item)
    {
        FleetState &state = parts_.state;
        switch (item.kind) {
        case FleetItemKind::Configuration:
            if (item.value)
                state.applyConfiguration(now, parts_.store.decodeConfiguration(*item.value));
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
        case FleetItemKind::Evacuation:
            // Only the key counts. An evacuation is not put off because of an odd value.
            if (item.value)
                state.applyEvacuation(core::AvailabilityZoneId(item.id));
            else
                state.endEvacuation(now, core::AvailabilityZoneId(item.id));
            break;
        case FleetItemKind::AccountUse:
            // A process needs what was used before it started. Later records include its own use.
            if (item.value && !hasRead())
                earlierUse_[core::VmId(item.id)] =
                    parts_.store.decodeAccountUse(item.id, *item.value);
            return false;
        case FleetItemKind::Other:
            return false;
        }
        return true;
    }

    /** Stores an entry as sent to followers. @return Whether followers need it: it differs from the
     * previous one, or renews the time until the upstream is warm. */
    bool updateRelayedEntry(const std::string &id, const UpstreamEntry &entry)
    {
        UpstreamEntry relayed = entry;
        relayed.sequence = 0; // It alone is no change.
        const auto [previous, isInserted] = relayedEntries_.try_emplace(id, relayed);
        if (!isInserted && previous->second == relayed && entry.warmupLeft == core::Micros(0))
            return false;
        previous->second = std::move(relayed);
        return true;
    }

    /** Registers this VM under a lease and renews the lease. */
    asio::awaitable<void> registrationLoop()
    {
        std::optional<StoreLease> lease;
        bool leasedAsActive = false;
        while (!deregistering_) {
            const bool active = parts_.entries.isActive(options_.self.id);
            core::Micros wait = active ? options_.renewInterval : options_.idleRenewInterval;
            if (contact_.failures() > 0)
                wait = currentMaxBackoff(); // The first response starts the hold of removals.
            // A VM that starts to take callers needs a shorter TTL, so that its loss shows sooner.
            if (active != leasedAsActive || (lease && lease->era != parts_.store.era()))
                lease.reset();
            const core::MonoTime sentAt = core::MonoClock::now();
            try {
                if (lease) {
                    co_await parts_.store.renewLease(*lease);
                } else {
                    const StoreLease granted = co_await parts_.store.grantLease(
                        active ? options_.leaseTtl : options_.idleLeaseTtl);
                    co_await parts_.store.registerMember(options_.self, granted);
                    leasedAsActive = active;
                    lease = granted;
                }
                recordResponse();
                logRegistrationSuccess();
            } catch (const StoreRestored &) {
                recordResponse();
                noticeRestore();
                lease.reset();
                wait = restoreDelay();
            } catch (const StoreLeaseLost &error) {
                recordResponse();
                core::logEvent(core::LogLevel::Warn, "registration_lapsed", {});
                lease.reset();
                wait = options_.initialBackoff;
            } catch (const core::Error &error) {
                wait = recordFailedRegistration(sentAt, error);
            } catch (const std::exception &error) {
                core::reportTaskFailure("register", std::current_exception());
                wait = recordFailedRegistration(sentAt,
                                                core::Error("unexpected_exception", error.what()));
            }
            registrationTimer_.expires_after(wait);
            ErrorCode cancelled; // By noticeRestore().
            co_await registrationTimer_.async_wait(captureError(cancelled));
            if (cancelled)
                co_await sleepFor(restoreDelay());
        }
    }

    /** @param sentAt Start of the call. @return Time until the next call. */
    core::Micros recordFailedRegistration(core::MonoTime sentAt, const core::Error &error)
    {
        contact_.callFailed(core::MonoClock::now(), sentAt, error);
        logRegistrationFailure(error);
        return registrationBackoff();
    }

    /** @return The pause after a failed registration. A VM without callers whose zone has others
     * that take them pauses for longer: its reads show the end of an outage, and it is registered
     * again before a removal that is held back is applied (RemovalHold::holdTime). */
    core::Micros registrationBackoff() const
    {
        const core::Micros backoff = currentMaxBackoff();
        const bool isSpare = !parts_.entries.isActive(options_.self.id)
            && !parts_.entries.relaysOf(options_.self.id).empty();
        return isSpare && registrationFailures_ > 1 ? 2 * backoff : backoff;
    }

    /** Writes a record of account use, or renews the one written last. */
    asio::awaitable<void> writeAccountUse(UseRecorder::Action action, AccountUseRecord record)
    {
        try {
            if (action == UseRecorder::Action::Write)
                co_await parts_.store.writeAccountUse(options_.self.id, record,
                                                      UseRecorder::leaseTtl);
            else
                co_await parts_.store.renewAccountUse();
            core::logEvent(core::LogLevel::Info, "account_use_recorded",
                           {{"accounts", static_cast<std::int64_t>(record.size())},
                            {"renewed", action == UseRecorder::Action::Renew ? 1 : 0}});
        } catch (const core::Error &error) {
            useRecorder_.failed(core::MonoClock::now());
            core::logEvent(core::LogLevel::Warn, "account_use_not_recorded",
                           {{"code", error.code()}, {"detail", error.what()}});
        }
        useWriteRunning_ = false;
    }

    /** Removes the registration from the store. */
    asio::awaitable<void> removeRegistration()
    {
        try {
            co_await parts_.store.removeMember(options_.self.id);
        } catch (const core::Error &error) {
            // The registration expires with its lease.
            core::logEvent(core::LogLevel::Warn, "registration_not_withdrawn",
                           {{"code", error.code()}, {"detail", error.what()}});
        }
    }

    Parts parts_;
    FleetSyncOptions options_;
    FleetRelayClient relays_;
    FleetChangeLog changeLog_;
    std::map<std::string, UpstreamEntry> relayedEntries_; ///< Upstreams as last sent to followers.
    std::map<core::VmId, AccountUseRecord> earlierUse_;   ///< Read, but not applied yet.
    std::mt19937_64 random_;
    StorePosition position_; ///< Up to which the state of this VM follows the store.
    StoreEra noticedEra_;    ///< After the latest return of the store from a copy; 0 before one.
    asio::steady_timer registrationTimer_ {parts_.context};
    bool usingRelay_ = false; ///< Changes are read from a relay, not from the store.
    std::map<core::VmId, RelayState> relayStates_; ///< Of the relays that were asked.
    StoreContact contact_ {core::MonoClock::now()};
    bool catchUpNeeded_ = false;   ///< A read failed, so changes may have been missed.
    int registrationFailures_ = 0; ///< Since the last successful renewal or registration.
    UseRecorder useRecorder_ {options_.limitWindow};
    bool useWriteRunning_ = false;
    bool loggedAsConnected_ = false;
    bool deregistering_ = false;
};

} // namespace teaselreach::proxy
