/** @file account_limit_type.h Options of the account rate limits, and what VMs report of their use.
 */
#pragma once

#include "placement/placement_type.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace teaselreach::proxy {

/** How an account near its limit is admitted; see PacedRateLimiter. */
struct PacingOptions
{
    /** Whether accounts are paced; if not, a whole window's limit may be used at once. */
    bool enabled = false;
    /** Part of the rate that is kept for every second that follows a burst. Requirement: 0.5; the
     * rest covers requests that are counted twice, and slots that are counted until they end. */
    double floorRatio = 0.7;
    /** Part of the burst that an account may use again while its demand is above its rate; the
     * rest is spread over the window. */
    double steadyBurstRatio = 0.15;
    /** Least part of the rate for all routes but those of the highest priority that is asked for.
     */
    double lowPriorityRatio = 0.1;
    /** Time over which the demand of a priority is measured. */
    core::Micros demandTime {core::Seconds(1)};
    /** Demand of higher priorities, as a time, for which lower ones leave room. */
    core::Micros priorityReserve {core::Millis(400)};
    /** Longest time until a VM's admissions are known to the others of its pool. */
    core::Micros reportDelay {core::Millis(100)};
    /** Fraction of the limit that an account may use right after a restart if the pool's other VMs
     * state that it was below half of its limit. */
    double shareIfBelowHalf = 0.5;
};

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
    PacingOptions pacing;
};

/** How much of its limit an account used in the last parts of a window. */
struct AccountUseLevel
{
    /** Number of equal parts of the window. */
    static constexpr std::size_t parts = 8;

    core::ClientAccountId account;
    /** Use in the latest part, in the latest two, up to the whole window, each as a part of the
     * limit; above 1 within the tolerated overrun. */
    std::array<double, parts> levels {};

    bool operator==(const AccountUseLevel &) const = default;
    /** @param time As a part of the window. @return The most that was used in the latest time. */
    double within(double time) const
    {
        const auto count = static_cast<std::size_t>(std::ceil(std::clamp(time, 0.0, 1.0) * parts));
        return count == 0 ? 0 : levels.at(count - 1);
    }
};

/** The accounts whose use is not steady; see isSteadyUse(). Kept outside of the processes, for
 * those that replace them. */
using AccountUseRecord = std::vector<AccountUseLevel>;

/** Number of requests of an account that a VM admitted; exchanged between VMs. */
struct AccountUsage
{
    core::ClientAccountId account;
    int requests = 0; ///< Since the sender's last report.
    /** In the sender's current window; 0 if unknown. Replaces reports that were lost. */
    int inWindow = 0;
};

/** Requests by age in equal parts of the window; the newest part is the first. */
using WindowParts = std::array<int, 10>;

/** Requests of an account that one VM admitted in the current window. */
struct VmUsage
{
    core::VmId vm;
    int requests = 0;
};

/** Use of one account that a VM tells another one that lacks a record of it. */
struct AccountHistory
{
    core::ClientAccountId account;
    WindowParts sender {};          ///< Admitted by the VM that tells.
    WindowParts receiver {};        ///< Reported by the VM that is told, or by its earlier process.
    std::vector<VmUsage> borrowers; ///< Other VMs that admitted more than their own share.
};

/** A VM's answer to a VM of its pool without a record of the current window. */
struct UsageHistory
{
    /** Accounts above half of the pool's limit, the fullest first. */
    std::vector<AccountHistory> accounts;
    /** Whether that is all of them, so that all others are below half of it. */
    bool isComplete = true;
};

/** A VM that stops as planned and hands its share of the limits over to the others. */
struct LeavingShare
{
    core::VmId vm;
    double share = 0;     ///< Of every limit, when it began to leave.
    double kept = 0;      ///< What it may still use.
    double takenOver = 0; ///< Part of its share that passes to this VM.
};

/** A VM of the own pool and its share of every limit. */
struct PoolMember
{
    core::VmId id;
    double share = 0;
    bool isPooled = false; ///< Whether both VMs know what the other one admits.
};

/** Use of an account's limit at one VM. */
struct AccountRoom
{
    bool isLimited = false;      ///< Whether the account has a limit.
    bool isPaced = false;        ///< Whether a pace decides instead; then the rest is not known.
    std::size_t counted = 0;     ///< Requests in the window that count against the share in use.
    std::size_t allowed = 0;     ///< Requests that this share allows in one window.
    core::Micros retryAfter {0}; ///< Time until a request may be admitted; 0 for at once.
};

} // namespace teaselreach::proxy
