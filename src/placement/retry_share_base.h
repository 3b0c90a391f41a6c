/** @file retry_share_base.h This VM's share of the fleet's retry budget for one service. */
#pragma once

#include "core/clock_type.h"

#include <deque>

namespace teaselreach::proxy {

/** Fleet-wide retry budget, from the platform's settings. */
struct RetryBudgetOptions
{
    double ratio = 0.2; ///< Retries for each request in the window.
    double slack = 60;  ///< Extra retries in a window beyond the ratio, over all VMs.
    core::Micros window {core::Seconds(10)};
    double safetyFactor = 0.95; ///< Usable fraction; the rest covers counting delays.
};

/**
 * Counts requests and retries of one service in a sliding window. The VMs' shares of the slack add
 * up to at most one, and each VM applies the ratio to its own requests, so the fleet stays within
 * the budget however the load is split.
 */
class RetryBudgetShare
{
public:
    /** @param options The fleet-wide budget. */
    explicit RetryBudgetShare(RetryBudgetOptions options);

    /** Records the arrival of a request; it increases the budget. */
    void requestStarted(core::MonoTime now);
    /** Takes a retry from the budget, if one is left.
     * @param share This VM's share of the slack, 0 to 1.
     * @return Whether the retry is granted. */
    bool take(core::MonoTime now, double share);

private:
    void expireOld(core::MonoTime now);

    RetryBudgetOptions options_;
    std::deque<core::MonoTime> requests_;
    std::deque<core::MonoTime> retries_;
};

} // namespace teaselreach::proxy
