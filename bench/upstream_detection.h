/** @file upstream_detection.h Measures how fast a failing upstream loses its traffic. */
#pragma once

#include "standins/upstream_fleet.h"

#include <algorithm>
#include <future>
#include <vector>

namespace teaselreach::bench {

inline constexpr core::Seconds warmUp {20};
inline constexpr core::Seconds observationTime {60}; ///< From the onset of the fault.
/** Time after the onset from which the later traffic and latencies are measured. */
inline constexpr core::Seconds detectionDeadline {5};
/** Index of the upstream that fails. */
inline constexpr std::size_t failingUpstream = 7;

/** Measurements of one run. */
struct DetectionResult
{
    double seconds = 0; ///< From the onset to the end of ordinary traffic, see trafficEnd().
    double laterTrafficShare = 0;   ///< Rate after detectionDeadline / rate in the warm-up.
    double trialShare = 0;          ///< Trials at 25 ms each / its capacity in observationTime.
    double p99Ratio = 0;            ///< p99 of lookups after detectionDeadline / before the fault.
    std::size_t falseEjections = 0; ///< Ejections of healthy upstreams.
};

/** Reorders the samples. @return The quantile in ms for a share of 0 to 1; 0 without samples. */
inline double quantileMs(std::vector<core::Micros> &samples, double share)
{
    if (samples.empty())
        return 0;
    const auto rank = static_cast<std::ptrdiff_t>(static_cast<double>(samples.size() - 1) * share);
    std::nth_element(samples.begin(), samples.begin() + rank, samples.end());
    return static_cast<double>(samples[static_cast<std::size_t>(rank)].count()) / 1000;
}

/**
 * @return Seconds from the onset of the fault to the end of ordinary traffic. This is the last
 *     attempt before a gap in which the upstream would usually get 20 attempts; the gap is at least
 *     0.5 s.
 */
inline double trafficEnd(const std::vector<core::MonoTime> &sent, core::MonoTime onset,
                         double usualPerSecond)
{
    const auto gap = std::max(core::Micros(500'000),
                              core::Micros(static_cast<std::int64_t>(20e6 / usualPerSecond)));
    core::MonoTime last = onset;
    for (const core::MonoTime at : sent) {
        if (at < onset)
            continue;
        if (at - last > gap)
            break;
        last = at;
    }
    return std::chrono::duration<double>(last - onset).count();
}

/** Simulates a fleet in which one upstream starts to fail after the warm-up. */
inline DetectionResult measureDetection(const standins::FleetOptions &options,
                                        standins::Fault fault)
{
    standins::UpstreamFleet fleet(options);
    fleet.runUntil(warmUp);
    const double usualRate = static_cast<double>(fleet.sentTo(failingUpstream).size())
        / std::chrono::duration<double>(warmUp).count();
    const double p99BeforeFault = quantileMs(fleet.counts().lookupLatency, 0.99);
    fleet.setFault(failingUpstream, fault);
    fleet.runUntil(warmUp + detectionDeadline);
    fleet.counts().lookupLatency.clear();
    fleet.runUntil(warmUp + observationTime);
    const core::MonoTime onset = standins::UpstreamFleet::start + warmUp;
    const auto &sent = fleet.sentTo(failingUpstream);
    const auto later = std::count_if(sent.begin(), sent.end(), [&](core::MonoTime at) {
        return at > onset + detectionDeadline;
    });
    const double laterSeconds =
        std::chrono::duration<double>(observationTime - detectionDeadline).count();
    const double seconds = std::chrono::duration<double>(observationTime).count();
    constexpr double trialSeconds = 0.025;
    DetectionResult result;
    result.seconds = trafficEnd(sent, onset, usualRate);
    result.laterTrafficShare = static_cast<double>(later) / laterSeconds / usualRate;
    result.trialShare = static_cast<double>(fleet.trialsTo(failingUpstream)) * trialSeconds
        / seconds / options.slots;
    result.p99Ratio = quantileMs(fleet.counts().lookupLatency, 0.99) / p99BeforeFault;
    result.falseEjections = static_cast<std::size_t>(std::count_if(
        fleet.events().begin(), fleet.events().end(), [&](const standins::EventSeen &seen) {
            return seen.event.kind == upstream::HealthEvent::Kind::Ejected
                && seen.event.upstream != fleet.idOf(failingUpstream);
        }));
    return result;
}

/** Results over several seeds. */
struct DetectionSummary
{
    /** The maximum of each value over the seeds, but the sum of falseEjections. */
    DetectionResult worst;
    double meanSeconds = 0; ///< Mean of DetectionResult::seconds.
};

/** Runs seeds 1 to `seeds` in parallel. */
inline DetectionSummary measureDetectionOverSeeds(const standins::FleetOptions &base,
                                                  standins::Fault fault, int seeds)
{
    std::vector<std::future<DetectionResult>> runs;
    for (int seed = 1; seed <= seeds; ++seed) {
        standins::FleetOptions options = base;
        options.seed = static_cast<std::uint64_t>(seed);
        runs.push_back(std::async(std::launch::async,
                                  [options, fault] { return measureDetection(options, fault); }));
    }
    DetectionSummary result;
    for (auto &run : runs) {
        const DetectionResult one = run.get();
        result.meanSeconds += one.seconds / seeds;
        result.worst.seconds = std::max(result.worst.seconds, one.seconds);
        result.worst.laterTrafficShare =
            std::max(result.worst.laterTrafficShare, one.laterTrafficShare);
        result.worst.trialShare = std::max(result.worst.trialShare, one.trialShare);
        result.worst.p99Ratio = std::max(result.worst.p99Ratio, one.p99Ratio);
        result.worst.falseEjections += one.falseEjections;
    }
    return result;
}

} // namespace teaselreach::bench
