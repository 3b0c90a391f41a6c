/** @file health_table_decide.cpp HealthTable: ejection, trials and readmission. */
#include "upstream/health_table_base.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace teaselreach::upstream {

namespace {

constexpr Scope allScopes[] = {Scope::Fleet, Scope::Zone, Scope::Vm};
/**
 * Weight of passed trials required for readmission. Less than trialsToPass, as passed trials decay
 * while others are still awaited.
 */
constexpr double minPassedWeight = trialsToPass * 0.8;
/** Weight of failed trials, of this VM or of one peer, at which the trials count as failed. */
constexpr double minFailedWeight = 0.5;
/** Time after which an undecided round of trials starts again. */
constexpr core::Millis undecidedTrialTimeout {5000};

} // namespace

void HealthTable::tick(core::MonoTime now)
{
    std::vector<Record *> active;
    for (Record &record : records_) {
        const int trials = record.own.countOverdue(now, overdueAfterFor(now, record));
        for (int i = 0; i < trials; ++i)
            recordTrialResult(now, record, false);
        if (!needsNoDecision(now, record))
            active.push_back(&record);
    }
    hasSuspects_ = !active.empty();
    for (Record *record : active) {
        makeDigestIfDue(now, *record);
        expireReports(now, *record);
    }
    std::vector<std::pair<double, Record *>> order;
    order.reserve(active.size());
    for (Record *record : active)
        order.emplace_back(poolEvidence(reportsIn(now, *record, Scope::Fleet)).bad, record);
    std::sort(order.begin(), order.end(), [](const auto &a, const auto &b) {
        return std::tie(b.first, a.second->vm.id) < std::tie(a.first, b.second->vm.id);
    });
    for (const auto &[bad, record] : order)
        decide(now, *record);
}

/** @return Whether an upstream has no ejection, report, drain or bad evidence to act on. */
bool HealthTable::needsNoDecision(core::MonoTime now, const Record &record) const
{
    if (record.ejected || !record.reports.empty())
        return false;
    if (record.drainFirstHand && now - record.drainSince < drainRepeatPeriod)
        return false;
    return record.own.counts(now).bad() < 0.01;
}

void HealthTable::decide(core::MonoTime now, Record &record)
{
    if (record.ejected)
        decideTrial(now, record);
    bool indicated = false;
    for (const Scope scope : allScopes) {
        if (record.ejected && scope <= record.scope)
            continue;
        decideScope(now, record, scope);
        indicated =
            indicated || record.outlierSince[static_cast<std::size_t>(scope)] != core::MonoTime {};
    }
    if (!indicated)
        record.refusedByFloor = false;
}

void HealthTable::decideScope(core::MonoTime now, Record &record, Scope scope)
{
    core::MonoTime &since = record.outlierSince[static_cast<std::size_t>(scope)];
    const ScopeEvaluation evaluation = evaluateScope(now, record, scope);
    if (!isOutlier(evaluation.evidence, evaluation.reference, scope)) {
        since = {};
        return;
    }
    if (since == core::MonoTime {})
        since = now;
    if (now - since < confirmationTime(evaluation.evidence))
        return;
    if (record.ejected || floorAllowsEjection(record)) {
        eject(now, record, scope, evaluation.evidence.bad);
        return;
    }
    if (!record.refusedByFloor)
        addEvent(HealthEvent::Kind::RefusedByFloor, record);
    record.refusedByFloor = true;
}

std::vector<WeightedReport> HealthTable::reportsIn(core::MonoTime now, const Record &record,
                                                   Scope scope) const
{
    std::vector<WeightedReport> reports;
    const EvidenceCounts own = record.own.counts(now);
    if (own.total() > 0)
        reports.push_back(
            {.reporter = options_.ownVm,
             .zone = options_.ownLocation.availabilityZone,
             .counts = own,
             .badShareElsewhere = own.bad() > 0 ? badShareElsewhere(now, record) : 0});
    if (scope == Scope::Vm)
        return reports;
    for (const Report &report : record.reports) {
        if (report.reporter == options_.ownVm)
            continue;
        if (scope == Scope::Zone && report.zone != options_.ownLocation.availabilityZone)
            continue;
        reports.push_back({.reporter = report.reporter,
                           .zone = report.zone,
                           .counts = report.counts.at(now),
                           .badShareElsewhere = report.badShareElsewhere});
    }
    return reports;
}

