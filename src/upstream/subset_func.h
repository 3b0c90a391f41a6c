/** @file subset_func.h Subsetting: which upstreams a VM keeps connections to. */
#pragma once

#include "core/vm_type.h"

#include <cstddef>
#include <set>
#include <vector>

namespace teaselreach::upstream {

/** Input of the subset calculation. */
struct SubsetRequest
{
    core::VmId ownVm;
    core::Location ownLocation;
    std::vector<core::EntryVm> entryVms;     ///< Live entry VMs, including this one.
    std::vector<core::UpstreamVm> upstreams; ///< Live upstreams of the service.
    int maxConnectionsPerUpstream = 350;     ///< Limit for all VMs together.
    std::size_t maxSize = 0; ///< Upper bound on the size of the subset; 0 for no bound.
};

/** The subset of a VM and the number of connections it may keep to each upstream. */
struct ConnectionPlan
{
    std::set<core::UpstreamId> members;
    int connectionsPerUpstream = 1;
    std::size_t maxVmsPerUpstream = 0; ///< Most VMs that have the same upstream in their subsets.
};

/**
 * Calculates the subset of a VM: upstreams of the own zone first, then of the own region, then of
 * other regions. The subset is as large as the connection limit allows with at least two
 * connections to each upstream. VMs that have the same list spread evenly over the upstreams.
 */
ConnectionPlan planConnections(const SubsetRequest &request);

} // namespace teaselreach::upstream
