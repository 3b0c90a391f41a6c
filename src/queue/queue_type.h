/** @file queue_type.h Types of the fair queue of a service. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"
#include "record/record_type.h"

#include <cstdint>
#include <vector>

namespace teaselreach::queue {

using Ticket = core::StrongInt<struct TicketTag, std::uint64_t>; ///< Identifies a queued request.

/** Bounds of a FairQueue. */
struct FairQueueOptions
{
    std::size_t maxQueued = 1000; ///< Bound on the requests of all client accounts together.
    std::size_t maxQueuedPerAccount = 200; ///< Bound on the requests of one client account.
};

/** A request to be queued. */
struct QueuedRequest
{
    Ticket ticket; ///< Unique among the queued requests.
    core::ClientAccountId account;
    record::RouteClass routeClass = record::RouteClass::Normal;
    int weight = 1;                       ///< Of the client account, 1 to 100.
    core::MonoTime deadline;              ///< Latest time at which the response is still useful.
    core::Micros expectedServiceTime {0}; ///< Time that the upstream is expected to need.
};

/** Result of FairQueue::enqueue(). */
enum class EnqueueResult : std::uint8_t {
    Queued,
    QueueFull,        ///< Refused: a bound of FairQueueOptions is reached.
    DeadlineTooClose, ///< Refused: the expected service time exceeds the time left.
};

/** Result of DispatchGate::tryAcquire(). */
enum class SlotResult : std::uint8_t {
    Granted,
    Queued,   ///< Requests wait, which come first.
    NoneFree, ///< The concurrency limit is reached.
};

} // namespace teaselreach::queue
