/** @file evidence.cpp Observations of one upstream, and the service's median duration. */
#include "upstream/evidence_base.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::upstream {

double decayFactor(core::Micros elapsed)
{
    if (elapsed <= core::Micros(0))
        return 1;
    return std::exp(-std::chrono::duration<double>(elapsed)
                    / std::chrono::duration<double>(evidenceDecayTime));
}

EvidenceCounts DecayingCounts::at(core::MonoTime now) const
{
    if (counts_.total() == 0)
        return {};
    const double factor = decayFactor(now - at_);
    return {.good = counts_.good * factor,
            .failed = counts_.failed * factor,
            .overdue = counts_.overdue * factor};
}

void DecayingCounts::set(core::MonoTime now, const EvidenceCounts &counts)
{
    counts_ = counts;
    at_ = now;
}

void DecayingCounts::add(core::MonoTime now, const EvidenceCounts &counts)
{
    EvidenceCounts sum = at(now);
    sum.good += counts.good;
    sum.failed += counts.failed;
    sum.overdue += counts.overdue;
    set(now, sum);
}

void MedianDuration::add(core::Micros duration)
{
    ring_[count_ % windowSize] = duration;
    ++count_;
    if (count_ < minSamples)
        return;
    auto sorted = ring_;
    const std::size_t filled = std::min(count_, windowSize);
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(filled / 2);
    std::nth_element(sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(filled));
    median_ = *middle;
}

core::Micros MedianDuration::overdueAfter() const
{
    if (median_ == core::Micros(0))
        return defaultOverdue;
    const auto limit = std::chrono::duration_cast<core::Micros>(median_ * overdueFactor);
    return std::max<core::Micros>(minOverdue, limit);
}

void OwnEvidence::start(core::MonoTime now, std::uint64_t number, bool trial)
{
    inFlight_.push_back({.number = number, .start = now, .trial = trial});
}

OwnEvidence::FinishedAttempt OwnEvidence::finish(core::MonoTime now, std::uint64_t number,
                                                 Outcome outcome, core::Micros overdueAfter)
{
    const auto found =
        std::find_if(inFlight_.begin(), inFlight_.end(),
                     [&](const InFlightAttempt &entry) { return entry.number == number; });
    if (found == inFlight_.end())
        return {};
    const InFlightAttempt attempt = *found;
    inFlight_.erase(found);
    FinishedAttempt result {.known = true, .trial = attempt.trial, .duration = now - attempt.start};
    if (!attempt.stale)
        classify(now, attempt, outcome, overdueAfter, result);
    return result;
}

void OwnEvidence::classify(core::MonoTime now, const InFlightAttempt &attempt, Outcome outcome,
                           core::Micros overdueAfter, FinishedAttempt &result)
{
    if (attempt.countedOverdue)
        return;
    switch (outcome) {
    case Outcome::Shed:
    case Outcome::Cancelled:
    case Outcome::Superseded:
        return;
    case Outcome::Success:
        if (result.duration <= overdueAfter) {
            counts_.add(now, {.good = 1});
            result.good = true;
            return;
        }
        [[fallthrough]];
    case Outcome::TimedOut:
        addBad(now, {.overdue = 1});
        break;
    case Outcome::Failed:
    case Outcome::Truncated:
    case Outcome::ConnectFailed:
        addBad(now, {.failed = 1});
        break;
    }
    result.bad = true;
}

int OwnEvidence::countOverdue(core::MonoTime now, core::Micros overdueAfter)
{
    int trials = 0;
    for (InFlightAttempt &attempt : inFlight_) {
        if (attempt.countedOverdue || attempt.stale || now - attempt.start <= overdueAfter)
            continue;
        attempt.countedOverdue = true;
        addBad(now, {.overdue = 1});
        trials += attempt.trial ? 1 : 0;
    }
    return trials;
}

void OwnEvidence::clear(core::MonoTime now)
{
    counts_.set(now, {});
    for (InFlightAttempt &attempt : inFlight_)
        attempt.stale = true;
}

int OwnEvidence::trialsInFlight() const
{
    return static_cast<int>(
        std::count_if(inFlight_.begin(), inFlight_.end(),
                      [](const InFlightAttempt &entry) { return entry.trial; }));
}

void OwnEvidence::addBad(core::MonoTime now, const EvidenceCounts &counts)
{
    counts_.add(now, counts);
    ++badEvents_;
}

} // namespace teaselreach::upstream
