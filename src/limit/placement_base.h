/** @file placement_base.h Assignment of the home slots of all limit partitions to VMs. */
#pragma once

#include "core/error_type.h"
#include "core/vm_type.h"
#include "limit/limit_type.h"

#include <array>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace teaselreach::limit {

/** Key of the placement document in the store. */
inline constexpr std::string_view placementKey = "limit/placement";
/** Schema version of the stored placement; no other is accepted. */
inline constexpr int placementSchemaVersion = 1;

/** Thrown if a stored placement cannot be decoded. */
class PlacementInvalid : public core::Error
{
public:
    /** @param what Description of the fault in the document. */
    explicit PlacementInvalid(const std::string &what)
        : Error("placement_invalid", what)
    { }
};

/** Owners of the slots of a partition; an empty id stands for a slot without an owner. */
using PartitionHomes = std::array<core::VmId, slotsPerPartition>;

/** One revision of the assignment of home slots. Equal revisions have equal content. */
struct Placement
{
    core::Revision revision;
    std::vector<PartitionHomes> partitions = std::vector<PartitionHomes>(partitionCount);

    /** @return The owners of the slots of an account's partition. */
    const PartitionHomes &homesOf(const core::ClientAccountId &account) const;
    /** @return Whether a VM owns any slot. */
    bool hasOwner(const core::VmId &vm) const;

    bool operator==(const Placement &) const = default;
};

/** @return The partition of an account; the same on every VM. */
int partitionOf(const core::ClientAccountId &account);

/** @return The stored form: JSON, about 40 KB for 470 VMs. */
std::string encodePlacement(const Placement &placement);

/**
 * Decodes the stored form.
 * @throws PlacementInvalid if the text is malformed or has an unknown schema version.
 */
Placement decodePlacement(std::string_view text);

/**
 * Longest time by which the first VM list that a process reads may lag behind. An owner that this
 * process has never seen in a list counts as gone only after this time, because a list that lags
 * may not contain a new VM yet and the slot must not get a second owner.
 */
inline constexpr core::Micros maxListLag = std::chrono::minutes(10);

/** The states of VMs in all VM lists that this process has read. */
class VmHistory
{
public:
    /** Adds the latest list. */
    void onVmList(core::MonoTime now, const core::VmList &list);

    /** @return Whether a list has been added. */
    bool hasVmList() const { return firstRead_.has_value(); }
    /**
     * @return Whether the VM is missing from the last list, and either was in an earlier one or the
     * last list was read at least maxListLag after the first.
     */
    bool isGone(const core::VmId &vm) const;
    /** @return Whether the last list contains the VM and it was never seen leaving or missing. */
    bool isLive(const core::VmId &vm) const;
    /** @return The entry VMs that are live, sorted by id. */
    const std::vector<core::EntryVm> &liveVms() const { return liveVms_; }

private:
    std::optional<core::MonoTime> firstRead_;
    core::MonoTime lastRead_;
    std::vector<core::EntryVm> liveVms_;
    std::set<core::VmId> present_; ///< VMs in the last list, live or leaving.
    std::set<core::VmId> seen_;    ///< VMs in any list.
    std::set<core::VmId> retired_; ///< VMs seen leaving or removed; never live again.
};

/**
 * Computes the next placement, to be written by compare-and-swap on the one it is based on.
 * - Slots without an owner get one.
 * - Slots of VMs that are gone get another owner.
 * - A leaving VM keeps its slots until it hands them over itself. Slots never move to balance load,
 *   since each move leaves the slot without tokens for a loan lifetime.
 * A new owner is preferably in a zone and region that no other slot of the partition uses; among
 * those VMs it is the one that owns the fewest slots.
 * @param current The placement in the store; a default one if there is none.
 * @param history The VM lists seen by this process.
 * @return The next placement, or nothing if no slot changes.
 */
std::optional<Placement> nextPlacement(const Placement &current, const VmHistory &history);

/**
 * Computes the placement that gives the slots of a leaving VM to other VMs. It may be written once
 * the leaving VM has stopped acting as home and its loans have expired.
 * @param current The placement in the store.
 * @param history The VM lists seen by this process.
 * @param self The leaving VM.
 * @return The placement without the VM, or nothing if it owns no slot or no other VM is live.
 */
std::optional<Placement> placementAfterHandOver(const Placement &current, const VmHistory &history,
                                                const core::VmId &self);

/**
 * Returns whether a VM may act as home of the slots that it owns in any placement it has received.
 *
 * A slot of a VM gets another owner only if the VM hands it over, after the VM list has shown it as
 * leaving, or if the list no longer contains the VM. A placement of any age that names the VM as
 * owner is therefore valid while the VM list shows the VM as live, and the store is not needed.
 * This also holds after a restart with empty memory, because the list never shows a leaving id as
 * live again.
 * @param history The VM lists seen by this process.
 * @param self The VM.
 */
bool mayActAsHome(const VmHistory &history, const core::VmId &self);

/**
 * Staggers the live VMs, so that usually only one of them writes the placement.
 * @return Time for which a change must have been needed before the VM writes the placement.
 */
core::Micros placementWriteDelay(const VmHistory &history, const core::VmId &self);

} // namespace teaselreach::limit
