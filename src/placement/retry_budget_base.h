/** @file retry_budget_base.h This VM's part of the fleet's retry budget for one service. */
#pragma once

#include "core/clock_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace teaselreach::proxy {

/** Fleet-wide retry budget, from the platform's settings. */
struct RetryBudgetOptions
{
    double ratio = 0.2; ///< Retries for each request in the window.
    double slack = 60;  ///< Extra retries in a window beyond the ratio, over all VMs.
    core::Micros window {core::Seconds(10)};
    double safetyFactor = 0.98; ///< Usable fraction; the rest covers counting delays.
    /** Weights of the requests in the window, in the window half a window before it and in the
     * window before it. They are the same on all VMs and add up to at most 1; see RetryBudget.
     * Larger weights of the earlier windows allow more retries when upstreams start to fail, and
     * fewer after a start or after a growth of the traffic. */
    std::array<double, 3> windowWeights {0.3, 0.7, 0};
    /** Whether windows that end after the retry are checked too. */
    bool checksLaterWindows = true;
    /** Part of the budget that must be left for trials and hedges. */
    double optionalReserve = 0.5;
    /** Largest part of the budget that is held back for routes with a higher priority. */
    double priorityReserve = 0.25;

    /** @return The options of a deployment whose settings name no window: only the window that ends
     * with the retry counts, and nothing is reserved. */
    static constexpr RetryBudgetOptions withoutReserves()
    {
        return {.safetyFactor = 0.95,
                .windowWeights = {1, 0, 0},
                .checksLaterWindows = false,
                .optionalReserve = 0,
                .priorityReserve = 0};
    }
};

/** What a retry is used for. */
enum class RetryPurpose : std::uint8_t {
    NotExecuted, ///< Retry of a request that an upstream refused as not executed.
    Failure,     ///< Retry after a failed or abandoned attempt.
    Hedge,       ///< Second attempt while the first is in flight.
    Trial,       ///< Attempt at an upstream that is believed to be failing.
};

/** All purposes. */
inline constexpr std::array retryPurposes {RetryPurpose::NotExecuted, RetryPurpose::Failure,
                                           RetryPurpose::Hedge, RetryPurpose::Trial};

/** @return The name of a purpose in logs and metrics. */
std::string_view retryPurposeName(RetryPurpose purpose);

/** Numbers of grants and denials of one purpose since the start. */
struct RetryPurposeCounts
{
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
};

/**
 * Owns the retries of one service at one VM and reserves a part of them by purpose and priority.
 *
 * The fleet may spend, in any window, the ratio of the requests in the highest of three windows.
 * The highest of a VM's own counts is unsafe: callers that move from one VM to another would count
 * at both. Each VM therefore uses the same weighted mean of the three windows. The sum of the means
 * is the mean of the sums, which is at most the highest of them. A retry is granted only if every
 * window that contains it, including those that end later, stays within the budget.
 */
class RetryBudget
{
public:
    /** @param options The fleet-wide budget. */
    explicit RetryBudget(RetryBudgetOptions options);

    /** Records the arrival of a request; it increases the budget. */
    void requestStarted(core::MonoTime now);
    /**
     * Takes a retry from the budget, if one is left for the purpose and the priority.
     * @param share This VM's share of the slack, 0 to 1.
     * @param purpose Trials and hedges get none while less than half of the budget is left.
     * @param routePriority 0 is the highest. Of the last quarter of the budget, as much is held
     * back for higher priorities as their recent demand shows.
     * @return Whether the retry is granted.
     */
    bool take(core::MonoTime now, double share, RetryPurpose purpose, int routePriority);
    /** @return Whether take() would grant a retry. Counts nothing. */
    bool permits(core::MonoTime now, double share, RetryPurpose purpose, int routePriority) const;
    /** @return Part of the budget of the window that ends now that is left, 0 to 1. */
    double left(core::MonoTime now, double share) const;
    /** @return Numbers of grants and denials of a purpose. */
    const RetryPurposeCounts &counts(RetryPurpose purpose) const
    {
        return counts_[static_cast<std::size_t>(purpose)];
    }

private:
    /** Counts of a short part of the window. */
    struct Slice
    {
        std::int64_t index = -1; ///< Time divided by the length of a slice.
        int requests = 0;
        int retries = 0;
    };
    /** Retries granted in a window, and those that it allows. */
    struct WindowState
    {
        double taken = 0;
        double allowed = 0;
    };
    /** Retries that a priority asked for in a slice. */
    struct Demand
    {
        int asked = 0;
        int denied = 0;
    };
    /** Running totals of the slices. */
    struct Sums;

    std::int64_t sliceOf(core::MonoTime now) const { return now.time_since_epoch() / slice_; }
    Slice &currentSlice(core::MonoTime now);
    Sums sumsAt(core::MonoTime now) const;
    /** @param end Slice in which the window ends. */
    WindowState windowAt(const Sums &sums, std::int64_t end, double share) const;
    double reservedAbove(core::MonoTime now, int routePriority, double allowed) const;
    void recordDemand(core::MonoTime now, int routePriority, bool granted);

    RetryBudgetOptions options_;
    core::Micros slice_;
    std::vector<Slice> slices_;                            ///< Ring by index.
    std::map<int, std::map<std::int64_t, Demand>> demand_; ///< By priority and slice.
    std::array<RetryPurposeCounts, retryPurposes.size()> counts_ {};
};

} // namespace teaselreach::proxy
