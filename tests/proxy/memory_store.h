/** @file memory_store.h In-memory fleet store for tests, with failures that can be switched on. */
#pragma once

#include "fleet/fleet_store_type.h"

#include <algorithm>
#include <deque>
#include <vector>

namespace teaselreach::proxytest {

using namespace teaselreach::proxy;

/** An in-memory fleet store; tests set its contents and failures directly. */
class MemoryStore
{
public:
    explicit MemoryStore(asio::io_context &context)
        : context_(context)
    { }

    bool unavailable = false; ///< All calls fail.
    bool watchesFail = false; ///< Watches fail, other calls succeed.
    /** Calls get no response and no error; they end with their own timeouts, also those that were
     * waiting before and those that are still waiting when the store responds again. */
    bool silent = false;
    bool watchesSilent = false; ///< As silent, for watches only.
    bool historyLost = false;   ///< Watches report lost history until the next full read.
    int fullReads = 0;
    std::vector<core::MonoTime> readTimes;  ///< Of all full reads and watches.
    std::vector<core::MonoTime> writeTimes; ///< Of all grants of leases and registrations.
    int refusedCalls = 0;                   ///< Calls made while it was unavailable.
    std::vector<FleetItem> items;           ///< Result of a full read.
    std::deque<FleetItem> events;           ///< Result of the next watch.
    std::uint64_t revision = 1;
    std::vector<core::VmId> registered;
    std::uint64_t currentEra = 0;             ///< Stated in each response; see restore().
    std::vector<StoreLease> renewed;          ///< All renewals.
    std::vector<AccountUseRecord> useRecords; ///< All records of account use, in order.
    /** A watch and its end. */
    struct Watch
    {
        core::Micros timeout {0};
        bool failed = false;
    };
    std::vector<Watch> watches; ///< All watches in order; the last one may be in progress.

    /** Comes back from a copy. Its revisions go on behind those that its followers know, so that
     * their watches succeed without the changes in between. */
    void restore(std::vector<FleetItem> copy)
    {
        ++currentEra;
        items = std::move(copy);
        events.clear();
        registered.clear();
        lastLease_ = 0;
    }
    StoreEra era() const { return StoreEra(statedEra_); }

    asio::awaitable<FleetUpdate> readAll()
    {
        readTimes.push_back(core::MonoClock::now());
        co_await respond();
        ++fullReads;
        historyLost = false;
        co_return FleetUpdate {.items = items, .position = {era(), StoreRevision(revision)}};
    }

    asio::awaitable<FleetUpdate> watch(StorePosition after, core::Micros wait)
    {
        watches.push_back({.timeout = wait});
        readTimes.push_back(core::MonoClock::now());
        requireEra(after.era);
        try {
            co_return co_await waitForEvents(wait);
        } catch (const StoreUnreachable &) {
            watches.back().failed = true;
            throw;
        }
    }

    asio::awaitable<FleetUpdate> waitForEvents(core::Micros wait)
    {
        // Polls, because the tests change the members directly.
        const core::MonoTime start = core::MonoClock::now();
        const core::MonoTime end = start + std::min(wait, core::Micros(20000));
        const std::uint64_t begunIn = currentEra;
        do {
            co_await delay(core::Millis(2));
            if (currentEra != begunIn)
                stateEra(); // The watch is cut, and a new one is answered at once.
            if (silent || watchesSilent)
                co_await hang(start + wait + watchMargin - core::MonoClock::now());
            requireAvailable();
            if (watchesFail)
                throw StoreUnreachable("watch");
            if (historyLost)
                throw StoreHistoryLost();
        } while (events.empty() && core::MonoClock::now() < end);
        stateEra();
        FleetUpdate changes {.position = {era(), StoreRevision(++revision)}};
        changes.items.assign(events.begin(), events.end());
        events.clear();
        co_return changes;
    }

    asio::awaitable<StoreLease> grantLease(core::Micros)
    {
        writeTimes.push_back(core::MonoClock::now());
        co_await respond();
        co_return StoreLease {.era = era(), .id = StoreLeaseId(++lastLease_)};
    }
    asio::awaitable<void> renewLease(StoreLease lease)
    {
        requireEra(lease.era);
        co_await respond();
        renewed.push_back(lease);
    }
    asio::awaitable<void> registerMember(const EntryMember &member, StoreLease lease)
    {
        requireEra(lease.era);
        writeTimes.push_back(core::MonoClock::now());
        co_await respond();
        registered.push_back(member.id);
    }
    asio::awaitable<void> removeMember(const core::VmId &member)
    {
        co_await respond();
        std::erase(registered, member);
    }

