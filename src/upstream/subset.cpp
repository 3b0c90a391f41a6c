/** @file subset.cpp Subsetting: which upstreams a VM keeps connections to. */
#include "core/digest_func.h"
#include "upstream/subset_func.h"

#include <algorithm>
#include <array>
#include <map>
#include <string>

namespace teaselreach::upstream {

namespace {

constexpr int minConnectionsPerUpstream = 2;
/** The rest of the limit is a reserve for VMs that still have a different VM list. */
constexpr double usableShareOfLimit = 0.9;

/** Locality of an upstream relative to a zone. */
enum Tier : std::size_t { OwnZone, OwnRegion, Elsewhere, TierCount };

using TierSizes = std::array<std::size_t, TierCount>;

struct ZoneCounts
{
    core::RegionId region;
    std::size_t entryVms = 0;
    std::size_t upstreams = 0;
};

using Zones = std::map<core::AvailabilityZoneId, ZoneCounts>;

Tier tierOf(const core::Location &from, const core::Location &to)
{
    if (from.availabilityZone == to.availabilityZone)
        return OwnZone;
    return from.region == to.region ? OwnRegion : Elsewhere;
}

Zones countZones(const SubsetRequest &request)
{
    Zones zones;
    for (const core::EntryVm &vm : request.entryVms) {
        ZoneCounts &zone = zones[vm.location.availabilityZone];
        zone.region = vm.location.region;
        ++zone.entryVms;
    }
    for (const core::UpstreamVm &vm : request.upstreams) {
        ZoneCounts &zone = zones[vm.location.availabilityZone];
        zone.region = vm.location.region;
        ++zone.upstreams;
    }
    return zones;
}

/** @return The number of upstreams in each tier relative to a zone. */
TierSizes tierSizesFrom(const Zones &zones, const core::Location &from)
{
    TierSizes sizes {};
    for (const auto &[id, zone] : zones)
        sizes[tierOf(from, {.availabilityZone = id, .region = zone.region})] += zone.upstreams;
    return sizes;
}

/**
 * @return How many upstreams of each tier a subset of a given size contains, nearest tier first.
 */
TierSizes subsetPerTier(const TierSizes &sizes, std::size_t size)
{
    TierSizes taken {};
    for (std::size_t tier = 0; tier < TierCount; ++tier) {
        taken[tier] = std::min(sizes[tier], size);
        size -= taken[tier];
    }
    return taken;
}

/**
 * @return The largest number of VMs that have the same upstream in their subsets of a given size.
 */
std::size_t maxVmsPerUpstream(const Zones &zones, std::size_t size)
{
    std::size_t most = 0;
    for (const auto &[toId, to] : zones) {
        std::size_t users = 0;
        for (const auto &[fromId, from] : zones) {
            const core::Location here {.availabilityZone = fromId, .region = from.region};
            const Tier tier = tierOf(here, {.availabilityZone = toId, .region = to.region});
            const TierSizes sizes = tierSizesFrom(zones, here);
            const std::size_t taken = subsetPerTier(sizes, size)[tier];
            if (taken == 0)
                continue;
            const std::size_t blocks = sizes[tier] / taken;
            users += (from.entryVms + blocks - 1) / blocks;
        }
        if (to.upstreams > 0)
            most = std::max(most, users);
    }
    return most;
}

/** @return The index of this VM among the VMs of its zone, ordered by id. */
std::size_t positionInZone(const SubsetRequest &request)
{
    const auto &zone = request.ownLocation.availabilityZone;
    return static_cast<std::size_t>(std::count_if(
        request.entryVms.begin(), request.entryVms.end(), [&](const core::EntryVm &vm) {
            return vm.location.availabilityZone == zone && vm.id < request.ownVm;
        }));
}

/**
 * Adds this VM's upstreams of one tier (deterministic subsetting). Consecutive VMs of a zone form
 * rounds; the VMs of a round take disjoint blocks of the shuffled upstreams, and each round
 * shuffles them differently.
 */
void addBlock(const SubsetRequest &request, Tier tier, std::size_t take,
              std::set<core::UpstreamId> &members)
{
    std::vector<core::UpstreamId> candidates;
    for (const core::UpstreamVm &vm : request.upstreams) {
        if (tierOf(request.ownLocation, vm.location) == tier)
            candidates.push_back(vm.id);
    }
    if (take == 0 || candidates.empty())
        return;
    const std::size_t position = positionInZone(request);
    const std::size_t blocks = candidates.size() / take;
    const std::string salt =
        request.ownLocation.availabilityZone.str() + '/' + std::to_string(position / blocks);
    std::map<std::pair<std::uint64_t, core::UpstreamId>, core::UpstreamId> shuffled;
    for (const core::UpstreamId &id : candidates)
        shuffled.emplace(std::pair(core::rendezvousWeight(salt, id.str()), id), id);
    auto at = std::next(shuffled.begin(), static_cast<std::ptrdiff_t>(position % blocks * take));
    for (std::size_t i = 0; i < take; ++i)
        members.insert((at++)->second);
}

} // namespace

ConnectionPlan planConnections(const SubsetRequest &request)
{
    ConnectionPlan plan;
    const Zones zones = countZones(request);
    const int limit = static_cast<int>(request.maxConnectionsPerUpstream * usableShareOfLimit);
    std::size_t size = request.upstreams.size();
    if (request.maxSize > 0)
        size = std::min(size, request.maxSize);
    for (; size > 0; --size) {
        plan.maxVmsPerUpstream = maxVmsPerUpstream(zones, size);
        const auto users = static_cast<int>(std::max<std::size_t>(1, plan.maxVmsPerUpstream));
        plan.connectionsPerUpstream = std::max(1, limit / users);
        if (plan.connectionsPerUpstream >= minConnectionsPerUpstream || size == 1)
            break;
    }
    const TierSizes taken = subsetPerTier(tierSizesFrom(zones, request.ownLocation), size);
    for (std::size_t tier = 0; tier < TierCount; ++tier)
        addBlock(request, static_cast<Tier>(tier), taken[tier], plan.members);
    return plan;
}

} // namespace teaselreach::upstream
