/** @file fair_queue_base.h Weighted fair queue of requests that wait for a slot of one service. */
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
 * Serves client accounts in turns by weight (start-time fair queueing). Within an account, urgent
 * requests go before normal ones and those before deferrable ones; in a class, first in first out.
 * One account's queue never delays another's turn. The owner calls it under its own lock.
 */
class FairQueue
{
public:
    /** @param options Bounds of the queue. */
    explicit FairQueue(FairQueueOptions options);

    /**
     * Puts a request into its account's queue, or refuses it without effect.
     * @param request The request; its ticket must not be queued already.
     * @param now Present time.
     */
    EnqueueResult enqueue(const QueuedRequest &request, core::MonoTime now);

    /**
     * Takes the request whose turn it is. Call takeExpired() first, so that none is too late.
     * @return Its ticket, or nothing if none is queued.
     */
    std::optional<Ticket> dequeue();

    /**
     * Takes the requests that can no longer be answered before their deadline.
     * @param now Present time.
     * @return Their tickets, to be refused as not run.
     */
    std::vector<Ticket> takeExpired(core::MonoTime now);

    /**
     * Removes a request whose caller has gone.
     * @return Whether the ticket was queued.
     */
    bool cancel(Ticket ticket);

    /** @return Number of queued requests. */
    std::size_t size() const { return requests_.size(); }
    /** @return Number of queued requests of one account. */
    std::size_t sizeOf(const core::ClientAccountId &account) const;
    /** @return When the next request expires, or nothing if none is queued. */
    std::optional<core::MonoTime> nextExpiry() const;

private:
    static constexpr std::size_t classCount = 3;

    /** What one client account has queued. */
    struct Flow
    {
        std::array<std::deque<Ticket>, classCount> byClass;
        std::size_t size = 0;
        int weight = 1;
        double virtualStart = 0; ///< Turn of the account's next request.
    };

    using ScheduleKey = std::pair<double, core::ClientAccountId>;

    void remove(const QueuedRequest &request, bool served);
    static Ticket frontOf(const Flow &flow);
    static core::MonoTime latestDispatch(const QueuedRequest &request);

    FairQueueOptions options_;
    double virtualTime_ = 0;
    std::unordered_map<Ticket, QueuedRequest, core::StrongHash> requests_;
    std::unordered_map<core::ClientAccountId, Flow, core::StrongHash> flows_;
    std::set<ScheduleKey> schedule_; ///< Accounts with queued requests, by virtualStart.
    std::set<std::pair<core::MonoTime, Ticket>> expiries_;
};

} // namespace teaselreach::queue
