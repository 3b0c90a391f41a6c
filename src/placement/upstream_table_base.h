/** @file upstream_table_base.h Table of live upstreams: health, load and selection. */
#pragma once

#include "placement/placement_explanation_type.h"
#include "placement/placement_type.h"
#include "placement/recent_success_base.h"
#include "placement/upstream_byte_limiter_base.h"
#include "placement/upstream_coverage_base.h"
#include "placement/upstream_notices_base.h"
#include "placement/upstream_rate_limiter_base.h"
#include "placement/zone_evacuations_base.h"
#include "placement/zone_load_table_base.h"

#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselreach::proxy {

/** Parameters of upstream selection. Losses are fractions of a request's full value. */
struct UpstreamTableOptions
{
    core::Location self; ///< Location of this VM.
    std::map<core::AvailabilityZoneId, core::RegionId> regionOfZone;
    UpstreamRateLimiterOptions limits;
    UpstreamByteLimiterOptions bytes;
    UpstreamCoverageOptions coverage;
    ZoneEvacuationOptions evacuations;
    ZoneLoadOptions zoneLoad; ///< Its location and zones are set from those above.
    /** Loss from the traffic cost of sending a request to another zone of the region. */
    double crossZoneLoss = 0.06;
    /** Loss from sending a request to another region: the traffic cost, 40 ms of network latency,
     * and load on upstreams that the callers of that region need. */
    double crossRegionLoss = 0.6;
    /** Loss when a response arrives after the route's target latency. */
    double lateLoss = 0.7;
    /** Maximum number of requests at an upstream, as a multiple of its slots. Any more would queue
     * at the upstream, where priorities and deadlines do not apply. */
    double maxOccupancy = 2.0;
    /** Prior probability that an upstream is unhealthy. */
    double unhealthyPrior = 0.08;
    /** Probability that an unhealthy period has started since the last outcome. Past successes,
     * however many, do not lower it. */
    double onsetProbability = 0.01;
    /** Typical length of an unhealthy or slow period. Older evidence decays towards the prior. */
    core::Micros unhealthyPeriod {core::Seconds(8)};
    /** Probability that a request fails at an unhealthy upstream and at a healthy one. Unhealthy
     * upstreams fail between half and nearly all of their requests. */
    double unhealthyFailureRate = 0.75;
    double healthyFailureRate = 0.015;
    /** As healthyFailureRate, for failures reported by another VM. They may be caused by the
     * network path of that VM alone. */
    double reportedHealthyFailureRate = 0.06;
    /** Factor on the failure probability for requests that may be retried. */
    double retryableFailureFactor = 0.4;
    /** Failure probability above which an upstream is suspected of being unhealthy, and above which
     * a request that may not be retried waits for a busy healthy upstream instead. */
    double suspectThreshold = 0.3;
    double avoidThreshold = 0.5;
    /** Time without an attempt after which an upstream that is suspected, slow or cold receives the
     * next request that may be retried, as a trial. It bounds how long a recovery goes unnoticed
     * and how long a healthy upstream stays idle. */
    core::Micros trialInterval {core::Seconds(1)};
    /** Time for which each VM in turn leaves the trial to the one before it. Most attempts end
     * within it and are reported. */
    core::Micros trialTurn {core::Millis(500)};
    /** Half-life of the load that other VMs put on an upstream, as last reported by it. */
    core::Micros loadHalfLife {core::Millis(300)};
    /** Weight of the newest duration in the moving averages of processing times. */
    double durationGain = 0.1;
    /** Factor on the expected processing time of an upstream that is still warming up. */
    double coldFactor = 2.0;
    /** Whether the age of the last success counts; see RecentSuccessPreference. */
    bool prefersRecentSuccess = false;
    RecentSuccessOptions recentSuccess;
};

/** Which requests that may be retried are sent as trials to an upstream that is believed to be
 * failing. */
enum class TrialPolicy : std::uint8_t {
    EachVm,  ///< Each VM of each zone makes its own trials.
    InTurns, ///< The VMs of the upstream's zone make them, one VM at a time.
    None,    ///< No request is a trial; the retry budget has no room for its retry.
};

