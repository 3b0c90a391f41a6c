/** @file outlier.cpp Outlier detection: compares an upstream with the others of its service. */
#include "upstream/outlier_func.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace teaselreach::upstream {

namespace {

constexpr double referenceFraction = 0.7;
constexpr double minRatioToReference = 3;
/** Corrects the reference, as the mean of the lowest 70% is below the mean of all upstreams. */
constexpr double referenceBias = 1.3;
/**
 * Standard deviations above the reference that an ejection requires, so that hours of random losses
 * do not eject an upstream by chance.
 */
constexpr double minDeviations = 5;
constexpr core::Millis failureConfirmationTime {200};
constexpr core::Millis slownessConfirmationTime {700};

/** Indexed by Scope. */
constexpr EjectionRule ejectionRules[] = {
    {.minBad = 2.9, .minBadShare = 0.25, .minOutsideTopVm = 0, .minOutsideTopZone = 0},
    {.minBad = 5, .minBadShare = 0.25, .minOutsideTopVm = 2.5, .minOutsideTopZone = 0},
    {.minBad = 5, .minBadShare = 0.15, .minOutsideTopVm = 2.5, .minOutsideTopZone = 1},
};

} // namespace

PooledEvidence poolEvidence(const std::vector<WeightedReport> &reports)
{
    PooledEvidence pooled;
    std::map<core::AvailabilityZoneId, double> byZone;
    double topVm = 0;
    for (const WeightedReport &report : reports) {
        const double bad = report.counts.bad();
        const double discounted = bad * std::max(0.0, 1 - 2 * report.badShareElsewhere);
        const double scale = discounted > maxBadPerVm ? maxBadPerVm / discounted : 1;
        const double contribution = discounted * scale;
        pooled.bad += contribution;
        pooled.good += report.counts.good * scale;
        pooled.badFromFailures += bad > 0 ? contribution * report.counts.failed / bad : 0;
        topVm = std::max(topVm, contribution);
        byZone[report.zone] += contribution;
    }
    double topZone = 0;
    for (const auto &[zone, bad] : byZone)
        topZone = std::max(topZone, bad);
    pooled.badOutsideTopVm = pooled.bad - topVm;
    pooled.badOutsideTopZone = pooled.bad - topZone;
    return pooled;
}

double referenceShare(std::vector<double> shares)
{
    if (shares.empty())
        return 0;
    std::sort(shares.begin(), shares.end());
    const auto kept = std::max<std::size_t>(
        1, static_cast<std::size_t>(static_cast<double>(shares.size()) * referenceFraction));
    const auto end = shares.begin() + static_cast<std::ptrdiff_t>(kept);
    return std::accumulate(shares.begin(), end, 0.0) / static_cast<double>(kept);
}

const EjectionRule &ejectionRule(Scope scope)
{
    return ejectionRules[static_cast<std::size_t>(scope)];
}

bool isOutlier(const PooledEvidence &evidence, double reference, Scope scope)
{
    const EjectionRule &rule = ejectionRule(scope);
    const double share = evidence.badShare();
    if (evidence.bad < rule.minBad || share < rule.minBadShare)
        return false;
    const double expected = reference * referenceBias * (evidence.bad + evidence.good);
    if (share < minRatioToReference * reference
        || evidence.bad < expected + minDeviations * std::sqrt(expected))
        return false;
    return evidence.badOutsideTopVm >= rule.minOutsideTopVm
        && evidence.badOutsideTopZone >= rule.minOutsideTopZone;
}

core::Millis confirmationTime(const PooledEvidence &evidence)
{
    return evidence.badFromFailures * 2 >= evidence.bad ? failureConfirmationTime
                                                        : slownessConfirmationTime;
}

} // namespace teaselreach::upstream
