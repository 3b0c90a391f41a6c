/** @file placement_base.h The document that names the home VMs of every limit partition. */
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
/** Newest stored form of the placement. */
inline constexpr int placementSchemaVersion = 1;

/** The stored placement cannot be used. */
class PlacementInvalid : public core::Error
{
public:
    /** @param what What is wrong with the document. */
    explicit PlacementInvalid(const std::string &what)
        : Error("placement_invalid", what)
    { }
};

/** Owners of the slots of a partition; an empty id is a slot without an owner. */
using PartitionHomes = std::array<core::VmId, slotsPerPartition>;

/** One revision of the placement. Equal revisions have equal content. */
struct Placement
{
    core::Revision revision;
    std::vector<PartitionHomes> partitions = std::vector<PartitionHomes>(partitionCount);

    /** @return The owners of the slots of an account's partition. */
    const PartitionHomes &homesOf(const core::ClientAccountId &account) const;
    /** @return Whether a VM owns a slot. */
    bool hasOwner(const core::VmId &vm) const;

    bool operator==(const Placement &) const = default;
};

/** @return The partition of an account, the same on every VM. */
int partitionOf(const core::ClientAccountId &account);

/** @return The stored form (JSON), about 40 KB for 470 VMs. */
std::string encodePlacement(const Placement &placement);

/**
 * Reads the stored form.
 * @throws PlacementInvalid if the text is no placement or has an unknown schema version.
 */
Placement decodePlacement(std::string_view text);

/**
 * Longest time by which a list that is read for the first time may lag behind. An owner that this
 * process has never seen listed counts as gone only after it: a list that lags may not name a new
 * VM yet, and its slot must not get a second owner.
 */
inline constexpr core::Micros maxListLag = std::chrono::minutes(10);

/** What one process has seen of the VM list. */
class VmHistory
{
public:
    /** Takes over a list. */
    void onVmList(core::MonoTime now, const core::VmList &list);

    /** @return Whether a list has been read. */
    bool hasVmList() const { return firstRead_.has_value(); }
    /**
     * @return Whether the VM is absent and was listed before, or has been absent for maxListLag
     * since the first list.
     */
    bool isGone(const core::VmId &vm) const;
    /** @return Whether the VM is listed as live and was never seen leaving or absent. */
    bool isLive(const core::VmId &vm) const;
    /** @return The entry VMs that are live, sorted by id. */
    const std::vector<core::EntryVm> &liveVms() const { return liveVms_; }

private:
    std::optional<core::MonoTime> firstRead_;
    core::MonoTime lastRead_;
    std::vector<core::EntryVm> liveVms_;
    std::set<core::VmId> present_; ///< In the last list, live or leaving.
    std::set<core::VmId> seen_;    ///< In any list.
    std::set<core::VmId> retired_; ///< Seen leaving or absent; never live again.
};

/**
 * The next placement, to be written by compare-and-swap on the revision it is based on.
 * - Slots without an owner get one.
 * - Slots of VMs that are gone get another owner.
 * - A leaving VM keeps its slots until it hands them over itself; slots never move to balance
 *   load, since each move leaves the slot without tokens for a loan lifetime.
 * New owners are in a region and zone that the partition does not use yet if there is one, and
 * own the fewest slots.
 * @param current The placement in the store; a default one if there is none.
 * @param history What this VM has seen of the VM list.
 * @return The next placement, or nothing if no slot changes.
 */
std::optional<Placement> nextPlacement(const Placement &current, const VmHistory &history);

/**
 * The next placement after a leaving VM has stopped to act as home and its loans have expired.
 * @param current The placement in the store.
 * @param history What this VM has seen of the VM list.
 * @param self The leaving VM.
 * @return The placement without the VM, or nothing if it owns no slot or no other VM is live.
 */
std::optional<Placement> placementAfterHandOver(const Placement &current, const VmHistory &history,
                                                const core::VmId &self);

/**
 * Whether a VM may act as home for the slots that any placement received names it for.
 *
 * A slot leaves a live VM only by the VM's own hand-over after the list showed it leaving, or
 * after the list no longer had it. A placement of any age that names the VM is therefore valid as
 * long as the VM list shows the VM live, and the store is not needed. This holds after a restart
 * with empty memory too, since the list never shows a leaving id as live again.
 * @param history What this process has seen of the VM list.
 * @param self The VM.
 */
bool mayActAsHome(const VmHistory &history, const core::VmId &self);

/**
 * Staggers the writers of the placement, so that usually only the first one writes.
 * @return Time for which a slot must have needed another owner before the VM writes the placement.
 */
core::Micros placementWriteDelay(const VmHistory &history, const core::VmId &self);

} // namespace teaselreach::limit
