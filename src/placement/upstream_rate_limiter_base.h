/** @file upstream_rate_limiter_base.h Request rates that upstreams name, and of cold upstreams. */
#pragma once

#include "placement/placement_type.h"

#include <deque>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace teaselreach::proxy {

/** Requests above the cold-start limit that the holder of a share of one may save up. Shares add up
 * to one, or to one and a half while one VM runs twice or VMs are out of contact, and operators
 * tolerate eight requests and half of the limit above it in one second. A VM whose part is less
 * than one request sends none. */
inline constexpr int coldBurst = 5;

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
    /** Sliding window in which requests at a cold upstream are counted. */
    core::Micros coldWindow {core::Seconds(1)};
    /** Part of the cold-start limit that is divided among the VMs. The rest is for requests that
     * take longer on their way than those after them. */
    double coldFill = 0.9;
    /** Requests in the cold window, as a multiple of the cold-start limit, above which own shares
     * are no longer used: those of this VM and those that others have reported. */
    double maxColdUse = 1.2;
    /** Growth of the time until an upstream is warm from which other VMs are told again. */
    core::Micros coldReportStep {core::Millis(250)};
};

/** The cold-start limit of an upstream. */
struct ColdLimit
{
    double perSecond = 0;    ///< Requests from all VMs together; 0 for no limit.
    core::MonoTime until {}; ///< Time at which the upstream is warm.
};

/** How a VM has learnt of a cold start or of its end. */
enum class ColdSource : std::uint8_t {
    Entry,         ///< The upstream's entry in the list of live upstreams.
    Response,      ///< A response of the upstream.
    Peer,          ///< A report of another VM.
    Configuration, ///< A change of the limit.
    Time,          ///< The stated time has passed.
};

/** @return The name of a source in logs; these names do not change. */
std::string_view coldSourceName(ColdSource source);

/** This VM's share of the limits of some upstreams. */
struct UpstreamLimitShare
{
    double own = 1;
    double pool = 1;  ///< Total of the VMs that report their use to each other, this one included.
    int poolSize = 1; ///< Number of these VMs.
    double cold = 1;  ///< Own share of a cold-start limit.
    double coldSaved = coldBurst; ///< Requests of it that this VM may save up.
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
    /** Time until the upstream is warm, if it said so to the reporting VM; else 0. */
    core::Micros coldLeft {0};
};

/**
 * Divides the limits that upstreams name among the VMs that send to them. Each VM saves up tokens
 * at the rate of its own share, which needs no message. The VMs of a pool also report what they
 * have sent, so that one of them can use what the others leave. Counts every request alike: first
 * attempts, retries and trials. Uses no threads, sockets or clocks.
 *
 * The cold-start limit of an upstream is divided in the same way. A request needs room under both
 * limits. No VM uses what others leave of a cold-start limit: the VMs that hold shares may be out
 * of contact, and an upstream that receives well above the limit crashes.
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
    /** Sets or ends the cold-start limit of an upstream. The requests of the last second, sent
     * before this VM learnt of the cold start, count against it. */
    void setCold(core::MonoTime now, const core::UpstreamId &id, ColdLimit limit, ColdSource source,
                 const UpstreamLimitShare &share);
    /** @return Whether an upstream has a cold-start limit now. */
    bool isCold(core::MonoTime now, const core::UpstreamId &id) const;
    /** Ends the cold starts whose time has passed. @return Up to a number of reports that are due;
     * resets what they contain. */
    std::vector<UpstreamLimitReport> takeReports(core::MonoTime now, std::size_t maxReports);
    /** Forgets an upstream, because it has left. */
    void remove(const core::UpstreamId &id) { limited_.erase(id); }
    /** Forgets what an upstream said before it started again. If it has a cold-start limit, the
     * requests sent so far still count, since the new process may receive them. */
    void restarted(const core::UpstreamId &id);
    /** @return The lower of the limit that an upstream names and its cold-start limit, if any. */
    std::optional<RequestRate> limitOf(const core::UpstreamId &id) const;
    /** @return Number of upstreams that name a limit. */
    std::size_t size() const;

private:
    /** An upstream that names a limit, or has lately, or may have a cold-start limit. */
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
        ColdLimit cold;
        bool isCold = false;             ///< Whether the end of cold.until is still to be recorded.
        double coldTokens = 0;           ///< As tokens, from the share of the cold-start limit.
        bool announcesCold = false;      ///< Whether other VMs are to be told of the cold start.
        core::MonoTime coldToldUntil {}; ///< ColdLimit::until as last told to them.
    };

    Limited &entryOf(core::MonoTime now, const core::UpstreamId &id);
    bool fitsNamedLimit(core::MonoTime now, const Limited &limited,
                        const UpstreamLimitShare &share) const;
    bool fitsColdLimit(core::MonoTime now, const Limited &limited,
                       const UpstreamLimitShare &share) const;
    double coldTokensAt(core::MonoTime now, const Limited &limited,
                        const UpstreamLimitShare &share) const;
    void endCold(const core::UpstreamId &id, Limited &limited, ColdSource cause);
    double rateOf(const Limited &limited) const;
    double tokensAt(core::MonoTime now, const Limited &limited,
                    const UpstreamLimitShare &share) const;
    double maxTokens(const Limited &limited, const UpstreamLimitShare &share) const;
    static double usedIn(core::MonoTime now, core::Micros window,
                         const std::deque<core::MonoTime> &times);
    void settle(core::MonoTime now, Limited &limited, const UpstreamLimitShare &share) const;
    void apply(core::MonoTime now, core::MonoTime namedAt, const core::UpstreamId &id,
               std::optional<RequestRate> limit, const UpstreamLimitShare &share);
    void removeExpired(core::MonoTime now);

    UpstreamRateLimiterOptions options_;
    std::mt19937_64 random_;
    std::unordered_map<core::UpstreamId, Limited, core::StrongHash> limited_;
};

} // namespace teaselreach::proxy
