/** @file upstream_table_base.h Live upstreams, what is known of each, and the choice of one. */
#pragma once

#include "proxy/proxy_type.h"

#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselreach::proxy {

/** Weights of the choice. A loss is a fraction of a request's full value. */
struct UpstreamTableOptions
{
    core::Location self;
    std::map<core::AvailabilityZoneId, core::RegionId> regionOfZone;
    /** Loss by the volume price of an exchange with another zone of the region. */
    double crossZoneLoss = 0.06;
    /** Loss by the volume price and 40 ms of an exchange with another region, and by the load that
     * it brings to upstreams whose own callers need them. */
    double crossRegionLoss = 0.6;
    /** Value that is lost when an answer comes after the route's target latency. */
    double lateLoss = 0.7;
    /** Requests in an upstream, as a multiple of its slots, above which it is not chosen. More
     * would wait there, out of reach of priorities and deadlines. */
    double maxOccupancy = 2.0;
    /** Probability that an upstream is sick when nothing is known of it. */
    double unhealthyPrior = 0.08;
    /** Probability that a spell has begun since the last outcome: a good record, however long, says
     * nothing of it. */
    double onsetProbability = 0.01;
    /** Typical length of a sick spell: older evidence fades towards the prior. */
    core::Micros unhealthyPeriod {core::Seconds(8)};
    /** Probability that a sick and that a sound upstream fails a request. A sick one may fail
     * nearly all requests or half of them. */
    double unhealthyFailureRate = 0.75;
    double healthyFailureRate = 0.015;
    /** The same for a failure that another VM saw: it may concern only its own path. */
    double reportedHealthyFailureRate = 0.06;
    /** Part of the estimate of failures that matters for a request that may be sent again. */
    double retryableFailureFactor = 0.4;
    /** Estimate of failures below which an upstream counts as sound, and above which a request that
     * may not be sent again rather waits for a sound one that is busy. */
    double suspectThreshold = 0.3;
    double avoidThreshold = 0.5;
    /** Time without an attempt after which an upstream that is suspectThreshold, slow or cold gets
     * the next request that may be sent again. Its recovery is noticed within it, and no sound
     * upstream stays without work for longer. */
    core::Micros trialInterval {core::Seconds(1)};
    /** Time in which another VM's load report loses half of its weight. */
    core::Micros loadHalfLife {core::Millis(300)};
    /** Weight of the newest duration in the estimates of work times. */
    double durationGain = 0.1;
    /** Slowness of an upstream that has just started. */
    double coldFactor = 2.0;
};

/** A request that needs an upstream. */
struct PlacementRequest
{
    core::ServiceId service;
    core::RouteId route;
    bool idempotent = false;
    core::Micros targetLatency {0}; ///< Of the route.
    core::Micros elapsed {0};       ///< Since the arrival of the request.
    core::Micros timeLeft {0};      ///< Until its deadline.
    std::vector<core::UpstreamId> tried;
};

/** The choice for a request. */
struct Placement
{
    core::UpstreamId upstream;
    std::string address;
    std::uint16_t port = 0;
    core::Micros expectedDuration {0}; ///< Of the attempt, with its wait at the upstream.
    double expectedLoss = 0;
    double failureEstimate = 0;
    std::uint64_t attempt = 0; ///< Names the attempt in its record; set by started().
};

/** Why no upstream was chosen. */
enum class PlacementFailure : std::uint8_t {
    NoUpstream, ///< The service has no upstream that takes new work.
    AllBusy,    ///< Each has as much work as it may have; a wait may help.
    TooLate,    ///< None would answer before the deadline.
};

/** The outcome of a choice. */
struct PlacementResult
{
    std::optional<Placement> placement;
    PlacementFailure reason = PlacementFailure::NoUpstream; ///< Set if there is no placement.
};

/** The end of an attempt. */
struct AttemptRecord
{
    core::UpstreamId upstream;
    core::RouteId route;
    std::uint64_t attempt = 0; ///< Placement::attempt.
    AttemptEnd end = AttemptEnd::Answered;
    core::MonoTime startedAt {};
    core::MonoTime endedAt {};
    std::optional<LoadReport> load;
};

/** An outcome that VMs tell each other. */
struct OutcomeReport
{
    core::UpstreamId upstream;
    bool failed = false;
    bool suspicionChanged = false; ///< It turned what the sender believes of the upstream.
};

/**
 * All decisions about upstreams on one VM: which are live, how likely each fails, how loaded and
 * how fast it is, and which one a request goes to. Without threads, sockets or clocks.
 */
