/** @file upstream_type.h Types and constants of outlier ejection. */
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

/** Random number generator of upstream selection; each caller owns one and guards its use. */
using Random = std::mt19937_64;

/** Result of one attempt to send a request to an upstream. */
enum class Outcome : std::uint8_t {
    Success,       ///< A complete response without a server error.
    Failed,        ///< A complete response with a server error.
    Truncated,     ///< The response was cut off.
    TimedOut,      ///< No complete response before the deadline.
    ConnectFailed, ///< No connection, so nothing was sent.
    Shed,          ///< Rejected with X-Not-Run because of load shedding or draining.
    Cancelled,     ///< The caller disconnected, or the attempt was a hedge that was not needed.
    Superseded,    ///< Cancelled because the hedge of the request was faster.
};

/** Load that an upstream reported about itself. */
struct LoadReport
{
    int busy = 0;
    int slots = 0; ///< 0 if not reported.
    bool draining = false;
};

/** Result of a finished attempt and the load reported with it. */
struct Completion
{
    Outcome outcome = Outcome::Success;
    bool hasLoad = false; ///< Whether the response carried load headers.
    LoadReport load;
};

/** Identifies an attempt in progress; startAttempt() returns it and finishAttempt() takes it. */
struct AttemptId
{
    core::UpstreamId upstream;
    std::uint64_t number = 0;
};

/** Counts of observed attempts; the weight of each attempt decays exponentially with its age. */
struct EvidenceCounts
{
    double good = 0;
    double failed = 0;  ///< Errors, truncated responses, failed connections.
    double overdue = 0; ///< Attempts that took longer than overdueFactor medians.

    /** @return The weight of failed and overdue attempts. */
    double bad() const { return failed + overdue; }
    /** @return The weight of all attempts. */
    double total() const { return good + bad(); }
    /** @return The share of bad attempts; 0 if there are no attempts. */
    double badShare() const { return total() > 0 ? bad() / total() : 0; }
};

/** Drain state of an upstream, as far as this VM knows. */
enum class DrainState : std::uint8_t {
    None,
    Draining, ///< Reported by the upstream itself.
    Leaving,  ///< Marked as leaving in the VM list; final for this id.
};

/** One VM's observations of one upstream. VMs exchange digests and relay those of other VMs. */
struct EvidenceDigest
{
    core::ServiceId service;
    core::UpstreamId upstream;
    core::VmId reporter;
    core::AvailabilityZoneId zone; ///< Of the reporter.
    core::Incarnation incarnation; ///< Of the reporter.
    std::uint64_t sequence = 0;    ///< Increases with each digest of the reporter.
    core::Micros age {0};          ///< Time since the reporter created the digest.
    EvidenceCounts counts;         ///< Decayed to the time of sending.
    double badShareElsewhere = 0;  ///< referenceShare() of the reporter's other upstreams.
    double trialsPassed = 0;
    double trialsFailed = 0;
    DrainState drain = DrainState::None; ///< Only if the reporter observed it itself.
};

/** The VMs that an ejection applies to: this VM, its availability zone or all VMs. */
enum class Scope : std::uint8_t { Vm, Zone, Fleet };

/** @return The name of a scope in logs and in the output of the command-line tool. */
constexpr std::string_view scopeName(Scope scope)
{
    constexpr std::string_view names[] = {"vm", "availability_zone", "fleet"};
    return names[static_cast<std::size_t>(scope)];
}

/** Whether a VM sends ordinary requests to an upstream, and if not, why. */
enum class UseState : std::uint8_t { InUse, Ejected, Draining };

/** @return The name of a state in logs and in the output of the command-line tool. */
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

/** The state of an upstream on this VM and the evidence behind it. */
struct Explanation
{
    core::UpstreamId upstream;
    UseState state = UseState::InUse;
    Scope scope = Scope::Vm;     ///< Of the latest ejection.
    core::MonoTime ejectedAt {}; ///< Of the latest ejection; epoch if never ejected.
    core::MonoTime trialFrom {}; ///< Earliest time of trial requests.
    int relapses = 0;            ///< Doublings of the ejection time so far.
    bool refusedByFloor = false; ///< The evidence calls for an ejection that would break the floor.
    EvidenceCounts own;          ///< This VM's own evidence at present.
    std::vector<EvidenceSource> ejectionEvidence; ///< Evidence behind the latest ejection.
};

/** A change of an upstream's state, to be logged. */
struct HealthEvent
{
    enum class Kind : std::uint8_t { Ejected, Readmitted, Draining, RefusedByFloor, FloorRestored };
    Kind kind = Kind::Ejected;
    core::UpstreamId upstream;
    Scope scope = Scope::Vm;
};

/** Interval at which the daemon calls tick(). */
inline constexpr core::Millis tickInterval {100};
/** Time constant of the decay of evidence: its weight falls to 1/e in this time. */
inline constexpr core::Millis evidenceDecayTime {3000};
/** Age at which a digest is discarded. */
inline constexpr core::Millis digestLifetime {10000};
/**
 * An attempt is overdue once it takes longer than the service's median duration times this factor.
 */
inline constexpr double overdueFactor = 8;
/** Lower bound of the overdue threshold. */
inline constexpr core::Millis minOverdue {150};
/** Overdue threshold while the median duration is not known. */
inline constexpr core::Millis defaultOverdue {1000};
/** Lower bound of the overdue threshold for an upstream in cold start. */
inline constexpr core::Millis minColdStartOverdue {2000};
/** Time after its first listing for which an upstream counts as in cold start. */
inline constexpr core::Millis coldStartPeriod {30000};
/**
 * Upper bound on the bad weight that one VM contributes, so that a faulty VM alone cannot eject an
 * upstream for its zone or the fleet.
 */
inline constexpr double maxBadPerVm = 3;
/**
 * Bad weight reported by peers at which VMs with few observations of their own send a request to
 * the upstream to corroborate the reports.
 */
inline constexpr double corroborationThreshold = 2.5;
/** VMs in each availability zone that send such corroborating requests. */
inline constexpr std::size_t corroboratorsPerZone = 3;
/** First ejection time; it doubles with each relapse or failed trial. */
inline constexpr core::Millis baseEjectionTime {1000};
/** Longest ejection time. */
inline constexpr core::Millis maxEjectionTime {60000};
/** Successful trial requests that readmit an upstream. */
inline constexpr int trialsToPass = 8;
/**
 * Trials that all VMs of the scope together may send after one ejection time. More than
 * trialsToPass, because some trials end without a result, such as shed ones.
 */
inline constexpr std::size_t trialsPerRound = 12;
/** An ejection this long after the readmission counts as a first one, not as a relapse. */
inline constexpr core::Millis relapseWindow {120000};
/** Time for which a VM repeats digests about a drain that it observed itself. */
inline constexpr core::Millis drainRepeatPeriod {10000};
/**
 * Minimum duration of a drain: earlier reports that it has ended are ignored. Afterwards the
 * upstream gets trial requests.
 */
inline constexpr core::Millis minDrainTime {30000};
/** Time for which the id of an upstream that has left the VM list is remembered. */
inline constexpr core::Millis departedRetention {3600000};
/** Peers to which a VM sends a digest that reports a failure, a trial or a drain. */
inline constexpr int urgentRelayCount = 6;
/** Peers to which the daemon pushes urgent digests without waiting for the next exchange. */
inline constexpr int pushPeers = 4;
/** Peers to which a VM sends any other digest. */
inline constexpr int ordinaryRelayCount = 2;

} // namespace teaselreach::upstream
