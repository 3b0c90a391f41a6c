/** @file wait_queue.cpp Priority queue of the requests that wait for an upstream. */
#include "placement/wait_queue_base.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::proxy {

namespace {

/** Lower bounds of the capacity in an estimate of a wait, so that the wait stays finite. */
constexpr double minSlots = 0.01;
constexpr double minRate = 0.1;
/** Part of the target latency within which a hopeless request is refused: an eighth. */
constexpr int earlyDivisor = 8;

} // namespace

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

/** @return Number of queued requests with the same or a higher priority. */
std::size_t WaitQueue::queuedUpTo(const FlowKey &key) const
{
    std::size_t count = 0;
    for (const auto &[other, flow] : flows_) {
        if (key < other)
            break;
        count += flow.tickets.size();
    }
    return count;
}

WaitAdmission WaitQueue::enqueue(core::MonoTime now, const WaitRequest &request, double slots)
{
    if (isTooLate(now, request))
        return {};
    // Worst case: all requests of flows with the same or a higher priority are served first.
    const auto ahead = static_cast<double>(queuedUpTo(keyOf(request)));
    const auto wait = std::chrono::duration_cast<core::Micros>(
        request.expectedProcessingTime * (ahead / std::max(minSlots, slots)));
    if (now + wait + request.expectedProcessingTime > request.deadline)
        return {};
    WaitAdmission admission {.queued = true};
    if (requests_.size() >= options_.maxWaiting) {
        admission.evicted = options_.shedsEarly ? evictBelow(request) : std::nullopt;
        if (!admission.evicted)
            return {};
    }
    Flow &flow = flows_[keyOf(request)];
    if (flow.tickets.empty()) {
        flow.stride = std::pow(options_.accountWeightRatio, request.accountPriority)
            * std::pow(options_.routeWeightRatio, request.routePriority);
        flow.pass = std::max(flow.pass, globalPass_);
    }
    flow.tickets.push_back(request.ticket);
    requests_.emplace(request.ticket, request).first->second.queuedAt = now;
    return admission;
}

/** Removes the newest request of the account that has most of them at the lowest priority, if that
 * is lower than a request's priority. @return The removed request. */
std::optional<WaitTicket> WaitQueue::evictBelow(const WaitRequest &request)
{
    if (flows_.empty())
        return std::nullopt;
    const auto prioritiesOf = [](const FlowKey &key) {
        return std::pair(std::get<0>(key), std::get<1>(key));
    };
    const auto lowest = prioritiesOf(flows_.rbegin()->first);
    if (lowest <= std::pair(request.accountPriority, request.routePriority))
        return std::nullopt;
    const Flow *longest = nullptr;
    for (const auto &[key, flow] : flows_) {
        if (prioritiesOf(key) != lowest)
            continue;
        if (longest == nullptr || flow.tickets.size() > longest->tickets.size())
            longest = &flow;
    }
    const WaitTicket evicted = longest->tickets.back();
    remove(evicted, false);
    return evicted;
}

/** Removes requests that the requests ahead of them keep past their deadline. Only the first eighth
 * of the target latency is checked: a refusal is early only then, and the estimate of a wait that
 * has lasted longer is more often wrong than a response is late. */
void WaitQueue::removeHopeless(core::MonoTime now, double departuresPerSecond,
                               std::vector<WaitTicket> &removed)
{
    const std::size_t before = removed.size();
    // Accounts of the same priorities are served in turns: none waits for all requests of another.
    std::vector<const WaitRequest *> order;
    for (const auto &[ticket, request] : requests_)
        order.push_back(&request);
    const auto rankOf = [](const WaitRequest *request) {
        return std::tie(request->accountPriority, request->routePriority, request->queuedAt);
    };
    std::stable_sort(order.begin(), order.end(), [&](const WaitRequest *a, const WaitRequest *b) {
        return rankOf(a) < rankOf(b);
    });
    std::size_t ahead = 0;
    for (const WaitRequest *request : order) {
        const std::chrono::duration<double> wait(static_cast<double>(ahead)
                                                 / std::max(minRate, departuresPerSecond));
        const core::MonoTime answeredAt =
            now + std::chrono::duration_cast<core::Micros>(wait) + request->expectedProcessingTime;
        const bool isNew = now - request->queuedAt <= request->targetLatency / earlyDivisor;
        if (isNew && answeredAt > request->deadline)
            removed.push_back(request->ticket);
        else
            ++ahead;
    }
    for (std::size_t i = before; i < removed.size(); ++i)
        remove(removed[i], false);
}

QueueHead WaitQueue::removeLateAndPeek(core::MonoTime now,
                                       std::optional<double> departuresPerSecond)
{
    QueueHead result;
    for (const auto &[ticket, request] : requests_) {
        if (isTooLate(now, request))
            result.tooLate.push_back(ticket);
    }
    for (const WaitTicket ticket : result.tooLate)
        remove(ticket, false);
    if (options_.shedsEarly && departuresPerSecond)
        removeHopeless(now, *departuresPerSecond, result.tooLate);
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
