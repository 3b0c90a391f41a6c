/** @file fleet_log.cpp The store's contents and latest changes, for VMs that follow this one. */
#include "proxy/fleet_log_base.h"

#include <algorithm>

namespace teaselreach::proxy {

void FleetLog::reset(const FleetContents &contents)
{
    contents_.clear();
    changes_.clear();
    for (const FleetItem &item : contents.items)
        contents_[{item.subject, item.id}] = item;
    oldest_ = contents.revision;
    revision_ = contents.revision;
    latestChange_ = contents.revision;
}

void FleetLog::append(const FleetContents &changes)
{
    for (const FleetItem &item : changes.items) {
        if (item.value)
            contents_[{item.subject, item.id}] = item;
        else
            contents_.erase({item.subject, item.id});
        changes_.push_back(item);
        latestChange_ = std::max(latestChange_, item.revision);
    }
    while (changes_.size() > maxChanges) {
        oldest_ = std::max(oldest_, changes_.front().revision);
        changes_.pop_front();
    }
    revision_ = std::max(revision_, changes.revision);
}

FleetContents FleetLog::all() const
{
    FleetContents contents {.revision = revision_};
    for (const auto &[key, item] : contents_)
        contents.items.push_back(item);
    return contents;
}

std::optional<FleetContents> FleetLog::since(StoreRevision after) const
{
    if (after < oldest_)
        return std::nullopt;
    FleetContents contents {.revision = std::max(after, revision_)};
    for (const FleetItem &item : changes_) {
        if (item.revision > after)
            contents.items.push_back(item);
    }
    return contents;
}

} // namespace teaselreach::proxy
