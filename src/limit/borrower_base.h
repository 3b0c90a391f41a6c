/** @file borrower_base.h Tokens that a VM holds on loan for one account. */
#pragma once

#include "limit/limit_type.h"

#include <optional>
#include <vector>

namespace teaselreach::limit {

/** A finished loan and the slot that lent it. */
struct SlotFinishedLoan
{
    int slot = 0;
    FinishedLoan finished;
};

/** The loans of one account on one VM. Expired tokens are never used. */
class BorrowedTokens
{
public:
    /**
     * Takes over a loan.
     * @param slot The home slot that lent it.
     * @param loan Its id.
     * @param usableAt One time for each token, ascending.
     * @param expiry End of the lifetime, counted from before the request was sent.
     */
    void add(int slot, LoanId loan, std::vector<core::MonoTime> usableAt, core::MonoTime expiry);

    /** Uses one token, the one that expires first. @return Whether there was a usable one. */
    bool tryUse(core::MonoTime now);

    /** Ends loans that have expired. */
    void endExpiredLoans(core::MonoTime now);

    /** Ends loans with unused tokens that expire before a time. */
    void returnExpiringBefore(core::MonoTime expiringBefore);

    /** @return The loans that ended since the last call. */
    std::vector<SlotFinishedLoan> takeFinished();

    /** @return Tokens held, also those that are not usable yet. */
    int tokenCount() const;
    /** @return The earliest time at which a token is usable, if one is held. */
    std::optional<core::MonoTime> nextUsable() const;
    /** @return The earliest expiry of a loan held. */
    std::optional<core::MonoTime> nextExpiry() const;

private:
    /** A loan with tokens left. */
    struct HeldLoan
    {
        int slot = 0;
        LoanId id;
        std::vector<core::MonoTime> usableAt; ///< Of the tokens left.
        core::MonoTime expiry;
    };

    void endLoansExpiringBefore(core::MonoTime time);

    std::vector<HeldLoan> loans_; ///< Sorted by expiry.
    std::vector<SlotFinishedLoan> finished_;
};

} // namespace teaselreach::limit
