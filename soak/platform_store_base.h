/** @file platform_store_base.h The platform's key-value store, with outages, for the soak. */
#pragma once

#include "daemon_process_base.h"
#include "proxy/caller_session_base.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <random>
#include <string>

namespace teaselreach::soak {

/** How the store misbehaves. */
enum class StoreFault : std::uint8_t {
    None,
    Busy,       ///< Answers 503 and does nothing.
    Slow,       ///< Answers after a quarter of a second.
    LostAnswer, ///< Does what it is asked and does not answer.
};

/** Keys, revisions, leases and watches over HTTP, as the platform's pages describe them. */
class PlatformStore
{
public:
    /** @param context The event loop. @param port Port on soakAddress(). */
    PlatformStore(proxy::asio::io_context &context, std::uint16_t port);

    /** Writes a value as the operators or upstreams do. */
    void put(const std::string &key, const std::string &value, std::uint64_t lease = 0);
    /** Removes a key. */
    void remove(const std::string &key);
    /** Ends leases whose time is over. */
    void expireLeases(core::MonoTime now);
    /** Changes how the store behaves. */
    void setFault(StoreFault fault) { fault_ = fault; }
    /** Forgets the history of changes. */
    void compact() { history_.clear(), compactedRevision_ = revision_; }

private:
    /** One key. */
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    /** One lease. */
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
    proxy::CallerServer server_;
};

} // namespace teaselreach::soak
