/** @file health_table_base.h Which upstreams of one service this VM uses, and why. */
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

/** The identity of this VM and its service's settings. */
struct HealthOptions
{
    core::ServiceId service;
    core::VmId ownVm;
    core::Location ownLocation;
    core::Incarnation incarnation;
    double floor = 0.7;           ///< Fraction of upstreams that ejection leaves in use.
    bool exchangeEvidence = true; ///< Off only in the baseline "local detection only".
};

/** Ejection, readmission and drain of the upstreams of one service, as one VM decides them. */
class HealthTable
{
public:
    /** @param options Identity and settings. */
    explicit HealthTable(HealthOptions options);

    /** Changes the floor; ejections that it no longer allows end. */
    void setFloor(core::MonoTime now, double floor);
    /**
     * Takes in a VM list.
     * @param upstreams The service's upstreams, live and leaving.
     * @param entryVms All entry VMs, live and leaving.
     */
    void applyVmList(core::MonoTime now, const std::vector<core::UpstreamVm> &upstreams,
                     const std::vector<core::EntryVm> &entryVms);
    /** Records that an attempt was sent. @return The id to pass to finishAttempt(). */
    AttemptId startAttempt(core::MonoTime now, std::size_t index, bool trial);
    /** Records the end of an attempt. */
    void finishAttempt(core::MonoTime now, const AttemptId &attemptId,
                       const Completion &completion);
    /** Records what GET /load returned; ends a drain that the upstream no longer reports. */
    void recordLoad(core::MonoTime now, const core::UpstreamId &id, const LoadReport &load);
    /** Takes in evidence of another VM. */
    void applyDigest(core::MonoTime now, const EvidenceDigest &digest);
    /** Counts overdue attempts and decides ejections and readmissions; every tickInterval. */
    void tick(core::MonoTime now);
    /**
     * The digests for one message to one peer, most urgent first.
     * @param limit Most digests to return.
     */
    std::vector<EvidenceDigest> takeDigestsToSend(core::MonoTime now, std::size_t limit);
    /** @return Whether digests wait that should be pushed to peers at once. */
    bool hasUrgentDigests() const { return urgentPending_; }
    /** @return The changes since the last call. */
    std::vector<HealthEvent> takeEvents();

    /** @return Number of upstreams known. */
    std::size_t size() const { return records_.size(); }
    /** @return The upstream at an index; indexes hold until the next applyVmList(). */
    const core::UpstreamVm &vmAt(std::size_t index) const { return records_[index].vm; }
    /** @return The index of an upstream, if it is known. */
    std::optional<std::size_t> find(const core::UpstreamId &id) const;
    /** @return The use that this VM makes of an upstream. */
    UseState stateAt(std::size_t index) const;
    /** @return Whether ordinary requests may go to an upstream. */
    bool usable(std::size_t index) const { return stateAt(index) == UseState::InUse; }
    /** @return Attempts in progress from this VM. */
    int inFlightAt(std::size_t index) const { return records_[index].own.inFlight(); }
    /** @return Whether the next idempotent request should go to this ejected upstream on trial. */
    bool needsTrial(core::MonoTime now, std::size_t index);
    /** @return Whether the next idempotent request should look at a suspected upstream. */
    bool needsCorroboration(core::MonoTime now, std::size_t index);
    /** @return Whether any upstream may want a trial or corroboration. */
    bool hasSuspects() const { return hasSuspects_; }
    /** @return When the upstream was first listed or last readmitted; epoch if at the start. */
    core::MonoTime usedSince(std::size_t index) const { return records_[index].usedSince; }
    /** @return The time after which an attempt counts as overdue. */
    core::Micros overdueAfter() const { return median_.overdueAfter(); }
    /** @return Durations of the service on this VM. */
    const MedianDuration &durations() const { return median_; }
    /** @return Why an upstream is or is not in use; nothing if it is unknown. */
    std::optional<Explanation> explain(core::MonoTime now, const core::UpstreamId &id) const;
    /** @return Approximate memory held, in bytes. */
    std::size_t memoryBytes() const;

private:
    /** The latest digest of one VM. */
    struct Report
    {
        core::VmId reporter;
        core::AvailabilityZoneId zone;
        core::Incarnation incarnation;
        std::uint64_t sequence = 0;
        core::MonoTime madeAt {};
        DecayingCounts counts;
        DecayingCounts trials; ///< good: passed, failed: failed.
        double badShareElsewhere = 0;
        DrainState drain = DrainState::None;
        int sendsLeft = 0;
        bool urgent = false;
    };

    /** Everything known of one upstream. */
    struct Record
    {
        core::UpstreamVm vm;
        bool ejected = false;
        Scope scope = Scope::Vm;
        bool refusedByFloor = false;
        DrainState drain = DrainState::None;
        core::MonoTime drainSince {};
        core::MonoTime firstListed {}; ///< Epoch if listed since the start.
        core::MonoTime usedSince {};
        core::MonoTime ejectedAt {};
        core::MonoTime trialFrom {};
        core::MonoTime readmittedAt {};
        int relapses = 0;
        double severity = 0;
        std::size_t trialsSent = 0;
        OwnEvidence own;
        DecayingCounts ownTrials; ///< good: passed, failed: failed.
        std::uint64_t badEventsReported = 0;
        bool trialsChanged = false;
        bool drainFirstHand = false;
        core::MonoTime digestMadeAt {};
        std::array<core::MonoTime, 3> outlierSince {}; ///< For each scope; epoch if not suspected.
        std::optional<std::size_t> rank;  ///< Of this VM in its zone for this upstream.
        core::MonoTime lastNonTrialAt {}; ///< Last corroborating request.
        std::vector<Report> reports;      ///< Including this VM's own.
        std::vector<EvidenceSource> ejectionEvidence;
    };

    /** The evidence of a scope and what it is compared with. */
    struct ScopeEvaluation
    {
        PooledEvidence evidence;
        double reference = 0;
    };

    /** Upstreams in use beyond the floors; negative if a floor is not kept. */
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
    bool listReceived_ = false; ///< Whether a list has been received.
    std::vector<Record> records_;
    std::unordered_map<core::UpstreamId, std::size_t, core::StrongHash> index_;
    std::unordered_map<core::UpstreamId, core::MonoTime, core::StrongHash> departed_;
    /** Drains reported for upstreams that the own list does not have yet. */
    std::unordered_map<core::UpstreamId, core::MonoTime, core::StrongHash> earlyDrains_;
    std::vector<core::VmId> ownZoneVms_; ///< Live entry VMs of the own zone.
    std::size_t entryVmCount_ = 1;       ///< Live entry VMs.
    std::size_t entryZoneCount_ = 1;     ///< Zones with live entry VMs.
    MedianDuration median_;
    std::uint64_t nextAttemptNumber_ = 1;
    std::uint64_t nextSequence_ = 1;
    std::size_t pendingSends_ = 0;
    bool urgentPending_ = false;
    bool hasSuspects_ = false;
    std::vector<HealthEvent> events_;
};

} // namespace teaselreach::upstream
