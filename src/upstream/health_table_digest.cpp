/** @file health_table_digest.cpp HealthTable: exchange of evidence digests with other VMs. */
#include "upstream/health_table_base.h"

#include <algorithm>
#include <tuple>

namespace teaselreach::upstream {

namespace {

/** Minimum interval between two digests of a VM about the same upstream. */
constexpr core::Millis minDigestInterval {200};
/** Interval at which a VM repeats a digest that other VMs still need. */
constexpr core::Millis digestRepeatInterval {1000};
/** Bad weight at which a digest is urgent, that is, pushed to peers at once. */
constexpr double urgentBadWeight = 0.9;
/** Weight of evidence below which a digest that is not urgent is not sent. */
constexpr double minReportedWeight = 0.3;

} // namespace

void HealthTable::applyDigest(core::MonoTime now, const EvidenceDigest &digest)
{
    if (!options_.exchangeEvidence || digest.reporter == options_.ownVm)
        return;
    if (digest.age >= digestLifetime)
        return;
    const auto index = find(digest.upstream);
    if (!index) {
        if (digest.drain == DrainState::Leaving)
            departed_[digest.upstream] = now;
        if (digest.drain == DrainState::Draining)
            earlyDrains_[digest.upstream] = now;
        return;
    }
    Record &record = records_[*index];
    if (digest.drain != DrainState::None) {
        markDraining(now, record, digest.drain, false);
        restoreFloor(now);
    }
    const Report *known = findReport(record, digest.reporter);
    if (known == nullptr
        || std::tie(known->incarnation, known->sequence)
            < std::tie(digest.incarnation, digest.sequence))
        storeReport(now, record, digest);
}

HealthTable::Report *HealthTable::findReport(Record &record, const core::VmId &reporter)
{
    const auto found =
        std::find_if(record.reports.begin(), record.reports.end(),
                     [&](const Report &entry) { return entry.reporter == reporter; });
    return found == record.reports.end() ? nullptr : &*found;
}

void HealthTable::storeReport(core::MonoTime now, Record &record, const EvidenceDigest &digest)
{
    Report *report = findReport(record, digest.reporter);
    if (report == nullptr) {
        record.reports.push_back({.reporter = digest.reporter});
        report = &record.reports.back();
    }
    pendingSends_ -= static_cast<std::size_t>(report->sendsLeft);
    report->zone = digest.zone;
    report->incarnation = digest.incarnation;
    report->sequence = digest.sequence;
    report->madeAt = now - digest.age;
    report->counts.set(now, digest.counts);
    report->trials.set(now, {.good = digest.trialsPassed, .failed = digest.trialsFailed});
    report->badShareElsewhere = digest.badShareElsewhere;
    report->drain = digest.drain;
    report->urgent = digest.counts.bad() >= urgentBadWeight || digest.drain != DrainState::None
        || digest.trialsPassed + digest.trialsFailed > 0;
    report->sendsLeft = report->urgent ? urgentRelayCount : ordinaryRelayCount;
    pendingSends_ += static_cast<std::size_t>(report->sendsLeft);
    urgentPending_ = urgentPending_ || report->urgent;
}

void HealthTable::expireReports(core::MonoTime now, Record &record)
{
    std::erase_if(record.reports, [&](const Report &entry) {
        if (now - entry.madeAt < digestLifetime)
            return false;
        pendingSends_ -= static_cast<std::size_t>(entry.sendsLeft);
        return true;
    });
}

bool HealthTable::isDigestDue(core::MonoTime now, const Record &record) const
{
    const bool never = record.digestMadeAt == core::MonoTime {};
    const auto since = now - record.digestMadeAt;
    if (!never && since < minDigestInterval)
        return false;
    if (record.trialsChanged || record.own.badEvents() != record.badEventsReported)
        return true;
    if (!never && since < digestRepeatInterval)
        return false;
    if (record.drainFirstHand && now - record.drainSince < drainRepeatPeriod)
        return true;
    // VMs that see failures at the upstream also need the evidence of those for which it works.
    return !record.ejected && record.own.counts(now).good >= 0.5
        && peerBadWeight(now, record) >= corroborationThreshold;
}

void HealthTable::makeDigestIfDue(core::MonoTime now, Record &record)
{
    if (!options_.exchangeEvidence || !isDigestDue(now, record))
        return;
    record.badEventsReported = record.own.badEvents();
    record.trialsChanged = false;
    record.digestMadeAt = now;
    const EvidenceCounts trials = record.ownTrials.at(now);
    storeReport(now, record,
                {.service = options_.service,
                 .upstream = record.vm.id,
                 .reporter = options_.ownVm,
                 .zone = options_.ownLocation.availabilityZone,
                 .incarnation = options_.incarnation,
                 .sequence = nextSequence_++,
                 .counts = record.own.counts(now),
                 .badShareElsewhere = badShareElsewhere(now, record),
                 .trialsPassed = trials.good,
                 .trialsFailed = trials.failed,
                 .drain = record.drainFirstHand ? record.drain : DrainState::None});
}

double HealthTable::badShareElsewhere(core::MonoTime now, const Record &record) const
{
    std::vector<double> shares;
    for (const Record &other : records_) {
        if (&other == &record || other.ejected)
            continue;
        const EvidenceCounts counts = other.own.counts(now);
        if (counts.total() >= 1)
            shares.push_back(counts.badShare());
    }
    return referenceShare(std::move(shares));
}

double HealthTable::peerBadWeight(core::MonoTime now, const Record &record) const
{
    double bad = 0;
    for (const Report &report : record.reports) {
        if (report.reporter == options_.ownVm)
            continue;
        const double discounted = std::max(0.0, 1 - 2 * report.badShareElsewhere);
        bad += std::min(maxBadPerVm, report.counts.at(now).bad() * discounted);
    }
    return bad;
}

EvidenceDigest HealthTable::toDigest(core::MonoTime now, const Record &record,
                                     const Report &report) const
{
    const EvidenceCounts trials = report.trials.at(now);
    return {.service = options_.service,
            .upstream = record.vm.id,
            .reporter = report.reporter,
            .zone = report.zone,
            .incarnation = report.incarnation,
            .sequence = report.sequence,
            .age = now - report.madeAt,
            .counts = report.counts.at(now),
            .badShareElsewhere = report.badShareElsewhere,
            .trialsPassed = trials.good,
            .trialsFailed = trials.failed,
            .drain = report.drain};
}

std::vector<EvidenceDigest> HealthTable::takeDigestsToSend(core::MonoTime now, std::size_t limit)
{
    struct PendingDigest
    {
        Record *record;
        Report *report;
    };
    std::vector<PendingDigest> pending;
    urgentPending_ = false;
    if (pendingSends_ == 0)
        return {};
    for (Record &record : records_) {
        for (Report &report : record.reports) {
            const bool worthSending =
                report.urgent || report.counts.at(now).total() >= minReportedWeight;
            if (report.sendsLeft > 0 && worthSending)
                pending.push_back({.record = &record, .report = &report});
        }
    }
    std::stable_sort(pending.begin(), pending.end(),
                     [](const PendingDigest &a, const PendingDigest &b) {
                         return std::tuple(a.report->drain, a.report->sendsLeft)
                             > std::tuple(b.report->drain, b.report->sendsLeft);
                     });
    const auto pushed = [](const PendingDigest &entry) {
        return !entry.report->urgent || entry.report->sendsLeft <= urgentRelayCount - pushPeers;
    };
    std::vector<EvidenceDigest> digests;
    for (const PendingDigest &entry : pending) {
        if (digests.size() == limit)
            break;
        digests.push_back(toDigest(now, *entry.record, *entry.report));
        --entry.report->sendsLeft;
        --pendingSends_;
    }
    urgentPending_ = !std::all_of(pending.begin(), pending.end(), pushed);
    return digests;
}

} // namespace teaselreach::upstream
