/** @file dispatch_gate.cpp Admission control for the requests of one service. */
#include "queue/dispatch_gate_base.h"

#include <algorithm>
#include <future>
#include <memory>

namespace teaselreach::queue {

DispatchGate::DispatchGate(FairQueueOptions queue, ConcurrencyLimitOptions limit)
    : queue_(queue)
    , limit_(limit)
{ }

PendingAcquire DispatchGate::acquireAsync(const GateRequest &request, Callback callback)
{
    std::optional<GateResult> immediate;
    DueCallbacks decided;
    PendingAcquire entry;
    {
        const std::lock_guard lock(mutex_);
        const core::MonoTime now = core::MonoClock::now();
        entry.ticket = Ticket(++lastTicket_);
        const EnqueueResult result =
            queue_.enqueue({.ticket = entry.ticket,
                            .account = request.account,
                            .routeClass = request.routeClass,
                            .weight = request.weight,
                            .deadline = request.deadline,
                            .expectedServiceTime = request.expectedServiceTime},
                           now);
        if (result == EnqueueResult::QueueFull)
            entry.result = GateResult::QueueFull;
        if (result == EnqueueResult::DeadlineTooClose)
            entry.result = GateResult::DeadlineExceeded;
        if (entry.result)
            return entry;
        waiters_.emplace(entry.ticket, [&immediate](GateResult decision) { immediate = decision; });
        decided = dispatchReady(now);
        if (const auto waiter = waiters_.find(entry.ticket); waiter != waiters_.end())
            waiter->second = std::move(callback);
    }
    runCallbacks(decided);
    entry.result = immediate;
    return entry;
}

bool DispatchGate::cancel(Ticket ticket)
{
    const std::lock_guard lock(mutex_);
    queue_.cancel(ticket);
    return waiters_.erase(ticket) > 0;
}

GateResult DispatchGate::acquire(const GateRequest &request)
{
    const auto promise = std::make_shared<std::promise<GateResult>>();
    std::future<GateResult> decision = promise->get_future();
    const PendingAcquire entry =
        acquireAsync(request, [promise](GateResult result) { promise->set_value(result); });
    if (entry.result)
        return *entry.result;
    // One microsecond is added so that the wait ends after the deadline and never just before it.
    const core::MonoTime latest = request.deadline - request.expectedServiceTime + core::Micros(1);
    while (decision.wait_for(std::max(core::Micros(0), latest - core::MonoClock::now()))
           != std::future_status::ready) {
        if (core::MonoClock::now() >= latest && cancel(entry.ticket))
            return GateResult::DeadlineExceeded;
    }
    return decision.get();
}

SlotResult DispatchGate::tryAcquire()
{
    const std::lock_guard lock(mutex_);
    if (queue_.size() > 0)
        return SlotResult::Queued;
    if (inFlight_ >= limit_.current())
        return SlotResult::NoneFree;
    ++inFlight_;
    return SlotResult::Granted;
}

void DispatchGate::release(GateOutcome outcome)
{
    DueCallbacks decided;
    {
        const std::lock_guard lock(mutex_);
        const core::MonoTime now = core::MonoClock::now();
        --inFlight_;
        if (outcome == GateOutcome::Shed)
            limit_.recordShed(now);
        if (outcome == GateOutcome::Answered)
            limit_.recordAnswered();
        decided = dispatchReady(now);
    }
    runCallbacks(decided);
}

void DispatchGate::setSlots(double slots)
{
    DueCallbacks decided;
    {
        const std::lock_guard lock(mutex_);
        limit_.setMaximum(slots);
        decided = dispatchReady(core::MonoClock::now());
    }
    runCallbacks(decided);
}

std::size_t DispatchGate::waiting() const
{
    const std::lock_guard lock(mutex_);
    return queue_.size();
}

int DispatchGate::inFlight() const
{
    const std::lock_guard lock(mutex_);
    return inFlight_;
}

/**
 * @return The callbacks of expired requests and of those granted within the limit. The lock must be
 * held.
 */
DispatchGate::DueCallbacks DispatchGate::dispatchReady(core::MonoTime now)
{
    DueCallbacks decided;
    const auto decide = [&](Ticket ticket, GateResult result) {
        const auto waiter = waiters_.find(ticket);
        decided.emplace_back(std::move(waiter->second), result);
        waiters_.erase(waiter);
    };
    for (const Ticket ticket : queue_.takeExpired(now))
        decide(ticket, GateResult::DeadlineExceeded);
    while (inFlight_ < limit_.current()) {
        const std::optional<Ticket> ticket = queue_.dequeue();
        if (!ticket)
            break;
        ++inFlight_;
        decide(*ticket, GateResult::Granted);
    }
    return decided;
}

void DispatchGate::runCallbacks(const DueCallbacks &decided)
{
    for (const auto &[callback, result] : decided)
        callback(result);
}

} // namespace teaselreach::queue
