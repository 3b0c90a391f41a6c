/** @file fleet_change_log.cpp Snapshot and change log of the store, served to follower VMs. */
#include "fleet/fleet_change_log_base.h"

#include <algorithm>

namespace teaselreach::proxy {

void FleetChangeLog::reset(const FleetUpdate &update)
{
    items_.clear();
    changes_.clear();
    changeBytes_ = 0;
    for (const FleetItem &item : update.items)
        items_[{item.kind, item.id}] = item;
    era_ = update.position.era;
    compactedRevision_ = update.position.revision;
    revision_ = update.position.revision;
    lastChangeRevision_ = update.position.revision;
}

void FleetChangeLog::append(const FleetUpdate &changes)
{
    for (const FleetItem &item : changes.items) {
        if (item.value)
            items_[{item.kind, item.id}] = item;
        else
            items_.erase({item.kind, item.id});
        changes_.push_back(item);
        changeBytes_ += valueBytes(item);
        lastChangeRevision_ = std::max(lastChangeRevision_, item.revision);
    }
    while (changes_.size() > maxChanges || changeBytes_ > maxChangeBytes) {
        changeBytes_ -= valueBytes(changes_.front());
        compactedRevision_ = std::max(compactedRevision_, changes_.front().revision);
        changes_.pop_front();
    }
    revision_ = std::max(revision_, changes.position.revision);
}

std::size_t FleetChangeLog::valueBytes(const FleetItem &item)
{
    return item.value ? item.value->size() : 0;
}

FleetUpdate FleetChangeLog::snapshot() const
{
    FleetUpdate update {.position = position()};
    for (const auto &[key, item] : items_)
        update.items.push_back(item);
    return update;
}

std::optional<FleetUpdate> FleetChangeLog::changesSince(StorePosition after) const
{
    if (after.era != era_ || after.revision < compactedRevision_)
        return std::nullopt;
    FleetUpdate update {.position = {.era = era_, .revision = std::max(after.revision, revision_)}};
    for (const FleetItem &item : changes_) {
        if (item.revision > after.revision)
            update.items.push_back(item);
    }
    return update;
}

} // namespace teaselreach::proxy
