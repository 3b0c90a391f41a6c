/** @file account_limit.cpp Admits, queues and refuses the requests of one account. */
#include "limit/account_limit_base.h"

#include <algorithm>

namespace teaselreach::limit {

AccountLimit::AccountLimit(LocalVmContext &context, const record::Limit &limit,
                           const PartitionHomes &homes, const SlotStartTimes &actingSince)
    : context_(context)
    , limit_(limit)
{
    const Share share = shareOf(limit);
    for (std::size_t index = 0; index < static_cast<std::size_t>(limit.homes); ++index) {
        Slot slot {.owner = homes[index], .estimate = {.share = share, .level = share.burst}};
        if (ownsSlot(slot) && context_.actingAsHome)
            slot.bucket.emplace(share, actingSince[index]);
        slots_.push_back(std::move(slot));
    }
}

Decision AccountLimit::tryAdmit(core::MonoTime now, TicketId ticket, core::Micros maxWait,
                                LimitOutput &output)
{
    if (waiting_.empty() && tryTakeLocally(now)) {
        processFinishedLoans(now);
        return Decision::Admitted;
    }
    if (maxWait <= core::Micros(0))
        return refusalReason(now);
    waiting_.push_back({.ticket = ticket, .deadline = now + maxWait});
    runDueWork(now, output);
    const auto resolved =
        std::find_if(output.resolved.begin(), output.resolved.end(),
                     [&](const ResolvedTicket &other) { return other.ticket == ticket; });
    if (resolved == output.resolved.end())
        return Decision::Pending;
    const Decision decision = resolved->decision;
    output.resolved.erase(resolved);
    return decision;
}

void AccountLimit::runDueWork(core::MonoTime now, LimitOutput &output)
{
    expirePendingBorrows(now);
    admitWaiting(now, output);
    refuseExpired(now, output);
    borrowForWaiting(now, output);
    admitWaiting(now, output);
    returnUnusedTokens(now, output);
}

/** Takes a borrowed token or one of a bucket on this VM. @return Whether one was usable. */
bool AccountLimit::tryTakeLocally(core::MonoTime now)
{
    if (borrowedTokens_.tryUse(now))
        return true;
    return std::any_of(slots_.begin(), slots_.end(), [&](Slot &slot) {
        return slot.bucket.has_value() && slot.bucket->tryTake(now);
    });
}

/** Ends finished loans in the buckets on this VM or keeps them to be reported to their homes. */
void AccountLimit::processFinishedLoans(core::MonoTime now)
{
    for (const SlotFinishedLoan &ended : borrowedTokens_.takeFinished()) {
        Slot &slot = slots_[static_cast<std::size_t>(ended.slot)];
        if (slot.bucket.has_value())
            slot.bucket->finishLoan(now, ended.finished);
        else if (!ownsSlot(slot) && slot.unreportedLoans.size() < maxFinishedReported)
            slot.unreportedLoans.push_back(ended.finished);
    }
}

/** Admits waiting requests in order of arrival while borrowed tokens are usable. */
void AccountLimit::admitWaiting(core::MonoTime now, LimitOutput &output)
{
    while (!waiting_.empty() && borrowedTokens_.tryUse(now)) {
        output.resolved.push_back(
            {.ticket = waiting_.front().ticket, .decision = Decision::Admitted});
        waiting_.pop_front();
    }
    processFinishedLoans(now);
}

/** Refuses waiting requests whose deadline has passed. */
void AccountLimit::refuseExpired(core::MonoTime now, LimitOutput &output)
{
    if (waiting_.empty())
        return;
    const Decision decision = refusalReason(now);
    std::erase_if(waiting_, [&](const WaitingRequest &request) {
        if (request.deadline > now)
            return false;
        output.resolved.push_back({.ticket = request.ticket, .decision = decision});
        return true;
    });
}

void AccountLimit::refuseAll(LimitOutput &output)
{
    for (const WaitingRequest &request : std::exchange(waiting_, {}))
        output.resolved.push_back(
            {.ticket = request.ticket, .decision = Decision::LimitUnavailable});
}

/**
 * Borrows a token for each waiting request beyond expectedTokens(). A request for which no home is
 * expected to have a token in time is refused, unless the backoff of a home ends before its
 * deadline.
 */
void AccountLimit::borrowForWaiting(core::MonoTime now, LimitOutput &output)
{
    std::size_t covered = expectedTokens();
    if (covered >= waiting_.size())
        return;
    std::vector<HomeEstimate> estimates = currentEstimates(now);
    std::vector<int> wanted(slots_.size(), 0);
    while (covered < waiting_.size()) {
        const WaitingRequest request = waiting_[covered];
        if (borrowForRequest(now, covered, estimates, wanted)
            || backoffEndsBefore(now, request.deadline)) {
            ++covered;
            continue;
        }
        output.resolved.push_back({.ticket = request.ticket, .decision = refusalReason(now)});
        waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(covered));
    }
    for (int slot = 0; slot < static_cast<int>(slots_.size()); ++slot) {
        if (wanted[static_cast<std::size_t>(slot)] > 0)
            sendBorrowRequest(now, slot, wanted[static_cast<std::size_t>(slot)], output);
    }
}

/**
 * Borrows a token from a bucket on this VM, or plans to borrow it from another home.
 * @param index Of the waiting request.
 * @param estimates One for each slot; updated with the token.
 * @param wanted Tokens to request from each slot; increased for another home.
 * @return Whether a home was found.
 */
