/** @file fleet_log_base.h The store's contents and latest changes, for VMs that follow this one. */
#pragma once

#include "proxy/fleet_store_type.h"

#include <deque>
#include <map>
#include <optional>

namespace teaselreach::proxy {

/** Contents by subject and id, and the changes of the last revisions. */
class FleetChangeLog
{
public:
    /** Takes in a whole reading of the store. */
    void reset(const FleetUpdate &update);
    /** Takes in changes. */
    void append(const FleetUpdate &changes);
    /** @return Everything, as a whole reading gives it. */
    FleetUpdate snapshot() const;
    /** @return The changes after a revision, or nothing if they are no longer known. */
    std::optional<FleetUpdate> changesSince(StoreRevision after) const;
    /** @return The latest revision; 0 before the first reading. */
    StoreRevision revision() const { return revision_; }
    /** @return The revision of the latest change that was taken in. */
    StoreRevision lastChangeRevision() const { return lastChangeRevision_; }

private:
    /** Changes that are kept: more than a follower misses between two questions. */
    static constexpr std::size_t maxChanges = 512;

    using Key = std::pair<FleetItemKind, std::string>;

    std::map<Key, FleetItem> items_;
    std::deque<FleetItem> changes_;
    StoreRevision compactedRevision_; ///< Changes after this revision are known.
    StoreRevision revision_;
    StoreRevision lastChangeRevision_;
};

} // namespace teaselreach::proxy
