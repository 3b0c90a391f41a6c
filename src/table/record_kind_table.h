/** @file record_kind_table.h The kinds of records and the newest schema version of each. */
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace teaselreach::table {

/** The kinds of records, in the order of recordKindTable. */
enum class RecordKind : std::uint8_t { ClientAccount, Key, Route, Limit, Service, Objective };

/// Schema version of routes with `retry` and without `class`.
inline constexpr int routeVersionRetry = 1;
/// Schema version of routes with `idempotent` and `class`.
inline constexpr int routeVersionIdempotent = 2;
/// Schema version of limits with `per_minute`.
inline constexpr int limitVersionPerMinute = 1;
/// Schema version of limits with `rate_per_second` and `homes`.
inline constexpr int limitVersionRatePerSecond = 2;
/// Schema version of the other kinds, which have only one.
inline constexpr int firstVersion = 1;

/** One row of recordKindTable. */
struct RecordKindRow
{
    std::string_view name;    ///< Value of `kind` in the JSON form.
    std::string_view command; ///< Name of the kind on the command line.
    int newestVersion;        ///< Newest schema version.
};

inline constexpr std::array<RecordKindRow, 6> recordKindTable {{
    {"client_account", "account", firstVersion},
    {"key", "key", firstVersion},
    {"route", "route", routeVersionIdempotent},
    {"limit", "limit", limitVersionRatePerSecond},
    {"service", "service", firstVersion},
    {"objective", "objective", firstVersion},
}};

/** @return The row of a kind. */
constexpr const RecordKindRow &recordKindRow(RecordKind kind)
{
    return recordKindTable[static_cast<std::size_t>(kind)];
}

} // namespace teaselreach::table
