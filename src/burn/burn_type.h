/** @file burn_type.h Request counts per objective and the time windows of the burn report. */
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

/** Number of requests that an objective covers, and how many of them met it. */
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

/** A time window, ending now, for which a burn rate is reported. */
struct ReportWindow
{
    std::string_view name; ///< Key in JSON and label in tables and plots.
    core::Seconds length;
};

/** The reported windows, shortest first. The error budget covers the last (longest) one. */
inline constexpr std::array<ReportWindow, 4> reportWindows {
    {{"5m", core::Seconds(5 * 60)},
     {"1h", core::Seconds(60 * 60)},
     {"6h", core::Seconds(6 * 60 * 60)},
     {"3d", core::Seconds(3 * 24 * 60 * 60)}}};

/** Request counts for each window, in the order of reportWindows. */
using WindowCounts = std::array<RequestCounts, reportWindows.size()>;

/** One daemon's request counts for one objective and client account. */
struct BurnSample
{
    core::ObjectiveId objective;
    core::ServiceId service;
    core::ClientAccountId account;
    double target = 0; ///< Fraction of requests that must be good.
    WindowCounts counts;
};

/** The properties of a finished request that decide whether it meets an objective. */
struct FinishedRequest
{
    core::ServiceId service;
    core::ClientAccountId account;
    bool answered = false; ///< Whether a complete response with a status below 500 was delivered.
    core::Micros duration {0};
};

} // namespace teaselreach::burn