    asio::awaitable<void> writeAccountUse(const core::VmId &, const AccountUseRecord &record,
                                          core::Micros)
    {
        co_await respond();
        useRecords.push_back(record);
    }
    asio::awaitable<void> renewAccountUse() { co_await respond(); }

    /** The stored value is the account; its levels are 1. */
    AccountUseRecord decodeAccountUse(const std::string &, const std::string &value) const
    {
        AccountUseLevel use {.account = core::ClientAccountId(value)};
        use.levels.fill(1);
        return {use};
    }

    /** Port of all decoded upstreams. */
    std::uint16_t upstreamPort = 0;
    /** Time until all decoded upstreams are warm. */
    core::Micros warmupLeft {0};
    /** Result of decodeConfiguration(), except for the version. */
    Configuration configuration;

    /** The stored value of a configuration is its version. */
    Configuration decodeConfiguration(const std::string &value) const
    {
        if (value == "unreadable")
            throw StoreValueMalformed("configuration");
        Configuration decoded = configuration;
        decoded.version = ConfigVersion(std::stoll(value));
        return decoded;
    }
    UpstreamEntry decodeUpstream(const std::string &id, const std::string &value) const
    {
        if (value == "unreadable")
            throw StoreValueMalformed(id);
        return {.id = core::UpstreamId(id),
                .service = core::ServiceId("slot"),
                .address = value,
                .port = upstreamPort,
                .slots = 4,
                .draining = drainingFrom > 0 && sequenceOf(value) >= drainingFrom,
                .warmupLeft = warmupLeft,
                .startedAt = startedAt,
                .sequence = sequenceOf(value)};
    }
    /** Sequence number from which on entries are those of a draining upstream; 0 for none. */
    std::int64_t drainingFrom = 0;
    std::int64_t startedAt = 1; ///< Of all decoded upstreams.
    /** @return The last number of an address, which also serves as the entry's sequence number. */
    static std::int64_t sequenceOf(const std::string &address)
    {
        return std::stoll(address.substr(address.rfind('.') + 1));
    }
    /** Peer address of all decoded members. */
    std::string peerAddress = "127.0.0.1:1";

    /** All members are in the same availability zone. */
    EntryMember decodeMember(const std::string &id, const std::string &) const
    {
        return {.id = core::VmId(id),
                .location = {core::AvailabilityZoneId("here"), core::RegionId("west")},
                .callerAddress = "127.0.0.1:1",
                .peerAddress = peerAddress};
    }

private:
    /** Timeouts of calls, as those of an adapter to a store. */
    static constexpr core::Millis callTimeout {1500};
    static constexpr core::Millis watchMargin {1200};

    /** Waits for the response to a call other than a watch. */
    asio::awaitable<void> respond()
    {
        co_await delay(core::Millis(2));
        if (silent)
            co_await hang(callTimeout);
        requireAvailable();
        stateEra();
    }
    void requireEra(StoreEra begun) const
    {
        if (begun != era())
            throw StoreRestored();
    }
    /** States the era in a response. */
    void stateEra()
    {
        const StoreEra before = era();
        statedEra_ = currentEra;
        requireEra(before);
    }
    /** Waits until a call without a response times out. */
    asio::awaitable<void> hang(core::Micros time)
    {
        co_await delay(time);
        throw StoreUnreachable("no response");
    }
    asio::awaitable<void> delay(core::Micros time)
    {
        asio::steady_timer timer(context_, time);
        co_await timer.async_wait(asio::use_awaitable);
    }
    void requireAvailable()
    {
        if (!unavailable)
            return;
        ++refusedCalls;
        throw StoreUnreachable("unavailable");
    }

    asio::io_context &context_;
    std::uint64_t statedEra_ = 0;
    std::uint64_t lastLease_ = 0;
};

static_assert(FleetStore<MemoryStore>);

} // namespace teaselreach::proxytest
