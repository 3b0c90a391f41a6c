/** @file entry.cpp Which entry addresses a client account's callers should use. */
#include "core/digest_func.h"
#include "entry/entry_func.h"

#include <algorithm>

namespace teaselreach::entry {

namespace {

/** A live VM with its rank for the account; a lower rank is better. */
struct Candidate
{
    const core::EntryVm *vm = nullptr;
    std::uint64_t weight = 0;
    std::size_t zoneRepeat = 0; ///< Number of better candidates in the same zone.
};

std::vector<Candidate> weighLiveVms(const core::VmList &vms, const core::ClientAccountId &account)
{
    std::vector<Candidate> candidates;
    for (const core::EntryVm &vm : vms.entryVms) {
        if (vm.state != core::VmState::Live)
            continue;
        candidates.push_back(
            {.vm = &vm, .weight = core::rendezvousWeight(account.str(), vm.id.str())});
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        if (a.weight != b.weight)
            return a.weight > b.weight;
        return a.vm->id.str().compare(b.vm->id.str()) < 0;
    });
    return candidates;
}

void countZoneRepeats(std::vector<Candidate> &candidates)
{
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &zone = candidates[i].vm->location.availabilityZone;
        candidates[i].zoneRepeat = static_cast<std::size_t>(
            std::count_if(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(i),
                          [&zone](const Candidate &other) {
                              return other.vm->location.availabilityZone == zone;
                          }));
    }
}

} // namespace

std::vector<core::EntryVm> chooseEntryAddresses(const core::VmList &vms,
                                                const core::ClientAccountId &account,
                                                const core::AvailabilityZoneId &preferredZone)
{
    std::vector<Candidate> candidates = weighLiveVms(vms, account);
    countZoneRepeats(candidates);
    const auto rank = [&preferredZone](const Candidate &candidate) {
        const bool elsewhere = candidate.vm->location.availabilityZone != preferredZone;
        return std::pair(candidate.zoneRepeat, elsewhere);
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&rank](const Candidate &a, const Candidate &b) { return rank(a) < rank(b); });
    std::vector<core::EntryVm> chosen;
    for (const Candidate &candidate : candidates) {
        if (chosen.size() == addressCount)
            break;
        chosen.push_back(*candidate.vm);
    }
    return chosen;
}

} // namespace teaselreach::entry
