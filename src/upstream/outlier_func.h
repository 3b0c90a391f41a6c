/** @file outlier_func.h Which upstreams differ from the rest of their service. */
#pragma once

#include "upstream/upstream_type.h"

#include <vector>

namespace teaselreach::upstream {

/** One VM's evidence about an upstream, as weighted at the time of the decision. */
struct WeightedReport
{
    core::VmId reporter;
    core::AvailabilityZoneId zone;
    EvidenceCounts counts;
    double badShareElsewhere = 0;
};

/** The evidence of several VMs about one upstream, with each VM's contribution bounded. */
struct PooledEvidence
{
    double bad = 0;
    double good = 0;
    double badFromFailures = 0;   ///< Part of bad that is failures, not slowness.
    double badOutsideTopVm = 0;   ///< Without the VM that contributes most.
    double badOutsideTopZone = 0; ///< Without the availability zone that contributes most.

    /** @return The share of bad attempts, 0 without attempts. */
    double badShare() const { return bad + good > 0 ? bad / (bad + good) : 0; }
};

/**
 * Pools evidence. A VM contributes at most maxBadPerVm, and less if it sees failures everywhere,
 * since these then say more about its own link or the whole service than about this upstream.
 */
PooledEvidence poolEvidence(const std::vector<WeightedReport> &reports);

/**
 * The share of bad attempts at the least affected upstreams: a reference that up to 30% of failing
 * upstreams do not raise.
 * @param shares Bad shares of the other upstreams that have evidence.
 * @return The mean of the lowest 70% of the shares, 0 if there are none.
 */
double referenceShare(std::vector<double> shares);

/** What an ejection in a scope requires. */
struct EjectionRule
{
    double minBad;
    double minBadShare;
    double minOutsideTopVm;
    double minOutsideTopZone;
};

/** @return The requirements of a scope. */
const EjectionRule &ejectionRule(Scope scope);

/**
 * @param evidence Evidence about the upstream in the scope.
 * @param reference referenceShare() of the other upstreams in the scope.
 * @return Whether the evidence is enough for an ejection in the scope.
 */
bool isOutlier(const PooledEvidence &evidence, double reference, Scope scope);

/**
 * How long the evidence must last before the ejection. Slowness must last longer, since in a
 * service that becomes overloaded some upstreams slow down before the others.
 */
core::Millis confirmationTime(const PooledEvidence &evidence);

} // namespace teaselreach::upstream
