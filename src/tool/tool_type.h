/** @file tool_type.h Options and errors of the command-line tool. */
#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"
#include "table/exit_code_table.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace teaselreach::tool {

using table::ExitCode;

/** The formats of the tool's output. */
enum class OutputFormat { Table, Json, Svg };

/** Options that command-line flags set. */
struct ToolOptions
{
    OutputFormat output = OutputFormat::Table;
    bool wait = false; ///< Whether to wait until a change is in force on every live VM.
    core::Millis waitTimeout {30'000}; ///< For `wait` and the command of that name.
    core::Millis callTimeout {1'000};  ///< For each call to a daemon.
    bool fleetCheck = true;            ///< Whether to ask the daemons if the store is behind.
    std::string changeId;              ///< Id of a change to repeat; if empty, a new id is made.
    std::string daemon;                ///< Address and port of the daemon that explains.
    std::string account;               ///< Account of the request to explain; may be empty.
    std::uint64_t bodyBytes = 0;       ///< Size of its body.
    std::function<void(core::Millis)> pause; ///< Sleeps; a test advances virtual time.
    std::function<core::MonoTime()> now;     ///< Returns the current time.
};

/** The command line or an input file is malformed. */
class UsageError : public core::Error
{
public:
    /** @param what What was found and what was expected. */
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
