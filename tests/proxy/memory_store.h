/** @file memory_store.h In-memory fleet store for tests, with failures that can be switched on. */
#pragma once

#include "proxy/fleet_store_type.h"

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
    bool historyLost = false; ///< Watches report lost history until the next full read.
    int fullReads = 0;
    int refusedCalls = 0;         ///< Calls made while it was unavailable.
    std::vector<FleetItem> items; ///< Result of a full read.
    std::deque<FleetItem> events; ///< Result of the next watch.
    std::uint64_t revision = 1;
    std::vector<core::VmId> registered;
    std::vector<core::Micros> watchTimeouts; ///< Of all watches.

    asio::awaitable<FleetUpdate> readAll()
    {
        co_await delay(core::Millis(2));
        requireAvailable();
        ++fullReads;
        historyLost = false;
        co_return FleetUpdate {.items = items, .revision = StoreRevision(revision)};
    }

    asio::awaitable<FleetUpdate> watch(StoreRevision, core::Micros wait)
    {
        watchTimeouts.push_back(wait);
        // Polls, because the tests change the members directly.
        const core::MonoTime end = core::MonoClock::now() + std::min(wait, core::Micros(20000));
        do {
            co_await delay(core::Millis(2));
            requireAvailable();
            if (watchesFail)
                throw StoreUnreachable("watch");
            if (historyLost)
                throw StoreHistoryLost();
        } while (events.empty() && core::MonoClock::now() < end);
        FleetUpdate changes {.revision = StoreRevision(++revision)};
        changes.items.assign(events.begin(), events.end());
        events.clear();
        co_return changes;
    }

    asio::awaitable<StoreLease> grantLease(core::Micros)
    {
        co_await delay(core::Millis(2));
        requireAvailable();
        co_return StoreLease(7);
    }
    asio::awaitable<void> renewLease(StoreLease)
    {
        co_await delay(core::Millis(2));
        requireAvailable();
    }
    asio::awaitable<void> registerMember(const EntryMember &member, StoreLease)
    {
        co_await delay(core::Millis(2));
        requireAvailable();
        registered.push_back(member.id);
    }
    asio::awaitable<void> removeMember(const core::VmId &member)
    {
        co_await delay(core::Millis(2));
        requireAvailable();
        std::erase(registered, member);
    }

    /** Port of all decoded upstreams. */
    std::uint16_t upstreamPort = 0;
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
                .slots = 4};
    }
    /** All members are in the same availability zone. */
    EntryMember decodeMember(const std::string &id, const std::string &) const
    {
        return {.id = core::VmId(id),
                .location = {core::AvailabilityZoneId("here"), core::RegionId("west")},
                .callerAddress = "127.0.0.1:1",
                .peerAddress = "127.0.0.1:1"};
    }

private:
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
};

static_assert(FleetStore<MemoryStore>);

} // namespace teaselreach::proxytest
