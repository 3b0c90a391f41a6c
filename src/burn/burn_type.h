/** @file burn_type.h Counts of good and all requests, and the windows that burn is reported over.
 */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"
#include "record/record_type.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace teaselreach::burn {

/** Requests that count towards an objective. */
struct RequestCounts
{
    std::uint64_t good = 0;
    std::uint64_t total = 0;

    RequestCounts &operator+=(const RequestCounts &other)
    {
        good += other.good;
        total += other.total;
        return *this;
    }
    bool operator==(const RequestCounts &) const = default;
};

/** A window that burn is reported over. */
struct ReportWindow
{
    std::string_view name;
    core::Seconds length;
};

/** The reported windows, shortest first. The last one is the period of the error budget. */
inline constexpr std::array<ReportWindow, 4> reportWindows {
    {{"5m", core::Seconds(5 * 60)},
     {"1h", core::Seconds(60 * 60)},
     {"6h", core::Seconds(6 * 60 * 60)},
     {"3d", core::Seconds(3 * 24 * 60 * 60)}}};

using WindowCounts = std::array<RequestCounts, reportWindows.size()>;

/** What one daemon counted for one client account under one objective. */
struct BurnSample
{
    core::ObjectiveId objective;
    core::ServiceId service;
    core::ClientAccountId account;
    double target = 0; ///< Fraction of requests that must be good.
    WindowCounts counts;
};

/** A finished request as objectives judge it. */
struct FinishedRequest
{
    core::ServiceId service;
    core::ClientAccountId account;
    bool answered = false; ///< Whether a whole answer below status 500 was delivered.
    core::Micros duration {0};
};

} // namespace teaselreach::burn
