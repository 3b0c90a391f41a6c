/** @file account_rate_limiter_base.h Rate limiting of accounts by this VM's share of each limit. */
#pragma once

#include "placement/placement_type.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace teaselreach::proxy {

/** Settings of the account rate limits. */
struct AccountRateLimiterOptions
{
    /** Length of the sliding window in which requests are counted. */
    core::Micros window {core::Seconds(5)};
    /** Overrun that the operators tolerate beyond rate and burst in one window, over all VMs: a
     * fraction of the limit plus a number of requests. */
    double overrunRatio = 0;
    double overrunRequests = 0;
    /** Part of the tolerated overrun that is held in reserve, in seconds of the account's rate. It
     * covers what the VMs of a pool admit for an account at many times its rate before they
     * receive each other's usage reports. */
    double reserveSeconds = 0.9;
    /** Distance to the limit, in seconds of the account's rate, below which each VM admits only up
     * to its own share. Requests of an account at many times its rate are admitted faster than the
     * VMs exchange usage reports. */
    double ownShareOnlySeconds = 0.7;
    /** Fraction of the limit that is available right after a restart; it grows to the whole limit
     * over one window, because the requests that the previous process admitted are unknown. An
     * account that is overloading has probably used its whole limit already, so in that window it
     * gets only the tolerated overrun. */
    double shareAfterRestart = 0.35;
    /** An account counts as overloading if its requests since the restart exceed this multiple of
     * the VM's share of its rate, plus a number of requests that allows for random variation. The
     * first VM of a zone to restart briefly receives all callers of the zone, about three times its
     * share. */
    double overloadFactor = 2.2;
    double overloadRequests = 3;
};

/** Number of requests of an account that a VM admitted; exchanged between VMs. */
struct AccountUsage
{
    core::ClientAccountId account;
    int requests = 0;
};

/**
 * Sliding-window rate limiter for client accounts.
 *
 * Requests admitted by this VM and those reported by the other VMs of its pool count against the
 * pool's share of the limit. The shares of all pools add up to at most one, so the fleet as a whole
 * stays within the limit without messages between pools.
 */
class AccountRateLimiter
{
public:
    /** @param options Settings of the limits. */
    explicit AccountRateLimiter(AccountRateLimiterOptions options);

    /** Records that this process replaces an earlier one whose admissions are unknown. */
    void processRestarted(core::MonoTime now) { restartedAt_ = now; }
    /**
     * Sets the shares of every limit.
     * @param own Share of this VM, 0 to 1.
     * @param pool Total share of the pool's VMs that exchange usage reports, this VM included. If
     * it is not larger than the own share, only this VM's requests are counted.
     */
    void setShares(double own, double pool);
    /** Admits a request, and counts it, if the account is within its limit.
     * @return Whether the request was admitted. */
    bool admit(core::MonoTime now, const Account &account);
    /** @return Time until admit() may succeed for the account, provided that no other requests are
     * admitted. */
    core::Micros timeUntilAdmission(core::MonoTime now, const Account &account);
    /** Removes the account's last admitted request from the count. For requests that were not
     * passed on to an upstream. */
    void refund(const Account &account);
    /** Counts requests that another VM of the pool admitted. */
    void usageReported(core::MonoTime now, const AccountUsage &usage);
    /** @return Requests that this VM has admitted since the last call. Resets the counts. */
    std::vector<AccountUsage> takeUsage();
    /** @return The share of each limit in use: the pool's if usage is pooled, else this VM's. */
    double effectiveShare() const { return isPooled() ? poolShare_ : ownShare_; }

private:
    /** Admission times of the counted requests of one account. */
    struct Window
    {
        std::deque<core::MonoTime> own;
        std::deque<core::MonoTime> others; ///< Reported by other VMs of the pool.
        int requestsSinceRestart = 0;      ///< Counted during the first window after a restart.
    };

    /** @return The window of an account, created if missing, without its expired entries. */
    Window &prunedWindow(core::MonoTime now, const core::ClientAccountId &account);
    /** @return Requests allowed in one window under a share of the limit; at least 1. */
    std::size_t maxRequests(core::MonoTime now, const Account &account, double share) const;
    double shareAfterRestart(core::MonoTime now, const Account &account, double overrun) const;
    bool isOverloading(core::Micros age, const Account &account) const;
    /** @return Requests that count against the share in use. */
    std::size_t countedRequests(const Window &window) const;
    bool isPooled() const { return poolShare_ > ownShare_; }

    AccountRateLimiterOptions options_;
    double ownShare_ = 0;
    double poolShare_ = 0;
    std::optional<core::MonoTime> restartedAt_;
    std::unordered_map<core::ClientAccountId, Window, core::StrongHash> windows_;
    /** Requests admitted since the last takeUsage(). */
    std::unordered_map<core::ClientAccountId, int, core::StrongHash> unreported_;
};

} // namespace teaselreach::proxy