/** Request for the selection of an upstream. */
struct PlacementRequest
{
    core::ServiceId service;
    core::RouteId route;
    bool idempotent = false; ///< Whether the request may be retried.
    TrialPolicy trials = TrialPolicy::InTurns;
    core::Micros targetLatency {0};      ///< Target latency of the route.
    core::Micros elapsed {0};            ///< Time since the request arrived.
    core::Micros timeLeft {0};           ///< Time until the deadline.
    std::vector<core::UpstreamId> tried; ///< Upstreams to exclude.
    RegionSet allowedRegions;            ///< Upstreams of other regions are excluded.
    bool freeSlotOnly = false;           ///< Only an upstream with a free slot will do.
    std::size_t bodyBytes = 0;           ///< Size of the request's body.
    /** Whether a request that may be retried prefers the upstreams with the oldest successes. */
    bool prefersOldSuccess = false;
};

/** The upstream selected for a request. */
struct Placement
{
    core::UpstreamId upstream;
    std::string address;
    std::uint16_t port = 0;
    core::Micros expectedDuration {0}; ///< Of the attempt, including queueing at the upstream.
    double expectedLoss = 0;
    double failureEstimate = 0; ///< Probability that the attempt fails.
    bool isTrial = false;       ///< Whether the upstream is believed to be failing.
    bool isSpilled = false;     ///< Whether the own zone is short of slots; see ZoneLoadTable.
    std::uint64_t attempt = 0;  ///< Number of the attempt; set by attemptStarted().
    std::size_t bodyBytes = 0;  ///< PlacementRequest::bodyBytes.
};

/** Result of a selection. */
struct PlacementResult
{
    std::optional<Placement> placement;
    /** Valid only if there is no placement. */
    PlacementFailure reason = PlacementFailure::NoUpstream;
};

/** A finished attempt. */
struct AttemptRecord
{
    core::UpstreamId upstream;
    core::RouteId route;
    std::uint64_t attempt = 0; ///< Placement::attempt.
    AttemptEnd end = AttemptEnd::Answered;
    core::MonoTime startedAt {};
    core::MonoTime endedAt {};
    UpstreamStatus status; ///< From the upstream's response; empty without a usable one.
};

/** An attempt's outcome as VMs report it to each other. */
struct OutcomeReport
{
    core::UpstreamId upstream;
    bool failed = false;
    bool suspicionChanged = false; ///< Whether the sender started or ceased to suspect it.
};

/**
 * Selects upstreams by expected loss. Tracks the live upstreams of one VM and estimates the health,
 * load and speed of each. Uses no threads, sockets or clocks.
 */
class UpstreamTable
{
public:
    /** @param options Location of this VM and parameters. @param seed For random tie-breaking. */
    UpstreamTable(UpstreamTableOptions options, std::uint64_t seed);

    /** Adds or replaces an entry of the list of live upstreams. */
    void update(core::MonoTime now, const UpstreamEntry &entry);
    /** Removes an entry. Attempts in flight are not cancelled. */
    void remove(const core::UpstreamId &id);
    /** @return The ids of all entries. */
    std::vector<core::UpstreamId> ids() const;
    /** @return The entry of an upstream, or nullptr. */
    const UpstreamEntry *find(const core::UpstreamId &id) const;

