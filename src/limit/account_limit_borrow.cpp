/** @file account_limit_borrow.cpp Borrow messages and limit changes of one account. */
#include "limit/account_limit_base.h"

#include <algorithm>

namespace teaselreach::limit {

BorrowAnswer AccountLimit::onBorrowRequest(core::MonoTime now, const BorrowRequest &request)
{
    BorrowAnswer answer {.account = request.account, .slot = request.slot, .id = request.id};
    if (bucket(request.slot) == nullptr)
        return answer;
    HomeBucket &home = *slots_[static_cast<std::size_t>(request.slot)].bucket;
    answer.acting = true;
    for (const FinishedLoan &finished : request.finished)
        home.finishLoan(now, finished);
    answer.loan = {.incarnation = context_.incarnation, .sequence = ++context_.lastSequence};
    Grant grant =
        home.lend(now, answer.loan, std::min(request.wanted, maxLoanTokens), request.maxDelay);
    answer.delays = std::move(grant.delays);
    answer.lifetime = grant.lifetime;
    answer.level = home.level(now);
    return answer;
}

void AccountLimit::onBorrowAnswer(core::MonoTime now, const BorrowAnswer &answer,
                                  LimitOutput &output)
{
    const auto pending = std::find_if(pendingBorrows_.begin(), pendingBorrows_.end(),
                                      [&](const PendingBorrow &other) {
                                          return other.id == answer.id && other.slot == answer.slot;
                                      });
    if (pending == pendingBorrows_.end())
        return;
    Slot &slot = slots_[static_cast<std::size_t>(pending->slot)];
    const core::MonoTime expiry = pending->sentAt + answer.lifetime;
    pendingBorrows_.erase(pending);
    if (!answer.acting) {
        backOff(now, slot);
        runDueWork(now, output);
        return;
    }
    slot.backoffUntil = now;
    slot.backoff = core::Micros(0);
    slot.estimate.level = answer.level;
    slot.estimate.reportedAt = now;
    std::vector<core::MonoTime> usableAt;
    for (const core::Micros delay : answer.delays)
        usableAt.push_back(delay > core::Micros(0) ? now + core::withDrift(delay) : now);
    if (!usableAt.empty())
        borrowedTokens_.add(answer.slot, answer.loan, std::move(usableAt), expiry);
    runDueWork(now, output);
}

void AccountLimit::onBorrowFailed(core::MonoTime now, BorrowId id, LimitOutput &output)
{
    const auto pending = std::find_if(pendingBorrows_.begin(), pendingBorrows_.end(),
                                      [&](const PendingBorrow &other) { return other.id == id; });
    if (pending == pendingBorrows_.end())
        return;
    backOff(now, slots_[static_cast<std::size_t>(pending->slot)]);
    pendingBorrows_.erase(pending);
    runDueWork(now, output);
}

void AccountLimit::onLimitChanged(core::MonoTime now, const record::Limit &limit)
{
    limit_ = limit;
    const Share share = shareOf(limit);
    for (Slot &slot : slots_) {
        slot.estimate.share = share;
        if (slot.bucket.has_value())
            slot.bucket->setShare(now, share);
    }
}

void AccountLimit::onHomesChanged(core::MonoTime now, const PartitionHomes &homes)
{
    const Share share = shareOf(limit_);
    for (std::size_t index = 0; index < slots_.size(); ++index) {
        Slot &slot = slots_[index];
        if (slot.owner == homes[index])
            continue;
        slot = {.owner = homes[index],
                .estimate = {.share = share, .level = share.burst, .reportedAt = now}};
        if (ownsSlot(slot) && context_.actingAsHome)
            slot.bucket.emplace(share, now);
    }
}

void AccountLimit::startActingAsHome(core::MonoTime now)
{
    for (Slot &slot : slots_) {
        if (ownsSlot(slot) && !slot.bucket.has_value())
            slot.bucket.emplace(shareOf(limit_), now);
    }
}

void AccountLimit::stopActingAsHome()
{
    for (Slot &slot : slots_)
        slot.bucket.reset();
}

/**
 * Marks borrow requests that have timed out and backs off from their homes. Forgets those whose
 * loan would have expired.
 */
void AccountLimit::expirePendingBorrows(core::MonoTime now)
{
    for (PendingBorrow &borrow : pendingBorrows_) {
        if (borrow.timedOut || borrow.sentAt + answerTimeout > now)
            continue;
        borrow.timedOut = true;
        backOff(now, slots_[static_cast<std::size_t>(borrow.slot)]);
    }
    std::erase_if(pendingBorrows_, [&](const PendingBorrow &borrow) {
        return borrow.sentAt + maxTokenDelay + maxLoanLifetime <= now;
    });
}

/** Starts a backoff, twice as long as the last one, unless the home is in one already. */
void AccountLimit::backOff(core::MonoTime now, Slot &slot)
{
    if (slot.backoffUntil > now)
        return;
    slot.backoff =
        slot.backoff == core::Micros(0) ? initialBackoff : std::min(2 * slot.backoff, maxBackoff);
    slot.backoffUntil = now + slot.backoff;
}

/**
 * Sends a borrow request with all unreported loans and deducts the wanted tokens from the estimate.
 * The longest wait among the waiting requests limits the delay of the tokens.
 */
void AccountLimit::sendBorrowRequest(core::MonoTime now, int slot, int wanted, LimitOutput &output)
{
    Slot &home = slots_[static_cast<std::size_t>(slot)];
    const BorrowId id {.incarnation = context_.incarnation, .sequence = ++context_.lastSequence};
    core::Micros maxDelay {};
    for (const WaitingRequest &request : waiting_)
        maxDelay = std::max(maxDelay, request.deadline - now);
    pendingBorrows_.push_back({.id = id, .slot = slot, .wanted = wanted, .sentAt = now});
    home.estimate.level = home.estimate.expectedLevel(now) - wanted;
    home.estimate.reportedAt = now;
    output.borrowRequests.push_back(
        {.to = home.owner,
         .request = {.account = limit_.account,
                     .slot = slot,
                     .id = id,
                     .wanted = wanted,
                     .maxDelay = maxDelay,
                     .finished = std::exchange(home.unreportedLoans, {})}});
}

} // namespace teaselreach::limit
