/** @file recent_success_base.h Preference for upstreams by the age of their last success. */
#pragma once

#include "placement/onset_rate_base.h"
#include "placement/served_share_base.h"

#include <optional>
#include <unordered_map>

namespace teaselreach::proxy {

/** Parameters of RecentSuccessPreference. */
struct RecentSuccessOptions
{
    OnsetRateOptions onsets;
    /** Share of a service's requests not served in the last second above which the preference is
     * off, and below which it is on again after a while. */
    double offAbove = 0.05;
    double onBelow = 0.03;
    core::Micros onAfter {core::Seconds(2)};
    /** Time after a lack of room at sound upstreams in which late successes count, so that failing
     * ones return to use sooner. */
    core::Micros lateSuccessesFor {core::Seconds(2)};
};

/**
 * Decides for each service whether the age of the last success counts in the selection of
 * upstreams, and how much. While many requests of a service are not served, all upstreams have to
 * be used, so it does not count. Uses no threads, sockets or clocks.
 */
class RecentSuccessPreference
{
public:
    /** @param options Parameters. */
    explicit RecentSuccessPreference(RecentSuccessOptions options = {})
        : options_(options)
    { }

    /** Records a success or a failure of an upstream, seen by this VM or reported to it. */
    void outcome(core::MonoTime now, const core::ServiceId &service,
                 const core::UpstreamId &upstream, bool failed);
    /** Records the end of a request that was not refused because of its account's limit. */
    void requestFinished(core::MonoTime now, const core::ServiceId &service, bool served);
    /** Records that a request found all sound upstreams full. */
    void soundUpstreamsFull(core::MonoTime now, const core::ServiceId &service);
    /** @return Whether a success of a request that was sent before the last failure of its upstream
     * is no evidence of a recovery. It counts while a service lacks room at sound upstreams: the
     * longer an upstream is avoided, the more load the others get. */
    bool ignoresLateSuccesses(core::MonoTime now, const core::ServiceId &service) const;
    /** Forgets the last outcome of an upstream. */
    void remove(const core::ServiceId &service, const core::UpstreamId &upstream);
    /** @return Rate per second by which the age of the last success counts; 0 while the preference
     * is off. Logs when it is turned on or off. */
    double ratePerSecond(core::MonoTime now, const core::ServiceId &service);
    /** @return As ratePerSecond(). Changes and logs nothing. */
    double currentRate(core::MonoTime now, const core::ServiceId &service) const;
    /** @return Measured rate per second, also while the preference is off. */
    double onsetRate(core::MonoTime now, const core::ServiceId &service) const;
    /** @return Whether the preference was on at the last selection. */
    bool isPreferred(const core::ServiceId &service) const;

private:
    struct State
    {
        OnsetRate onsets;
        bool isOn = false;      ///< At the last selection; for the log and the metric.
        bool isHeldOff = false; ///< Because of requests that were not served.
        /** Time since which few enough requests are not served. */
        std::optional<core::MonoTime> lowSince;
        std::optional<core::MonoTime> fullAt; ///< Last time at which all sound ones were full.
    };

    void updateHold(core::MonoTime now, State &state, double unserved) const;
    State &stateOf(const core::ServiceId &service);

    RecentSuccessOptions options_;
    ServedShare served_;
    std::unordered_map<core::ServiceId, State, core::StrongHash> services_;
};

/** @return Probability that a failing period has begun since the last success.
 * @param age Time since the last success. @param perSecond Rate of beginnings. */
double onsetProbability(core::Micros age, double perSecond);

} // namespace teaselreach::proxy
