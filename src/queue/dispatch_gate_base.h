/** @file dispatch_gate_base.h Lets requests of one service through in fair order. */
#pragma once

#include "queue/concurrency_limit_base.h"
#include "queue/fair_queue_base.h"

#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace teaselreach::queue {

/** Why a request was let through or turned away. */
enum class GateResult : std::uint8_t { Granted, QueueFull, DeadlineExceeded };

/** How a request that was let through has ended. */
enum class GateOutcome : std::uint8_t { Answered, Shed, Failed };

/** What a request asks to be let through with. */
struct GateRequest
{
    core::ClientAccountId account;
    record::RouteClass routeClass = record::RouteClass::Normal;
    int weight = 1;                       ///< Of the client account, 1 to 100.
    core::MonoTime deadline;              ///< Latest time at which the answer is of use.
    core::Micros expectedServiceTime {0}; ///< Time the upstream is expected to need.
};

/** The start of a request's wait. */
struct PendingAcquire
{
    std::optional<GateResult> result; ///< Set if it need not wait.
    Ticket ticket;                    ///< For cancel().
};

/** A FairQueue and a ConcurrencyLimit under one lock, for requests that wait for their turn. */
class DispatchGate
{
public:
    /** Tells of the end of a wait. Called at most once, by any thread, without the lock. */
    using Callback = std::function<void(GateResult)>;

    /** @param queue Bounds of the queue. @param limit Bounds of the requests in flight. */
    DispatchGate(FairQueueOptions queue, ConcurrencyLimitOptions limit);

    /**
     * Lets the request through or queues it. Each Granted, also one that callback tells of, is to
     * be followed by one release().
     * @param callback Called unless the result is returned. Somebody has to call cancel() once the
     * request is too late.
     */
    PendingAcquire acquireAsync(const GateRequest &request, Callback callback);
    /** Ends the wait of a request. @return Whether it waited; its callback is not called any more.
     */
    bool cancel(Ticket ticket);
    /** acquireAsync() for a thread that waits for the result, at the latest until the deadline. */
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
    /** Wakes that are due once the lock is released. */
    using DueCallbacks = std::vector<std::pair<Callback, GateResult>>;

    DueCallbacks dispatchReady(core::MonoTime now);
    static void runCallbacks(const DueCallbacks &decided);

    mutable std::mutex mutex_;
    FairQueue queue_;
    ConcurrencyLimit limit_;
    int inFlight_ = 0;
    std::uint64_t lastTicket_ = 0;
    std::unordered_map<Ticket, Callback, core::StrongHash> waiters_;
};

} // namespace teaselreach::queue
