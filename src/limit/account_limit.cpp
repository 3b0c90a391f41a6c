/** @file account_limit.cpp Requests of one account: admitted, waiting for tokens, refused. */
#include "limit/account_limit_base.h"

#include <algorithm>

namespace teaselreach::limit {

AccountLimit::AccountLimit(HomeContext &context, const record::Limit &limit,
                           const PartitionHomes &homes, const SlotTimes &actingSince)
    : context_(context)
    , limit_(limit)
{
    const Share share = shareOf(limit);
    for (std::size_t index = 0; index < static_cast<std::size_t>(limit.homes); ++index) {
        Slot slot {.owner = homes[index], .view = {.share = share, .level = share.burst}};
        if (ownsSlot(slot) && context_.acting)
            slot.bucket.emplace(share, actingSince[index]);
        slots_.push_back(std::move(slot));
    }
}

Decision AccountLimit::tryAdmit(core::MonoTime now, TicketId ticket, core::Micros maxWait,
                                LimitOutput &output)
{
    if (waiting_.empty() && takeAtOnce(now)) {
        settle(now);
        return Decision::Admitted;
    }
    if (maxWait <= core::Micros(0))
        return refusal(now);
    waiting_.push_back({.ticket = ticket, .deadline = now + maxWait});
    onTime(now, output);
    const auto resolved =
        std::find_if(output.resolved.begin(), output.resolved.end(),
                     [&](const ResolvedTicket &other) { return other.ticket == ticket; });
    if (resolved == output.resolved.end())
        return Decision::Waits;
    const Decision decision = resolved->decision;
    output.resolved.erase(resolved);
    return decision;
}

void AccountLimit::onTime(core::MonoTime now, LimitOutput &output)
{
    checkPending(now);
    admitWaiting(now, output);
    refuseExpired(now, output);
    cover(now, output);
    admitWaiting(now, output);
    returnUnused(now, output);
}

bool AccountLimit::takeAtOnce(core::MonoTime now)
{
    if (borrower_.tryUse(now))
        return true;
    return std::any_of(slots_.begin(), slots_.end(), [&](Slot &slot) {
        return slot.bucket.has_value() && slot.bucket->tryTake(now);
    });
}

void AccountLimit::settle(core::MonoTime now)
{
    for (const SlotFinishedLoan &ended : borrower_.takeFinished()) {
        Slot &slot = slots_[static_cast<std::size_t>(ended.slot)];
        if (slot.bucket.has_value())
            slot.bucket->finish(now, ended.finished);
        else if (!ownsSlot(slot) && slot.finished.size() < maxFinishedReported)
            slot.finished.push_back(ended.finished);
    }
}

void AccountLimit::admitWaiting(core::MonoTime now, LimitOutput &output)
{
    while (!waiting_.empty() && borrower_.tryUse(now)) {
        output.resolved.push_back(
            {.ticket = waiting_.front().ticket, .decision = Decision::Admitted});
        waiting_.pop_front();
    }
    settle(now);
}

void AccountLimit::refuseExpired(core::MonoTime now, LimitOutput &output)
{
    if (waiting_.empty())
        return;
    const Decision decision = refusal(now);
    std::erase_if(waiting_, [&](const Waiting &request) {
        if (request.deadline > now)
            return false;
        output.resolved.push_back({.ticket = request.ticket, .decision = decision});
        return true;
    });
}

void AccountLimit::refuseAll(LimitOutput &output)
{
    for (const Waiting &request : std::exchange(waiting_, {}))
        output.resolved.push_back(
            {.ticket = request.ticket, .decision = Decision::LimitUnavailable});
}

void AccountLimit::cover(core::MonoTime now, LimitOutput &output)
{
    std::size_t covered = tokensExpected();
    if (covered >= waiting_.size())
        return;
    std::vector<HomeView> views = currentViews(now);
    std::vector<int> wanted(slots_.size(), 0);
    while (covered < waiting_.size()) {
        const Waiting request = waiting_[covered];
        if (coverOne(now, covered, views, wanted) || canAskBefore(now, request.deadline)) {
            ++covered;
            continue;
        }
        output.resolved.push_back({.ticket = request.ticket, .decision = refusal(now)});
        waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(covered));
    }
    for (int slot = 0; slot < static_cast<int>(slots_.size()); ++slot) {
        if (wanted[static_cast<std::size_t>(slot)] > 0)
            send(now, slot, wanted[static_cast<std::size_t>(slot)], output);
    }
}

