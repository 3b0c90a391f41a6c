/** @file upstream_coverage.cpp Bounds how many upstreams of a service get no requests. */
#include "core/log_func.h"
#include "placement/upstream_coverage_base.h"

#include <algorithm>

namespace teaselreach::proxy {

bool UpstreamCoverage::isCountDue(core::MonoTime now, const core::ServiceId &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() || now - found->second.countedAt >= options_.countInterval;
}

void UpstreamCoverage::counted(core::MonoTime now, const core::ServiceId &service,
                               UpstreamCounts counts)
{
    State &state = services_[service];
    state.countedAt = now;
    state.trialLimit = 0;
    const std::size_t always = counts.accepting >= options_.oneAvoidableFrom ? 1 : 0;
    const auto allowed =
        std::max(always, static_cast<std::size_t>(options_.maxAvoidedShare * counts.accepting));
    if (counts.avoidance.size() > allowed) {
        const auto last = counts.avoidance.end() - 1 - static_cast<std::ptrdiff_t>(allowed);
        std::nth_element(counts.avoidance.begin(), last, counts.avoidance.end());
        state.trialLimit = *last;
        state.shortUntil = now + options_.shortFor;
    }
    const bool isShort = now < state.shortUntil;
    if (isShort == state.isShort)
        return;
    state.isShort = isShort;
    core::logEvent(core::LogLevel::Info, isShort ? "coverage_short" : "coverage_restored",
                   {{"service", service.str()},
                    {"accepting", counts.accepting},
                    {"failing", counts.failing},
                    {"slow", counts.slow},
                    {"holding_off", counts.holdingOff},
                    {"limited", counts.limited}});
}

bool UpstreamCoverage::isShort(const core::ServiceId &service) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second.isShort;
}

double UpstreamCoverage::trialLimit(const core::ServiceId &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.trialLimit;
}

} // namespace teaselreach::proxy
