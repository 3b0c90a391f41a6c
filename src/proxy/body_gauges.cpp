/** @file body_gauges.cpp Metrics of the memory that accounts hold for message bodies. */
#include "proxy/body_gauges_base.h"

namespace teaselreach::proxy {

void BodyGauges::publish(const BodyBudget &budget, metrics::Registry &registry)
{
    /** Accounts with a series of their own; more would make the metrics too long. */
    constexpr std::size_t accounts = 5;
    const auto set = [&](const core::ClientAccountId &account, std::size_t bytes) {
        registry.setGauge("teaselreach_body_bytes", {{"account", account.str()}},
                          static_cast<double>(bytes));
    };
    std::set<core::ClientAccountId> current;
    for (const auto &[account, bytes] : budget.largest(accounts)) {
        set(account, bytes);
        current.insert(account);
    }
    for (const core::ClientAccountId &account : published_) {
        if (!current.contains(account))
            set(account, 0);
    }
    published_ = std::move(current);
}

} // namespace teaselreach::proxy