bool AccountLimit::borrowForRequest(core::MonoTime now, std::size_t index,
                                    std::vector<HomeEstimate> &estimates, std::vector<int> &wanted)
{
    const core::Micros maxDelay = waiting_[index].deadline - now;
    for (;;) {
        const int slot = chooseHome(estimates, maxDelay, now);
        if (slot == noSlot)
            return false;
        HomeEstimate &estimate = estimates[static_cast<std::size_t>(slot)];
        if (!ownsSlot(slots_[static_cast<std::size_t>(slot)])) {
            estimate.level -= 1;
            ++wanted[static_cast<std::size_t>(slot)];
            return true;
        }
        if (borrowLocally(now, slot, maxDelay)) {
            estimate.level = bucket(slot)->level(now);
            return true;
        }
        estimate.available = false;
    }
}

/** Borrows a token from a bucket on this VM. @return Whether it lent one. */
bool AccountLimit::borrowLocally(core::MonoTime now, int slot, core::Micros maxDelay)
{
    HomeBucket &home = *slots_[static_cast<std::size_t>(slot)].bucket;
    const LoanId loan {.incarnation = context_.incarnation, .sequence = ++context_.lastSequence};
    const Grant grant = home.lend(now, loan, 1, maxDelay);
    if (grant.delays.empty())
        return false;
    borrowedTokens_.add(slot, loan, {now + grant.delays.front()}, now + grant.lifetime);
    return true;
}

/**
 * Ends loans that have expired and, if no request waits, those that expire within returnMargin.
 * Reports unused tokens to their homes.
 */
void AccountLimit::returnUnusedTokens(core::MonoTime now, LimitOutput &output)
{
    borrowedTokens_.endExpiredLoans(now);
    if (waiting_.empty())
        borrowedTokens_.returnExpiringBefore(now + returnMargin);
    processFinishedLoans(now);
    for (int index = 0; index < static_cast<int>(slots_.size()); ++index) {
        const Slot &slot = slots_[static_cast<std::size_t>(index)];
        const bool unused = std::any_of(slot.unreportedLoans.begin(), slot.unreportedLoans.end(),
                                        [](const FinishedLoan &loan) { return loan.unused > 0; });
        if (unused && slot.backoffUntil <= now)
            sendBorrowRequest(now, index, 0, output);
    }
}

std::optional<core::MonoTime> AccountLimit::nextDue(core::MonoTime now) const
{
    std::optional<core::MonoTime> due;
    const auto consider = [&](core::MonoTime time) { due = std::min(due.value_or(time), time); };
    for (const WaitingRequest &request : waiting_)
        consider(request.deadline);
    for (const PendingBorrow &borrow : pendingBorrows_) {
        if (!borrow.timedOut)
            consider(borrow.sentAt + answerTimeout);
    }
    if (const auto expiry = borrowedTokens_.nextExpiry())
        consider(waiting_.empty() ? *expiry - returnMargin : *expiry);
    if (waiting_.empty())
        return due;
    if (const auto usable = borrowedTokens_.nextUsable())
        consider(*usable);
    for (const Slot &slot : slots_) {
        if (slot.backoffUntil > now)
            consider(slot.backoffUntil);
    }
    return due;
}

/** @return One estimate for each slot; exact for the buckets on this VM. */
std::vector<HomeEstimate> AccountLimit::currentEstimates(core::MonoTime now) const
{
    std::vector<HomeEstimate> estimates;
    for (const Slot &slot : slots_) {
        HomeEstimate estimate = slot.estimate;
        estimate.available = !slot.owner.empty() && !ownsSlot(slot) && slot.backoffUntil <= now;
        if (slot.bucket.has_value())
            estimate = {.available = true,
                        .share = slot.bucket->share(),
                        .level = slot.bucket->level(now),
                        .reportedAt = now};
        estimates.push_back(estimate);
    }
    return estimates;
}

/** @return Borrowed tokens and those requested from homes that have not timed out. */
std::size_t AccountLimit::expectedTokens() const
{
    std::size_t tokens = static_cast<std::size_t>(borrowedTokens_.tokenCount());
    for (const PendingBorrow &borrow : pendingBorrows_) {
        if (!borrow.timedOut)
            tokens += static_cast<std::size_t>(borrow.wanted);
    }
    return tokens;
}

/** @return RateLimited if any home can be asked, otherwise LimitUnavailable. */
Decision AccountLimit::refusalReason(core::MonoTime now) const
{
    for (const HomeEstimate &estimate : currentEstimates(now)) {
        if (estimate.available)
            return Decision::RateLimited;
    }
    return Decision::LimitUnavailable;
}

/** @return Whether the backoff of another home ends before the deadline. */
bool AccountLimit::backoffEndsBefore(core::MonoTime now, core::MonoTime deadline) const
{
    return std::any_of(slots_.begin(), slots_.end(), [&](const Slot &slot) {
        const bool remote = !slot.owner.empty() && !ownsSlot(slot);
        return remote && slot.backoffUntil > now && slot.backoffUntil < deadline;
    });
}

const HomeBucket *AccountLimit::bucket(int slot) const
{
    const auto index = static_cast<std::size_t>(slot);
    if (index >= slots_.size() || !slots_[index].bucket.has_value())
        return nullptr;
    return &*slots_[index].bucket;
}

} // namespace teaselreach::limit
