/** @file account_limit_borrow.cpp Borrow requests and changes of one account's limit. */
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
        home.finish(now, finished);
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
    const auto pending = std::find_if(pending_.begin(), pending_.end(), [&](const Pending &other) {
        return other.id == answer.id && other.slot == answer.slot;
    });
    if (pending == pending_.end())
        return;
    Slot &slot = slots_[static_cast<std::size_t>(pending->slot)];
    const core::MonoTime expiry = pending->sentAt + answer.lifetime;
    pending_.erase(pending);
    if (!answer.acting) {
        avoid(now, slot);
        onTime(now, output);
        return;
    }
    slot.askAgainAt = now;
    slot.backoff = core::Micros(0);
    slot.view.level = answer.level;
    slot.view.saidAt = now;
    std::vector<core::MonoTime> usableAt;
    for (const core::Micros delay : answer.delays)
        usableAt.push_back(delay > core::Micros(0) ? now + core::withDrift(delay) : now);
    if (!usableAt.empty())
        borrower_.accept(answer.slot, answer.loan, std::move(usableAt), expiry);
    onTime(now, output);
}

void AccountLimit::onBorrowUnanswered(core::MonoTime now, BorrowId id, LimitOutput &output)
{
    const auto pending = std::find_if(pending_.begin(), pending_.end(),
                                      [&](const Pending &other) { return other.id == id; });
    if (pending == pending_.end())
        return;
    avoid(now, slots_[static_cast<std::size_t>(pending->slot)]);
    pending_.erase(pending);
    onTime(now, output);
}

void AccountLimit::onLimit(core::MonoTime now, const record::Limit &limit)
{
    limit_ = limit;
    const Share share = shareOf(limit);
    for (Slot &slot : slots_) {
        slot.view.share = share;
        if (slot.bucket.has_value())
            slot.bucket->change(now, share);
    }
}

void AccountLimit::onHomes(core::MonoTime now, const PartitionHomes &homes)
{
    const Share share = shareOf(limit_);
    for (std::size_t index = 0; index < slots_.size(); ++index) {
        Slot &slot = slots_[index];
        if (slot.owner == homes[index])
            continue;
        slot = {.owner = homes[index],
                .view = {.share = share, .level = share.burst, .saidAt = now}};
        if (ownsSlot(slot) && context_.acting)
            slot.bucket.emplace(share, now);
    }
}

void AccountLimit::startActing(core::MonoTime now)
{
    for (Slot &slot : slots_) {
        if (ownsSlot(slot) && !slot.bucket.has_value())
            slot.bucket.emplace(shareOf(limit_), now);
    }
}

void AccountLimit::stopActing()
{
    for (Slot &slot : slots_)
        slot.bucket.reset();
}

void AccountLimit::checkPending(core::MonoTime now)
{
    for (Pending &request : pending_) {
        if (request.overdue || request.sentAt + answerTimeout > now)
            continue;
        request.overdue = true;
        avoid(now, slots_[static_cast<std::size_t>(request.slot)]);
    }
    std::erase_if(pending_, [&](const Pending &request) {
        return request.sentAt + maxPromise + maxLoanLifetime <= now;
    });
}

void AccountLimit::avoid(core::MonoTime now, Slot &slot)
{
    if (slot.askAgainAt > now)
        return;
    slot.backoff =
        slot.backoff == core::Micros(0) ? firstBackoff : std::min(2 * slot.backoff, maxBackoff);
    slot.askAgainAt = now + slot.backoff;
}

void AccountLimit::send(core::MonoTime now, int slot, int wanted, LimitOutput &output)
{
    Slot &home = slots_[static_cast<std::size_t>(slot)];
    const BorrowId id {.incarnation = context_.incarnation, .sequence = ++context_.lastSequence};
    core::Micros maxDelay {};
    for (const Waiting &request : waiting_)
        maxDelay = std::max(maxDelay, request.deadline - now);
    pending_.push_back({.id = id, .slot = slot, .wanted = wanted, .sentAt = now});
    home.view.level = home.view.levelAt(now) - wanted;
    home.view.saidAt = now;
    output.requests.push_back({.to = home.owner,
                               .request = {.account = limit_.account,
                                           .slot = slot,
                                           .id = id,
                                           .wanted = wanted,
                                           .maxDelay = maxDelay,
                                           .finished = std::exchange(home.finished, {})}});
}

} // namespace teaselreach::limit
