/** @file health_table_query.cpp HealthTable: queries, and the VMs that run trials. */
#include "core/digest_func.h"
#include "upstream/health_table_base.h"

#include <algorithm>

namespace teaselreach::upstream {

namespace {

/** Minimum time between the latest attempt of a VM at an upstream and a corroborating request. */
constexpr core::Millis corroborationInterval {300};
/** Weight of own observations at which no corroborating request is needed. */
constexpr double sufficientOwnWeight = 1;
/** VMs of each zone that send the first trials. */
constexpr std::size_t firstTrialVms = 1;
/**
 * Interval at which the number of VMs that may send trials doubles, as the first ones may be down
 * or idle.
 */
constexpr core::Millis trialWideningInterval {500};

} // namespace

std::optional<std::size_t> HealthTable::find(const core::UpstreamId &id) const
{
    const auto found = index_.find(id);
    if (found == index_.end())
        return std::nullopt;
    return found->second;
}

UseState HealthTable::stateAt(std::size_t index) const
{
    const Record &record = records_[index];
    if (record.drain != DrainState::None || record.vm.state == core::VmState::Leaving)
        return UseState::Draining;
    return record.ejected ? UseState::Ejected : UseState::InUse;
}

/** @return The rendezvous rank of this VM in its zone for an upstream, from 0; cached. */
std::size_t HealthTable::rankOf(Record &record)
{
    if (record.rank)
        return *record.rank;
    const std::string &item = record.vm.id.str();
    const auto own = core::rendezvousWeight(item, options_.ownVm.str());
    const auto ahead =
        std::count_if(ownZoneVms_.begin(), ownZoneVms_.end(), [&](const core::VmId &vm) {
            return vm != options_.ownVm && core::rendezvousWeight(item, vm.str()) > own;
        });
    record.rank = static_cast<std::size_t>(ahead);
    return *record.rank;
}

/** @return The number of trials that this VM may send in one round. */
std::size_t HealthTable::trialAllowance(const Record &record) const
{
    std::size_t vms = 1;
    if (record.scope == Scope::Fleet)
        vms = std::max<std::size_t>(1, entryVmCount_);
    if (record.scope == Scope::Zone)
        vms = std::max<std::size_t>(1, ownZoneVms_.size());
    return (trialsPerRound + vms - 1) / vms;
}

bool HealthTable::needsTrial(core::MonoTime now, std::size_t index)
{
    Record &record = records_[index];
    if (stateAt(index) != UseState::Ejected || now < record.trialFrom)
        return false;
    if (record.trialsSent >= trialAllowance(record) || record.own.trialsInFlight() > 0)
        return false;
    if (record.scope == Scope::Vm)
        return true;
    const auto doublings =
        std::min<std::int64_t>((now - record.trialFrom) / trialWideningInterval, 16);
    return rankOf(record) < firstTrialVms << doublings;
}

bool HealthTable::needsCorroboration(core::MonoTime now, std::size_t index)
{
    Record &record = records_[index];
    if (stateAt(index) != UseState::InUse || record.reports.empty())
        return false;
    if (record.own.inFlight() > 0 || now - record.lastNonTrialAt < corroborationInterval)
        return false;
    if (record.own.counts(now).total() >= sufficientOwnWeight)
        return false;
    return peerBadWeight(now, record) >= corroborationThreshold
        && rankOf(record) < corroboratorsPerZone;
}

std::optional<Explanation> HealthTable::explain(core::MonoTime now,
                                                const core::UpstreamId &id) const
{
    const auto index = find(id);
    if (!index)
        return std::nullopt;
    const Record &record = records_[*index];
    return Explanation {.upstream = id,
                        .state = stateAt(*index),
                        .scope = record.scope,
                        .ejectedAt = record.ejectedAt,
                        .trialFrom = record.trialFrom,
                        .relapses = record.relapses,
                        .refusedByFloor = record.refusedByFloor,
                        .own = record.own.counts(now),
                        .ejectionEvidence = record.ejectionEvidence};
}

std::size_t HealthTable::memoryBytes() const
{
    std::size_t bytes = sizeof(*this) + ownZoneVms_.size() * sizeof(core::VmId);
    for (const Record &record : records_) {
        bytes += sizeof(Record) + record.reports.capacity() * sizeof(Report);
        bytes += record.ejectionEvidence.capacity() * sizeof(EvidenceSource);
    }
    return bytes;
}

} // namespace teaselreach::upstream