    /** Selects the upstream with the lowest expected loss. The caller reports its use by
     * attemptStarted(). */
    PlacementResult choose(core::MonoTime now, const PlacementRequest &request);
    /** @return What choose() would decide now, with each upstream of the service and why it is not
     * selected. Changes nothing. */
    PlacementExplanation explain(core::MonoTime now, const PlacementRequest &request) const;
    /** Records that an attempt is about to be sent to the upstream, and sets its number. */
    void attemptStarted(core::MonoTime now, Placement &placement);
    /** Updates the estimates with a finished attempt. */
    void attemptFinished(const AttemptRecord &record);
    /** Updates the health estimate of an upstream with another VM's report. */
    void peerOutcomeReported(core::MonoTime now, const OutcomeReport &report);
    /** Records the end of a request that was not refused because of its account's limit. */
    void requestFinished(core::MonoTime now, const core::ServiceId &service, bool served)
    {
        if (options_.prefersRecentSuccess)
            recentSuccess_.requestFinished(now, service, served);
    }
    /** @return The preference for recent successes and its rates. */
    const RecentSuccessPreference &recentSuccess() const { return recentSuccess_; }
    /** @return Outcomes to report to other VMs since the last call. Removes them from the table. */
    std::vector<OutcomeReport> takeReports() { return std::exchange(reports_, {}); }
    /** @return Expected processing time of a route's requests without queueing; a third of the
     * target latency if none has been measured. */
    core::Micros expectedProcessingTime(const core::RouteId &route,
                                        core::Micros targetLatency) const;
    /** @return Total slots of the service's upstreams that are not draining. A limit that leaves an
     * upstream fewer requests of this processing time at once counts instead of its slots.
     * @param regions Upstreams of other regions do not count. */
    double slotsOf(const core::ServiceId &service, core::Micros processingTime,
                   const RegionSet &regions = {}) const;
    /** Stops to select the upstreams of a zone, until endEvacuation().
     * @return Whether the zone was not evacuated before. */
    bool beginEvacuation(const core::AvailabilityZoneId &zone);
    /** Selects the upstreams of a zone again, after a ramp-up. @return Whether the zone was
     * evacuated. */
    bool endEvacuation(core::MonoTime now, const core::AvailabilityZoneId &zone);
    /** @return The evacuated zones. */
    const ZoneEvacuations &evacuations() const { return evacuations_; }
    /** @return Number of upstreams of a zone. */
    std::size_t countInZone(const core::AvailabilityZoneId &zone) const;
    /** @return Whether a zone of the settings is in a region. */
    bool hasRegion(const core::RegionId &region) const { return regionIndex_.contains(region); }
    /** Sets this VM's share of the limits that the upstreams of each zone name.
     * @param unknownZone Share for zones that are not listed. */
    void setLimitShares(std::map<core::AvailabilityZoneId, UpstreamLimitShare> shares,
                        UpstreamLimitShare unknownZone);
    /** Sets the cold-start limits of the services, those of the configuration in force. */
    void setServices(core::MonoTime now, const std::vector<ServiceSettings> &services);
    /** Records the report of another VM on a limited upstream. */
    void limitReported(core::MonoTime now, const UpstreamLimitReport &report);
    /** Ends cold starts whose time has passed. Call it several times a second. @return Up to a
     * number of reports on limited upstreams for other VMs. */
    std::vector<UpstreamLimitReport> takeLimitReports(core::MonoTime now, std::size_t maxReports)
    {
        latestAt_ = now;
        return limiter_.takeReports(now, maxReports);
    }
    /** @return The bound of the request bodies at each upstream of a service over all VMs in bytes,
     * if there is one. */
    std::optional<double> byteBoundOf(core::MonoTime now, const core::ServiceId &service) const
    {
        return bytes_.boundOf(now, service);
    }
    /** @return Number of upstreams that name a limit. */
    std::size_t limitedCount() const { return limiter_.size(); }
    /** Sets the VMs that take callers in this VM's zone. They make the trials at its upstreams in
     * turn. @param self This VM. @param peers The others. */
    void setTrialVms(core::VmId self, std::vector<core::VmId> peers)
    {
        self_ = std::move(self);
        trialPeers_ = std::move(peers);
    }
    /** Counts the arrival of a caller's request for the load of the zone.
     * @param regions Regions in which it may be served. */
    void requestArrived(core::MonoTime now, const core::ServiceId &service,
                        const RegionSet &regions);
    /** Measures the slots of the own zone. Call it several times a second. */
    void measureZoneLoad(core::MonoTime now);
    /** @return Load of the zones, or nullptr if zones do not share load. */
    ZoneLoadTable *zoneLoads() { return zoneLoads_ ? &*zoneLoads_ : nullptr; }
    /** @return All services with at least one upstream. */
    std::vector<core::ServiceId> services() const;
    /** @return The upstreams of a service by the reason why they get no or few requests. */
    UpstreamCounts countsOf(core::MonoTime now, const core::ServiceId &service) const;

private:
    /** An attempt that has not finished. */
    struct InFlightAttempt
    {
        std::uint64_t number = 0;
        core::MonoTime overdueAt {}; ///< Later than this, it counts as a likely failure.
    };

