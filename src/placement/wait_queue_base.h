/** @file wait_queue_base.h Priority queue of the requests that wait for an upstream. */
#pragma once

#include "placement/placement_type.h"

#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace teaselreach::proxy {

using WaitTicket = core::StrongInt<struct WaitTicketTag, std::uint64_t>;

/** Size limit and priority weights of a queue. */
struct WaitQueueOptions
{
    std::size_t maxWaiting = 256; ///< Requests per service; each keeps its body in memory.
    /** Ratio of the scheduling weights of two adjacent account priorities, and of two adjacent
     * route priorities. The larger ratio makes the account's priority count for more than the
     * route's. Every flow has a weight above zero, so none starves under any load. */
    double accountWeightRatio = 3.0;
    double routeWeightRatio = 2.2;
};

/** A request to be queued. Lower priority values are more important. */
struct WaitRequest
{
    WaitTicket ticket;
    core::ClientAccountId account;
    int accountPriority = 0;
    int routePriority = 0;
    core::Micros expectedProcessingTime {0};
    core::MonoTime deadline {}; ///< Latest useful time of a response.
};

/** Result of WaitQueue::removeLateAndPeek(). */
struct QueueHead
{
    std::vector<WaitTicket> tooLate; ///< Removed: they can no longer be answered in time.
    std::optional<WaitTicket> next;  ///< Next request to send; still queued.
};

/**
 * Queue of the requests that wait for an upstream of one service. It absorbs bursts and the loss of
 * upstreams.
 *
 * Requests of the same account and priorities form a flow. Stride scheduling shares the capacity
 * among the flows by account priority, then by route priority. Admission control refuses requests
 * that cannot be answered before their deadline.
 */
class WaitQueue
{
public:
    /** @param options Size limit and weights. */
    explicit WaitQueue(WaitQueueOptions options);

    /**
     * Queues a request, unless the queue is full or the expected wait exceeds the deadline.
     * @param slots This VM's share of the slots of the service's upstreams.
     * @return Whether the request was queued.
     */
    bool enqueue(core::MonoTime now, const WaitRequest &request, double slots);
    /** Removes the requests that can no longer be answered in time and selects the next request
     * to send without removing it. */
    QueueHead removeLateAndPeek(core::MonoTime now);
    /** Moves later deadlines of queued requests forward to a time. */
    void limitDeadlines(core::MonoTime latest);
    /** Removes a request.
     * @param served Whether it was sent to an upstream, which is charged to its flow. */
    void remove(WaitTicket ticket, bool served);
    /** @return Number of waiting requests. */
    std::size_t size() const { return requests_.size(); }

private:
    /** Requests of one account with the same priorities, oldest first. */
    struct Flow
    {
        double pass = 0;   ///< Virtual time; the flow with the lowest pass is served next.
        double stride = 1; ///< Added to pass for each request served; inverse of the weight.
        std::vector<WaitTicket> tickets;
    };
    /** Account priority, route priority, account. */
    using FlowKey = std::tuple<int, int, core::ClientAccountId>;

    static FlowKey keyOf(const WaitRequest &request);
    bool isTooLate(core::MonoTime now, const WaitRequest &request) const;

    WaitQueueOptions options_;
    double globalPass_ = 0; ///< Pass of the last flow served; lower bound for new flows.
    std::map<WaitTicket, WaitRequest> requests_;
    std::map<FlowKey, Flow> flows_;
};

} // namespace teaselreach::proxy
