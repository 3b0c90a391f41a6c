/** @file tool_command_table.h Commands of the tool with their usage and help. */
#pragma once

#include <array>
#include <string_view>

namespace teaselreach::table {

/** One row of toolCommandTable. */
struct ToolCommandRow
{
    std::string_view name;
    std::string_view usage;
    std::string_view help;
};

inline constexpr std::array<ToolCommandRow, 15> toolCommandTable {{
    {"account", "account create|change ID FIELD=VALUE... | show|withdraw ID | list",
     "Client accounts. An account can be withdrawn only after its keys and limit; use "
     "'apply' to withdraw them together."},
    {"key", "key create ID account=ACCOUNT | show|withdraw ID | list",
     "Keys. 'create' prints the new key once; only its digest is stored. A withdrawn key stays "
     "withdrawn."},
    {"route", "route create|change ID FIELD=VALUE... | show|withdraw ID | list",
     "Routes from path prefixes to services."},
    {"limit", "limit create|change ACCOUNT FIELD=VALUE... | show|withdraw ACCOUNT | list",
     "Rate and burst of a client account over all VMs. 'homes' is fixed at creation."},
    {"service", "service create|change ID FIELD=VALUE... | show|withdraw ID | list",
     "Services; their upstreams come from the VM list."},
    {"objective", "objective create|change ID FIELD=VALUE... | show|withdraw ID | list",
     "Service-level objectives for 'report burn'."},
    {"apply", "apply FILE",
     "Accepts all records of a JSON file in one change: {\"records\":[...],"
     "\"withdraw\":[{\"kind\",\"id\"}]}. 'list --output json' prints this form."},
    {"validate", "validate FILE",
     "Validates a file as 'apply' would, against the current records, and writes nothing."},
    {"status", "status", "Revision of the store and of every daemon in the VM list."},
    {"explain", "explain upstream|account|request ID",
     "Shows what every daemon knows and decided about an upstream, an account or a request."},
    {"explain placement",
     "explain placement HOST PATH [METHOD] --daemon=ADDRESS:PORT "
     "[--account=ID] [--body_bytes=N]",
     "Shows where a daemon would send a request now, and why, without sending it. The address is "
     "the daemon's one for other VMs."},
    {"report", "report burn",
     "Error budget and burn rates over the fleet; --output table, json or svg."},
    {"restore", "restore",
     "Writes the fleet's highest revision back to a store that was restored to an older state."},
    {"wait", "wait REVISION", "Waits until a revision is in force on every VM."},
    {"help", "help [COMMAND]", "Prints help and the exit codes."},
}};

} // namespace teaselreach::table
