/** @file health_table_base.h Outlier ejection, readmission and drain of upstreams. */
#pragma once

#include "core/vm_type.h"
#include "upstream/evidence_base.h"
#include "upstream/outlier_func.h"
#include "upstream/upstream_type.h"

#include <array>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace teaselreach::upstream {

/** Identity of this VM and settings of the service. */
struct HealthOptions
{
    core::ServiceId service;
    core::VmId ownVm;
    core::Location ownLocation;
    core::Incarnation incarnation;
    double floor = 0.7;           ///< Fraction of the upstreams that ejection must leave in use.
    bool exchangeEvidence = true; ///< Off only in the baseline "local detection only".
};

/**
 * Outlier ejection, readmission and drain of the upstreams of one service, as decided by one VM
 * from its own evidence and the digests of other VMs.
 */
class HealthTable
{
public:
    /** @param options Identity and settings. */
    explicit HealthTable(HealthOptions options);

    /** Changes the floor; readmits upstreams whose ejection it no longer allows. */
    void setFloor(core::MonoTime now, double floor);
    /**
     * Applies a new VM list.
     * @param upstreams The service's upstreams, live and leaving.
     * @param entryVms All entry VMs, live and leaving.
     */
    void applyVmList(core::MonoTime now, const std::vector<core::UpstreamVm> &upstreams,
                     const std::vector<core::EntryVm> &entryVms);
    /** Records the start of an attempt. @return The id to pass to finishAttempt(). */
    AttemptId startAttempt(core::MonoTime now, std::size_t index, bool trial);
    /** Records the end of an attempt. */
    void finishAttempt(core::MonoTime now, const AttemptId &attemptId,
                       const Completion &completion);
    /**
     * Records a response to GET /load. An upstream that reports a drain is marked as draining. One
     * that no longer reports it, after minDrainTime, is ejected until it passes trials.
     */
    void recordLoad(core::MonoTime now, const core::UpstreamId &id, const LoadReport &load);
    /** Applies a digest of another VM. */
    void applyDigest(core::MonoTime now, const EvidenceDigest &digest);
    /** Counts overdue attempts and decides ejections and readmissions. Call every tickInterval. */
    void tick(core::MonoTime now);
    /**
     * Returns the digests for one message to one peer, most urgent first, and counts them as sent.
     * @param limit Upper bound on the number of digests.
     */
    std::vector<EvidenceDigest> takeDigestsToSend(core::MonoTime now, std::size_t limit);
    /** @return Whether there are digests to push to peers without waiting for the next exchange. */
    bool hasUrgentDigests() const { return urgentPending_; }
    /** @return The changes since the last call; clears them. */
    std::vector<HealthEvent> takeEvents();

    /** @return Number of upstreams known. */
    std::size_t size() const { return records_.size(); }
    /** @return The upstream at an index; indexes hold until the next applyVmList(). */
    const core::UpstreamVm &vmAt(std::size_t index) const { return records_[index].vm; }
    /** @return The index of an upstream, if it is known. */
    std::optional<std::size_t> find(const core::UpstreamId &id) const;
    /** @return Whether this VM uses an upstream, has ejected it or sees it drain. */
    UseState stateAt(std::size_t index) const;
    /** @return Whether ordinary requests may go to an upstream. */
    bool usable(std::size_t index) const { return stateAt(index) == UseState::InUse; }
    /** @return Attempts in progress from this VM. */
    int inFlightAt(std::size_t index) const { return records_[index].own.inFlight(); }
    /**
     * @return Whether the next idempotent request should be sent to this ejected upstream as a
     * trial.
     */
    bool needsTrial(core::MonoTime now, std::size_t index);
    /**
     * @return Whether the next idempotent request should be sent to this upstream to corroborate
     * failures that peers report.
     */
    bool needsCorroboration(core::MonoTime now, std::size_t index);
    /** @return Whether any upstream may need a trial or corroboration, as of the last tick(). */
    bool hasSuspects() const { return hasSuspects_; }
    /**
     * @return When the upstream was first listed or last readmitted; epoch if in use since this VM
     * started.
     */
    core::MonoTime usedSince(std::size_t index) const { return records_[index].usedSince; }
    /** @return The time after which an attempt counts as overdue. */
    core::Micros overdueAfter() const { return median_.overdueAfter(); }
    /** @return The response durations of the service on this VM. */
    const MedianDuration &durations() const { return median_; }
    /** @return The state of an upstream and the evidence behind it; nothing if it is unknown. */
    std::optional<Explanation> explain(core::MonoTime now, const core::UpstreamId &id) const;
    /** @return Approximate memory use in bytes. */
    std::size_t memoryBytes() const;

private:
    /** The latest digest of one VM about one upstream. */
    struct Report
    {
        core::VmId reporter;
        core::AvailabilityZoneId zone;
        core::Incarnation incarnation;
        std::uint64_t sequence = 0;
        core::MonoTime madeAt {};
        DecayingCounts counts;
        DecayingCounts trials; ///< good counts passed trials, failed counts failed ones.
        double badShareElsewhere = 0;
        DrainState drain = DrainState::None;
        int sendsLeft = 0; ///< Peers that the digest is still to be sent to.
        bool urgent = false;
    };

