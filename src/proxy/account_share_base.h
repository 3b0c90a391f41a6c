/** @file account_share_base.h This VM's part of each client account's limit. */
#pragma once

#include "proxy/proxy_type.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace teaselreach::proxy {

/** How a limit is counted. */
struct AccountRateLimiterOptions
{
    /** Length of the window in which requests are counted. */
    core::Micros window {core::Seconds(5)};
    /** What the operators allow beyond rate and burst in a window, over all VMs: a ratio and a
     * number of requests. */
    double overrunRatio = 0;
    double overrunRequests = 0;
    /** Seconds of the account's rate that are kept back from an allowed overrun. They cover what
     * the VMs of a pool admit, for an account at many times its rate, before they hear of each
     * other. */
    double reserveSeconds = 0.9;
    /** Seconds of an account's rate before its limit from which each VM uses its own part only: an
     * account at many times its rate is admitted faster than VMs hear of each other. */
    double ownShareOnlySeconds = 0.7;
    /** Part of the limit that a restarted process gives out at once; the rest follows over one
     * window. What the process before it admitted is not known. An account that overloads now has
     * probably used its whole limit before: it gets only the allowed overrun in that window. */
    double shareAfterRestart = 0.35;
    /** Demand since the restart from which an account counts as overloading: a multiple of the VM's
     * part of its rate, and a number of requests that chance may add. The first VM of a zone that
     * is back has all of its callers for a moment, three times its part. */
    double overloadFactor = 2.2;
    double overloadRequests = 3;
};

/** Requests of an account that a VM admitted. */
struct AccountUsage
{
    core::ClientAccountId account;
    int requests = 0;
};

/**
 * Counts the admitted requests of each account in a sliding window, own ones and those that other
 * VMs of the same pool report, against the pool's part of the limit. The parts of all pools add up
 * to at most one, so the sum over the fleet stays within the limit without a message between pools.
 */
class AccountRateLimiter
{
public:
    /** @param options How a limit is counted. */
    explicit AccountRateLimiter(AccountRateLimiterOptions options);

    /** Records that this process follows an earlier one. */
    void processRestarted(core::MonoTime now) { restartedAt_ = now; }
    /**
     * @param own This VM's part of every limit, 0 to 1.
     * @param pool The part of all VMs of the pool that exchange reports with this one, itself
     * included. If it is not larger than the own part, only own requests are counted.
     */
    void setShares(double own, double pool);
    /** @return Whether a request of the account is within the limit; counts it if so. */
    bool admit(core::MonoTime now, const Account &account);
    /** @return Time until admit() may succeed for the account. */
    core::Micros timeUntilAdmission(core::MonoTime now, const Account &account);
    /** Takes back the count of a request that was not passed on to an upstream. */
    void refund(const Account &account);
    /** Counts what another VM of the pool admitted. */
    void usageReported(core::MonoTime now, const AccountUsage &usage);
    /** @return What this VM admitted since the last call. */
    std::vector<AccountUsage> takeUsage();
    /** @return The part against which requests are counted. */
    double effectiveShare() const { return isPooled() ? poolShare_ : ownShare_; }

private:
    /** Times of the counted requests. */
    struct Window
    {
        std::deque<core::MonoTime> own;
        std::deque<core::MonoTime> others;
        int requestsSinceRestart = 0; ///< Counted in the first window of a restarted process.
    };

    Window &prunedWindow(core::MonoTime now, const core::ClientAccountId &account);
    std::size_t maxRequests(core::MonoTime now, const Account &account, double share) const;
    double shareAfterRestart(core::MonoTime now, const Account &account, double overrun) const;
    bool isOverloading(core::Micros age, const Account &account) const;
    std::size_t countedRequests(const Window &window) const;
    bool isPooled() const { return poolShare_ > ownShare_; }

    AccountRateLimiterOptions options_;
    double ownShare_ = 0;
    double poolShare_ = 0;
    std::optional<core::MonoTime> restartedAt_;
    std::unordered_map<core::ClientAccountId, Window, core::StrongHash> windows_;
    std::unordered_map<core::ClientAccountId, int, core::StrongHash> unreported_;
};

} // namespace teaselreach::proxy
