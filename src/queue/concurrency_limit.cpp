/** @file concurrency_limit.cpp Adaptive limit on requests in flight at one service. */
#include "queue/concurrency_limit_base.h"

#include <algorithm>

namespace teaselreach::queue {

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions options)
    : options_(options)
    , limit_(options.maximum)
{ }

void ConcurrencyLimit::recordAnswered()
{
    limit_ = std::min(options_.maximum, limit_ + 1 / limit_);
}

void ConcurrencyLimit::recordShed(core::MonoTime now)
{
    if (decreased_ && now < lastDecrease_ + options_.decreaseInterval)
        return;
    limit_ = std::max(options_.minimum, limit_ * options_.decrease);
    lastDecrease_ = now;
    decreased_ = true;
}

void ConcurrencyLimit::setMaximum(double maximum)
{
    const bool atMaximum = limit_ >= options_.maximum;
    options_.maximum = std::max(maximum, options_.minimum);
    limit_ = atMaximum ? options_.maximum : std::min(limit_, options_.maximum);
}

int ConcurrencyLimit::current() const
{
    return std::max(1, static_cast<int>(limit_));
}

} // namespace teaselreach::queue
