/** @file service_queues_base.h The queued requests of a service, by the regions that may serve
 * them. */
#pragma once

#include "placement/dispatcher_type.h"

#include <map>
#include <utility>

namespace teaselreach::proxy {

/** The queued requests of one service with the same allowed regions. */
struct RegionQueue
{
    explicit RegionQueue(const DispatcherOptions &options)
        : order(options.queue)
        , departures(options.departures)
    { }
    WaitQueue order;
    DepartureRate departures;
    double slotsPerSecond = 0; ///< Departures that the slots suggest, averaged over arrivals.
    std::map<WaitTicket, DispatchRequest> requests;
    double pass = 0;        ///< Virtual time; the queue with the lowest pass is served next.
    bool isBlocked = false; ///< All upstreams of its regions are busy, until unblock().
};

/** Body in bytes from which requests have a queue of their own: they may wait for the bound in
 * bytes of the upstreams, for which small requests need not wait. */
inline constexpr std::size_t longBodyBytes = std::size_t {64} * 1024;

/** The allowed regions of queued requests, and whether their bodies are long. */
using QueueKey = std::pair<RegionSet, bool>;

/** @return The key of the queue of a request. */
inline QueueKey queueKeyOf(const DispatchRequest &request)
{
    return {request.allowedRegions, request.bodyBytes >= longBodyBytes};
}

/**
 * The queues of one service, one for each set of allowed regions and for long bodies apart, so that
 * requests whose upstreams are busy do not block others. Stride scheduling among the queues keeps
 * the priorities where their regions overlap.
 */
struct ServiceQueues
{
    /** Lets all queues be served again. */
    void unblock()
    {
        for (auto &[regions, queue] : byRegions)
            queue.isBlocked = false;
    }

    /** @return The queue with the lowest pass that is neither empty nor blocked, or nullptr. */
    RegionQueue *next()
    {
        RegionQueue *best = nullptr;
        for (auto &[regions, queue] : byRegions) {
            if (queue.isBlocked || queue.order.size() == 0)
                continue;
            if (best == nullptr || queue.pass < best->pass)
                best = &queue;
        }
        return best;
    }

    std::map<QueueKey, RegionQueue> byRegions;
    double servedPass = 0; ///< Pass of the last queue served; lower bound for others.
};

} // namespace teaselreach::proxy
