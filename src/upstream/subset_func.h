/** @file subset_func.h Which upstreams a VM keeps connections to, so that the limits hold. */
#pragma once

#include "core/vm_type.h"

#include <cstddef>
#include <set>
#include <vector>

namespace teaselreach::upstream {

/** What a subset is chosen from. */
struct SubsetRequest
{
    core::VmId ownVm;
    core::Location ownLocation;
    std::vector<core::EntryVm> entryVms;     ///< Live entry VMs, including this one.
    std::vector<core::UpstreamVm> upstreams; ///< Live upstreams of the service.
    int maxConnectionsPerUpstream = 350;     ///< Over all VMs together.
    std::size_t maxSize = 0;                 ///< Most upstreams in the subset; 0 for no bound.
};

/** The upstreams a VM uses and the connections it may keep to each. */
struct ConnectionPlan
{
    std::set<core::UpstreamId> members;
    int connectionsPerUpstream = 1;
    std::size_t maxVmsPerUpstream = 0; ///< Most VMs whose subsets hold the same upstream.
};

/**
 * Chooses a subset: the upstreams of the own zone first, then of the region, then of the rest, as
 * many as the connection limit allows with at least two connections each. VMs with the same list
 * spread evenly over the upstreams.
 */
ConnectionPlan planConnections(const SubsetRequest &request);

} // namespace teaselreach::upstream
