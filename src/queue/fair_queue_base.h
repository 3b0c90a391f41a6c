/** @file fair_queue_base.h Weighted fair queue of requests for one service. */
#pragma once

#include "queue/queue_type.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselreach::queue {

/**
 * Weighted fair queue over client accounts (start-time fair queueing). Within an account, urgent
 * requests precede normal ones and normal ones precede deferrable ones; within a class the order is
 * first in, first out. The backlog of one account never delays the turn of another. Not
 * thread-safe: the owner guards it with its own lock.
 */
class FairQueue
{
public:
    /** @param options Bounds of the queue. */
    explicit FairQueue(FairQueueOptions options);

    /**
     * Adds a request to the queue of its account, or refuses it without side effects.
     * @param request The request; its ticket must not be queued already.
     * @param now Present time.
     */
    EnqueueResult enqueue(const QueuedRequest &request, core::MonoTime now);

    /**
     * Removes the request with the smallest start tag. Call takeExpired() first, so that it is not
     * an expired one.
     * @return Its ticket, or nothing if none is queued.
     */
    std::optional<Ticket> dequeue();

    /**
     * Removes the requests that can no longer be answered before their deadline.
     * @param now Present time.
     * @return Their tickets; the caller refuses these requests as not run.
     */
    std::vector<Ticket> takeExpired(core::MonoTime now);

    /**
     * Removes a request, for example because its caller disconnected.
     * @return Whether the ticket was queued.
     */
    bool cancel(Ticket ticket);

    /** @return Number of queued requests. */
    std::size_t size() const { return requests_.size(); }
    /** @return Number of queued requests of one account. */
    std::size_t sizeOf(const core::ClientAccountId &account) const;
    /**
     * @return The latest dispatch time of the request that expires next; nothing if none is queued.
     */
    std::optional<core::MonoTime> nextExpiry() const;

private:
    static constexpr std::size_t classCount = 3;

    /** Queue of one client account. */
    struct Flow
    {
        std::array<std::deque<Ticket>, classCount> byClass;
        std::size_t size = 0;
        int weight = 1;
        double virtualStart = 0; ///< Start tag: virtual start time of the account's next request.
    };

    using ScheduleKey = std::pair<double, core::ClientAccountId>;

    void remove(const QueuedRequest &request, bool served);
    static Ticket frontOf(const Flow &flow);
    static core::MonoTime latestDispatch(const QueuedRequest &request);

    FairQueueOptions options_;
    double virtualTime_ = 0;
    std::unordered_map<Ticket, QueuedRequest, core::StrongHash> requests_;
    std::unordered_map<core::ClientAccountId, Flow, core::StrongHash> flows_;
    std::set<ScheduleKey> schedule_; ///< Accounts with queued requests, ordered by virtualStart.
    std::set<std::pair<core::MonoTime, Ticket>> expiries_;
};

} // namespace teaselreach::queue
