/** @file gate_service.cpp Manages one dispatch gate for each service. */
#include "daemon/gate_service_base.h"

namespace teaselreach::daemon {

namespace {

GateVerdict verdictOf(queue::GateResult result)
{
    switch (result) {
    case queue::GateResult::Granted:
        return GateVerdict::Granted;
    case queue::GateResult::QueueFull:
        return GateVerdict::QueueFull;
    case queue::GateResult::DeadlineExceeded:
        return GateVerdict::DeadlineExceeded;
    }
    return GateVerdict::QueueFull;
}

} // namespace

GateState GateService::acquireSlot(const GateRequest &request,
                                   std::function<void(GateVerdict)> wake)
{
    const queue::PendingAcquire entry =
        gateOf(request.service)
            .acquireAsync(
                {.account = request.account,
                 .routeClass = request.routeClass,
                 .weight = request.weight,
                 .deadline = request.deadline},
                [wake = std::move(wake)](queue::GateResult result) { wake(verdictOf(result)); });
    GateState state {.verdict = std::nullopt, .ticket = entry.ticket};
    if (entry.result)
        state.verdict = verdictOf(*entry.result);
    return state;
}

bool GateService::cancel(const core::ServiceId &service, queue::Ticket ticket)
{
    return gateOf(service).cancel(ticket);
}

void GateService::releaseSlot(const core::ServiceId &service, bool shed)
{
    gateOf(service).release(shed ? queue::GateOutcome::Shed : queue::GateOutcome::Answered);
}

queue::SlotResult GateService::tryAcquireSlot(const core::ServiceId &service)
{
    return gateOf(service).tryAcquire();
}

void GateService::releaseHedgeSlot(const core::ServiceId &service, bool shed)
{
    // The request's own slot tells the limit of an answer; a second one would raise it twice.
    gateOf(service).release(shed ? queue::GateOutcome::Shed : queue::GateOutcome::Failed);
}

void GateService::setSlots(const core::ServiceId &service, int slots)
{
    gateOf(service).setSlots(slots);
}

queue::DispatchGate &GateService::gateOf(const core::ServiceId &service)
{
    {
        const std::shared_lock lock(mutex_);
        const auto found = gates_.find(service);
        if (found != gates_.end())
            return *found->second;
    }
    const std::unique_lock lock(mutex_);
    auto &gate = gates_[service];
    if (!gate) {
        gate = std::make_unique<queue::DispatchGate>(queue::FairQueueOptions {},
                                                     queue::ConcurrencyLimitOptions {});
    }
    return *gate;
}

} // namespace teaselreach::daemon
