/** @file hedge_policy_base.h Decides when a slow request gets a second attempt in parallel. */
#pragma once

#include "placement/latency_window_base.h"
#include "placement/placement_type.h"
#include "placement/retry_budget_base.h"

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

namespace teaselreach::proxy {

/** Settings of the HedgePolicy. */
struct HedgeOptions
{
    /** Hedges for each request of the service in the window, 0 to maxHedgeRatio; 0 disables
     * hedging. */
    double limitRatio = 0;
    core::Micros limitWindow {core::Seconds(10)};
    LatencyWindowOptions latency;
    /** Window of the outcomes and response times that suppress hedges. */
    core::Micros suppressionWindow {core::Seconds(1)};
    /** Fraction of refused and failed attempts in the window from which no hedge is sent. */
    double failureRatio = 0.2;
    /** Median response time, relative to the usual one, above which no hedge is sent: the service
     * is slow as a whole, and more load would make it slower. */
    double slowFactor = 2;
    /** Response times in the window that the comparison of medians needs. */
    int minSpeedSamples = 10;
    /** Failure estimate of an upstream above which it gets no hedges. */
    double maxFailureEstimate = 0.3;
};

/** Largest HedgeOptions::limitRatio. */
inline constexpr double maxHedgeRatio = 0.2;
/** Hedges that a service may save up, as a fraction of those that its requests in the window allow,
 * but at least one. Bounds the hedges that are sent at once when responses become slow. */
inline constexpr double maxSavedRatio = 0.1;

/** Why a hedge is not sent. */
enum class HedgeDenial : std::uint8_t {
    NotAllowed, ///< The route is not idempotent, or the request has had a hedge.
    LimitReached,
    Queued,     ///< Requests wait for an upstream of the service.
    Failing,    ///< The service refuses or fails too many attempts.
    Slow,       ///< The service is slow as a whole.
    Leaving,    ///< The VM shuts down.
    TooLate,    ///< The deadline leaves no time for it.
    NoUpstream, ///< No other healthy upstream has a free slot.
    NoBudget,   ///< The retry budget is used up.
    /** Hedges have cancelled the latest attempts at the upstream; this one shows its health. */
    NeedsResult,
    NoMemory, ///< The bodies that the process holds leave no room for a copy.
};

/** @return The name of a reason in logs and metrics; these names do not change. */
std::string_view hedgeDenialName(HedgeDenial denial);

/** How a hedged request ended. */
enum class HedgeOutcome : std::uint8_t {
    Won,       ///< The caller gets the response of the hedge.
    Lost,      ///< The caller gets the response of the first attempt.
    Failed,    ///< Neither attempt has brought a good response.
    Cancelled, ///< The caller has left, or the process ends.
};

/** @return The name of an outcome in logs and metrics; these names do not change. */
std::string_view hedgeOutcomeName(HedgeOutcome outcome);

/** A finished attempt, as the HedgePolicy counts it. */
struct HedgeObservation
{
    core::ServiceId service;
    core::RouteId route;
    AttemptEnd end = AttemptEnd::Broken;
    core::MonoTime startedAt {};
    core::MonoTime endedAt {};
    bool isHedge = false;    ///< Its response time says nothing of the route's usual ones.
    bool wasOverdue = false; ///< Whether attemptOverdue() has counted it as slow already.
};

/**
 * Applies the delay, the limit and the suppression rules of hedges. Knows the requests of this VM
 * only. The limit of all VMs together holds in every window without messages between them, also
 * when callers move: RetryBudget, which each VM applies to its own requests, has that property.
 * Uses no threads, sockets or clocks.
 */
class HedgePolicy
{
public:
    /** @param options Settings. */
    explicit HedgePolicy(HedgeOptions options);

    /** @return Whether hedging is enabled. All other functions require that. */
    bool enabled() const { return options_.limitRatio > 0; }
    /** Records the arrival of a request; it raises the limit. */
    void requestArrived(core::MonoTime now, const core::ServiceId &service);
    /** Records a finished attempt. */
    void attemptFinished(const HedgeObservation &observation);
    /** Records that an attempt has lasted for the delay and is still in flight. It counts as slow:
     * usually one in twenty is, and when most are, no response has to end before it shows. */
    void attemptOverdue(core::MonoTime now, const core::ServiceId &service);

    /** @return Time after the start of an attempt at which a hedge is considered; zero for never,
     * while too few response times of the route are known. */
    core::Micros delay(core::MonoTime now, const core::RouteId &route);
    /** @return As delay(). Changes nothing. */
    core::Micros currentDelay(core::MonoTime now, const core::RouteId &route) const;
    /** @return The reason why the service gets no hedge now, or nothing. */
    std::optional<HedgeDenial> denial(core::MonoTime now, const core::ServiceId &service);
    /** Counts a hedge against the limit. */
    void hedgeSent(core::MonoTime now, const core::ServiceId &service);
    /** @return Hedges for each request of the service in the limit's window. */
    double share(core::MonoTime now, const core::ServiceId &service);

private:
    /** An event that suppresses hedges, or the opposite. */
    struct Mark
    {
        core::MonoTime at {};
        bool isBad = false;
    };
    /** The events of a window, and how many of them are bad. */
    class Marks
    {
    public:
        void add(core::MonoTime now, bool isBad);
        void expire(core::MonoTime oldest);
        int size() const { return static_cast<int>(marks_.size()); }
        int bad() const { return bad_; }

    private:
        std::deque<Mark> marks_;
        int bad_ = 0;
    };
    /** State of one service. */
    struct Service
    {
        explicit Service(const RetryBudgetOptions &limit)
            : windows(limit)
        { }
        RetryBudget windows;                 ///< The limit in each window that contains a hedge.
        std::deque<core::MonoTime> requests; ///< Arrivals in the limit's window.
        std::deque<core::MonoTime> hedges;   ///< Hedges sent in the limit's window.
        double tokens = 0;                   ///< Hedges saved up by arrivals.
        Marks outcomes;                      ///< Bad: refused or failed.
        Marks speeds;                        ///< Bad: above slowFactor times the usual median.
    };

    Service &serviceAt(core::MonoTime now, const core::ServiceId &id);
    LatencyWindow &windowOf(const core::RouteId &route);
    bool isSlow(core::MonoTime now, const core::RouteId &route, core::Micros duration);

    HedgeOptions options_;
    std::unordered_map<core::ServiceId, Service, core::StrongHash> services_;
    std::unordered_map<core::RouteId, LatencyWindow, core::StrongHash> routes_;
};

} // namespace teaselreach::proxy
