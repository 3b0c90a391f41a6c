/** @file output_func.h Output of the tool, as tables and as JSON. */
#pragma once

#include "config/accept_type.h"
#include "tool/fleet_func.h"

#include <ostream>
#include <string>
#include <vector>

namespace teaselreach::tool {

/** Prints rows in aligned columns; the first row is the heading. */
void printColumns(std::ostream &out, const std::vector<std::vector<std::string>> &rows);

/** Prints records of one kind, as a table or as {"records":[...]}. */
void printRecords(std::ostream &out, OutputFormat format,
                  const std::vector<record::AnyRecord> &records);

/** What the operator is told about an accepted change. */
struct ChangeReport
{
    core::ChangeId id;
    config::AcceptResult acceptance;
    std::string newKey;  ///< Printed once, never stored; empty unless a key was created.
    bool waited = false; ///< Whether the tool waited for the change to be in force.
    std::vector<core::VmId> unconfirmed; ///< VMs that had not confirmed at the timeout.
};

/** Prints the result of an accepted change. */
void printChange(std::ostream &out, OutputFormat format, const ChangeReport &report);

/** Prints the store's revision and the status of every daemon. */
void printStatus(std::ostream &out, OutputFormat format, const config::HeadId &store,
                 const std::vector<VmStatus> &statuses);

/** Prints each daemon's answer, or why it has none. */
void printAnswers(std::ostream &out, OutputFormat format, const std::vector<FleetAnswer> &answers);

/**
 * Prints the help of a command, or of all commands if `command` is empty, and the exit codes.
 * @throws UsageError if the command does not exist.
 */
void printHelp(std::ostream &out, const std::string &command);

} // namespace teaselreach::tool
