/** @file health_table_cmd.cpp HealthTable: VM lists, attempts, drains and floors. */
#include "upstream/floor_func.h"
#include "upstream/health_table_base.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace teaselreach::upstream {

HealthTable::HealthTable(HealthOptions options)
    : options_(std::move(options))
{ }

void HealthTable::setFloor(core::MonoTime now, double floor)
{
    options_.floor = floor;
    restoreFloor(now);
}

void HealthTable::applyVmList(core::MonoTime now, const std::vector<core::UpstreamVm> &upstreams,
                              const std::vector<core::EntryVm> &entryVms)
{
    removeMissing(now, upstreams);
    for (const core::UpstreamVm &vm : upstreams) {
        if (vm.state == core::VmState::Live && departed_.contains(vm.id))
            continue;
        const auto index = find(vm.id);
        if (!index)
            addRecord(now, vm);
        else
            records_[*index].vm = vm;
        if (vm.state == core::VmState::Leaving)
            markDraining(now, records_[*find(vm.id)], DrainState::Leaving, true);
    }
    ownZoneVms_.clear();
    entryVmCount_ = 0;
    std::set<core::AvailabilityZoneId> zones;
    for (const core::EntryVm &vm : entryVms) {
        if (vm.state != core::VmState::Live)
            continue;
        ++entryVmCount_;
        zones.insert(vm.location.availabilityZone);
        if (vm.location.availabilityZone == options_.ownLocation.availabilityZone)
            ownZoneVms_.push_back(vm.id);
    }
    entryZoneCount_ = std::max<std::size_t>(1, zones.size());
    for (Record &record : records_)
        record.rank.reset();
    listReceived_ = true;
    restoreFloor(now);
}

void HealthTable::removeMissing(core::MonoTime now, const std::vector<core::UpstreamVm> &upstreams)
{
    std::set<core::UpstreamId> listed;
    for (const core::UpstreamVm &vm : upstreams)
        listed.insert(vm.id);
    for (const Record &record : records_) {
        if (!listed.contains(record.vm.id))
            departed_[record.vm.id] = now;
    }
    std::erase_if(records_, [&](const Record &entry) { return !listed.contains(entry.vm.id); });
    const auto old = [&](const auto &entry) { return now - entry.second > departedRetention; };
    std::erase_if(departed_, old);
    std::erase_if(earlyDrains_, old);
    rebuildIndex();
}

void HealthTable::rebuildIndex()
{
    index_.clear();
    for (std::size_t i = 0; i < records_.size(); ++i)
        index_[records_[i].vm.id] = i;
}

void HealthTable::addRecord(core::MonoTime now, const core::UpstreamVm &vm)
{
    Record record;
    record.vm = vm;
    // Upstreams of the first list most likely ran before this VM started and need no slow start.
    if (listReceived_) {
        record.firstListed = now;
        record.usedSince = now;
    }
    index_[vm.id] = records_.size();
    records_.push_back(std::move(record));
    if (earlyDrains_.erase(vm.id) > 0)
        markDraining(now, records_.back(), DrainState::Draining, false);
}

AttemptId HealthTable::startAttempt(core::MonoTime now, std::size_t index, bool trial)
{
    Record &record = records_[index];
    const std::uint64_t number = nextAttemptNumber_++;
    record.own.start(now, number, trial);
    if (trial)
        ++record.trialsSent;
    else
        record.lastNonTrialAt = now;
    return {.upstream = record.vm.id, .number = number};
}

void HealthTable::finishAttempt(core::MonoTime now, const AttemptId &attemptId,
                                const Completion &completion)
{
    const auto index = find(attemptId.upstream);
    if (!index)
        return;
    Record &record = records_[*index];
    const auto result =
        record.own.finish(now, attemptId.number, completion.outcome, overdueAfterFor(now, record));
    const bool complete = completion.outcome == Outcome::Success;
    if (result.known && complete)
        median_.add(result.duration);
    if (result.trial && (result.good || result.bad))
        recordTrialResult(now, record, result.good);
    if (completion.hasLoad && completion.load.draining) {
        markDraining(now, record, DrainState::Draining, true);
        restoreFloor(now);
    }
}

