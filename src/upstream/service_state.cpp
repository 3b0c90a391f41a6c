/** @file service_state.cpp Ejection, selection, retries and drain for one service. */
#include "upstream/service_state_base.h"

#include <algorithm>

namespace teaselreach::upstream {

ServiceState::ServiceState(ServiceOptions options)
    : options_(std::move(options))
    , health_({.service = options_.service.id,
               .ownVm = options_.ownVm,
               .ownLocation = options_.ownLocation,
               .incarnation = options_.incarnation,
               .floor = options_.service.floor,
               .exchangeEvidence = options_.exchangeEvidence})
{ }

void ServiceState::configure(core::MonoTime now, const record::Service &service)
{
    options_.service = service;
    health_.setFloor(now, service.floor);
    updateChooser();
}

void ServiceState::applyVmList(core::MonoTime now, const core::VmList &list)
{
    list_.entryVms = list.entryVms;
    list_.upstreams.clear();
    std::copy_if(list.upstreams.begin(), list.upstreams.end(), std::back_inserter(list_.upstreams),
                 [&](const core::UpstreamVm &vm) { return vm.service == options_.service.id; });
    health_.applyVmList(now, list_.upstreams, list_.entryVms);
    std::erase_if(supersededInRow_,
                  [this](const auto &entry) { return !health_.find(entry.first); });
    updateChooser();
}

void ServiceState::updateChooser()
{
    SubsetRequest request {.ownVm = options_.ownVm,
                           .ownLocation = options_.ownLocation,
                           .maxConnectionsPerUpstream = options_.service.maxConnectionsPerUpstream,
                           .maxSize = options_.maxSubset};
    for (const core::EntryVm &vm : list_.entryVms) {
        if (vm.state == core::VmState::Live)
            request.entryVms.push_back(vm);
    }
    for (std::size_t i = 0; i < health_.size(); ++i)
        request.upstreams.push_back(health_.vmAt(i));
    chooser_.setUpstreams(request);
}

std::optional<Choice> ServiceState::choose(core::MonoTime now, const ChoiceRequest &request,
                                           Random &random)
{
    if (request.firstAttempt)
        budget_.requestStarted(now);
    const std::vector<UpstreamView> views = viewsFor(request);
    if (request.idempotent && request.firstAttempt && health_.hasSuspects()) {
        if (const auto index = upstreamToTest(now, views))
            return makeChoice(*index);
    }
    const auto index = chooser_.choose(now, views, strategy_, random);
    if (!index)
        return std::nullopt;
    return makeChoice(*index);
}

HedgeChoice ServiceState::chooseHedge(core::MonoTime now, const HedgeRequest &request,
                                      Random &random)
{
    const auto superseded = supersededInRow_.find(request.first);
    if (superseded != supersededInRow_.end() && superseded->second >= maxSupersededInRow)
        return {.refusal = HedgeRefusal::NeedsResult};
    if (request.timeLeft <= std::max(core::Micros(0), health_.durations().median()))
        return {.refusal = HedgeRefusal::DeadlineTooClose};
    std::optional<Choice> choice = choose(
        now, {.idempotent = true, .firstAttempt = false, .exclude = {request.first}}, random);
    if (!choice)
        return {.refusal = HedgeRefusal::NoUpstream};
    if (!budget_.tryTakeOptional(now))
        return {.refusal = HedgeRefusal::BudgetExhausted};
    return {.choice = std::move(choice)};
}

std::optional<std::size_t> ServiceState::upstreamToTest(core::MonoTime now,
                                                        const std::vector<UpstreamView> &views)
{
    for (std::size_t i = 0; i < views.size(); ++i) {
        if (health_.needsTrial(now, i) || health_.needsCorroboration(now, i))
            return i;
    }
    return std::nullopt;
}

std::vector<UpstreamView> ServiceState::viewsFor(const ChoiceRequest &request) const
{
    std::vector<UpstreamView> views;
    views.reserve(health_.size());
    for (std::size_t i = 0; i < health_.size(); ++i) {
        const bool tried =
            std::find(request.exclude.begin(), request.exclude.end(), health_.vmAt(i).id)
            != request.exclude.end();
        views.push_back({.usable = health_.usable(i) && !tried,
                         .inFlight = health_.inFlightAt(i),
                         .usedSince = health_.usedSince(i)});
    }
    return views;
}

Choice ServiceState::makeChoice(std::size_t index) const
{
    const core::UpstreamVm &vm = health_.vmAt(index);
    return {.upstream = vm.id,
            .address = vm.address,
            .port = vm.port,
            .trial = health_.stateAt(index) == UseState::Ejected};
}

AttemptId ServiceState::startAttempt(core::MonoTime now, const Choice &choice)
{
    const auto index = health_.find(choice.upstream);
    if (!index)
        return {.upstream = choice.upstream};
    return health_.startAttempt(now, *index, choice.trial);
}

void ServiceState::finishAttempt(core::MonoTime now, const AttemptId &attemptId,
                                 const Completion &completion)
{
    health_.finishAttempt(now, attemptId, completion);
    if (completion.outcome == Outcome::Superseded)
        ++supersededInRow_[attemptId.upstream];
    else if (completion.outcome != Outcome::Cancelled)
        supersededInRow_.erase(attemptId.upstream);
    const auto index = health_.find(attemptId.upstream);
    if (!index || !completion.hasLoad)
        return;
    LoadReport load = completion.load;
    if (completion.outcome == Outcome::Shed)
        load.busy = std::max(load.busy, load.slots);
    chooser_.recordLoad(now, *index, load, health_.inFlightAt(*index));
}

void ServiceState::recordLoad(core::MonoTime now, const core::UpstreamId &id,
                              const LoadReport &load)
{
    health_.recordLoad(now, id, load);
    const auto index = health_.find(id);
    if (index)
        chooser_.recordLoad(now, *index, load, health_.inFlightAt(*index));
}

RetryDecision ServiceState::decideRetry(core::MonoTime now, RetryRequest request)
{
    request.expectedDuration = health_.durations().median();
    return upstream::decideRetry(now, request, budget_);
}

std::vector<Explanation> ServiceState::explainAll(core::MonoTime now) const
{
    std::vector<Explanation> all;
    for (std::size_t i = 0; i < health_.size(); ++i)
        all.push_back(*health_.explain(now, health_.vmAt(i).id));
    return all;
}

} // namespace teaselreach::upstream
