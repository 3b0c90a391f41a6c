/** @file queue_type.h Types of the fair queue in front of a service's slots. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"
#include "record/record_type.h"

#include <cstdint>
#include <vector>

namespace teaselreach::queue {

using Ticket = core::StrongInt<struct TicketTag, std::uint64_t>; ///< One queued request.

/** Bounds of a FairQueue. */
struct FairQueueOptions
{
    std::size_t maxQueued = 1000;          ///< Requests of all client accounts together.
    std::size_t maxQueuedPerAccount = 200; ///< Requests of one client account.
};

/** A request that asks for a slot. */
struct QueuedRequest
{
    Ticket ticket; ///< Unique among the queued requests.
    core::ClientAccountId account;
    record::RouteClass routeClass = record::RouteClass::Normal;
    int weight = 1;                       ///< Of the client account, 1 to 100.
    core::MonoTime deadline;              ///< Latest time at which the answer is of use.
    core::Micros expectedServiceTime {0}; ///< Time the upstream is expected to need.
};

/** What became of a request that asked for a place. */
enum class EnqueueResult : std::uint8_t {
    Queued,
    QueueFull,        ///< Refused: a bound of FairQueueOptions was met.
    DeadlineTooClose, ///< Refused: the service time alone passes the deadline.
};

} // namespace teaselreach::queue