HealthTable::ScopeEvaluation HealthTable::evaluateScope(core::MonoTime now, const Record &record,
                                                        Scope scope) const
{
    ScopeEvaluation evaluation {.evidence = poolEvidence(reportsIn(now, record, scope))};
    if (evaluation.evidence.bad < ejectionRule(scope).minBad)
        return evaluation;
    std::vector<double> shares;
    for (const Record &other : records_) {
        if (&other == &record || other.ejected)
            continue;
        const PooledEvidence pooled = poolEvidence(reportsIn(now, other, scope));
        if (pooled.bad + pooled.good >= 1)
            shares.push_back(pooled.badShare());
    }
    evaluation.reference = referenceShare(std::move(shares));
    return evaluation;
}

void HealthTable::eject(core::MonoTime now, Record &record, Scope scope, double severity)
{
    record.ejectionEvidence.clear();
    for (const WeightedReport &entry : reportsIn(now, record, scope))
        record.ejectionEvidence.push_back(
            {.reporter = entry.reporter, .zone = entry.zone, .counts = entry.counts});
    record.scope = scope;
    record.severity = severity;
    record.refusedByFloor = false;
    if (!record.ejected) {
        record.ejected = true;
        record.ejectedAt = now;
        const bool relapse =
            record.readmittedAt != core::MonoTime {} && now - record.readmittedAt < relapseWindow;
        record.relapses = relapse ? record.relapses + 1 : 0;
        scheduleTrials(now, record);
    }
    addEvent(HealthEvent::Kind::Ejected, record);
}

/** Starts an ejection time, longer with each relapse, after which the upstream gets trials. */
void HealthTable::scheduleTrials(core::MonoTime now, Record &record)
{
    constexpr int maxDoublings = 6;
    const core::Millis time = baseEjectionTime * (1 << std::min(record.relapses, maxDoublings));
    record.trialFrom = now + std::min(time, maxEjectionTime);
    record.trialsSent = 0;
    record.ownTrials.set(now, {});
    record.trialsChanged = false;
}

void HealthTable::decideTrial(core::MonoTime now, Record &record)
{
    if (now >= record.trialFrom && trialFailed(now, record)) {
        ++record.relapses;
        scheduleTrials(now, record);
        return;
    }
    if (trialsPassed(now, record) >= minPassedWeight) {
        readmit(now, record, HealthEvent::Kind::Readmitted);
        return;
    }
    // Trials that ended without a result, such as shed ones, must not use up the allowance.
    if (now - record.trialFrom > undecidedTrialTimeout && record.own.trialsInFlight() == 0) {
        record.trialFrom = now;
        record.trialsSent = 0;
    }
}

bool HealthTable::trialFailed(core::MonoTime now, const Record &record) const
{
    if (record.ownTrials.at(now).failed >= minFailedWeight)
        return true;
    if (record.scope == Scope::Vm)
        return false;
    return std::any_of(record.reports.begin(), record.reports.end(), [&](const Report &entry) {
        const bool inScope =
            record.scope == Scope::Fleet || entry.zone == options_.ownLocation.availabilityZone;
        return inScope && entry.madeAt >= record.trialFrom
            && entry.trials.at(now).failed >= minFailedWeight;
    });
}

double HealthTable::trialsPassed(core::MonoTime now, const Record &record) const
{
    double passed = record.ownTrials.at(now).good;
    std::set<core::AvailabilityZoneId> zones;
    if (passed > 0)
        zones.insert(options_.ownLocation.availabilityZone);
    for (const Report &report : record.reports) {
        const bool inScope = record.scope == Scope::Fleet
            || (record.scope == Scope::Zone
                && report.zone == options_.ownLocation.availabilityZone);
        const double good = report.trials.at(now).good;
        if (!inScope || good <= 0 || report.reporter == options_.ownVm
            || report.madeAt < record.ejectedAt)
            continue;
        passed += good;
        zones.insert(report.zone);
    }
    const std::size_t required = record.scope == Scope::Fleet && entryZoneCount_ > 1 ? 2 : 1;
    return zones.size() >= required ? passed : 0;
}

void HealthTable::readmit(core::MonoTime now, Record &record, HealthEvent::Kind kind)
{
    record.ejected = false;
    record.readmittedAt = now;
    record.usedSince = now;
    record.outlierSince = {};
    if (kind == HealthEvent::Kind::Readmitted) {
        record.own.clear(now);
        for (Report &report : record.reports)
            report.counts.set(now, {});
    }
    addEvent(kind, record);
}

} // namespace teaselreach::upstream
