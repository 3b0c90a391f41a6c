/** @file platform_store_base.h In-memory key-value store with fault injection. */
#pragma once

#include "daemon_process_base.h"
#include "proxy/caller_session_base.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace teaselreach::soak {

/** Fault that the store simulates. */
enum class StoreFault : std::uint8_t {
    None,
    Busy,         ///< Answers every request with 503.
    Slow,         ///< Handles each request after a delay of 250 ms.
    LostResponse, ///< Applies the request and delays its response by 20 s, except for watches.
    Silent,       ///< Answers no request that is open at any moment of the fault, watches included.
};

/** Keys, leases and history of the store. */
struct StoreContents
{
    /** Value and metadata of a key. */
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    /** Lifetime and current expiry of a lease. */
    struct Lease
    {
        core::Micros lifetime {0};
        core::MonoTime endsAt {};
    };

    std::map<std::string, Item> items;
    std::map<std::uint64_t, Lease> leases;
    std::deque<nlohmann::json> history;
    std::uint64_t compactedRevision = 0;
    std::uint64_t revision = 1;
    std::uint64_t lastLease = 0;
};

/** Serves the platform's HTTP API for keys, revisions, leases and watches. */
class PlatformStore
{
public:
    /** @param context The event loop. @param port Port on soakAddress(). */
    PlatformStore(proxy::asio::io_context &context, std::uint16_t port);

    /** Writes a value on behalf of operators or upstreams. */
    void put(const std::string &key, const std::string &value);
    /** Removes a key on behalf of operators or upstreams. */
    void remove(const std::string &key);
    /** Removes expired leases and their keys. */
    void expireLeases(core::MonoTime now);
    /** Sets the simulated fault. */
    void setFault(StoreFault fault)
    {
        fault_ = fault;
        silences_ += fault == StoreFault::Silent ? 1 : 0;
    }
    /** Compacts the history; a watch from an older revision then gets 410. */
    void compact();
    /** @return The contents, as a copy for restore(). */
    const StoreContents &contents() const { return contents_; }
    /** Comes back from a copy: later writes are gone, and their revisions and leases are given out
     * again in a new era. */
    void restore(StoreContents copy);
    /** Writes again what operators and upstreams have written and the copy lacks. */
    void writeAgain();

private:
    using Item = StoreContents::Item;

    proxy::asio::awaitable<void> serve(std::shared_ptr<proxy::CallerExchange> exchange);
    proxy::asio::awaitable<proxy::HttpResponse> watch(std::uint64_t after, core::Micros wait);
    void write(const std::string &key, const std::string &value, std::uint64_t lease);
    void erase(const std::string &key);
    void stateEra(proxy::HttpResponse &response) const;
    proxy::HttpResponse range() const;
    proxy::HttpResponse transact(const nlohmann::json &body);
    proxy::HttpResponse grantLease(const nlohmann::json &body);
    proxy::HttpResponse renewLease(std::uint64_t lease);
    static nlohmann::json itemJson(const std::string &key, const Item &item);

    proxy::asio::io_context &context_;
    StoreContents contents_;
    /** What operators and upstreams have written; nothing for a key that they have removed. */
    std::map<std::string, std::optional<std::string>> written_;
    std::uint64_t era_ = 0;
    StoreFault fault_ = StoreFault::None;
    int silences_ = 0; ///< How often the fault Silent was set.
    proxy::CallerServer server_;
};

} // namespace teaselreach::soak
