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
    /** Whether arrivals displace queued requests of lower priority, and requests whose expected
     * wait grows beyond their deadline are refused before it has passed. */
    bool shedsEarly = true;
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
    core::Micros targetLatency {0};
    core::MonoTime queuedAt {}; ///< Set by enqueue().
};

/** Result of WaitQueue::enqueue(). */
struct WaitAdmission
{
    bool queued = false;
    std::optional<WaitTicket> evicted; ///< Removed to make room.

    explicit operator bool() const { return queued; }
};

/** Result of WaitQueue::removeLateAndPeek(). */
struct QueueHead
{
    /** Removed: they can no longer be answered in time, or are not expected to be. */
    std::vector<WaitTicket> tooLate;
    std::optional<WaitTicket> next; ///< Next request to send; still queued.
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
     * Queues a request, unless the queue is full or the expected wait exceeds the deadline. If the
     * queue has no room, the newest request of the lowest priority makes room for one of a higher
     * priority.
     * @param slots Requests that this VM can have processed at once: its share of the slots of the
     * service's upstreams, or what its measured departures amount to.
     */
    WaitAdmission enqueue(core::MonoTime now, const WaitRequest &request, double slots);
    /** Removes the requests that can no longer be answered in time and selects the next request
     * to send without removing it.
     * @param departuresPerSecond If known, newly queued requests that the queue ahead keeps past
     * their deadline are removed too. */
    QueueHead removeLateAndPeek(core::MonoTime now,
                                std::optional<double> departuresPerSecond = std::nullopt);
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
    std::size_t queuedUpTo(const FlowKey &key) const;
    std::optional<WaitTicket> evictBelow(const WaitRequest &request);
    void removeHopeless(core::MonoTime now, double departuresPerSecond,
                        std::vector<WaitTicket> &removed);

    WaitQueueOptions options_;
    double globalPass_ = 0; ///< Pass of the last flow served; lower bound for new flows.
    std::map<WaitTicket, WaitRequest> requests_;
    std::map<FlowKey, Flow> flows_;
};

} // namespace teaselreach::proxy
