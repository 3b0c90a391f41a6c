/** @file account_rate_limiter_base.h Rate limiting of accounts by this VM's share of each limit. */
#pragma once

#include "placement/account_limit_type.h"
#include "placement/paced_rate_limiter_base.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace teaselreach::proxy {

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

    /** Records that other processes may have admitted requests by this VM's share until now: an
     * earlier one that this one replaces, or those of other VMs while this one stood still. */
    void processRestarted(core::MonoTime now);
    /** Takes over what is known of the use of accounts before the restart. An account that is not
     * listed used its limit steadily. */
    void earlierUseKnown(const AccountUseRecord &record);
    /** @return The accounts whose use is not steady, by the requests that count against the share
     * in use. In the first window after a restart, the earlier use counts as well. */
    AccountUseRecord unsteadyUse(core::MonoTime now) const;
    /**
     * Sets the shares of every limit.
     * @param own Share of this VM, 0 to 1.
     * @param pool Total share of the pool's VMs that exchange usage reports, this VM included. If
     * it is not larger than the own share, only this VM's requests are counted.
     */
    void setShares(double own, double pool);
    /** Admits a request, and counts it, if the account is within its limit.
     * @param priority Priority of the request's route, 0 is the highest; only used with pacing.
     * @return Whether the request was admitted, or why not. */
    AdmissionReason decide(core::MonoTime now, const Account &account, int priority);
    /** @return Whether a request of the highest priority was admitted; see decide(). */
    bool admit(core::MonoTime now, const Account &account)
    {
        return decide(now, account, 0) == AdmissionReason::Admitted;
    }
    /** @return Time until admit() may succeed for the account, provided that no other requests are
     * admitted. */
    core::Micros timeUntilAdmission(core::MonoTime now, const Account &account);
    /** @return How much of its limit an account uses at this VM. Changes nothing. */
    AccountRoom roomOf(core::MonoTime now, const Account &account) const;
    /** Removes the account's last admitted request from the count. For requests that were not
     * passed on to an upstream. */
    void refund(const Account &account);
    /** Counts requests that another VM of the pool admitted. */
    void usageReported(core::MonoTime now, const AccountUsage &usage);
    /** Sets the VMs that hand over their shares. What they have admitted in the window by their
     * shares, beyond what they keep, counts against those that take them over: by their histories,
     * or as the whole share of one without a history. A pool's reports tell it as well. */
    void setLeaving(std::vector<LeavingShare> leaving);
    /** Replaces what a leaving VM has told of its admissions. */
    void historyReported(core::MonoTime now, const core::VmId &sender, const UsageHistory &history);
    /** @return What this VM has admitted in the window, for those that take over its share: the
     * accounts with the most requests, as many as fit into a message. */
    UsageHistory usageHistory(core::MonoTime now);
    /** @return Requests that this VM has admitted since the last call. Resets the counts. */
    std::vector<AccountUsage> takeUsage();
    /** @return The share of each limit in use: the pool's if usage is pooled, else this VM's. */
    double effectiveShare() const;
    /** @return The limiter that paces accounts near their limit, which then takes all decisions;
     * nullptr if PacingOptions::enabled is not set. It has the shares and reports of its own. */
    PacedRateLimiter *paced() { return paced_ ? &*paced_ : nullptr; }

private:
    /** Admission times of the counted requests of one account. */
    struct Window
    {
        std::deque<core::MonoTime> own;
        std::deque<core::MonoTime> others; ///< Reported by other VMs of the pool.
        int requestsSinceRestart = 0;      ///< Counted during the first window after a restart.
        std::optional<Account> limit;      ///< In force at the last request.
        std::optional<core::MonoTime> loweredAt; ///< Time at which the limit was last lowered.
        Account formerLimit;                     ///< In force before loweredAt.
    };

    /** What a leaving VM has told of its admissions. */
    struct ReportedHistory
    {
        core::MonoTime receivedAt {};
        std::unordered_map<core::ClientAccountId, WindowParts, core::StrongHash> accounts;
    };

    /** @return Requests of a leaving VM that count against the own share. */
    double handedOverUse(core::MonoTime now, const Account &account) const;
    double admittedBy(core::MonoTime now, const core::ClientAccountId &account,
                      const ReportedHistory &history) const;
    void recordLimit(core::MonoTime now, const Account &account, Window &window) const;
    bool hasRoom(core::MonoTime now, const Account &limit, std::size_t own,
                 std::size_t others) const;

    void prune(core::MonoTime now, Window &window) const;
    bool mayAdmit(core::MonoTime now, const Account &account, const Window &window) const;
    core::Micros timeUntilRoom(core::MonoTime now, const Account &account,
                               const Window &window) const;
    /** @return The window of an account, created if missing, without its expired entries. */
    Window &prunedWindow(core::MonoTime now, const core::ClientAccountId &account);
    /** @return Requests allowed in one window under a share of the limit; at least 1. */
    std::size_t maxRequests(core::MonoTime now, const Account &account, double share) const;
    /** @return Requests that one window may hold under the whole limit: with the part of the
     * tolerated overrun that is not in reserve, and with all of it. */
    struct WindowLimit
    {
        double usable = 0;
        double overrun = 0; ///< Beyond that, as a part of it.
    };
    WindowLimit windowLimit(const Account &account) const;
    double usablePart(core::MonoTime now, const Account &account, double overrun) const;
    double earlierUse(core::MonoTime now, const core::ClientAccountId &account, double overrun,
                      core::Micros time) const;
    bool isOverloading(core::Micros age, const Account &account) const;
    /** @return Requests that count against the share in use. */
    std::size_t countedRequests(const Window &window) const;
    bool isPooled() const { return poolShare_ > ownShare_; }

    bool admitInWindow(core::MonoTime now, const Account &account);

    AccountRateLimiterOptions options_;
    std::optional<PacedRateLimiter> paced_;
    double ownShare_ = 0;
    double poolShare_ = 0;
    std::optional<core::MonoTime> restartedAt_;
    /** Levels of the accounts whose use was not steady before the restart. */
    std::unordered_map<core::ClientAccountId, AccountUseLevel, core::StrongHash> earlierLevels_;
    std::unordered_map<core::ClientAccountId, Window, core::StrongHash> windows_;
    std::vector<LeavingShare> leaving_;
    std::unordered_map<core::VmId, ReportedHistory, core::StrongHash> histories_;
    /** Requests admitted since the last takeUsage(). */
    std::unordered_map<core::ClientAccountId, int, core::StrongHash> unreported_;
};

} // namespace teaselreach::proxy
