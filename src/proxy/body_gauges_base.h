/** @file body_gauges_base.h Metrics of the memory that accounts hold for message bodies. */
#pragma once

#include "metrics/registry_base.h"
#include "proxy/body_budget_base.h"

#include <set>

namespace teaselreach::proxy {

/** Publishes the bytes of the accounts that hold most. */
class BodyGauges
{
public:
    /** Sets teaselreach_body_bytes of the five largest accounts, and zero for those that were among
     * them before. Without shares by account, sets nothing. */
    void publish(const BodyBudget &budget, metrics::Registry &registry);

private:
    std::set<core::ClientAccountId> published_; ///< Accounts with a value that may not be zero.
};

} // namespace teaselreach::proxy
