/** @file onset_rate.cpp Rate at which the upstreams of one service begin to fail. */
#include "placement/onset_rate_base.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::proxy {

namespace {

double secondsOf(core::Micros time)
{
    return std::max(0.0, std::chrono::duration<double>(time).count());
}

} // namespace

/** @return What is left of the weight of the observations that were counted up to agedAt_. */
double OnsetRate::weight(core::MonoTime now) const
{
    return std::exp(-secondsOf(now - agedAt_) / secondsOf(options_.timeConstant));
}

void OnsetRate::age(core::MonoTime now)
{
    if (now <= agedAt_)
        return;
    const double left = weight(now);
    onsets_ *= left;
    soundSeconds_ *= left;
    agedAt_ = now;
}

void OnsetRate::succeeded(core::MonoTime now, const core::UpstreamId &upstream)
{
    age(now);
    LastOutcome &last = upstreams_[upstream];
    if (last.sound)
        soundSeconds_ += secondsOf(now - last.at);
    last.sound = true;
    last.at = std::max(last.at, now);
}

void OnsetRate::failed(core::MonoTime now, const core::UpstreamId &upstream)
{
    age(now);
    LastOutcome &last = upstreams_[upstream];
    if (last.sound) {
        soundSeconds_ += secondsOf(now - last.at);
        if (!last.hasFailed || now - last.failedAt > options_.samePeriod)
            ++onsets_;
    }
    last = {.sound = false, .at = now, .failedAt = now, .hasFailed = true};
}

double OnsetRate::perSecond(core::MonoTime now) const
{
    const double left = weight(now);
    if (onsets_ * left < options_.minOnsets)
        return 0;
    const double rate = onsets_ * left / (soundSeconds_ * left + options_.priorSoundSeconds);
    return rate < options_.minPerSecond ? 0 : std::min(rate, options_.maxPerSecond);
}

} // namespace teaselreach::proxy
