/** @file fair_queue_cmd.cpp FairQueue: operations that change the queue. */
#include "queue/fair_queue_base.h"

#include <algorithm>

namespace teaselreach::queue {

FairQueue::FairQueue(FairQueueOptions options)
    : options_(options)
{ }

EnqueueResult FairQueue::enqueue(const QueuedRequest &request, core::MonoTime now)
{
    if (latestDispatch(request) < now)
        return EnqueueResult::DeadlineTooClose;
    if (size() >= options_.maxQueued || sizeOf(request.account) >= options_.maxQueuedPerAccount)
        return EnqueueResult::QueueFull;

    Flow &flow = flows_[request.account];
    flow.weight = std::max(1, request.weight);
    if (flow.size == 0) {
        // An idle account resumes at the present virtual time or later: it cannot save up turns,
        // and it still pays for the requests that were served just before.
        flow.virtualStart = std::max(flow.virtualStart, virtualTime_);
        schedule_.emplace(flow.virtualStart, request.account);
    }
    flow.byClass[static_cast<std::size_t>(request.routeClass)].push_back(request.ticket);
    ++flow.size;
    expiries_.emplace(latestDispatch(request), request.ticket);
    requests_.emplace(request.ticket, request);
    return EnqueueResult::Queued;
}

std::optional<Ticket> FairQueue::dequeue()
{
    if (schedule_.empty())
        return std::nullopt;
    const auto &[start, account] = *schedule_.begin();
    virtualTime_ = start;
    const Ticket ticket = frontOf(flows_.at(account));
    const QueuedRequest request = requests_.at(ticket);
    remove(request, true);
    return ticket;
}

std::vector<Ticket> FairQueue::takeExpired(core::MonoTime now)
{
    std::vector<Ticket> expired;
    while (!expiries_.empty() && expiries_.begin()->first < now) {
        const Ticket ticket = expiries_.begin()->second;
        const QueuedRequest request = requests_.at(ticket);
        remove(request, false);
        expired.push_back(ticket);
    }
    return expired;
}

bool FairQueue::cancel(Ticket ticket)
{
    const auto found = requests_.find(ticket);
    if (found == requests_.end())
        return false;
    const QueuedRequest request = found->second;
    remove(request, false);
    return true;
}

/**
 * Removes a request from all indexes.
 * @param request The request.
 * @param served Whether it was dispatched and so advances the account's virtual time.
 */
void FairQueue::remove(const QueuedRequest &request, bool served)
{
    const auto found = flows_.find(request.account);
    Flow &flow = found->second;
    schedule_.erase({flow.virtualStart, request.account});
    if (served)
        flow.virtualStart += 1.0 / flow.weight;

    auto &fifo = flow.byClass[static_cast<std::size_t>(request.routeClass)];
    fifo.erase(std::find(fifo.begin(), fifo.end(), request.ticket));
    --flow.size;
    expiries_.erase({latestDispatch(request), request.ticket});
    requests_.erase(request.ticket);

    if (flow.size > 0) {
        schedule_.emplace(flow.virtualStart, request.account);
        return;
    }
    if (schedule_.empty()) {
        // The queue is empty, so the start tags of idle accounts no longer matter. Discarding them
        // bounds the table by the number of accounts in one busy period.
        flows_.clear();
        virtualTime_ = 0;
    }
}

} // namespace teaselreach::queue
