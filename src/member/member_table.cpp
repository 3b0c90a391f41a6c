/** @file member_table.cpp Gossip membership table of a daemon. */
#include "member/member_table_base.h"

#include <algorithm>
#include <tuple>

namespace teaselreach::member {

namespace {

bool isNewer(const MemberEntry &entry, const std::optional<MemberEntry> &known)
{
    return !known
        || std::tuple(entry.incarnation.count(), entry.counter.count())
        > std::tuple(known->incarnation.count(), known->counter.count());
}

bool isWithin(std::optional<core::MonoTime> at, core::MonoTime now, core::Micros within)
{
    return at && now - *at <= within;
}

} // namespace

MemberTable::MemberTable(core::VmId self, core::Incarnation incarnation)
{
    ownEntry_.vm = std::move(self);
    ownEntry_.incarnation = incarnation;
}

void MemberTable::setVmList(const std::vector<core::EntryVm> &vms)
{
    std::map<core::VmId, MemberView> listed;
    for (const core::EntryVm &vm : vms) {
        if (vm.id == ownEntry_.vm)
            continue;
        const auto known = vms_.find(vm.id);
        listed[vm.id] = known == vms_.end() ? MemberView {} : known->second;
    }
    vms_ = std::move(listed);
}

void MemberTable::setOwnState(core::VmState state, core::Revision revision)
{
    ownEntry_.state = state;
    ownEntry_.revision = revision;
}

void MemberTable::beginRound()
{
    ownEntry_.counter = RoundCounter(ownEntry_.counter.count() + 1);
}

MemberMessage MemberTable::makeMessage(const core::VmId &receiver)
{
    MemberMessage message {.sender = ownEntry_};
    const auto add = [&message](const MemberView &knowledge) {
        if (!knowledge.newest)
            return;
        message.entries.push_back(*knowledge.newest);
        message.entries.back().heardDirectly = knowledge.lastHeardAt.has_value();
    };
    if (const auto found = vms_.find(receiver); found != vms_.end())
        add(found->second);
    auto next = vms_.upper_bound(lastRotatedVm_);
    for (std::size_t visited = 0; visited < vms_.size(); ++visited, ++next) {
        if (message.entries.size() == maxEntries)
            break;
        if (next == vms_.end())
            next = vms_.begin();
        lastRotatedVm_ = next->first;
        if (next->first != receiver)
            add(next->second);
    }
    return message;
}

void MemberTable::receive(const MemberMessage &message, core::MonoTime now)
{
    const auto sender = vms_.find(message.sender.vm);
    if (sender == vms_.end())
        return;
    // An entry from the VM itself is used even if its incarnation is lower, which happens if its
    // clock was set back before a restart.
    const bool restarted =
        sender->second.newest && sender->second.newest->incarnation != message.sender.incarnation;
    if (restarted || isNewer(message.sender, sender->second.newest))
        sender->second.newest = message.sender;
    sender->second.lastHeardAt = now;
    for (const MemberEntry &entry : message.entries) {
        if (entry.vm == ownEntry_.vm)
            mergeOwnEntry(entry, message.sender.vm, now);
        else
            mergeEntry(entry, now);
    }
}

void MemberTable::mergeEntry(const MemberEntry &entry, core::MonoTime now)
{
    const auto found = vms_.find(entry.vm);
    if (found == vms_.end() || !isNewer(entry, found->second.newest))
        return;
    found->second.newest = entry;
    found->second.lastReportedAt = now;
}

void MemberTable::mergeOwnEntry(const MemberEntry &entry, const core::VmId &sender,
                                core::MonoTime now)
{
    // Other VMs hold an entry from an earlier daemon of this VM with a higher incarnation and would
    // ignore this daemon's entries.
    if (entry.incarnation > ownEntry_.incarnation) {
        ownEntry_.incarnation = core::Incarnation(entry.incarnation.count() + 1);
        return;
    }
    const bool recent = entry.incarnation == ownEntry_.incarnation
        && entry.counter.count() + maxCounterLag >= ownEntry_.counter.count();
    if (entry.heardDirectly && recent)
        vms_[sender].lastAckedAt = now;
}

MemberView MemberTable::viewOf(const core::VmId &vm) const
{
    const auto found = vms_.find(vm);
    return found == vms_.end() ? MemberView {} : found->second;
}

bool MemberTable::hasTwoWayContact(const core::VmId &vm, core::MonoTime now,
                                   core::Micros within) const
{
    const MemberView known = viewOf(vm);
    return isWithin(known.lastHeardAt, now, within) && isWithin(known.lastAckedAt, now, within);
}

std::vector<core::VmId> MemberTable::vmsWithHigherRevision(core::Revision revision) const
{
    std::vector<std::pair<core::MonoTime, core::VmId>> found;
    for (const auto &[vm, known] : vms_) {
        if (known.newest && known.newest->revision > revision)
            found.emplace_back(known.lastHeardAt.value_or(core::MonoTime()), vm);
    }
    std::sort(found.begin(), found.end(),
              [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<core::VmId> vms;
    vms.reserve(found.size());
    for (auto &[at, vm] : found)
        vms.push_back(std::move(vm));
    return vms;
}

} // namespace teaselreach::member
