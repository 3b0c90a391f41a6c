/** @file wait_queue_base.h Requests that wait for an upstream, in the order in which they go. */
#pragma once

#include "proxy/proxy_type.h"

#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace teaselreach::proxy {

using WaitTicket = core::StrongInt<struct WaitTicketTag, std::uint64_t>;

/** Bounds of the queue. */
struct WaitQueueOptions
{
    std::size_t maxWaiting = 256; ///< Requests of one service; each holds its body in memory.
    /** Turns that an account gets for each turn of the next less important account, and a route for
     * each of the next less important route. An account's priority goes before a route's, and none
     * is starved, whatever the load. */
    double accountWeightRatio = 3.0;
    double routeWeightRatio = 2.2;
};

/** A request that asks for a place in the queue. */
struct WaitRequest
{
    WaitTicket ticket;
    core::ClientAccountId account;
    int accountPriority = 0;
    int routePriority = 0;
    core::Micros expectedProcessingTime {0};
    core::MonoTime deadline {}; ///< Latest time at which an answer is of use.
};

/** Requests that can no longer be answered, and the next one to go. */
struct QueueHead
{
    std::vector<WaitTicket> tooLate;
    std::optional<WaitTicket> next;
};

/**
 * The queue in front of one service. It answers bursts and the loss of upstreams: waiting requests
 * go by the importance of their account, then of their route, in turns (stride scheduling over
 * flows of equal account and priorities), and none waits that cannot be answered in time.
 */
class WaitQueue
{
public:
    /** @param options Bounds. */
    explicit WaitQueue(WaitQueueOptions options);

    /**
     * @param slots Slots of the service's upstreams that this VM may count on.
     * @return Whether the request may wait; false if it could not be answered in time.
     */
    bool enqueue(core::MonoTime now, const WaitRequest &request, double slots);
    /** Takes the requests that are too late, and chooses the next one without taking it. */
    QueueHead removeLateAndPeek(core::MonoTime now);
    /** Removes a request that was sent or whose caller left. @param served Whether it was sent. */
    void remove(WaitTicket ticket, bool served);
    /** @return Waiting requests. */
    std::size_t size() const { return requests_.size(); }

private:
    /** Requests of one account with the same priorities, oldest first. */
    struct Flow
    {
        double pass = 0; ///< In turns; the lowest goes next.
        double stride = 1;
        std::vector<WaitTicket> tickets;
    };
    /** Account and route priority, account. */
    using FlowKey = std::tuple<int, int, core::ClientAccountId>;

    static FlowKey keyOf(const WaitRequest &request);
    bool isTooLate(core::MonoTime now, const WaitRequest &request) const;

    WaitQueueOptions options_;
    double globalPass_ = 0;
    std::map<WaitTicket, WaitRequest> requests_;
    std::map<FlowKey, Flow> flows_;
};

} // namespace teaselreach::proxy
