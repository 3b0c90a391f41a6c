/** @file retry_budget.cpp This VM's part of the fleet's retry budget for one service. */
#include "placement/retry_budget_base.h"

#include <algorithm>

namespace teaselreach::proxy {

namespace {

/** Slices in a window. A window covers one more slice of retries and one less of requests than its
 * length, so the rounding stays on the safe side. */
constexpr std::int64_t windowSlices = 200;
/** Slices from the start of the oldest window that is counted to the current slice. */
constexpr std::int64_t keptSlices = 2 * windowSlices + 1;
/** Part of a window whose requests for retries show what a priority needs next. */
constexpr std::int64_t demandSlices = windowSlices / 10;

/** @return Whether a request may be refused without this retry. Others are optional. */
bool isRequired(RetryPurpose purpose)
{
    return purpose == RetryPurpose::NotExecuted || purpose == RetryPurpose::Failure;
}

} // namespace

std::string_view retryPurposeName(RetryPurpose purpose)
{
    switch (purpose) {
    case RetryPurpose::NotExecuted:
        return "not_executed";
    case RetryPurpose::Failure:
        return "failure";
    case RetryPurpose::Hedge:
        return "hedge";
    case RetryPurpose::Trial:
        return "trial";
    }
    return "unknown";
}

/** Running totals of the kept slices. */
struct RetryBudget::Sums
{
    std::int64_t last = 0; ///< Index of the current slice.
    std::array<double, keptSlices + 1> requests {};
    std::array<double, keptSlices + 1> retries {};

    /** @return The total of the slices first to final, both included, that are kept. */
    double total(const std::array<double, keptSlices + 1> &sums, std::int64_t first,
                 std::int64_t final) const
    {
        const std::int64_t oldest = last - keptSlices + 1;
        const std::int64_t from = std::max(first, oldest);
        const std::int64_t to = std::min(final, last);
        if (from > to)
            return 0;
        return sums.at(static_cast<std::size_t>(to - oldest + 1))
            - sums.at(static_cast<std::size_t>(from - oldest));
    }
};

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options_(options)
    , slice_(std::max(core::Micros(1), options.window / windowSlices))
    , slices_(keptSlices)
{ }

RetryBudget::Slice &RetryBudget::currentSlice(core::MonoTime now)
{
    const std::int64_t index = sliceOf(now);
    Slice &slice = slices_[static_cast<std::size_t>(index % keptSlices)];
    if (slice.index != index)
        slice = {.index = index};
    return slice;
}

RetryBudget::Sums RetryBudget::sumsAt(core::MonoTime now) const
{
    Sums sums {.last = sliceOf(now)};
    for (std::int64_t i = 0; i < keptSlices; ++i) {
        const std::int64_t index = sums.last - keptSlices + 1 + i;
        const auto at = static_cast<std::size_t>(i);
        sums.requests[at + 1] = sums.requests[at];
        sums.retries[at + 1] = sums.retries[at];
        if (index < 0)
            continue;
        const Slice &slice = slices_[static_cast<std::size_t>(index % keptSlices)];
        if (slice.index != index)
            continue;
        sums.requests[at + 1] += slice.requests;
        sums.retries[at + 1] += slice.retries;
    }
    return sums;
}

RetryBudget::WindowState RetryBudget::windowAt(const Sums &sums, std::int64_t end,
                                               double share) const
{
    constexpr std::int64_t half = windowSlices / 2;
    const auto [own, halfBefore, before] = options_.windowWeights;
    const auto requests = [&](std::int64_t back) {
        const std::int64_t final = back == 0 ? end : end - back - 1;
        return sums.total(sums.requests, end - windowSlices - back + 1, final);
    };
    const double mean =
        own * requests(0) + halfBefore * requests(half) + before * requests(windowSlices);
    return {.taken = sums.total(sums.retries, end - windowSlices, end),
            .allowed = options_.safetyFactor * (options_.ratio * mean + options_.slack * share)};
}

/** @return Retries that are held back for higher priorities: as many as they were denied within a
 * window, and as they asked for in the last tenth of it. Holding back a fixed part would leave it
 * unused while the higher priorities need less. */
double RetryBudget::reservedAbove(core::MonoTime now, int routePriority, double allowed) const
{
    const std::int64_t current = sliceOf(now);
    double needed = 0;
    for (const auto &[priority, slices] : demand_) {
        if (priority >= routePriority)
            break;
        for (const auto &[index, demand] : slices) {
            if (index > current - windowSlices)
                needed += demand.denied;
            if (index > current - demandSlices)
                needed += demand.asked;
        }
    }
    return std::min(needed, options_.priorityReserve * allowed);
}

void RetryBudget::requestStarted(core::MonoTime now)
{
    ++currentSlice(now).requests;
}

double RetryBudget::left(core::MonoTime now, double share) const
{
    const WindowState state = windowAt(sumsAt(now), sliceOf(now), share);
    return state.allowed <= 0 ? 0 : std::clamp(1 - state.taken / state.allowed, 0.0, 1.0);
}

bool RetryBudget::permits(core::MonoTime now, double share, RetryPurpose purpose,
                          int routePriority) const
{
    const Sums sums = sumsAt(now);
    const std::int64_t current = sliceOf(now);
    const WindowState present = windowAt(sums, current, share);
    if (!isRequired(purpose)
        && present.taken > (1 - options_.optionalReserve) * present.allowed - 1)
        return false;
    const double reserved = reservedAbove(now, routePriority, present.allowed);
    // A retry that fits now can exceed a window that ends later and contains fewer requests.
    const std::int64_t last = options_.checksLaterWindows ? current + windowSlices : current;
    for (std::int64_t end = current; end <= last; ++end) {
        const WindowState state = windowAt(sums, end, share);
        if (state.taken + 1 + reserved > state.allowed)
            return false;
    }
    return true;
}

bool RetryBudget::take(core::MonoTime now, double share, RetryPurpose purpose, int routePriority)
{
    const bool granted = permits(now, share, purpose, routePriority);
    RetryPurposeCounts &counts = counts_.at(static_cast<std::size_t>(purpose));
    ++(granted ? counts.granted : counts.denied);
    if (granted)
        ++currentSlice(now).retries;
    if (isRequired(purpose))
        recordDemand(now, routePriority, granted);
    return granted;
}

/** Records that a priority asked for a retry, and forgets what is older than a window. */
void RetryBudget::recordDemand(core::MonoTime now, int routePriority, bool granted)
{
    const std::int64_t current = sliceOf(now);
    std::map<std::int64_t, Demand> &slices = demand_[routePriority];
    slices.erase(slices.begin(), slices.upper_bound(current - windowSlices));
    Demand &demand = slices[current];
    ++demand.asked;
    demand.denied += granted ? 0 : 1;
}

} // namespace teaselreach::proxy