class UpstreamTable
{
public:
    /** @param options Place of this VM and weights. @param seed For ties between equals. */
    UpstreamTable(UpstreamTableOptions options, std::uint64_t seed);

    /** Adds or replaces an entry of the list of live upstreams. */
    void update(core::MonoTime now, const UpstreamEntry &entry);
    /** Removes an entry. Attempts that are under way go on. */
    void remove(const core::UpstreamId &id);
    /** @return The ids of all entries. */
    std::vector<core::UpstreamId> ids() const;
    /** @return The entry of an upstream, or nullptr. */
    const UpstreamEntry *find(const core::UpstreamId &id) const;

    /** Chooses the upstream with the lowest expected loss. Call started() for the choice. */
    PlacementResult choose(core::MonoTime now, const PlacementRequest &request);
    /** Records that the attempt of a placement is about to be sent, and numbers it. */
    void attemptStarted(core::MonoTime now, Placement &placement);
    /** Records the end of an attempt. */
    void attemptFinished(const AttemptRecord &record);
    /** Takes in another VM's report of an outcome that changes what is believed of an upstream. */
    void peerOutcomeReported(core::MonoTime now, const OutcomeReport &report);
    /** @return What other VMs should know since the last call. */
    std::vector<OutcomeReport> takeReports() { return std::exchange(reports_, {}); }
    /** @return Work time of a route's requests, without waits; the target's third if unknown. */
    core::Micros expectedProcessingTime(const core::RouteId &route,
                                        core::Micros targetLatency) const;
    /** @return Slots of all upstreams of a service that take new work. */
    int slotsOf(const core::ServiceId &service) const;

private:
    /** An attempt that has not ended. */
    struct InFlightAttempt
    {
        std::uint64_t number = 0;
        core::MonoTime overdueAt {}; ///< From then on it counts as stalled.
    };

    /** One upstream and what is known of it. */
    struct Upstream
    {
        UpstreamEntry entry;
        double distance = 0;      ///< Loss by the way to it; see UpstreamTableOptions.
        core::MonoTime warmAt {}; ///< End of its slow start.
        double othersLoad = 0;    ///< Requests of other VMs when it last reported.
        core::MonoTime loadAt {};
        double unhealthy = 0; ///< Probability that it is sick, at unhealthyAt.
        core::MonoTime unhealthyAt {};
        double slowness = 1;                   ///< Its durations relative to those of its service.
        std::vector<InFlightAttempt> inFlight; ///< Attempts of this VM.
        core::MonoTime lastTriedAt {}; ///< Last attempt, or last failure that another VM saw.
    };

    /** What a request may estimate of an upstream. */
    struct Estimate
    {
        core::Micros duration {0};
        double loss = 0;
        double failure = 0;
    };

    static bool isEligible(const Upstream &upstream, const PlacementRequest &request);
    Estimate evaluate(core::MonoTime now, const Upstream &upstream,
                      const PlacementRequest &request);
    static Placement makePlacement(const Upstream &upstream, const Estimate &estimate);
    void addToService(Upstream &upstream);
    void removeFromService(const Upstream &upstream);
    double unhealthyProbability(core::MonoTime now, const Upstream &upstream) const;
    double failureProbability(core::MonoTime now, const Upstream &upstream) const;
    double expectedLoss(core::MonoTime now, const Upstream &upstream,
                        const PlacementRequest &request, core::Micros duration,
                        double failure) const;
    double overdueFailure(core::MonoTime now, const Upstream &upstream) const;
    double occupancyOf(core::MonoTime now, const Upstream &upstream) const;
    double distanceLoss(const core::AvailabilityZoneId &zone) const;
    core::Micros expectedDuration(core::MonoTime now, const Upstream &upstream,
                                  const PlacementRequest &request) const;
    double latenessLoss(core::Micros finish, core::Micros target) const;
    void updateHealth(core::MonoTime now, Upstream &upstream, bool failed,
                      double healthyFailureRate);
    void updateProcessingTime(const AttemptRecord &record, Upstream &upstream);
    void updateLoad(const AttemptRecord &record, Upstream &upstream) const;

    UpstreamTableOptions options_;
    std::mt19937_64 random_;
    std::map<core::UpstreamId, Upstream> upstreams_;
    /** The upstreams of each service, nearest first. */
    std::unordered_map<core::ServiceId, std::vector<Upstream *>, core::StrongHash> byService_;
    std::unordered_map<core::RouteId, double, core::StrongHash> processingSeconds_;
    std::vector<OutcomeReport> reports_;
    std::uint64_t lastAttempt_ = 0;
};

} // namespace teaselreach::proxy
