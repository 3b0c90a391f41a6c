/** @file recent_success.cpp Preference for upstreams by the age of their last success. */
#include "core/log_func.h"
#include "placement/recent_success_base.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::proxy {

RecentSuccessPreference::State &RecentSuccessPreference::stateOf(const core::ServiceId &service)
{
    return services_.try_emplace(service, State {.onsets = OnsetRate(options_.onsets)})
        .first->second;
}

void RecentSuccessPreference::outcome(core::MonoTime now, const core::ServiceId &service,
                                      const core::UpstreamId &upstream, bool failed)
{
    OnsetRate &onsets = stateOf(service).onsets;
    if (failed)
        onsets.failed(now, upstream);
    else
        onsets.succeeded(now, upstream);
}

void RecentSuccessPreference::requestFinished(core::MonoTime now, const core::ServiceId &service,
                                              bool served)
{
    served_.finished(now, service, served);
    updateHold(now, stateOf(service), served_.unserved(now, service));
}

void RecentSuccessPreference::soundUpstreamsFull(core::MonoTime now, const core::ServiceId &service)
{
    stateOf(service).fullAt = now;
}

bool RecentSuccessPreference::ignoresLateSuccesses(core::MonoTime now,
                                                   const core::ServiceId &service) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.onsets.perSecond(now) <= 0)
        return false;
    const std::optional<core::MonoTime> &fullAt = found->second.fullAt;
    return !fullAt || now - *fullAt > options_.lateSuccessesFor;
}

void RecentSuccessPreference::remove(const core::ServiceId &service,
                                     const core::UpstreamId &upstream)
{
    const auto found = services_.find(service);
    if (found != services_.end())
        found->second.onsets.remove(upstream);
}

void RecentSuccessPreference::updateHold(core::MonoTime now, State &state, double unserved) const
{
    if (unserved > options_.offAbove)
        state.isHeldOff = true;
    if (unserved >= options_.onBelow) {
        state.lowSince.reset();
        return;
    }
    if (!state.lowSince)
        state.lowSince = now;
    if (now - *state.lowSince >= options_.onAfter)
        state.isHeldOff = false;
}

double RecentSuccessPreference::ratePerSecond(core::MonoTime now, const core::ServiceId &service)
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return 0;
    State &state = found->second;
    const double unserved = served_.unserved(now, service);
    updateHold(now, state, unserved);
    const double rate = state.isHeldOff ? 0 : state.onsets.perSecond(now);
    if ((rate > 0) != state.isOn) {
        state.isOn = rate > 0;
        core::logEvent(
            core::LogLevel::Info, "recent_success_preference",
            {{"service", service.str()},
             {"state", state.isOn ? "on" : "off"},
             {"unserved_pct", static_cast<std::int64_t>(100 * unserved)},
             {"onsets_per_1000_s", static_cast<std::int64_t>(1000 * state.onsets.perSecond(now))}});
    }
    return rate;
}

double RecentSuccessPreference::currentRate(core::MonoTime now,
                                            const core::ServiceId &service) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return 0;
    State state = found->second;
    updateHold(now, state, served_.unserved(now, service));
    return state.isHeldOff ? 0 : state.onsets.perSecond(now);
}

double RecentSuccessPreference::onsetRate(core::MonoTime now, const core::ServiceId &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.onsets.perSecond(now);
}

bool RecentSuccessPreference::isPreferred(const core::ServiceId &service) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second.isOn;
}

double onsetProbability(core::Micros age, double perSecond)
{
    const double seconds = std::chrono::duration<double>(age).count();
    return 1 - std::exp(-std::max(0.0, seconds) * perSecond);
}

} // namespace teaselreach::proxy