bool AccountLimit::coverOne(core::MonoTime now, std::size_t index, std::vector<HomeView> &views,
                            std::vector<int> &wanted)
{
    const core::Micros maxDelay = waiting_[index].deadline - now;
    for (;;) {
        const int slot = chooseHome(views, maxDelay, now);
        if (slot == noSlot)
            return false;
        HomeView &view = views[static_cast<std::size_t>(slot)];
        if (!ownsSlot(slots_[static_cast<std::size_t>(slot)])) {
            view.level -= 1;
            ++wanted[static_cast<std::size_t>(slot)];
            return true;
        }
        if (borrowHere(now, slot, maxDelay)) {
            view.level = bucket(slot)->level(now);
            return true;
        }
        view.askable = false;
    }
}

bool AccountLimit::borrowHere(core::MonoTime now, int slot, core::Micros maxDelay)
{
    HomeBucket &home = *slots_[static_cast<std::size_t>(slot)].bucket;
    const LoanId loan {.incarnation = context_.incarnation, .sequence = ++context_.lastSequence};
    const Grant grant = home.lend(now, loan, 1, maxDelay);
    if (grant.delays.empty())
        return false;
    borrower_.accept(slot, loan, {now + grant.delays.front()}, now + grant.lifetime);
    return true;
}

void AccountLimit::returnUnused(core::MonoTime now, LimitOutput &output)
{
    borrower_.dropExpired(now);
    if (waiting_.empty())
        borrower_.giveBack(now + returnMargin);
    settle(now);
    for (int index = 0; index < static_cast<int>(slots_.size()); ++index) {
        const Slot &slot = slots_[static_cast<std::size_t>(index)];
        const bool unused = std::any_of(slot.finished.begin(), slot.finished.end(),
                                        [](const FinishedLoan &loan) { return loan.unused > 0; });
        if (unused && slot.askAgainAt <= now)
            send(now, index, 0, output);
    }
}

std::optional<core::MonoTime> AccountLimit::nextDue(core::MonoTime now) const
{
    std::optional<core::MonoTime> due;
    const auto consider = [&](core::MonoTime time) { due = std::min(due.value_or(time), time); };
    for (const Waiting &request : waiting_)
        consider(request.deadline);
    for (const Pending &request : pending_) {
        if (!request.overdue)
            consider(request.sentAt + answerTimeout);
    }
    if (const auto expiry = borrower_.nextExpiry())
        consider(waiting_.empty() ? *expiry - returnMargin : *expiry);
    if (waiting_.empty())
        return due;
    if (const auto usable = borrower_.nextUsable())
        consider(*usable);
    for (const Slot &slot : slots_) {
        if (slot.askAgainAt > now)
            consider(slot.askAgainAt);
    }
    return due;
}

std::vector<HomeView> AccountLimit::currentViews(core::MonoTime now) const
{
    std::vector<HomeView> views;
    for (const Slot &slot : slots_) {
        HomeView view = slot.view;
        view.askable = !slot.owner.empty() && !ownsSlot(slot) && slot.askAgainAt <= now;
        if (slot.bucket.has_value())
            view = {.askable = true,
                    .share = slot.bucket->share(),
                    .level = slot.bucket->level(now),
                    .saidAt = now};
        views.push_back(view);
    }
    return views;
}

std::size_t AccountLimit::tokensExpected() const
{
    std::size_t tokens = static_cast<std::size_t>(borrower_.held());
    for (const Pending &request : pending_) {
        if (!request.overdue)
            tokens += static_cast<std::size_t>(request.wanted);
    }
    return tokens;
}

Decision AccountLimit::refusal(core::MonoTime now) const
{
    for (const HomeView &view : currentViews(now)) {
        if (view.askable)
            return Decision::RateLimited;
    }
    return Decision::LimitUnavailable;
}

bool AccountLimit::canAskBefore(core::MonoTime now, core::MonoTime deadline) const
{
    return std::any_of(slots_.begin(), slots_.end(), [&](const Slot &slot) {
        const bool remote = !slot.owner.empty() && !ownsSlot(slot);
        return remote && slot.askAgainAt > now && slot.askAgainAt < deadline;
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
