/** @file outlier_func.h Outlier detection: compares an upstream with the others of its service. */
#pragma once

#include "upstream/upstream_type.h"

#include <vector>

namespace teaselreach::upstream {

/** One VM's evidence about an upstream, decayed to the time of the decision. */
struct WeightedReport
{
    core::VmId reporter;
    core::AvailabilityZoneId zone;
    EvidenceCounts counts;
    double badShareElsewhere = 0;
};

/** The evidence of several VMs about one upstream. The contribution of each VM is bounded. */
struct PooledEvidence
{
    double bad = 0;
    double good = 0;
    double badFromFailures = 0;   ///< Part of bad from failures, not overdue attempts.
    double badOutsideTopVm = 0;   ///< Without the VM that contributes most.
    double badOutsideTopZone = 0; ///< Without the availability zone that contributes most.

    /** @return The share of bad attempts; 0 if there are no attempts. */
    double badShare() const { return bad + good > 0 ? bad / (bad + good) : 0; }
};

/**
 * Pools evidence. A VM contributes at most maxBadPerVm. Its bad evidence is discounted by its bad
 * share at other upstreams, since failures at all upstreams point to its own link or to the whole
 * service and not to this upstream.
 */
PooledEvidence poolEvidence(const std::vector<WeightedReport> &reports);

/**
 * The share of bad attempts at the least affected upstreams. Failures of up to 30% of the upstreams
 * do not raise this reference.
 * @param shares Bad shares of the other upstreams that have evidence.
 * @return The mean of the lowest 70% of the shares, 0 if there are none.
 */
double referenceShare(std::vector<double> shares);

/** Lower bounds that evidence must reach for an ejection in a scope. */
struct EjectionRule
{
    double minBad;
    double minBadShare;
    double minOutsideTopVm;   ///< Bound for PooledEvidence::badOutsideTopVm.
    double minOutsideTopZone; ///< Bound for PooledEvidence::badOutsideTopZone.
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
 * How long an upstream must remain an outlier before it is ejected. Slowness must last longer than
 * failures: when a service becomes overloaded, some upstreams slow down before the others.
 */
core::Millis confirmationTime(const PooledEvidence &evidence);

} // namespace teaselreach::upstream
