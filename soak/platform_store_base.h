/** @file platform_store_base.h In-memory key-value store with fault injection. */
#pragma once

#include "daemon_process_base.h"
#include "proxy/caller_session_base.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
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

/** Serves the platform's HTTP API for keys, revisions, leases and watches. */
class PlatformStore
{
public:
    /** @param context The event loop. @param port Port on soakAddress(). */
    PlatformStore(proxy::asio::io_context &context, std::uint16_t port);

    /** Writes a value on behalf of operators or upstreams. */
    void put(const std::string &key, const std::string &value, std::uint64_t lease = 0);
    /** Removes a key. */
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
    void compact() { history_.clear(), compactedRevision_ = revision_; }

private:
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

    proxy::asio::awaitable<void> serve(std::shared_ptr<proxy::CallerExchange> exchange);
    proxy::asio::awaitable<proxy::HttpResponse> watch(std::uint64_t after, core::Micros wait);
    proxy::HttpResponse range() const;
    proxy::HttpResponse transact(const nlohmann::json &body);
    proxy::HttpResponse grantLease(const nlohmann::json &body);
    proxy::HttpResponse renewLease(std::uint64_t lease);
    static nlohmann::json itemJson(const std::string &key, const Item &item);

    proxy::asio::io_context &context_;
    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Lease> leases_;
    std::deque<nlohmann::json> history_;
    std::uint64_t compactedRevision_ = 0;
    std::uint64_t revision_ = 1;
    std::uint64_t lastLease_ = 0;
    StoreFault fault_ = StoreFault::None;
    int silences_ = 0; ///< How often the fault Silent was set.
    proxy::CallerServer server_;
};

} // namespace teaselreach::soak
