/** @file onset_rate_base.h Rate at which the upstreams of one service begin to fail. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <unordered_map>

namespace teaselreach::proxy {

/** Parameters of OnsetRate. */
struct OnsetRateOptions
{
    /** Time constant with which observations lose their weight. */
    core::Micros timeConstant {core::Seconds(30)};
    /** Upper bound of the rate, per second. */
    double maxPerSecond = 0.5;
    /** Rates below this, per second, count as zero: they change the failure probability of an
     * upstream without a success for 10 s by less than the width of a tie. */
    double minPerSecond = 0.001;
    /** Weighted number of beginnings below which the rate counts as zero: a single failure or
     * time-out says nothing of a rate. */
    double minOnsets = 1.5;
    /** Time after a failure within which another one belongs to the same failing period. A failing
     * upstream answers a few requests, which do not end the period. */
    core::Micros samePeriod {core::Seconds(2)};
    /** Time in which a single sound upstream is assumed to have been observed at the start, in
     * seconds, so that the first failure does not count as a high rate. */
    double priorSoundSeconds = 30;
};

/**
 * Measures how often an upstream of a service begins to fail: the number of failures after a
 * success, divided by the time for which upstreams were seen sound. Both lose their weight with
 * age. The estimate is zero until upstreams have failed twice. Uses no clock.
 */
class OnsetRate
{
public:
    /** @param options Parameters. */
    explicit OnsetRate(OnsetRateOptions options = {})
        : options_(options)
    { }

    /** Records a success of an upstream. */
    void succeeded(core::MonoTime now, const core::UpstreamId &upstream);
    /** Records a failure of an upstream. */
    void failed(core::MonoTime now, const core::UpstreamId &upstream);
    /** Forgets the last outcome of an upstream that is no longer listed. */
    void remove(const core::UpstreamId &upstream) { upstreams_.erase(upstream); }
    /** @return Beginnings of failing periods per upstream and second that it was sound. */
    double perSecond(core::MonoTime now) const;

private:
    /** Last outcomes of an upstream. */
    struct LastOutcome
    {
        bool sound = false;         ///< Whether the last outcome was a success.
        core::MonoTime at {};       ///< Time of the last outcome.
        core::MonoTime failedAt {}; ///< Time of the last failure.
        bool hasFailed = false;     ///< Whether failedAt is set.
    };

    double weight(core::MonoTime now) const;
    void age(core::MonoTime now);

    OnsetRateOptions options_;
    std::unordered_map<core::UpstreamId, LastOutcome, core::StrongHash> upstreams_;
    double onsets_ = 0;       ///< Weighted number of beginnings, as of agedAt_.
    double soundSeconds_ = 0; ///< Weighted time, as of agedAt_.
    core::MonoTime agedAt_ {};
};

} // namespace teaselreach::proxy
