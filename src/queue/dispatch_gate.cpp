/** @file dispatch_gate.cpp Lets request threads of one service through in fair order. */
#include "queue/dispatch_gate_base.h"

#include <chrono>

namespace teaselreach::queue {

DispatchGate::DispatchGate(FairQueueOptions queue, ConcurrencyLimitOptions limit)
    : queue_(queue)
    , limit_(limit)
{ }

GateResult DispatchGate::acquire(const GateRequest &request)
{
    std::unique_lock lock(mutex_);
    const core::MonoTime now = core::MonoClock::now();
    const Ticket ticket(++lastTicket_);
    const EnqueueResult result = queue_.enqueue({.ticket = ticket,
                                                 .account = request.account,
                                                 .routeClass = request.routeClass,
                                                 .weight = request.weight,
                                                 .deadline = request.deadline,
                                                 .expectedService = request.expectedService},
                                                now);
    if (result == EnqueueResult::QueueFull)
        return GateResult::QueueFull;
    if (result == EnqueueResult::DeadlineTooClose)
        return GateResult::DeadlineExceeded;

    Waiter waiter;
    waiters_.emplace(ticket, &waiter);
    grantTurns(now);
    const core::MonoTime latest = request.deadline - request.expectedService;
    while (!waiter.granted && !waiter.expired) {
        const core::Micros left = latest - core::MonoClock::now();
        if (left < core::Micros(0)) {
            queue_.cancel(ticket);
            break;
        }
        // One microsecond more, so that the wait does not end just before the deadline.
        waiter.wake.wait_for(lock, left + core::Micros(1));
    }
    waiters_.erase(ticket);
    return waiter.granted ? GateResult::Granted : GateResult::DeadlineExceeded;
}

void DispatchGate::release(GateOutcome outcome)
{
    const std::lock_guard lock(mutex_);
    const core::MonoTime now = core::MonoClock::now();
    --inFlight_;
    if (outcome == GateOutcome::Shed)
        limit_.shed(now);
    if (outcome == GateOutcome::Answered)
        limit_.answered();
    grantTurns(now);
}

void DispatchGate::setSlots(double slots)
{
    const std::lock_guard lock(mutex_);
    limit_.setMaximum(slots);
    grantTurns(core::MonoClock::now());
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

/** Wakes the threads whose turn it is and those whose deadline has passed. The lock is held. */
void DispatchGate::grantTurns(core::MonoTime now)
{
    for (const Ticket ticket : queue_.takeExpired(now)) {
        Waiter &waiter = *waiters_.at(ticket);
        waiter.expired = true;
        waiter.wake.notify_one();
    }
    while (inFlight_ < limit_.current()) {
        const std::optional<Ticket> ticket = queue_.takeNext();
        if (!ticket)
            return;
        ++inFlight_;
        Waiter &waiter = *waiters_.at(*ticket);
        waiter.granted = true;
        waiter.wake.notify_one();
    }
}

} // namespace teaselreach::queue
