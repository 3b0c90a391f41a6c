/** @file kv_store_base.h Stand-in for the platform's key-value service (design, section 3.4). */
#pragma once

#include "standins/server_base.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace teaselreach::standins {

/** Switchable faults of the service. */
struct KvFaults
{
    bool outage = false; ///< Every call gets status 503.
    std::chrono::milliseconds delay {0};
    bool loseAnswers = false; ///< Writes are applied, their answers are not sent.
};

/**
 * Compare-and-swap, leases and watches in memory. Besides the service's own calls it takes
 * `GET /admin/counters`, `POST /admin/faults` (outage, delay_ms, lose_answers),
 * `POST /admin/snapshot` and `POST /admin/restore` (back to the last snapshot); these are neither
 * counted nor affected by faults.
 */
class KvStore
{
public:
    /** @param listen Where to listen. */
    explicit KvStore(const ListenOptions &listen);
    ~KvStore();
    KvStore(const KvStore &) = delete;
    KvStore &operator=(const KvStore &) = delete;

    /** @return The base URL. */
    std::string url() const { return server_.url(); }
    /** Replaces the faults in force. */
    void setFaults(const KvFaults &faults);
    /** @return Calls since the start by kind; a pending watch counts as one call. */
    std::map<std::string, std::uint64_t> counters() const;
    /** Ends all leases at once, as if their time had passed. */
    void expireLeases();

private:
    using Clock = std::chrono::steady_clock;

    struct Entry
    {
        std::string value;
        std::uint64_t version = 0;
        std::string lease;
    };
    struct Lease
    {
        std::chrono::milliseconds ttl {0};
        Clock::time_point end;
    };
    struct Contents
    {
        std::map<std::string, Entry> entries;
        std::uint64_t lastVersion = 0;
    };

    Answer handle(const Request &request);
    Answer handleAdmin(const Request &request);
    Answer dispatch(const Request &request);
    Answer get(const std::string &key);
    Answer put(const std::string &key, const Request &request);
    Answer remove(const std::string &key, const Request &request);
    Answer watch(const std::string &key, const Request &request);
    Answer grantLease(const Request &request);
    Answer renewLease(const std::string &id);
    Answer current(const std::string &key) const;
    std::uint64_t versionOf(const std::string &key) const;
    void dropExpired();

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    KvFaults faults_;
    Contents contents_;
    Contents snapshot_;
    std::map<std::string, Lease> leases_;
    std::uint64_t lastLease_ = 0;
    std::map<std::string, std::uint64_t> counters_;
    Server server_;
};

} // namespace teaselreach::standins
