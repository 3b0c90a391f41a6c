/** @file fair_queue_query.cpp FairQueue: queries. */
#include "queue/fair_queue_base.h"

namespace teaselreach::queue {

std::size_t FairQueue::sizeOf(const core::ClientAccountId &account) const
{
    const auto found = flows_.find(account);
    return found == flows_.end() ? 0 : found->second.size;
}

std::optional<core::MonoTime> FairQueue::nextExpiry() const
{
    if (expiries_.empty())
        return std::nullopt;
    return expiries_.begin()->first;
}

/** @return The oldest ticket of the most urgent class that has one. The flow must not be empty. */
Ticket FairQueue::frontOf(const Flow &flow)
{
    for (const auto &fifo : flow.byClass) {
        if (!fifo.empty())
            return fifo.front();
    }
    return Ticket {};
}

/** @return The latest time at which the request can be dispatched and still meet its deadline. */
core::MonoTime FairQueue::latestDispatch(const QueuedRequest &request)
{
    return request.deadline - request.expectedServiceTime;
}

} // namespace teaselreach::queue
