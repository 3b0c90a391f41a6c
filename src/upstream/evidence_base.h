/** @file evidence_base.h Observations of one upstream, and the service's median duration. */
#pragma once

#include "upstream/upstream_type.h"

#include <array>
#include <cstdint>
#include <vector>

namespace teaselreach::upstream {

/** @return The factor by which evidence loses weight in a time. */
double decayFactor(core::Micros elapsed);

/** Evidence counts that lose weight with time. */
class DecayingCounts
{
public:
    /** @return The counts, weighted at a time. */
    EvidenceCounts at(core::MonoTime now) const;
    /** Replaces the counts. */
    void set(core::MonoTime now, const EvidenceCounts &counts);
    /** Adds to the counts. */
    void add(core::MonoTime now, const EvidenceCounts &counts);

private:
    EvidenceCounts counts_;
    core::MonoTime at_ {};
};

/** The median of a service's latest durations on this VM. */
class MedianDuration
{
public:
    /** @param duration Duration of a complete response. */
    void add(core::Micros duration);
    /** @return The median; 0 while too few durations are known. */
    core::Micros median() const { return median_; }
    /** @return The time after which an attempt is overdue. */
    core::Micros overdueAfter() const;

private:
    static constexpr std::size_t windowSize = 32;
    static constexpr std::size_t minSamples = 8;

    std::array<core::Micros, windowSize> ring_ {};
    std::size_t count_ = 0;
    core::Micros median_ {0};
};

/** What this VM observes of one upstream. */
class OwnEvidence
{
public:
    /** An attempt in progress. */
    struct InFlightAttempt
    {
        std::uint64_t number;
        core::MonoTime start;
        bool trial;
        bool countedOverdue = false; ///< Already counted as overdue.
        bool stale = false;          ///< Started before the latest readmission.
    };

    /** The end of an attempt, as finish() judged it. */
    struct FinishedAttempt
    {
        bool known = false; ///< Whether the attempt was in progress.
        bool trial = false;
        bool good = false;
        bool bad = false;
        core::Micros duration {0};
    };

    /** Records the start of an attempt. */
    void start(core::MonoTime now, std::uint64_t number, bool trial);
    /**
     * Records the end of an attempt and counts it as evidence.
     * @param overdueAfter Time after which an attempt is overdue.
     */
    FinishedAttempt finish(core::MonoTime now, std::uint64_t number, Outcome outcome,
                           core::Micros overdueAfter);
    /**
     * Counts the attempts that became overdue while in progress.
     * @return How many trials are among them.
     */
    int countOverdue(core::MonoTime now, core::Micros overdueAfter);
    /** Discards the evidence; attempts in progress no longer count. */
    void clear(core::MonoTime now);

    /** @return The counts, weighted at a time. */
    EvidenceCounts counts(core::MonoTime now) const { return counts_.at(now); }
    /** @return Number of attempts in progress. */
    int inFlight() const { return static_cast<int>(inFlight_.size()); }
    /** @return Number of trials in progress. */
    int trialsInFlight() const;
    /** @return Number of bad observations since the start; increases with each. */
    std::uint64_t badEvents() const { return badEvents_; }

private:
    void classify(core::MonoTime now, const InFlightAttempt &attempt, Outcome outcome,
                  core::Micros overdueAfter, FinishedAttempt &result);
    void addBad(core::MonoTime now, const EvidenceCounts &counts);

    std::vector<InFlightAttempt> inFlight_;
    DecayingCounts counts_;
    std::uint64_t badEvents_ = 0;
};

} // namespace teaselreach::upstream
