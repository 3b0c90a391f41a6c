/** @file baseline_base.h Other ways to enforce limits, for comparison by the benchmark. */
#pragma once

#include "limit/limit_state_base.h"

namespace teaselreach::limit {

/** Fixed split: each VM admits rate/N with a burst of burst/N on its own, without messages. */
class FixedSplit
{
public:
    /**
     * @param limit The account's limit.
     * @param vmCount Number of VMs that the limit is divided among.
     */
    FixedSplit(const record::Limit &limit, int vmCount)
        : bucket_({.ratePerSecond = limit.ratePerSecond / vmCount, .burst = limit.burst / vmCount},
                  core::MonoTime())
    { }

    /** Decides at once. */
    AdmissionResult tryAdmit(core::MonoTime now, const core::ClientAccountId &, core::Micros)
    {
        return {.decision = bucket_.tryTake(now) ? Decision::Admitted : Decision::RateLimited};
    }
    /** Refuses: nothing is lent. */
    BorrowAnswer onBorrowRequest(core::MonoTime, const BorrowRequest &) { return {}; }
    void onBorrowAnswer(core::MonoTime, const BorrowAnswer &) { }
    void onBorrowFailed(core::MonoTime, const core::ClientAccountId &, const BorrowId &) { }
    void runDueWork(core::MonoTime) { }
    /** @return Nothing: no work is ever due. */
    std::optional<core::MonoTime> nextDue() const { return std::nullopt; }
    /** @return Nothing. */
    LimitOutput takeOutput() { return {}; }

private:
    HomeBucket bucket_;
};

static_assert(LimitStrategy<FixedSplit>);

/**
 * Leased owner: one VM holds the account's whole limit while it holds a lease in the store, and
 * lends to the others. It is LimitState with one home whose right to act is the lease, so that
 * only the rule of ownership differs from the held shares.
 */
class LeasedOwner
{
public:
    /** Lifetime of the lease; shorter ones cost more writes to the store. */
    static constexpr core::Micros leaseLifetime = core::Seconds(10);

    LeasedOwner(core::VmId self, core::Incarnation incarnation)
        : self_(self)
        , state_(std::move(self), incarnation)
    { }

    /** Extends the lease. @param sentAt Time before the renewal was sent. */
    void onLeaseRenewed(core::MonoTime sentAt) { leaseUntil_ = sentAt + leaseLifetime; }
    /** @return The limits, for configuration and placement. */
    LimitState &state() { return state_; }

    AdmissionResult tryAdmit(core::MonoTime now, const core::ClientAccountId &account,
                             core::Micros maxWait)
    {
        if (ownsWithoutLease(now, account))
            return {.decision = Decision::LimitUnavailable};
        return state_.tryAdmit(now, account, maxWait);
    }
    BorrowAnswer onBorrowRequest(core::MonoTime now, const BorrowRequest &request)
    {
        if (ownsWithoutLease(now, request.account))
            return {.account = request.account, .slot = request.slot, .id = request.id};
        return state_.onBorrowRequest(now, request);
    }
    void onBorrowAnswer(core::MonoTime now, const BorrowAnswer &answer)
    {
        state_.onBorrowAnswer(now, answer);
    }
    void onBorrowFailed(core::MonoTime now, const core::ClientAccountId &account,
                        const BorrowId &id)
    {
        state_.onBorrowFailed(now, account, id);
    }
    void runDueWork(core::MonoTime now) { state_.runDueWork(now); }
    std::optional<core::MonoTime> nextDue() const { return state_.nextDue(); }
    LimitOutput takeOutput() { return state_.takeOutput(); }

private:
    bool ownsWithoutLease(core::MonoTime now, const core::ClientAccountId &account) const
    {
        return now >= leaseUntil_ && state_.placement() != nullptr
            && state_.placement()->homesOf(account)[0] == self_;
    }

    core::VmId self_;
    LimitState state_;
    core::MonoTime leaseUntil_;
};

static_assert(LimitStrategy<LeasedOwner>);

} // namespace teaselreach::limit
