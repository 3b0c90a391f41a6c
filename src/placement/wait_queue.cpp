/** @file wait_queue.cpp Priority queue of the requests that wait for an upstream. */
#include "placement/wait_queue_base.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::proxy {

WaitQueue::WaitQueue(WaitQueueOptions options)
    : options_(options)
{ }

WaitQueue::FlowKey WaitQueue::keyOf(const WaitRequest &request)
{
    return {request.accountPriority, request.routePriority, request.account};
}

bool WaitQueue::isTooLate(core::MonoTime now, const WaitRequest &request) const
{
    return now + request.expectedProcessingTime > request.deadline;
}

bool WaitQueue::enqueue(core::MonoTime now, const WaitRequest &request, double slots)
{
    if (requests_.size() >= options_.maxWaiting || isTooLate(now, request))
        return false;
    // Worst case: all requests of flows with the same or a higher priority are served first.
    std::size_t ahead = 0;
    for (const auto &[key, flow] : flows_) {
        if (key <= keyOf(request))
            ahead += flow.tickets.size();
    }
    const auto wait = std::chrono::duration_cast<core::Micros>(
        request.expectedProcessingTime * (static_cast<double>(ahead) / std::max(1.0, slots)));
    if (now + wait + request.expectedProcessingTime > request.deadline)
        return false;
    Flow &flow = flows_[keyOf(request)];
    if (flow.tickets.empty()) {
        flow.stride = std::pow(options_.accountWeightRatio, request.accountPriority)
            * std::pow(options_.routeWeightRatio, request.routePriority);
        flow.pass = std::max(flow.pass, globalPass_);
    }
    flow.tickets.push_back(request.ticket);
    requests_.emplace(request.ticket, request);
    return true;
}

QueueHead WaitQueue::removeLateAndPeek(core::MonoTime now)
{
    QueueHead result;
    for (const auto &[ticket, request] : requests_) {
        if (isTooLate(now, request))
            result.tooLate.push_back(ticket);
    }
    for (const WaitTicket ticket : result.tooLate)
        remove(ticket, false);
    const Flow *best = nullptr;
    for (const auto &[key, flow] : flows_) {
        if (best == nullptr || flow.pass < best->pass)
            best = &flow;
    }
    if (best != nullptr)
        result.next = best->tickets.front();
    return result;
}

void WaitQueue::limitDeadlines(core::MonoTime latest)
{
    for (auto &[ticket, request] : requests_)
        request.deadline = std::min(request.deadline, latest);
}

void WaitQueue::remove(WaitTicket ticket, bool served)
{
    const auto found = requests_.find(ticket);
    if (found == requests_.end())
        return;
    const auto flowFound = flows_.find(keyOf(found->second));
    Flow &flow = flowFound->second;
    std::erase(flow.tickets, ticket);
    if (served) {
        globalPass_ = flow.pass;
        flow.pass += flow.stride;
    }
    if (flow.tickets.empty())
        flows_.erase(flowFound);
    requests_.erase(found);
}

} // namespace teaselreach::proxy
