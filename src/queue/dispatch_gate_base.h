/** @file dispatch_gate_base.h Admission control for the requests of one service. */
#pragma once

#include "queue/concurrency_limit_base.h"
#include "queue/fair_queue_base.h"

#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace teaselreach::queue {

/** Result of admission: whether a request may be sent, or why it was refused. */
enum class GateResult : std::uint8_t { Granted, QueueFull, DeadlineExceeded };

/** How a granted request has ended. */
enum class GateOutcome : std::uint8_t { Answered, Shed, Failed };

/** Attributes of a request that asks for admission. */
struct GateRequest
{
    core::ClientAccountId account;
    record::RouteClass routeClass = record::RouteClass::Normal;
    int weight = 1;                       ///< Of the client account, 1 to 100.
    core::MonoTime deadline;              ///< Latest time at which the response is still useful.
    core::Micros expectedServiceTime {0}; ///< Time that the upstream is expected to need.
};

/** Result of acquireAsync(). */
struct PendingAcquire
{
    std::optional<GateResult> result; ///< Set if the decision was made at once.
    Ticket ticket;                    ///< Identifies a waiting request to cancel().
};

/**
 * Admission control for the requests of one service: a FairQueue and a ConcurrencyLimit under one
 * lock. Thread-safe.
 */
class DispatchGate
{
public:
    /**
     * Receives the decision on a request that had to wait. Called at most once, on any thread,
     * without the lock held.
     */
    using Callback = std::function<void(GateResult)>;

    /** @param queue Bounds of the queue. @param limit Options of the concurrency limit. */
    DispatchGate(FairQueueOptions queue, ConcurrencyLimitOptions limit);

    /**
     * Grants the request, queues it or refuses it. The caller must call release() once for each
     * Granted, whether returned or passed to the callback.
     * @param callback Receives the decision unless it is returned. Expiry is only detected during
     * later calls, so the caller must call cancel() once the request can no longer meet its
     * deadline.
     */
    PendingAcquire acquireAsync(const GateRequest &request, Callback callback);
    /**
     * Removes a waiting request.
     * @return Whether it was waiting; if so, its callback will not be called.
     */
    bool cancel(Ticket ticket);
    /**
     * Blocking form of acquireAsync(): waits for the decision until the request can no longer meet
     * its deadline.
     */
    GateResult acquire(const GateRequest &request);
    /**
     * Takes a slot only if one is free now and no request waits. The caller must call release()
     * once for each Granted.
     */
    SlotResult tryAcquire();
    /** Ends a granted request, adjusts the limit and grants the next requests. */
    void release(GateOutcome outcome);
    /** @param slots Slots of all upstreams that are in use. */
    void setSlots(double slots);

    /** @return Number of waiting requests. */
    std::size_t waiting() const;
    /** @return Number of requests granted and not yet released. */
    int inFlight() const;

private:
    /** Callbacks to run once the lock is released, with their results. */
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
