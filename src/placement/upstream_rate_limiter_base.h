/** @file upstream_rate_limiter_base.h Keeps to the request rates that upstreams name. */
#pragma once

#include "placement/placement_type.h"

#include <deque>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace teaselreach::proxy {

/** Parameters of the rate limits that upstreams name. */
struct UpstreamRateLimiterOptions
{
    /** Sliding window in which requests at an upstream are counted. */
    core::Micros window {core::Seconds(4)};
    /** Requests that a VM may save up from its own share: one, and its rate in this time. */
    core::Micros maxSavings {core::Millis(500)};
    /** Lowest rate, over all VMs, at which a limited upstream is used. With none at all, no VM
     * would learn that it takes more again. */
    double minPerSecond = 0.1;
    /** Use of the pool's part of a limit above which own shares are no longer used. VMs that used
     * more than their own shares may have left less than the others' shares. */
    double maxPoolUse = 1.2;
    /** Interval at which a limit that is still named is reported to other VMs. */
    core::Micros reportInterval {core::Seconds(2)};
    /** Shortest and longest time without a statement or a report after which a limit is stale. A VM
     * then sends one request in each window until it has a response of the upstream. The time
     * differs between VMs, so that the first one can tell the others. */
    core::Micros minStaleAfter {core::Seconds(10)};
    core::Micros maxStaleAfter {core::Seconds(30)};
};

/** This VM's share of the limits of some upstreams. */
struct UpstreamLimitShare
{
    double own = 1;
    double pool = 1;  ///< Total of the VMs that report their use to each other, this one included.
    int poolSize = 1; ///< Number of these VMs.
};

/** What VMs report to each other of a limited upstream. */
struct UpstreamLimitReport
{
    core::UpstreamId upstream;
    std::optional<RequestRate> limit; ///< Nothing if the upstream no longer names one.
    core::Micros age {0};             ///< Time since the upstream said so.
    int requests = 0;                 ///< Requests sent by the reporting VM since its last report.
    /** Whether VMs that do not count the requests need the report, for the limit. */
    bool announcesLimit = false;
};

/**
 * Divides the limits that upstreams name among the VMs that send to them. Each VM saves up tokens
 * at the rate of its own share, which needs no message. The VMs of a pool also report what they
 * have sent, so that one of them can use what the others leave. Counts every request alike: first
 * attempts, retries and trials. Uses no threads, sockets or clocks.
 */
class UpstreamRateLimiter
{
public:
    /** @param options Parameters. @param seed For the times after which limits are stale. */
    UpstreamRateLimiter(UpstreamRateLimiterOptions options, std::uint64_t seed);

    /**
     * Records what an upstream said in a response to this VM.
     * @param limit The limit that it named, if any.
     * @param isComplete Whether a response without a limit ends one.
     */
    void responded(core::MonoTime now, const core::UpstreamId &id, std::optional<RequestRate> limit,
                   bool isComplete, const UpstreamLimitShare &share);
    /** @return Whether one more request may be sent to an upstream now. */
    bool mayStart(core::MonoTime now, const core::UpstreamId &id,
                  const UpstreamLimitShare &share) const;
    /** Counts a request that is about to be sent to an upstream. */
    void started(core::MonoTime now, const core::UpstreamId &id, const UpstreamLimitShare &share);
    /** Records the report of another VM. */
    void reported(core::MonoTime now, const UpstreamLimitReport &report,
                  const UpstreamLimitShare &share);
    /** @return Up to a number of reports that are due, and resets what they contain. */
    std::vector<UpstreamLimitReport> takeReports(core::MonoTime now, std::size_t maxReports);
    /** Forgets an upstream, because it has left or started again. */
    void remove(const core::UpstreamId &id) { limited_.erase(id); }
    /** @return The limit of an upstream, if it names one. */
    std::optional<RequestRate> limitOf(const core::UpstreamId &id) const;
    /** @return Number of upstreams that name a limit. */
    std::size_t size() const;

private:
    /** An upstream that names a limit, or has lately. */
    struct Limited
    {
        std::optional<RequestRate> limit;
        core::MonoTime namedAt {};      ///< Time of the statement that is in force.
        core::MonoTime limitedSince {}; ///< Start of the counts.
        core::Micros staleAfter {0};    ///< Time after namedAt; see UpstreamRateLimiterOptions.
        double tokens = 0;              ///< Saved up from the own share, as of countedAt.
        core::MonoTime countedAt {};
        std::deque<core::MonoTime> own;    ///< Requests of this VM.
        std::deque<core::MonoTime> others; ///< Requests that others of the pool have reported.
        int unreported = 0;
        bool isChanged = false; ///< Whether the limit has changed since the last report.
        core::MonoTime reportedAt {};
    };

    double rateOf(const Limited &limited) const;
    double tokensAt(core::MonoTime now, const Limited &limited,
                    const UpstreamLimitShare &share) const;
    double maxTokens(const Limited &limited, const UpstreamLimitShare &share) const;
    double usedIn(core::MonoTime now, const std::deque<core::MonoTime> &times) const;
    void settle(core::MonoTime now, Limited &limited, const UpstreamLimitShare &share) const;
    void apply(core::MonoTime now, core::MonoTime namedAt, const core::UpstreamId &id,
               std::optional<RequestRate> limit, const UpstreamLimitShare &share);
    void removeExpired(core::MonoTime now);

    UpstreamRateLimiterOptions options_;
    std::mt19937_64 random_;
    std::unordered_map<core::UpstreamId, Limited, core::StrongHash> limited_;
};

} // namespace teaselreach::proxy
