/** @file member_table.cpp What a daemon knows of other VMs. */
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
    own_.vm = std::move(self);
    own_.incarnation = incarnation;
}

void MemberTable::setVmList(const std::vector<core::EntryVm> &vms)
{
    std::map<core::VmId, Knowledge> listed;
    for (const core::EntryVm &vm : vms) {
        if (vm.id == own_.vm)
            continue;
        const auto known = vms_.find(vm.id);
        listed[vm.id] = known == vms_.end() ? Knowledge {} : known->second;
    }
    vms_ = std::move(listed);
}

void MemberTable::setOwn(core::VmState state, core::Revision revision)
{
    own_.state = state;
    own_.revision = revision;
}

void MemberTable::beginRound()
{
    own_.counter = RoundCounter(own_.counter.count() + 1);
}

MemberMessage MemberTable::makeMessage(const core::VmId &receiver)
{
    MemberMessage message {.sender = own_};
    const auto add = [&message](const Knowledge &knowledge) {
        if (!knowledge.newest)
            return;
        message.entries.push_back(*knowledge.newest);
        message.entries.back().heardDirectly = knowledge.heardAt.has_value();
    };
    if (const auto found = vms_.find(receiver); found != vms_.end())
        add(found->second);
    auto next = vms_.upper_bound(rotation_);
    for (std::size_t visited = 0; visited < vms_.size(); ++visited, ++next) {
        if (message.entries.size() == maxEntries)
            break;
        if (next == vms_.end())
            next = vms_.begin();
        rotation_ = next->first;
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
    // What a VM says of itself counts even if a clock set back gave it a lower incarnation.
    const bool restarted =
        sender->second.newest && sender->second.newest->incarnation != message.sender.incarnation;
    if (restarted || isNewer(message.sender, sender->second.newest))
        sender->second.newest = message.sender;
    sender->second.heardAt = now;
    for (const MemberEntry &entry : message.entries) {
        if (entry.vm == own_.vm)
            learnOfSelf(entry, message.sender.vm, now);
        else
            learn(entry, now);
    }
}

void MemberTable::learn(const MemberEntry &entry, core::MonoTime now)
{
    const auto found = vms_.find(entry.vm);
    if (found == vms_.end() || !isNewer(entry, found->second.newest))
        return;
    found->second.newest = entry;
    found->second.reportedAt = now;
}

void MemberTable::learnOfSelf(const MemberEntry &entry, const core::VmId &sender,
                              core::MonoTime now)
{
    // Others remember a daemon of this VM with a higher incarnation and would ignore this one.
    if (entry.incarnation > own_.incarnation) {
        own_.incarnation = core::Incarnation(entry.incarnation.count() + 1);
        return;
    }
    const bool recent = entry.incarnation == own_.incarnation
        && entry.counter.count() + maxCounterLag >= own_.counter.count();
    if (entry.heardDirectly && recent)
        vms_[sender].hearsUsAt = now;
}

Knowledge MemberTable::knowledgeOf(const core::VmId &vm) const
{
    const auto found = vms_.find(vm);
    return found == vms_.end() ? Knowledge {} : found->second;
}

bool MemberTable::hearsBothWays(const core::VmId &vm, core::MonoTime now, core::Micros within) const
{
    const Knowledge known = knowledgeOf(vm);
    return isWithin(known.heardAt, now, within) && isWithin(known.hearsUsAt, now, within);
}

std::vector<core::VmId> MemberTable::withHigherRevision(core::Revision revision) const
{
    std::vector<std::pair<core::MonoTime, core::VmId>> found;
    for (const auto &[vm, known] : vms_) {
        if (known.newest && known.newest->revision > revision)
            found.emplace_back(known.heardAt.value_or(core::MonoTime()), vm);
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