    /** An upstream with its estimated health, load and speed. */
    struct Upstream
    {
        UpstreamEntry entry;
        double distance = 0;      ///< Loss from its zone or region; see UpstreamTableOptions.
        RegionNumber region;      ///< Of its zone.
        bool evacuated = false;   ///< Whether its zone is evacuated.
        core::MonoTime warmAt {}; ///< End of its warm-up after its start.
        /** End of its warm-up as its entry states it, and its responses to any VM. */
        core::MonoTime entryColdUntil {};
        core::MonoTime responseColdUntil {};
        double othersLoad = 0;    ///< Requests from other VMs, as last known.
        core::MonoTime loadAt {}; ///< Time of the last load report or refusal.
        bool lastFailed = false;  ///< Whether the last known outcome was a failure.
        double unhealthy = 0;     ///< Probability that it is unhealthy, as of unhealthyAt.
        core::MonoTime unhealthyAt {};
        double slowness = 1; ///< Its durations relative to the routes' averages, as of slownessAt.
        core::MonoTime slownessAt {};
        std::vector<InFlightAttempt> inFlight; ///< Attempts from this VM.
        core::MonoTime lastTriedAt {}; ///< Last attempt from this VM or report of another VM.
        /** Last success of a request of this VM or reported by another, at first the time at which
         * the upstream was listed. */
        core::MonoTime lastSuccessAt {};
        core::MonoTime lastFailureAt {}; ///< Last failure, seen or reported.
    };

    /** Expected result of sending a request to an upstream. */
    struct Estimate
    {
        core::Micros duration {0};
        double loss = 0;
        /** Loss with the age of the last success, if that counts. */
        double agedLoss = 0;
        double failure = 0; ///< Probability of failure.
        /** Whether a request that may not be retried is sent here rather than to wait: the upstream
         * is probably healthy, or due for a trial. */
        bool isAcceptable = false;
        bool isTrialDue = false; ///< Whether it gets the request because it was not tried lately.
        bool isTrial = false;   ///< Whether the upstream is believed to be failing and due a trial.
        bool isSpilled = false; ///< Whether the request is assigned to the upstream's zone.
    };

