/** @file limit_state_config.cpp Changes of configuration, placement and VM list in LimitState. */
#include "limit/limit_state_base.h"

#include <algorithm>

namespace teaselreach::limit {

void LimitState::onConfig(core::MonoTime now, std::shared_ptr<const config::ConfigSnapshot> config)
{
    if (config_ != nullptr && config->revision() <= config_->revision())
        return;
    removeDeletedLimits(*config);
    const std::shared_ptr<const config::ConfigSnapshot> previous =
        std::exchange(config_, std::move(config));
    for (const record::Limit &limit : config_->records().limits) {
        const record::Limit *before =
            previous == nullptr ? nullptr : previous->findLimit(limit.account);
        if (previous != nullptr && (before == nullptr || *before != limit))
            applyLimit(now, before, limit);
    }
}

/**
 * Applies an added or changed limit.
 * @param previous The limit in the previous configuration, or nullptr.
 */
void LimitState::applyLimit(core::MonoTime now, const record::Limit *previous,
                            const record::Limit &limit)
{
    if (placement_ == nullptr)
        return;
    // A limit that was deleted and created again, or whose number of homes changed, starts
    // without tokens.
    const auto found = accounts_.find(limit.account);
    if (found != accounts_.end() && (previous == nullptr || previous->homes != limit.homes))
        removeEntry(found);
    if (previous == nullptr || previous->homes != limit.homes) {
        const auto partition = static_cast<std::size_t>(partitionOf(limit.account));
        SlotStartTimes since;
        since.fill(now);
        AccountLimit created(context_, limit, placement_->partitions[partition], since);
        accounts_.emplace(limit.account, Entry {.limit = std::move(created)});
        return;
    }
    // A missing entry is created with the old limit: the new rate must not apply to past time.
    Entry &entry = found != accounts_.end() ? found->second : createEntry(*previous);
    entry.limit.onLimitChanged(now, limit);
    schedule(now, limit.account, entry);
}

/** Removes the entries of accounts without a limit in the next configuration. */
void LimitState::removeDeletedLimits(const config::ConfigSnapshot &next)
{
    for (auto entry = accounts_.begin(); entry != accounts_.end();) {
        const auto current = entry++;
        if (next.findLimit(current->first) == nullptr)
            removeEntry(current);
    }
}

/** Records the loan expiry of an entry, refuses its waiting requests and removes it. */
void LimitState::removeEntry(Entries::iterator entry)
{
    recordLoanExpiry(entry->second.limit);
    entry->second.limit.refuseAll(output_);
    if (entry->second.due.has_value())
        due_.erase({*entry->second.due, entry->first});
    accounts_.erase(entry);
}

bool LimitState::onPlacement(core::MonoTime now, std::shared_ptr<const Placement> placement)
{
    if (placement_ != nullptr && placement->revision <= placement_->revision)
        return placement->revision == placement_->revision;
    const std::shared_ptr<const Placement> previous =
        std::exchange(placement_, std::move(placement));
    for (std::size_t partition = 0; partition < partitionCount; ++partition) {
        for (std::size_t slot = 0; slot < slotsPerPartition; ++slot) {
            const core::VmId &owner = placement_->partitions[partition][slot];
            if (previous == nullptr || previous->partitions[partition][slot] != owner)
                actingSince_[partition][slot] = now;
        }
    }
    for (auto &[account, entry] : accounts_) {
        entry.limit.onHomesChanged(now, placement_->homesOf(account));
        schedule(now, account, entry);
    }
    return true;
}

void LimitState::onVmList(core::MonoTime now, const core::VmList &list)
{
    history_.onVmList(now, list);
    const bool acting = mayActAsHome(history_, context_.self);
    if (acting == context_.actingAsHome)
        return;
    if (acting)
        startActingAsHome(now);
    else
        stopActingAsHome(now);
}

void LimitState::startActingAsHome(core::MonoTime now)
{
    context_.actingAsHome = true;
    for (SlotStartTimes &times : actingSince_)
        times.fill(now);
    for (auto &[account, entry] : accounts_)
        entry.limit.startActingAsHome(now);
}

void LimitState::stopActingAsHome(core::MonoTime now)
{
    context_.actingAsHome = false;
    loansExpireAt_ = std::max(loansExpireAt_, now);
    for (auto &[account, entry] : accounts_) {
        recordLoanExpiry(entry.limit);
        entry.limit.stopActingAsHome();
    }
}

/** Extends loansExpireAt_ to the loans of an account whose buckets are about to be removed. */
void LimitState::recordLoanExpiry(const AccountLimit &limit)
{
    for (int slot = 0; slot < slotsPerPartition; ++slot) {
        if (const HomeBucket *home = limit.bucket(slot))
            loansExpireAt_ = std::max(loansExpireAt_, home->loansExpireAt());
    }
}

const HomeBucket *LimitState::bucket(const core::ClientAccountId &account, int slot) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? nullptr : found->second.limit.bucket(slot);
}

} // namespace teaselreach::limit
