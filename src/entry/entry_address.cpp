/** @file entry_address.cpp Chooses entry VMs for the callers of a client account. */
#include "core/digest_func.h"
#include "entry/entry_address_func.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace teaselreach::entry {

namespace {

/** Sort key: overloaded, not a home, not the caller's zone, not its region, rendezvous score. */
using Rank = std::tuple<bool, bool, bool, bool, double>;

/** A VM that is not leaving, with its sort key. */
struct Candidate
{
    Rank rank;
    const core::EntryVm *vm = nullptr;
};

double loadOf(const EntryQuery &query, const core::VmId &vm)
{
    const auto found = query.load.find(vm);
    return found == query.load.end() ? 0 : std::clamp(found->second, 0.0, 1.0);
}

/**
 * Weighted rendezvous hash: the fraction of accounts for which a VM ranks first is proportional to
 * its free capacity.
 * @return The score; lower is better.
 */
double rendezvousScore(const EntryQuery &query, const core::EntryVm &vm)
{
    constexpr double minFreeCapacity = 0.05;
    constexpr double hashRange = 18446744073709551616.0; // 2^64
    const auto weight =
        static_cast<double>(core::rendezvousWeight(query.account.str(), vm.id.str()));
    const double uniform = (weight + 1) / (hashRange + 2);
    return -std::log(uniform) / std::max(1 - loadOf(query, vm.id), minFreeCapacity);
}

std::optional<core::RegionId> callerRegion(std::span<const core::EntryVm> vms,
                                           const EntryQuery &query)
{
    for (const core::EntryVm &vm : vms) {
        if (query.callerZone == vm.location.availabilityZone)
            return vm.location.region;
    }
    return std::nullopt;
}

std::vector<Candidate> sortedCandidates(std::span<const core::EntryVm> vms, const EntryQuery &query)
{
    const std::optional<core::RegionId> region = callerRegion(vms, query);
    std::vector<Candidate> candidates;
    for (const core::EntryVm &vm : vms) {
        if (vm.state == core::VmState::Leaving)
            continue;
        const bool home =
            std::find(query.homes.begin(), query.homes.end(), vm.id) != query.homes.end();
        const Rank rank {loadOf(query, vm.id) >= overloadThreshold, !home,
                         query.callerZone != vm.location.availabilityZone,
                         region != vm.location.region, rendezvousScore(query, vm)};
        candidates.push_back({.rank = rank, .vm = &vm});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.rank < b.rank; });
    return candidates;
}

} // namespace

std::vector<core::EntryVm> chooseEntryAddresses(std::span<const core::EntryVm> vms,
                                                const EntryQuery &query)
{
    const std::vector<Candidate> candidates = sortedCandidates(vms, query);
    const std::size_t count = static_cast<std::size_t>(std::max(query.count, 2));
    std::vector<core::EntryVm> chosen;
    for (const Candidate &candidate : candidates) {
        if (chosen.size() < count)
            chosen.push_back(*candidate.vm);
    }
    const auto otherZone = [&](const Candidate &candidate) {
        return candidate.vm->location != chosen.front().location;
    };
    const bool oneZone =
        std::none_of(candidates.begin(),
                     candidates.begin() + static_cast<std::ptrdiff_t>(chosen.size()), otherZone);
    const auto replacement = std::find_if(candidates.begin(), candidates.end(), otherZone);
    if (oneZone && replacement != candidates.end())
        chosen.back() = *replacement->vm;
    return chosen;
}

} // namespace teaselreach::entry
