/** @file dispatch_gate_base.h Lets request threads of one service through in fair order. */
#pragma once

#include "queue/concurrency_limit_base.h"
#include "queue/fair_queue_base.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace teaselreach::queue {

/** Why a request thread was let through or turned away. */
enum class GateResult : std::uint8_t { Granted, QueueFull, DeadlineExceeded };

/** How a request that was let through has ended. */
enum class GateOutcome : std::uint8_t { Answered, Shed, Failed };

/** What a request thread asks to be let through with. */
struct GateRequest
{
    core::ClientAccountId account;
    record::RouteClass routeClass = record::RouteClass::Normal;
    int weight = 1;                   ///< Of the client account, 1 to 100.
    core::MonoTime deadline;          ///< Latest time at which the answer is of use.
    core::Micros expectedService {0}; ///< Time the upstream is expected to need.
};

/** A FairQueue and a ConcurrencyLimit under one lock, for threads that wait for their turn. */
class DispatchGate
{
public:
    /** @param queue Bounds of the queue. @param limit Bounds of the requests in flight. */
    DispatchGate(FairQueueOptions queue, ConcurrencyLimitOptions limit);

    /**
     * Waits until the request may be dispatched. Each Granted is to be followed by one release().
     * @return Granted, or why the request was not run.
     */
    GateResult acquire(const GateRequest &request);
    /** Ends a granted request and lets the next one through. */
    void release(GateOutcome outcome);
    /** @param slots Slots of all upstreams that are in use. */
    void setSlots(double slots);

    /** @return Requests that wait for their turn. */
    std::size_t waiting() const;
    /** @return Requests that were let through and not released. */
    int inFlight() const;

private:
    /** A waiting thread. */
    struct Waiter
    {
        std::condition_variable wake;
        bool granted = false;
        bool expired = false;
    };

    void grantTurns(core::MonoTime now);

    mutable std::mutex mutex_;
    FairQueue queue_;
    ConcurrencyLimit limit_;
    int inFlight_ = 0;
    std::uint64_t lastTicket_ = 0;
    std::unordered_map<Ticket, Waiter *, core::StrongHash> waiters_;
};

} // namespace teaselreach::queue
