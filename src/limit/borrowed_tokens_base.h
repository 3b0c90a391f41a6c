/** @file borrowed_tokens_base.h Tokens that this VM has borrowed for one account. */
#pragma once

#include "limit/limit_type.h"

#include <optional>
#include <vector>

namespace teaselreach::limit {

/** A finished loan and the home slot that lent it. */
struct SlotFinishedLoan
{
    int slot = 0;
    FinishedLoan finished;
};

/** The tokens that this VM has borrowed for one account. Expired tokens are never used. */
class BorrowedTokens
{
public:
    /**
     * Adds a loan.
     * @param slot The home slot that lent it.
     * @param loan Id of the loan.
     * @param usableAt The time at which each token becomes usable, ascending; not empty.
     * @param expiry End of the lifetime, which starts when the borrow request is sent.
     */
    void add(int slot, LoanId loan, std::vector<core::MonoTime> usableAt, core::MonoTime expiry);

    /** Uses the usable token that expires first. @return Whether a token was usable. */
    bool tryUse(core::MonoTime now);

    /** Ends the loans that have expired. */
    void endExpiredLoans(core::MonoTime now);

    /** Ends the loans that expire before a time, so that their unused tokens are returned. */
    void returnExpiringBefore(core::MonoTime expiringBefore);

    /** @return The loans that have ended since the last call; clears the list. */
    std::vector<SlotFinishedLoan> takeFinished();

    /** @return Number of tokens, including those that are not usable yet. */
    int tokenCount() const;
    /** @return The earliest time at which a token is usable, if there is one. */
    std::optional<core::MonoTime> nextUsable() const;
    /** @return The earliest expiry of a loan, if there is one. */
    std::optional<core::MonoTime> nextExpiry() const;

private:
    /** A loan with at least one token left. */
    struct HeldLoan
    {
        int slot = 0;
        LoanId id;
        std::vector<core::MonoTime> usableAt; ///< One for each token left, ascending.
        core::MonoTime expiry;
    };

    void endLoansExpiringBefore(core::MonoTime time);

    std::vector<HeldLoan> loans_; ///< Sorted by expiry.
    std::vector<SlotFinishedLoan> finished_;
};

} // namespace teaselreach::limit
