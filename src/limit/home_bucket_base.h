/** @file home_bucket_base.h Token bucket for one home slot's share of an account's limit. */
#pragma once

#include "limit/limit_type.h"

#include <optional>
#include <vector>

namespace teaselreach::limit {

/** Tokens lent by one call of HomeBucket::lend(). */
struct Grant
{
    std::vector<core::Micros> delays; ///< One for each token: time until it is usable.
    core::Micros lifetime {};         ///< Time from the loan on in which its tokens may be used.
};

/**
 * Token bucket for the share of one home slot. Tokens on loan count against the share's burst
 * until they have expired on this VM's clock or the borrower has reported the loan as finished:
 * level + outstanding <= burst.
 *
 * A token can be lent before it is refilled. The bucket then includes the refill of a future time,
 * and the borrower may use the token only after the delay. Waiting requests are thus served in the
 * order in which they asked, without polling.
 */
class HomeBucket
{
public:
    /**
     * Starts with level 0 and the whole burst on loan, because a predecessor whose state is lost
     * may have lent it.
     * @param share Rate and burst of the slot.
     * @param start Time from which the VM has acted as home of the slot.
     */
    HomeBucket(Share share, core::MonoTime start);

    /** Takes one token for a request on this VM. @return Whether one was usable now. */
    bool tryTake(core::MonoTime now);

    /**
     * Lends tokens that become usable within maxDelay.
     * @param now Present time.
     * @param loan Id of the loan, which must be new.
     * @param wanted Largest number of tokens to lend.
     * @param maxDelay Longest time until a token is usable; limited to maxTokenDelay.
     * @return The tokens lent; none if delays is empty.
     */
    Grant lend(core::MonoTime now, const LoanId &loan, int wanted, core::Micros maxDelay);

    /**
     * Ends a loan before it expires and takes its unused tokens back. Unknown loans, such as those
     * of a predecessor, are ignored.
     */
    void finishLoan(core::MonoTime now, const FinishedLoan &finished);

    /**
     * Applies a new rate and burst. The level becomes min(level, burst - outstanding). Tokens
     * already lent keep their delay, so a lower rate applies from refilledUntil() on.
     */
    void setShare(core::MonoTime now, Share share);

    /** Ends expired loans and refills the bucket up to a time. */
    void advance(core::MonoTime now);

    /**
     * @param now Present time.
     * @return Tokens that are usable now. A value below 1 is 1 - rate * (time to the next token),
     * or -burst if no further token will come.
     */
    double level(core::MonoTime now) const;
    /** @return Number of tokens on loan. */
    double outstanding() const { return outstanding_; }
    /** @return Rate and burst. */
    const Share &share() const { return share_; }
    /** @return Time up to which refill is included; ahead of the clock if it is lent already. */
    core::MonoTime refilledUntil() const { return refilledUntil_; }
    /** @return Time at which the last loan expires; refilledUntil() if there is none. */
    core::MonoTime loansExpireAt() const;

private:
    /** A loan that has neither expired nor been reported as finished. */
    struct Loan
    {
        core::MonoTime expiry;
        LoanId id; ///< Sequence 0 for the assumed loan of a predecessor.
        int tokens = 0;
        double amount = 0; ///< Counted in outstanding_: tokens, or a predecessor's whole burst.
    };

    void refillTo(core::MonoTime time);
    std::optional<core::MonoTime> earliestToken() const;
    void insertLoan(const Loan &loan);

    Share share_;
    double level_ = 0;
    double outstanding_ = 0;
    core::MonoTime refilledUntil_; ///< Time at which level_ is valid; may be ahead of the clock.
    std::vector<Loan> loans_;      ///< Sorted by expiry.
};

} // namespace teaselreach::limit
