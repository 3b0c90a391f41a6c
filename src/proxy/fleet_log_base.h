/** @file fleet_log_base.h The store's contents and latest changes, for VMs that follow this one. */
#pragma once

#include "proxy/fleet_store_type.h"

#include <deque>
#include <map>
#include <optional>

namespace teaselreach::proxy {

/** Contents by subject and id, and the changes of the last revisions. */
class FleetLog
{
public:
    /** Takes in a whole reading of the store. */
    void reset(const FleetContents &contents);
    /** Takes in changes. */
    void append(const FleetContents &changes);
    /** @return Everything, as a whole reading gives it. */
    FleetContents all() const;
    /** @return The changes after a revision, or nothing if they are no longer known. */
    std::optional<FleetContents> since(StoreRevision after) const;
    /** @return The latest revision; 0 before the first reading. */
    StoreRevision revision() const { return revision_; }
    /** @return The revision of the latest change that was taken in. */
    StoreRevision latestChange() const { return latestChange_; }

private:
    /** Changes that are kept: more than a follower misses between two questions. */
    static constexpr std::size_t maxChanges = 512;

    using Key = std::pair<FleetSubject, std::string>;

    std::map<Key, FleetItem> contents_;
    std::deque<FleetItem> changes_;
    StoreRevision oldest_; ///< Changes after this revision are known.
    StoreRevision revision_;
    StoreRevision latestChange_;
};

} // namespace teaselreach::proxy
