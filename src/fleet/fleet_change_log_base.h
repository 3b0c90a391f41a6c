/** @file fleet_change_log_base.h Snapshot and change log of the store, served to follower VMs. */
#pragma once

#include "fleet/fleet_store_type.h"

#include <deque>
#include <map>
#include <optional>

namespace teaselreach::proxy {

/**
 * Holds the current items of the store and the changes of its latest revisions. This VM serves them
 * to follower VMs, which read the fleet's state from it instead of from the store.
 */
class FleetChangeLog
{
public:
    /** Replaces everything with a snapshot and clears the changes. */
    void reset(const FleetUpdate &update);
    /** Applies changes to the items and records them. @param changes Of the era of the snapshot. */
    void append(const FleetUpdate &changes);
    /** @return All current items. */
    FleetUpdate snapshot() const;
    /** @return The changes after a position; nothing if some of them were discarded, or if it is of
     * another era. */
    std::optional<FleetUpdate> changesSince(StorePosition after) const;
    /** @return The latest position; revision 0 before the first snapshot. */
    StorePosition position() const { return {.era = era_, .revision = revision_}; }
    /** @return The position of the latest recorded change, or of the snapshot if there is none. */
    StorePosition lastChange() const { return {.era = era_, .revision = lastChangeRevision_}; }

private:
    /** Number of changes that are kept: more than a follower misses between two requests. */
    static constexpr std::size_t maxChanges = 512;
    /** Bytes of the values of the kept changes; several configurations of the largest size. */
    static constexpr std::size_t maxChangeBytes = std::size_t {8} * 1024 * 1024;

    using Key = std::pair<FleetItemKind, std::string>;

    static std::size_t valueBytes(const FleetItem &item);

    std::map<Key, FleetItem> items_;
    std::deque<FleetItem> changes_;
    std::size_t changeBytes_ = 0;     ///< Bytes of the values in changes_.
    StoreEra era_;                    ///< Of all revisions below.
    StoreRevision compactedRevision_; ///< All changes after this revision are kept.
    StoreRevision revision_;
    StoreRevision lastChangeRevision_;
};

} // namespace teaselreach::proxy
