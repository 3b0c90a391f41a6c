/** @file concurrency_limit_base.h Adaptive limit on requests in flight at one service. */
#pragma once

#include "core/clock_type.h"

namespace teaselreach::queue {

/** Options of a ConcurrencyLimit. Bounds are numbers of requests in flight. */
struct ConcurrencyLimitOptions
{
    double minimum = 2;    ///< Lower bound, so that a VM keeps sending requests during overload.
    double maximum = 40;   ///< Upper bound: the slots of all upstreams of the service.
    double decrease = 0.8; ///< Factor applied to the limit when an upstream sheds a request.
    core::Millis decreaseInterval {100}; ///< Minimum; a burst of shed requests counts once.
};

/**
 * Concurrency limit with additive increase and multiplicative decrease; load shedding by upstreams
 * is the signal of overload. VMs do not know each other's requests in flight. The limit makes the
 * total of all VMs settle near the capacity of the service, so that requests wait in the fair queue
 * and not at the upstreams, where fair order and deadlines are not enforced.
 */
class ConcurrencyLimit
{
public:
    /** @param options Bounds and rate of decrease. The limit starts at its maximum. */
    explicit ConcurrencyLimit(ConcurrencyLimitOptions options);

    /** Increases the limit after an upstream answered a request. */
    void recordAnswered();
    /** Decreases the limit after an upstream shed a request. @param now Present time. */
    void recordShed(core::MonoTime now);
    /** Changes the maximum. @param maximum Slots of all upstreams in use. */
    void setMaximum(double maximum);

    /** @return The present limit on requests in flight, at least 1. */
    int current() const;

private:
    ConcurrencyLimitOptions options_;
    double limit_;
    core::MonoTime lastDecrease_ {};
    bool decreased_ = false;
};

} // namespace teaselreach::queue
