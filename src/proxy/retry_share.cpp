/** @file retry_share.cpp This VM's part of the fleet's budget for repeats to a service. */
#include "proxy/retry_share_base.h"

namespace teaselreach::proxy {

RetryShare::RetryShare(RetryShareOptions options)
    : options_(options)
{ }

void RetryShare::requestStarted(core::MonoTime now)
{
    forgetOld(now);
    requests_.push_back(now);
}

bool RetryShare::take(core::MonoTime now, double part)
{
    forgetOld(now);
    const double allowed = options_.safety
        * (options_.ratio * static_cast<double>(requests_.size()) + options_.slack * part);
    if (static_cast<double>(repeats_.size()) + 1 > allowed)
        return false;
    repeats_.push_back(now);
    return true;
}

void RetryShare::forgetOld(core::MonoTime now)
{
    while (!requests_.empty() && now - requests_.front() > options_.window)
        requests_.pop_front();
    while (!repeats_.empty() && now - repeats_.front() > options_.window)
        repeats_.pop_front();
}

} // namespace teaselreach::proxy
