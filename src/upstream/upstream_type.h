/** @file upstream_type.h Evidence about upstreams, and the constants of outlier ejection. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace teaselreach::upstream {

/** The generator that choices draw from; a caller keeps one for each shard. */
using Random = std::mt19937_64;

/** How an attempt at an upstream ended. */
enum class Outcome : std::uint8_t {
    Success,       ///< A complete response that is not a failure of the upstream.
    Failed,        ///< A complete response with a server error.
    Truncated,     ///< The response was cut off.
    TimedOut,      ///< No complete response before the deadline.
    ConnectFailed, ///< No connection, so nothing was sent.
    Shed,          ///< Refused with X-Not-Run: load shedding or draining.
    Cancelled,     ///< The caller went away.
};

/** What an upstream reported of its own load. */
struct LoadReport
{
    int busy = 0;
    int slots = 0; ///< 0 if not reported.
    bool draining = false;
};

/** The end of an attempt. */
struct Completion
{
    Outcome outcome = Outcome::Success;
    bool hasLoad = false; ///< Whether the response carried load headers.
    LoadReport load;
};

/** An attempt in progress, as startAttempt() returned it. */
struct AttemptId
{
    core::UpstreamId upstream;
    std::uint64_t number = 0;
};

/** Counts of observed attempts, each weighted down exponentially with its age. */
struct EvidenceCounts
{
    double good = 0;
    double failed = 0;  ///< Errors, truncated responses, failed connections.
    double overdue = 0; ///< Attempts that took longer than overdueFactor medians.

    /** @return The weight of attempts that speak against the upstream. */
    double bad() const { return failed + overdue; }
    /** @return The weight of all attempts. */
    double total() const { return good + bad(); }
    /** @return The share of bad attempts, 0 without attempts. */
    double badShare() const { return total() > 0 ? bad() / total() : 0; }
};

/** Whether an upstream takes new work, as far as is known. */
enum class DrainState : std::uint8_t {
    None,
    Draining, ///< The upstream itself said so.
    Leaving,  ///< The VM list said so; final for the id.
};

/** What one VM observed of one upstream; VMs exchange and relay these. */
struct EvidenceDigest
{
    core::ServiceId service;
    core::UpstreamId upstream;
    core::VmId reporter;
    core::AvailabilityZoneId zone; ///< Of the reporter.
    core::Incarnation incarnation; ///< Of the reporter.
    std::uint64_t sequence = 0;    ///< Increases with each digest of the reporter.
    core::Micros age {0};          ///< Since the reporter made the digest.
    EvidenceCounts counts;         ///< As weighted at the time of sending.
    double badShareElsewhere = 0;  ///< Bad share at the reporter's other upstreams.
    double trialsPassed = 0;
    double trialsFailed = 0;
    DrainState drain = DrainState::None; ///< As the reporter learnt it first-hand.
};

/** For whom an ejection holds. */
enum class Scope : std::uint8_t { Vm, Zone, Fleet };

/** @return The name of a scope as logs and the tool show it. */
constexpr std::string_view scopeName(Scope scope)
{
    constexpr std::string_view names[] = {"vm", "availability_zone", "fleet"};
    return names[static_cast<std::size_t>(scope)];
}

/** The use that a VM makes of an upstream. */
enum class UseState : std::uint8_t { InUse, Ejected, Draining };

/** @return The name of a state as logs and the tool show it. */
constexpr std::string_view useStateName(UseState state)
{
    constexpr std::string_view names[] = {"in_use", "ejected", "draining"};
    return names[static_cast<std::size_t>(state)];
}

/** The evidence that one VM contributed to an ejection. */
struct EvidenceSource
{
    core::VmId reporter;
    core::AvailabilityZoneId zone;
    EvidenceCounts counts;
};

/** Why an upstream is or is not in use. */
struct Explanation
{
    core::UpstreamId upstream;
    UseState state = UseState::InUse;
    Scope scope = Scope::Vm;     ///< Of the latest ejection.
    core::MonoTime ejectedAt {}; ///< Of the latest ejection; epoch if never ejected.
    core::MonoTime trialFrom {}; ///< When trial requests may start.
    int relapses = 0;            ///< Ejections that have lengthened the ejection time.
    bool refusedByFloor = false; ///< Ejection is indicated but would break the floor.
    EvidenceCounts own;          ///< This VM's present evidence.
    std::vector<EvidenceSource> ejectionEvidence; ///< Evidence behind the latest ejection.
};

/** A change of the use of an upstream, for the log. */
struct HealthEvent
{
    enum class Kind : std::uint8_t { Ejected, Readmitted, Draining, RefusedByFloor, FloorRestored };
    Kind kind = Kind::Ejected;
    core::UpstreamId upstream;
    Scope scope = Scope::Vm;
};

/** Interval at which the daemon calls tick(). */
inline constexpr core::Millis tickInterval {100};
/** Time in which the weight of evidence falls to 1/e. */
inline constexpr core::Millis evidenceDecayTime {3000};
/** Age at which a digest is discarded. */
inline constexpr core::Millis digestLifetime {10000};
/** An attempt is overdue after this many medians of the service. */
inline constexpr double overdueFactor = 8;
/** Shortest time after which an attempt is overdue. */
inline constexpr core::Millis minOverdue {150};
/** An attempt is overdue after this time while the median is not known. */
inline constexpr core::Millis defaultOverdue {1000};
/** Shortest overdue time of an upstream in cold start. */
inline constexpr core::Millis minColdStartOverdue {2000};
/** Time after its first listing for which an upstream counts as in cold start. */
inline constexpr core::Millis coldStartPeriod {30000};
/** Most evidence that one VM contributes, so that one faulty VM cannot eject. */
inline constexpr double maxBadPerVm = 3;
/** Evidence from peers at which VMs with few observations of their own send a request to look. */
inline constexpr double corroborationThreshold = 2.5;
/** VMs in each availability zone that corroborate or run trials. */
inline constexpr std::size_t corroboratorsPerZone = 3;
/** First ejection time; it doubles with each relapse. */
inline constexpr core::Millis baseEjectionTime {1000};
/** Longest ejection time. */
inline constexpr core::Millis maxEjectionTime {60000};
/** Trial requests that must pass before readmission. */
inline constexpr int trialsToPass = 8;
/** Trials that the VMs send together after one ejection time, as some end without a verdict. */
inline constexpr std::size_t trialsPerRound = 12;
/** A relapse this long after readmission counts as a first ejection. */
inline constexpr core::Millis relapseWindow {120000};
/** Time for which a VM repeats that an upstream drains. */
inline constexpr core::Millis drainRepeatPeriod {10000};
/** Time after which an upstream that reports the end of its drain may be tried. */
inline constexpr core::Millis minDrainTime {30000};
/** Time for which the id of an upstream that has left is remembered. */
inline constexpr core::Millis departedRetention {3600000};
/** Peers to which a VM relays a digest that indicates a failure, a trial or a drain. */
inline constexpr int urgentRelayCount = 6;
/** Peers to which the daemon pushes urgent digests at once. */
inline constexpr int pushPeers = 4;
/** Peers to which a VM relays a digest of single failures. */
inline constexpr int ordinaryRelayCount = 2;

} // namespace teaselreach::upstream
