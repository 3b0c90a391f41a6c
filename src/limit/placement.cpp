/** @file placement.cpp Assigns the home slots to VMs. */
#include "core/digest_func.h"
#include "limit/placement_base.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace teaselreach::limit {

namespace {

/** Assigns slots to live VMs: spread over zones and regions, then to those with fewest slots. */
class SlotAssigner
{
public:
    SlotAssigner(const Placement &placement, const VmHistory &history)
        : vms_(history.liveVms())
    {
        for (const core::EntryVm &vm : vms_)
            byId_.emplace(vm.id, &vm);
        for (const PartitionHomes &homes : placement.partitions) {
            for (const core::VmId &owner : homes)
                ++slotCounts_[owner];
        }
    }

    /**
     * Assigns a slot of a partition.
     * @param homes Owners of the partition's other slots.
     * @return The new owner.
     */
    const core::VmId &assign(const PartitionHomes &homes, int partition, int slot)
    {
        const core::EntryVm *best = &vms_.front();
        Rank bestRank = rankOf(*best, homes, partition, slot);
        for (const core::EntryVm &vm : vms_) {
            const Rank rank = rankOf(vm, homes, partition, slot);
            if (!(rank < bestRank))
                continue;
            best = &vm;
            bestRank = rank;
        }
        ++slotCounts_[best->id];
        return best->id;
    }

private:
    /**
     * Number of the partition's other slots on the same VM, in the same zone and in the same
     * region; slots that the VM owns; rendezvous weight to break ties. The smallest rank is the
     * best.
     */
    using Rank = std::tuple<int, int, int, int, std::uint64_t>;

    Rank rankOf(const core::EntryVm &vm, const PartitionHomes &homes, int partition, int slot)
    {
        int sameVm = 0;
        int sameZone = 0;
        int sameRegion = 0;
        for (int other = 0; other < slotsPerPartition; ++other) {
            const auto found = byId_.find(homes[static_cast<std::size_t>(other)]);
            if (other == slot || found == byId_.end())
                continue;
            const core::Location &location = found->second->location;
            sameVm += found->second->id == vm.id ? 1 : 0;
            sameZone += location == vm.location ? 1 : 0;
            sameRegion += location.region == vm.location.region ? 1 : 0;
        }
        return {sameVm, sameZone, sameRegion, slotCounts_[vm.id],
                core::rendezvousWeight(std::to_string(partition), vm.id.str())};
    }

    const std::vector<core::EntryVm> &vms_;
    std::map<core::VmId, const core::EntryVm *> byId_;
    std::map<core::VmId, int> slotCounts_;
};

/**
 * Gives every slot whose owner satisfies a predicate another owner.
 * @return The next placement, or nothing if no slot changes or no VM is live.
 */
template <typename MustChange>
std::optional<Placement> reassignSlots(const Placement &current, const VmHistory &history,
                                       MustChange mustChange)
{
    if (history.liveVms().empty())
        return std::nullopt;
    Placement next = current;
    std::vector<std::pair<int, int>> unowned;
    for (int partition = 0; partition < partitionCount; ++partition) {
        for (int slot = 0; slot < slotsPerPartition; ++slot) {
            core::VmId &owner = next.partitions[partition][slot];
            if (!mustChange(owner))
                continue;
            owner = core::VmId();
            unowned.emplace_back(partition, slot);
        }
    }
    if (unowned.empty())
        return std::nullopt;
    SlotAssigner assigner(next, history);
    for (const auto &[partition, slot] : unowned) {
        PartitionHomes &homes = next.partitions[partition];
        homes[slot] = assigner.assign(homes, partition, slot);
    }
    next.revision = core::Revision(current.revision.count() + 1);
    return next;
}

} // namespace

int partitionOf(const core::ClientAccountId &account)
{
    return static_cast<int>(core::stableHash(account.str()) % partitionCount);
}

const PartitionHomes &Placement::homesOf(const core::ClientAccountId &account) const
{
    return partitions[static_cast<std::size_t>(partitionOf(account))];
}

bool Placement::hasOwner(const core::VmId &vm) const
{
    return std::any_of(partitions.begin(), partitions.end(), [&](const PartitionHomes &homes) {
        return std::find(homes.begin(), homes.end(), vm) != homes.end();
    });
}

void VmHistory::onVmList(core::MonoTime now, const core::VmList &list)
{
    firstRead_ = firstRead_.value_or(now);
    lastRead_ = now;
    std::set<core::VmId> present;
    for (const core::EntryVm &vm : list.entryVms) {
        present.insert(vm.id);
        if (vm.state == core::VmState::Leaving)
            retired_.insert(vm.id);
    }
    for (const core::VmId &vm : seen_) {
        if (!present.contains(vm))
            retired_.insert(vm);
    }
    seen_.insert(present.begin(), present.end());
    present_ = std::move(present);
    liveVms_.clear();
    for (const core::EntryVm &vm : list.entryVms) {
        if (!retired_.contains(vm.id))
            liveVms_.push_back(vm);
    }
    std::sort(liveVms_.begin(), liveVms_.end(),
              [](const core::EntryVm &a, const core::EntryVm &b) { return a.id < b.id; });
}

bool VmHistory::isGone(const core::VmId &vm) const
{
    if (!hasVmList() || present_.contains(vm))
        return false;
    return seen_.contains(vm) || lastRead_ - *firstRead_ >= maxListLag;
}

bool VmHistory::isLive(const core::VmId &vm) const
{
    return present_.contains(vm) && !retired_.contains(vm);
}

std::optional<Placement> nextPlacement(const Placement &current, const VmHistory &history)
{
    return reassignSlots(current, history, [&](const core::VmId &owner) {
        return owner.empty() || history.isGone(owner);
    });
}

std::optional<Placement> placementAfterHandOver(const Placement &current, const VmHistory &history,
                                                const core::VmId &self)
{
    return reassignSlots(current, history, [&](const core::VmId &owner) { return owner == self; });
}

bool mayActAsHome(const VmHistory &history, const core::VmId &self)
{
    return history.hasVmList() && history.isLive(self);
}

core::Micros placementWriteDelay(const VmHistory &history, const core::VmId &self)
{
    constexpr core::Micros step = core::Seconds(2);
    const std::uint64_t ownWeight = core::rendezvousWeight(placementKey, self.str());
    const auto earlierVms = std::count_if(
        history.liveVms().begin(), history.liveVms().end(), [&](const core::EntryVm &vm) {
            return core::rendezvousWeight(placementKey, vm.id.str()) > ownWeight;
        });
    return earlierVms * step;
}

} // namespace teaselreach::limit
