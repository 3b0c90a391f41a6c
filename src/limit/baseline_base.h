/** @file baseline_base.h Alternative limit strategies that the benchmark compares. */
#pragma once

#include "limit/limit_state_base.h"

namespace teaselreach::limit {

/** Fixed split: each of N VMs enforces rate / N and burst / N locally, without messages. */
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

    /** Decides immediately; the longest wait is ignored. */
    AdmissionResult tryAdmit(core::MonoTime now, const core::ClientAccountId &, core::Micros)
    {
        return {.decision = bucket_.tryTake(now) ? Decision::Admitted : Decision::RateLimited};
    }
    /** Lends nothing. */
    BorrowAnswer onBorrowRequest(core::MonoTime, const BorrowRequest &) { return {}; }
    void onBorrowAnswer(core::MonoTime, const BorrowAnswer &) { }
    void onBorrowFailed(core::MonoTime, const core::ClientAccountId &, const BorrowId &) { }
    void runDueWork(core::MonoTime) { }
    /** @return Nothing, because no work is ever due. */
    std::optional<core::MonoTime> nextDue() const { return std::nullopt; }
    /** @return Empty output. */
    LimitOutput takeOutput() { return {}; }

private:
    HomeBucket bucket_;
};

static_assert(LimitStrategy<FixedSplit>);

/**
 * Leased owner: one VM enforces an account's whole limit while it holds a lease in the store, and
 * lends tokens to the other VMs. It wraps a LimitState with one home per account and adds the
 * condition that the home holds the lease, so that the two strategies differ only in the rule of
 * ownership.
 */
class LeasedOwner
{
public:
    /** Lifetime of the lease. A shorter one would cost more writes to the store. */
    static constexpr core::Micros leaseLifetime = core::Seconds(10);

    LeasedOwner(core::VmId self, core::Incarnation incarnation)
        : self_(self)
        , state_(std::move(self), incarnation)
    { }

    /** Extends the lease. @param sentAt Time just before the renewal was sent. */
    void onLeaseRenewed(core::MonoTime sentAt) { leaseUntil_ = sentAt + leaseLifetime; }
    /** @return The wrapped state, to be given configuration, placement and VM list. */
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
    /** @return Whether this VM is the home of an account but holds no lease. */
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
