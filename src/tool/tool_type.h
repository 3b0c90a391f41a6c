/** @file tool_type.h Options and failures of the command-line tool. */
#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"
#include "table/exit_code_table.h"

#include <functional>
#include <string>
#include <vector>

namespace teaselreach::tool {

using table::ExitCode;

/** Output for people or for programs. */
enum class OutputFormat { Table, Json, Svg };

/** What flags set. */
struct ToolOptions
{
    OutputFormat output = OutputFormat::Table;
    bool wait = false; ///< Waits until a change is in force everywhere.
    core::Millis waitTimeout {30'000};
    core::Millis callTimeout {1'000};        ///< For each call to a daemon.
    bool fleetCheck = true;                  ///< Asks the daemons whether the store is behind.
    std::string changeId;                    ///< Empty: a new one.
    std::function<void(core::Millis)> pause; ///< Sleeps; a test advances virtual time.
    std::function<core::MonoTime()> now;     ///< The present time.
};

/** The command line is wrong. */
class UsageError : public core::Error
{
public:
    /** @param what What is wrong and what would be right. */
    explicit UsageError(const std::string &what)
        : Error("usage", what)
    { }
};

/** No daemon answered, so it is not known whether the store is behind the fleet. */
class FleetUnreachable : public core::Error
{
public:
    /** @param asked Number of daemons in the VM list. */
    explicit FleetUnreachable(std::size_t asked)
        : Error("fleet_unreachable",
                "none of " + std::to_string(asked)
                    + " daemons answered, so the store may be behind the fleet; "
                      "--fleet_check=false skips this check")
    { }
};

} // namespace teaselreach::tool
