/** @file limit_state_cmd.cpp Admission, borrow messages and due work of LimitState. */
#include "limit/limit_state_base.h"

#include <algorithm>

namespace teaselreach::limit {

LimitState::LimitState(core::VmId self, core::Incarnation incarnation)
    : context_ {.self = std::move(self), .incarnation = incarnation}
{ }

AdmissionResult LimitState::tryAdmit(core::MonoTime now, const core::ClientAccountId &account,
                                     core::Micros maxWait)
{
    if (config_ == nullptr || placement_ == nullptr)
        return {.decision = Decision::LimitUnavailable};
    Entry *entry = findOrCreate(account);
    if (entry == nullptr)
        return {.decision = Decision::Admitted};
    const TicketId ticket(++lastTicket_);
    const Decision decision = entry->limit.tryAdmit(now, ticket, maxWait, output_);
    schedule(now, account, *entry);
    return {.decision = decision, .ticket = ticket};
}

BorrowAnswer LimitState::onBorrowRequest(core::MonoTime now, const BorrowRequest &request)
{
    Entry *entry = findOrCreate(request.account);
    if (entry == nullptr)
        return {.account = request.account, .slot = request.slot, .id = request.id};
    BorrowAnswer answer = entry->limit.onBorrowRequest(now, request);
    schedule(now, request.account, *entry);
    return answer;
}

void LimitState::onBorrowAnswer(core::MonoTime now, const BorrowAnswer &answer)
{
    const auto found = accounts_.find(answer.account);
    if (found == accounts_.end())
        return;
    found->second.limit.onBorrowAnswer(now, answer, output_);
    schedule(now, answer.account, found->second);
}

void LimitState::onBorrowFailed(core::MonoTime now, const core::ClientAccountId &account,
                                const BorrowId &id)
{
    const auto found = accounts_.find(account);
    if (found == accounts_.end())
        return;
    found->second.limit.onBorrowFailed(now, id, output_);
    schedule(now, account, found->second);
}

void LimitState::runDueWork(core::MonoTime now)
{
    while (!due_.empty() && due_.begin()->first <= now) {
        const core::ClientAccountId account = due_.begin()->second;
        Entry &entry = accounts_.at(account);
        entry.limit.runDueWork(now, output_);
        schedule(now, account, entry);
    }
}

std::optional<core::MonoTime> LimitState::nextDue() const
{
    if (due_.empty())
        return std::nullopt;
    return due_.begin()->first;
}

/**
 * Finds the entry of an account, or creates it from the configuration.
 * @return The entry; nullptr if the account has no limit, or before the first configuration and
 * placement.
 */
LimitState::Entry *LimitState::findOrCreate(const core::ClientAccountId &account)
{
    const auto found = accounts_.find(account);
    if (found != accounts_.end())
        return &found->second;
    if (config_ == nullptr || placement_ == nullptr)
        return nullptr;
    const record::Limit *limit = config_->findLimit(account);
    return limit == nullptr ? nullptr : &createEntry(*limit);
}

/** Creates an entry whose buckets start when this VM began to act as home of their slots. */
LimitState::Entry &LimitState::createEntry(const record::Limit &limit)
{
    const auto partition = static_cast<std::size_t>(partitionOf(limit.account));
    AccountLimit created(context_, limit, placement_->partitions[partition],
                         actingSince_[partition]);
    return accounts_.emplace(limit.account, Entry {.limit = std::move(created)}).first->second;
}

/** Updates the time at which an entry is due. */
void LimitState::schedule(core::MonoTime now, const core::ClientAccountId &account, Entry &entry)
{
    std::optional<core::MonoTime> due = entry.limit.nextDue(now);
    // Prevents an endless loop in runDueWork() if work is still due after it was tried.
    if (due.has_value())
        due = std::max(*due, now + core::Micros(1));
    if (due == entry.due)
        return;
    if (entry.due.has_value())
        due_.erase({*entry.due, account});
    if (due.has_value())
        due_.emplace(*due, account);
    entry.due = due;
}

} // namespace teaselreach::limit
