/** @file upstream_coverage_base.h Bounds how many upstreams of a service get no requests. */
#pragma once

#include "placement/placement_type.h"

#include <unordered_map>
#include <vector>

namespace teaselreach::proxy {

/** Parameters of UpstreamCoverage. */
struct UpstreamCoverageOptions
{
    /** Share of a service's upstreams that may go without requests because they are avoided. */
    double maxAvoidedShare = 0.25;
    /** Number of upstreams from which on one of them may be avoided, whatever its share. */
    int oneAvoidableFrom = 4;
    /** Slowness above which an upstream is avoided while others have room. */
    double avoidedSlowness = 2.0;
    /** Time for which a service counts as short of upstreams after the last count that showed it.
     * Others stay preferred for a while to those that are no longer avoided. */
    core::Micros shortFor {core::Seconds(8)};
    /** Time without an attempt after which an upstream of the zone gets a request, whatever the
     * kind of request, while the service is short: after a success, and after a failure or a slow
     * response. */
    core::Micros trialInterval {core::Millis(1500)};
    core::Micros retrialInterval {core::Seconds(3)};
    /** Time for which each VM in turn leaves the trial to the one before it, whose report of the
     * outcome arrives meanwhile. */
    core::Micros trialStagger {core::Millis(250)};
    /** Interval at which the avoided upstreams of a service are counted. */
    core::Micros countInterval {core::Millis(200)};
};

/** The upstreams of a service by the reason why they get no or few requests. */
struct UpstreamCounts
{
    int accepting = 0;  ///< All that take new requests; the others are parts of them.
    int failing = 0;    ///< Avoided because of their failures.
    int slow = 0;       ///< Avoided because of their speed only.
    int holdingOff = 0; ///< Asked for no requests until a time.
    int limited = 0;    ///< Have no room under the limit that they name or their cold-start limit.
    int evacuated = 0;  ///< In an evacuated zone; not part of accepting.
    int cold = 0;       ///< Have a cold-start limit; they may count as one of the above as well.
    /** How strongly each of the failing and slow ones is avoided. */
    std::vector<double> avoidance;
};

/**
 * Decides when a VM has to send requests to upstreams that it avoids. Answers the load pattern of
 * many upstreams that failed once or were slow: their evidence outlives the fault, requests that
 * may not be retried never renew it, and a service is left with part of its upstreams. Replayed by
 * upstream_coverage_test. Uses no threads, sockets or clocks.
 */
class UpstreamCoverage
{
public:
    /** @param options Parameters. */
    explicit UpstreamCoverage(UpstreamCoverageOptions options)
        : options_(options)
    { }

    /** @return Whether the upstreams of a service have to be counted again. */
    bool isCountDue(core::MonoTime now, const core::ServiceId &service) const;
    /** Records the counts of a service and logs when it becomes short of upstreams or ceases to
     * be. */
    void counted(core::MonoTime now, const core::ServiceId &service, UpstreamCounts counts);
    /** @return Whether more of a service's upstreams are avoided than may be, or were shortly
     * before. */
    bool isShort(const core::ServiceId &service) const;
    /** @return The strongest avoidance with which an upstream still gets trials. Of the avoided
     * ones, the least avoided get them, as many as exceed the share that may be avoided. */
    double trialLimit(const core::ServiceId &service) const;

private:
    /** Result of the last count. */
    struct State
    {
        core::MonoTime countedAt {};
        bool isShort = false;
        core::MonoTime shortUntil {};
        double trialLimit = 0;
    };

    UpstreamCoverageOptions options_;
    std::unordered_map<core::ServiceId, State, core::StrongHash> services_;
};

} // namespace teaselreach::proxy
