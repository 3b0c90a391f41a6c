/** @file exit_code_table.h Exit codes of the command-line tool. */
#pragma once

#include <array>
#include <string_view>

namespace teaselreach::table {

/** Exit codes of `teaselreach`. */
enum class ExitCode : int {
    Done = 0,
    Failed = 1,
    Usage = 2,
    Invalid = 3,
    Conflict = 4,
    Unavailable = 5,
    OutcomeUnknown = 6,
    StoreBehind = 7,
    NotConfirmed = 8,
    Partial = 9,
};

/** One row of exitCodeTable. */
struct ExitCodeRow
{
    ExitCode code;
    std::string_view meaning;
};

inline constexpr std::array<ExitCodeRow, 10> exitCodeTable {{
    {ExitCode::Done, "done"},
    {ExitCode::Failed, "failed for another reason, or an unknown flag"},
    {ExitCode::Usage, "the command line is wrong; nothing was done"},
    {ExitCode::Invalid, "records are invalid or do not exist; nothing was written"},
    {ExitCode::Conflict, "someone else changed the same record; nothing was accepted"},
    {ExitCode::Unavailable, "store, VM list or fleet cannot be reached; nothing was accepted"},
    {ExitCode::OutcomeUnknown, "the change may have been accepted; repeat with its --change_id"},
    {ExitCode::StoreBehind, "the store is behind the fleet; run 'teaselreach restore'"},
    {ExitCode::NotConfirmed, "accepted, but not in force on every VM when --wait ended"},
    {ExitCode::Partial, "some daemons could not be queried; the output names them"},
}};

/** Maps an error code of core::Error to an exit code. */
struct ErrorExitRow
{
    std::string_view error;
    ExitCode code;
};

/// Error codes that are not listed map to ExitCode::Failed.
inline constexpr std::array<ErrorExitRow, 18> errorExitTable {{
    {"usage", ExitCode::Usage},
    {"invalid_records", ExitCode::Invalid},
    {"unknown_schema_version", ExitCode::Invalid},
    {"conflict", ExitCode::Conflict},
    {"contended", ExitCode::Conflict},
    {"store_conflict", ExitCode::Conflict},
    {"store_unavailable", ExitCode::Unavailable},
    {"vm_list_unavailable", ExitCode::Unavailable},
    {"fleet_unreachable", ExitCode::Unavailable},
    {"rpc_unanswered", ExitCode::Unavailable},
    {"outcome_unknown", ExitCode::OutcomeUnknown},
    {"store_outcome_unknown", ExitCode::OutcomeUnknown},
    {"store_behind", ExitCode::StoreBehind},
    {"store_rejected", ExitCode::Failed},
    {"unknown_route", ExitCode::Invalid},
    {"unknown_account", ExitCode::Invalid},
    {"daemon_unreachable", ExitCode::Unavailable},
    {"daemon_answer_unusable", ExitCode::Failed},
}};

/** @return The exit code for an error code of core::Error. */
constexpr ExitCode exitCodeFor(std::string_view error)
{
    for (const ErrorExitRow &row : errorExitTable) {
        if (row.error == error)
            return row.code;
    }
    return ExitCode::Failed;
}

} // namespace teaselreach::table
