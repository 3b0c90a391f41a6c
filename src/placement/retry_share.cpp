/** @file retry_share.cpp This VM's share of the fleet's retry budget for one service. */
#include "placement/retry_share_base.h"

namespace teaselreach::proxy {

RetryBudgetShare::RetryBudgetShare(RetryBudgetOptions options)
    : options_(options)
{ }

void RetryBudgetShare::requestStarted(core::MonoTime now)
{
    expireOld(now);
    requests_.push_back(now);
}

bool RetryBudgetShare::take(core::MonoTime now, double share)
{
    expireOld(now);
    const double allowed = options_.safetyFactor
        * (options_.ratio * static_cast<double>(requests_.size()) + options_.slack * share);
    if (static_cast<double>(retries_.size()) + 1 > allowed)
        return false;
    retries_.push_back(now);
    return true;
}

void RetryBudgetShare::expireOld(core::MonoTime now)
{
    while (!requests_.empty() && now - requests_.front() > options_.window)
        requests_.pop_front();
    while (!retries_.empty() && now - retries_.front() > options_.window)
        retries_.pop_front();
}

} // namespace teaselreach::proxy