void HealthTable::recordTrialResult(core::MonoTime now, Record &record, bool passed)
{
    if (!record.ejected)
        return;
    record.ownTrials.add(now, {.good = passed ? 1.0 : 0.0, .failed = passed ? 0.0 : 1.0});
    record.trialsChanged = true;
}

void HealthTable::recordLoad(core::MonoTime now, const core::UpstreamId &id, const LoadReport &load)
{
    const auto index = find(id);
    if (!index)
        return;
    Record &record = records_[*index];
    if (load.draining) {
        markDraining(now, record, DrainState::Draining, true);
        restoreFloor(now);
        return;
    }
    if (record.drain != DrainState::Draining || now - record.drainSince < minDrainTime)
        return;
    record.drain = DrainState::None;
    record.drainFirstHand = false;
    if (!record.ejected)
        eject(now, record, Scope::Vm, 0);
    record.trialFrom = now;
}

void HealthTable::markDraining(core::MonoTime now, Record &record, DrainState state, bool firstHand)
{
    if (firstHand && !record.drainFirstHand) {
        record.drainFirstHand = true;
        record.digestMadeAt = {};
    }
    if (record.drain == DrainState::None) {
        record.drainSince = now;
        addEvent(HealthEvent::Kind::Draining, record);
    }
    record.drain = std::max(record.drain, state);
    if (state == DrainState::Leaving)
        departed_[record.vm.id] = now;
}

core::Micros HealthTable::overdueAfterFor(core::MonoTime now, const Record &record) const
{
    const core::Micros usual = median_.overdueAfter();
    const bool cold =
        record.firstListed != core::MonoTime {} && now - record.firstListed < coldStartPeriod;
    return cold ? std::max<core::Micros>(usual, minColdStartOverdue) : usual;
}

std::vector<HealthEvent> HealthTable::takeEvents()
{
    return std::exchange(events_, {});
}

void HealthTable::addEvent(HealthEvent::Kind kind, const Record &record)
{
    events_.push_back({.kind = kind, .upstream = record.vm.id, .scope = record.scope});
}

HealthTable::FloorMargin HealthTable::floorMargin(const core::AvailabilityZoneId &zone) const
{
    std::size_t listed = 0;
    std::size_t zoneListed = 0;
    FloorMargin state;
    for (const Record &record : records_) {
        if (record.vm.state != core::VmState::Live)
            continue;
        const bool inZone = record.vm.location.availabilityZone == zone;
        ++listed;
        zoneListed += inZone ? 1 : 0;
        if (record.ejected || record.drain != DrainState::None)
            continue;
        ++state.serviceSpare;
        state.zoneSpare += inZone ? 1 : 0;
    }
    state.serviceSpare -= static_cast<std::ptrdiff_t>(serviceFloor(listed, options_.floor));
    state.zoneSpare -= static_cast<std::ptrdiff_t>(zoneFloor(zoneListed, options_.floor));
    return state;
}

bool HealthTable::floorAllowsEjection(const Record &record) const
{
    if (record.drain != DrainState::None || record.vm.state != core::VmState::Live)
        return true;
    const FloorMargin state = floorMargin(record.vm.location.availabilityZone);
    return state.serviceSpare > 0 && state.zoneSpare > 0;
}

void HealthTable::restoreFloor(core::MonoTime now)
{
    std::vector<Record *> ejected;
    for (Record &record : records_) {
        if (record.ejected && record.drain == DrainState::None)
            ejected.push_back(&record);
    }
    std::sort(ejected.begin(), ejected.end(), [](const Record *a, const Record *b) {
        return std::tie(a->severity, a->vm.id) < std::tie(b->severity, b->vm.id);
    });
    for (Record *record : ejected) {
        const FloorMargin state = floorMargin(record->vm.location.availabilityZone);
        if (state.serviceSpare < 0 || state.zoneSpare < 0)
            readmit(now, *record, HealthEvent::Kind::FloorRestored);
    }
}

} // namespace teaselreach::upstream
