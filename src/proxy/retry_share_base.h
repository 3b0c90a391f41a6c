/** @file retry_share_base.h This VM's part of the fleet's budget for repeats to a service. */
#pragma once

#include "core/clock_type.h"

#include <deque>

namespace teaselreach::proxy {

/** Bounds of the fleet's budget, from the platform's settings. */
struct RetryBudgetOptions
{
    double ratio = 0.2; ///< Repeats for each request of the window.
    double slack = 60;  ///< Repeats of all VMs together in a window, besides the ratio.
    core::Micros window {core::Seconds(10)};
    double safetyFactor =
        0.95; ///< Part of the budget that is used; the rest covers counting delays.
};

/**
 * Counts requests and repeats of one service in a sliding window. The VMs' parts of the slack add
 * up to at most one and each VM's ratio counts its own requests, so the sum stays within the
 * fleet's budget under any split of load.
 */
class RetryBudgetShare
{
public:
    /** @param options Bounds of the budget. */
    explicit RetryBudgetShare(RetryBudgetOptions options);

    /** Records a first attempt. */
    void requestStarted(core::MonoTime now);
    /** @param part This VM's part of the slack, 0 to 1. @return Whether a repeat is granted. */
    bool take(core::MonoTime now, double share);

private:
    void expireOld(core::MonoTime now);

    RetryBudgetOptions options_;
    std::deque<core::MonoTime> requests_;
    std::deque<core::MonoTime> retries_;
};

} // namespace teaselreach::proxy