    /** State and evidence of one upstream. */
    struct Record
    {
        core::UpstreamVm vm;
        bool ejected = false;
        Scope scope = Scope::Vm;
        bool refusedByFloor = false;
        DrainState drain = DrainState::None;
        core::MonoTime drainSince {};
        core::MonoTime firstListed {}; ///< Epoch if in the first VM list.
        core::MonoTime usedSince {};
        core::MonoTime ejectedAt {};
        core::MonoTime trialFrom {};
        core::MonoTime readmittedAt {};
        int relapses = 0;
        double severity = 0;        ///< Bad weight at the latest ejection.
        std::size_t trialsSent = 0; ///< By this VM in the current round.
        OwnEvidence own;
        DecayingCounts ownTrials; ///< good counts passed trials, failed counts failed ones.
        std::uint64_t badEventsReported = 0; ///< own.badEvents() at the latest digest.
        bool trialsChanged = false;
        bool drainFirstHand = false; ///< Whether this VM observed the drain itself.
        core::MonoTime digestMadeAt {};
        std::array<core::MonoTime, 3> outlierSince {}; ///< By scope; epoch if not an outlier.
        std::optional<std::size_t> rank;               ///< Cache of rankOf().
        core::MonoTime lastNonTrialAt {}; ///< Start of the latest attempt other than a trial.
        std::vector<Report> reports;      ///< Latest digests, including this VM's own.
        std::vector<EvidenceSource> ejectionEvidence;
    };

    /** Input of isOutlier() for one upstream and scope. */
    struct ScopeEvaluation
    {
        PooledEvidence evidence;
        double reference = 0;
    };

    /** Upstreams in use in excess of the floors; negative if a floor is violated. */
    struct FloorMargin
    {
        std::ptrdiff_t serviceSpare = 0;
        std::ptrdiff_t zoneSpare = 0;
    };

    void addRecord(core::MonoTime now, const core::UpstreamVm &vm);
    void removeMissing(core::MonoTime now, const std::vector<core::UpstreamVm> &upstreams);
    void rebuildIndex();
    void markDraining(core::MonoTime now, Record &record, DrainState state, bool firstHand);
    core::Micros overdueAfterFor(core::MonoTime now, const Record &record) const;
    void recordTrialResult(core::MonoTime now, Record &record, bool passed);

    Report *findReport(Record &record, const core::VmId &reporter);
    void storeReport(core::MonoTime now, Record &record, const EvidenceDigest &digest);
    void expireReports(core::MonoTime now, Record &record);
    bool isDigestDue(core::MonoTime now, const Record &record) const;
    void makeDigestIfDue(core::MonoTime now, Record &record);
    EvidenceDigest toDigest(core::MonoTime now, const Record &record, const Report &report) const;
    double badShareElsewhere(core::MonoTime now, const Record &record) const;
    double peerBadWeight(core::MonoTime now, const Record &record) const;

    std::vector<WeightedReport> reportsIn(core::MonoTime now, const Record &record,
                                          Scope scope) const;
    ScopeEvaluation evaluateScope(core::MonoTime now, const Record &record, Scope scope) const;
    void decide(core::MonoTime now, Record &record);
    void decideScope(core::MonoTime now, Record &record, Scope scope);
    void decideTrial(core::MonoTime now, Record &record);
    double trialsPassed(core::MonoTime now, const Record &record) const;
    bool trialFailed(core::MonoTime now, const Record &record) const;
    void eject(core::MonoTime now, Record &record, Scope scope, double severity);
    void scheduleTrials(core::MonoTime now, Record &record);
    void readmit(core::MonoTime now, Record &record, HealthEvent::Kind kind);
    FloorMargin floorMargin(const core::AvailabilityZoneId &zone) const;
    bool floorAllowsEjection(const Record &record) const;
    void restoreFloor(core::MonoTime now);
    std::size_t rankOf(Record &record);
    std::size_t trialAllowance(const Record &record) const;
    bool needsNoDecision(core::MonoTime now, const Record &record) const;
    void addEvent(HealthEvent::Kind kind, const Record &record);

    HealthOptions options_;
    bool listReceived_ = false;
    std::vector<Record> records_;
    std::unordered_map<core::UpstreamId, std::size_t, core::StrongHash> index_;
    /** When upstreams left the VM list or were marked as leaving. */
    std::unordered_map<core::UpstreamId, core::MonoTime, core::StrongHash> departed_;
    /** Drains that peers reported for upstreams which this VM's list does not contain yet. */
    std::unordered_map<core::UpstreamId, core::MonoTime, core::StrongHash> earlyDrains_;
    std::vector<core::VmId> ownZoneVms_; ///< Live entry VMs of the own zone.
    std::size_t entryVmCount_ = 1;       ///< Live entry VMs.
    std::size_t entryZoneCount_ = 1;     ///< Zones with live entry VMs.
    MedianDuration median_;
    std::uint64_t nextAttemptNumber_ = 1;
    std::uint64_t nextSequence_ = 1;
    std::size_t pendingSends_ = 0; ///< Sum of sendsLeft of all reports.
    bool urgentPending_ = false;
    bool hasSuspects_ = false;
    std::vector<HealthEvent> events_;
};

} // namespace teaselreach::upstream
