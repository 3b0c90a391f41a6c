/** @file evidence_base.h Observations of one upstream, and the service's median duration. */
#pragma once

#include "upstream/upstream_type.h"

#include <array>
#include <cstdint>
#include <vector>

namespace teaselreach::upstream {

/**
 * @return The factor by which the weight of evidence decays in the elapsed time; 1 if it is not
 * positive.
 */
double decayFactor(core::Micros elapsed);

/** Evidence counts whose weight decays exponentially with time. */
class DecayingCounts
{
public:
    /** @return The counts, decayed to a time. */
    EvidenceCounts at(core::MonoTime now) const;
    /** Replaces the counts as of a time. */
    void set(core::MonoTime now, const EvidenceCounts &counts);
    /** Adds to the counts, decayed to the same time. */
    void add(core::MonoTime now, const EvidenceCounts &counts);

private:
    EvidenceCounts counts_;
    core::MonoTime at_ {};
};

/** Median of the latest response durations of a service on this VM. */
class MedianDuration
{
public:
    /** @param duration Duration of a complete response. */
    void add(core::Micros duration);
    /** @return The median; 0 while fewer than minSamples durations are known. */
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

/** This VM's own evidence about one upstream, and its attempts in progress there. */
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
        bool stale = false; ///< Started before the latest clear(); no longer counts as evidence.
    };

    /** Result of finish(). An attempt that is neither good nor bad is no evidence. */
    struct FinishedAttempt
    {
        bool known = false; ///< Whether the attempt was in progress; else nothing is set.
        bool trial = false;
        bool good = false;
        bool bad = false;
        core::Micros duration {0};
    };

    /** Records the start of an attempt. */
    void start(core::MonoTime now, std::uint64_t number, bool trial);
    /**
     * Records the end of an attempt and counts it as good or bad evidence. Shed, cancelled and
     * stale attempts are no evidence, nor are attempts already counted as overdue.
     * @param overdueAfter Time after which an attempt is overdue.
     */
    FinishedAttempt finish(core::MonoTime now, std::uint64_t number, Outcome outcome,
                           core::Micros overdueAfter);
    /**
     * Counts the attempts that became overdue while in progress.
     * @return How many of them are trials.
     */
    int countOverdue(core::MonoTime now, core::Micros overdueAfter);
    /** Discards the evidence; attempts now in progress will not count either. */
    void clear(core::MonoTime now);

    /** @return The counts, decayed to a time. */
    EvidenceCounts counts(core::MonoTime now) const { return counts_.at(now); }
    /** @return Number of attempts in progress. */
    int inFlight() const { return static_cast<int>(inFlight_.size()); }
    /** @return Number of trials in progress. */
    int trialsInFlight() const;
    /** @return Number of bad observations since the start; never decays. */
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
