/** @file concurrency_limit_base.h How many requests one VM may have in flight at a service. */
#pragma once

#include "core/clock_type.h"

namespace teaselreach::queue {

/** Bounds and pace of a ConcurrencyLimit. */
struct ConcurrencyLimitOptions
{
    double minimum = 2;    ///< Requests in flight; never lower, so that a VM keeps trying.
    double maximum = 40;   ///< Requests in flight; the service's slots over all upstreams.
    double decrease = 0.8; ///< Factor on a sign of overload.
    core::Millis decreaseInterval {100}; ///< One decrease for each burst of signs.
};

/**
 * Additive increase, multiplicative decrease, with load shedding by upstreams as the sign of
 * overload. VMs do not know each other's requests in flight; the limit makes the sum of all VMs
 * settle near the service's capacity, so that requests wait in the fair queue and not in the
 * upstreams, where order and deadlines are lost.
 */
class ConcurrencyLimit
{
public:
    /** @param options Bounds and pace. The limit starts at its maximum. */
    explicit ConcurrencyLimit(ConcurrencyLimitOptions options);

    /** An upstream answered a request. */
    void recordAnswered();
    /** An upstream shed a request. @param now Present time. */
    void recordShed(core::MonoTime now);
    /** The number of upstreams in use has changed. @param maximum Slots over all of them. */
    void setMaximum(double maximum);

    /** @return Requests that may be in flight at present, at least 1. */
    int current() const;

private:
    ConcurrencyLimitOptions options_;
    double limit_;
    core::MonoTime lastDecrease_ {};
    bool decreased_ = false;
};

} // namespace teaselreach::queue
