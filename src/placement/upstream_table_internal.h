/** @file upstream_table_internal.h Constants and helpers of the files of UpstreamTable. */
#pragma once

#include "placement/upstream_table_base.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::proxy::detail {

/** Duration of an attempt, as a multiple of the expected one, above which it is overdue. */
constexpr double overdueFactor = 4.0;
/** Shortest duration after which an attempt can be overdue. */
constexpr core::Micros overdueMinimum {core::Millis(400)};
/** Bounds of the estimated slowness of an upstream. */
constexpr double minSlowness = 0.5;
constexpr double maxSlowness = 12.0;
/** Loss differences below this count as ties and are broken at random. */
constexpr double tieLoss = 0.02;
/** Expected latency, as a fraction of the target, up to which a response is assumed to be in time
 * and from which it is assumed to be late. The loss rises linearly in between. */
constexpr double inTimeRatio = 0.5;
constexpr double lateRatio = 1.3;
/** Loss per unit of latency relative to the target, below the range where a response may be late.
 * Prefers the faster of two upstreams that are both in time. */
constexpr double slownessLoss = 0.1;
/** Failure probability that one overdue attempt implies. */
constexpr double overdueAttemptFailure = 0.5;
/** Cap on the durations that update a route's average, as a multiple of that average. */
constexpr double maxDurationMultiple = 3;
/** Weight of a duration in the slowness of an upstream, relative to its weight in the average of
 * the route. An upstream's speed changes faster than a route's processing time. */
constexpr double slownessGain = 2;
/** Assumed processing time of a route without responses: its target latency divided by this. */
constexpr int unknownProcessingTimeDivisor = 3;
/** Lower bound, in seconds, of the average that durations are compared with. */
constexpr double minProcessingSeconds = 1e-4;

inline double seconds(core::Micros time)
{
    return std::chrono::duration<double>(time).count();
}

inline core::Micros micros(double secondsCount)
{
    return std::chrono::duration_cast<core::Micros>(std::chrono::duration<double>(secondsCount));
}

inline double decay(core::Micros age, core::Micros halfLife)
{
    return std::exp2(-std::max(0.0, seconds(age)) / seconds(halfLife));
}

inline bool countsAsFailure(AttemptEnd end)
{
    return end == AttemptEnd::ServerError || end == AttemptEnd::UnprovenRefusal
        || end == AttemptEnd::Broken || end == AttemptEnd::TimedOut || end == AttemptEnd::NotSent;
}

/** @return The reason for a service without a selected upstream, after one more of its upstreams.
 * The reason that is closest to a selection counts. */
inline PlacementFailure failureAfter(PlacementFailure reason, std::optional<Exclusion> exclusion)
{
    if (exclusion == Exclusion::OtherRegion || exclusion == Exclusion::Evacuated
        || exclusion == Exclusion::Draining)
        return reason;
    if (reason == PlacementFailure::NoAllowedRegion)
        reason = PlacementFailure::NoUpstream;
    if (exclusion == Exclusion::Tried)
        return reason;
    const bool isLimited = exclusion == Exclusion::ByteLimit || exclusion == Exclusion::HoldingOff
        || exclusion == Exclusion::NamedLimit || exclusion == Exclusion::ColdLimit;
    if (isLimited)
        return reason == PlacementFailure::NoUpstream ? PlacementFailure::LimitReached : reason;
    const bool isUnset =
        reason == PlacementFailure::NoUpstream || reason == PlacementFailure::LimitReached;
    return isUnset ? PlacementFailure::AllBusy : reason;
}

} // namespace teaselreach::proxy::detail