    /** @return Whether an upstream takes new requests. */
    bool isAccepting(const Upstream &upstream) const;
    static bool wasTried(const Upstream &upstream, const PlacementRequest &request);
    /** @return Whether an upstream has room for a request. */
    bool hasRoom(core::MonoTime now, const Upstream &upstream, const PlacementRequest &request,
                 bool isRampingUp) const;
    void setEvacuated(const core::AvailabilityZoneId &zone, bool evacuated);
    /** @return Why an upstream cannot get a request at all, or nothing. */
    std::optional<Exclusion> exclusionOf(core::MonoTime now, const Upstream &upstream,
                                         const PlacementRequest &request,
                                         const RegionFilter &regions, bool isRampingUp) const;
    /** @param spillDraw See spillDrawOf(). @return The estimate for an upstream. */
    Estimate evaluate(core::MonoTime now, const Upstream &upstream, const PlacementRequest &request,
                      std::optional<double> spillDraw) const;
    CandidateExplanation explainCandidate(core::MonoTime now, const Upstream &upstream,
                                          const PlacementRequest &request,
                                          std::optional<Exclusion> exclusion) const;
    /** @return The draw that assigns a request to a zone; nothing if its own zone serves all. */
    std::optional<double> spillDrawOf(core::MonoTime now, const PlacementRequest &request) const;
    bool isSpilledTo(core::MonoTime now, const Upstream &upstream, const PlacementRequest &request,
                     std::optional<double> spillDraw) const;
    bool takesFreeSlotOnly(core::MonoTime now, const Upstream &upstream,
                           const PlacementRequest &request) const;
    bool hasFreeSlotForOtherZone(core::MonoTime now, const Upstream &upstream) const;
    double agedLossOf(core::MonoTime now, const Upstream &upstream, const PlacementRequest &request,
                      const Estimate &estimate, double onsetRate, double tie) const;
    bool hasFreeSlot(core::MonoTime now, const Upstream &upstream) const;
    static Placement makePlacement(const Upstream &upstream, const Estimate &estimate);
    void addToService(Upstream &upstream);
    void removeFromService(const Upstream &upstream);
    double evidenceWeight(core::Micros age) const;
    /** @return The probability that an upstream is unhealthy, decayed towards the prior. */
    double unhealthyProbability(core::MonoTime now, const Upstream &upstream) const;
    double failureProbability(core::MonoTime now, const Upstream &upstream) const;
    double expectedLoss(const Upstream &upstream, const PlacementRequest &request,
                        core::Micros duration, double failure) const;
    /** @return Whether an upstream has not been tried for so long that it gets the request as a
     * trial. */
    bool isTrialDue(core::MonoTime now, const Upstream &upstream,
                    const PlacementRequest &request) const;
    bool isTurnDue(core::MonoTime now, const Upstream &upstream) const;
    /** @return Number of VMs whose turn to try an upstream comes before this VM's. */
    int trialRank(const Upstream &upstream) const;
    bool isFailing(core::MonoTime now, const Upstream &upstream) const;
    bool isSlow(core::MonoTime now, const Upstream &upstream) const;
    double avoidanceOf(core::MonoTime now, const Upstream &upstream) const;
    double slownessOf(core::MonoTime now, const Upstream &upstream) const;
    double overdueFailure(core::MonoTime now, const Upstream &upstream) const;
    double occupancyOf(core::MonoTime now, const Upstream &upstream) const;
    double distanceLoss(const core::AvailabilityZoneId &zone) const;
    core::Micros expectedDuration(core::MonoTime now, const Upstream &upstream,
                                  const PlacementRequest &request) const;
    double latenessLoss(core::Micros finish, core::Micros target) const;
    void updateHealth(core::MonoTime now, Upstream &upstream, bool failed,
                      double healthyFailureRate);
    bool isLateSuccess(const AttemptRecord &record, const Upstream &upstream) const;
    void recordOutcome(core::MonoTime now, Upstream &upstream, bool failed);
    void updateProcessingTime(const AttemptRecord &record, Upstream &upstream);
    void raiseSlowness(const AttemptRecord &record, Upstream &upstream) const;
    void updateLoad(const AttemptRecord &record, Upstream &upstream) const;
    void updateLimit(const AttemptRecord &record, Upstream &upstream);
    void updateColdLimit(core::MonoTime now, const Upstream &upstream, ColdSource source);
    /** @return Whether an upstream is cold and its service has a cold-start limit. */
    bool hasColdLimit(core::MonoTime now, const Upstream &upstream) const
    {
        return (now < upstream.entryColdUntil || now < upstream.responseColdUntil)
            && limiter_.isCold(now, upstream.entry.id);
    }
    const UpstreamLimitShare &limitShareOf(const Upstream &upstream) const;

    UpstreamTableOptions options_;
    RegionIndex regionIndex_;
    ZoneEvacuations evacuations_;
    std::mt19937_64 random_;
    std::map<core::UpstreamId, Upstream> upstreams_;
    /** The upstreams of each service, ordered by distance. */
    std::unordered_map<core::ServiceId, std::vector<Upstream *>, core::StrongHash> byService_;
    /** Moving average of each route's processing time. */
    std::unordered_map<core::RouteId, double, core::StrongHash> processingSeconds_;
    UpstreamNotices notices_;
    UpstreamRateLimiter limiter_;
    UpstreamByteLimiter bytes_;
    UpstreamCoverage coverage_;
    RecentSuccessPreference recentSuccess_;
    std::optional<ZoneLoadTable> zoneLoads_; ///< Set if zones share load.
    std::uint64_t spillSeed_ = 0;            ///< Draws differ between VMs.
    std::map<core::AvailabilityZoneId, UpstreamLimitShare> limitShares_;
    UpstreamLimitShare unknownZoneShare_; ///< For zones that limitShares_ does not list.
    /** Requests per second at a cold upstream of each service that has a limit. */
    std::unordered_map<core::ServiceId, double, core::StrongHash> coldPerSecond_;
    core::VmId self_;
    std::vector<core::VmId> trialPeers_; ///< Other VMs of the zone that take callers.
    std::vector<OutcomeReport> reports_;
    std::uint64_t lastAttempt_ = 0;
    core::MonoTime latestAt_ {}; ///< Latest known time; remove() is not given one.
};

} // namespace teaselreach::proxy
