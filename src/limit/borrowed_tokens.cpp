/** @file borrowed_tokens.cpp Tokens that this VM has borrowed for one account. */
#include "limit/borrowed_tokens_base.h"

#include <algorithm>

namespace teaselreach::limit {

void BorrowedTokens::add(int slot, LoanId loan, std::vector<core::MonoTime> usableAt,
                         core::MonoTime expiry)
{
    HeldLoan held {.slot = slot, .id = loan, .usableAt = std::move(usableAt), .expiry = expiry};
    const auto position =
        std::upper_bound(loans_.begin(), loans_.end(), held,
                         [](const HeldLoan &a, const HeldLoan &b) { return a.expiry < b.expiry; });
    loans_.insert(position, std::move(held));
}

bool BorrowedTokens::tryUse(core::MonoTime now)
{
    endExpiredLoans(now);
    for (auto loan = loans_.begin(); loan != loans_.end(); ++loan) {
        if (loan->usableAt.front() > now)
            continue;
        loan->usableAt.erase(loan->usableAt.begin());
        if (!loan->usableAt.empty())
            return true;
        finished_.push_back({.slot = loan->slot, .finished = {.id = loan->id}});
        loans_.erase(loan);
        return true;
    }
    return false;
}

void BorrowedTokens::endExpiredLoans(core::MonoTime now)
{
    endLoansExpiringBefore(now + core::Micros(1));
}

void BorrowedTokens::returnExpiringBefore(core::MonoTime expiringBefore)
{
    endLoansExpiringBefore(expiringBefore);
}

std::vector<SlotFinishedLoan> BorrowedTokens::takeFinished()
{
    return std::exchange(finished_, {});
}

int BorrowedTokens::tokenCount() const
{
    int tokens = 0;
    for (const HeldLoan &loan : loans_)
        tokens += static_cast<int>(loan.usableAt.size());
    return tokens;
}

std::optional<core::MonoTime> BorrowedTokens::nextUsable() const
{
    std::optional<core::MonoTime> next;
    for (const HeldLoan &loan : loans_)
        next = std::min(next.value_or(loan.usableAt.front()), loan.usableAt.front());
    return next;
}

std::optional<core::MonoTime> BorrowedTokens::nextExpiry() const
{
    if (loans_.empty())
        return std::nullopt;
    return loans_.front().expiry;
}

void BorrowedTokens::endLoansExpiringBefore(core::MonoTime time)
{
    while (!loans_.empty() && loans_.front().expiry < time) {
        const HeldLoan &loan = loans_.front();
        const int unused = static_cast<int>(loan.usableAt.size());
        finished_.push_back({.slot = loan.slot, .finished = {.id = loan.id, .unused = unused}});
        loans_.erase(loans_.begin());
    }
}

} // namespace teaselreach::limit
