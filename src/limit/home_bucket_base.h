/** @file home_bucket_base.h Token bucket of one home slot of an account. */
#pragma once

#include "limit/limit_type.h"

#include <optional>
#include <vector>

namespace teaselreach::limit {

/** Tokens lent in one step. */
struct Grant
{
    std::vector<core::Micros> delays; ///< One for each token: time until it is usable.
    core::Micros lifetime {};         ///< Time in which the borrower may use the tokens.
};

/**
 * The share of one home slot. Tokens on loan count against the share's burst until they have
 * expired on this VM's clock or the borrower has reported them finished:
 * level + outstanding <= burst.
 *
 * A token can be lent before it exists: the bucket then runs ahead of the clock, and the borrower
 * may use the token only after the delay. Requests that wait are thereby served in the order in
 * which they asked, without polling.
 */
class HomeBucket
{
public:
    /**
     * Starts with level 0 and the whole burst on loan, since a predecessor with another memory
     * may have lent it.
     * @param share Rate and burst of the slot.
     * @param start Time from which the VM has acted as home.
     */
    HomeBucket(Share share, core::MonoTime start);

    /** Takes one token for a request on this VM. @return Whether there was one at once. */
    bool tryTake(core::MonoTime now);

    /**
     * Lends tokens that become usable within a time.
     * @param now Present time.
     * @param loan Id of the loan, not used before.
     * @param wanted Largest number of tokens.
     * @param maxDelay Longest time until a token is usable, at most maxTokenDelay.
     * @return The tokens lent; none if delays is empty.
     */
    Grant lend(core::MonoTime now, const LoanId &loan, int wanted, core::Micros maxDelay);

    /** Ends a loan early. Unknown loans, such as those of a predecessor, are ignored. */
    void finishLoan(core::MonoTime now, const FinishedLoan &finished);

    /**
     * Applies a new rate and burst: the level becomes min(level, burst - outstanding). Tokens
     * already promised keep their time, so a lower rate holds from refilledUntil() on.
     */
    void setShare(core::MonoTime now, Share share);

    /** Brings the bucket to the present time. */
    void advance(core::MonoTime now);

    /**
     * @param now Present time.
     * @return Tokens that can be lent at once; below 1 it is 1 - rate * (time to next token).
     */
    double level(core::MonoTime now) const;
    /** @return Tokens on loan. */
    double outstanding() const { return outstanding_; }
    /** @return Rate and burst. */
    const Share &share() const { return share_; }
    /** @return Time up to which refill is promised to borrowers. */
    core::MonoTime refilledUntil() const { return refilledUntil_; }
    /** @return Time at which the last loan has expired; the bucket's time if there is none. */
    core::MonoTime loansExpireAt() const;

private:
    /** Tokens of one loan. */
    struct Loan
    {
        core::MonoTime expiry;
        LoanId id; ///< Sequence 0 for the loans of a predecessor.
        int tokens = 0;
        double amount = 0; ///< Equal to tokens, except for a predecessor's fractional burst.
    };

    void refillTo(core::MonoTime time);
    std::optional<core::MonoTime> earliestToken() const;
    void insertLoan(const Loan &loan);

    Share share_;
    double level_ = 0;
    double outstanding_ = 0;
    core::MonoTime refilledUntil_; ///< Time that level_ and outstanding_ belong to; may be ahead.
    std::vector<Loan> loans_;      ///< Sorted by expiry.
};

} // namespace teaselreach::limit
