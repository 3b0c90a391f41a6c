/** @file output_func.h What the tool prints, for people and for programs. */
#pragma once

#include "config/accept_type.h"
#include "tool/fleet_func.h"

#include <ostream>
#include <string>
#include <vector>

namespace teaselreach::tool {

/** Prints rows in aligned columns; the first row is the heading. */
void printColumns(std::ostream &out, const std::vector<std::vector<std::string>> &rows);

/** Prints records, as a table or as {"records":[...]}. */
void printRecords(std::ostream &out, OutputFormat format,
                  const std::vector<record::AnyRecord> &records);

/** What an accepted change looks like to the operator. */
struct ChangeReport
{
    core::ChangeId id;
    config::AcceptResult acceptance;
    std::string newKey; ///< Printed once, never stored.
    bool waited = false;
    std::vector<core::VmId> unconfirmed; ///< After waiting.
};

/** Prints an accepted change. */
void printChange(std::ostream &out, OutputFormat format, const ChangeReport &report);

/** Prints the store's head and the status of every daemon. */
void printStatus(std::ostream &out, OutputFormat format, const config::HeadId &store,
                 const std::vector<VmStatus> &statuses);

/** Prints each daemon's own answer. */
void printAnswers(std::ostream &out, OutputFormat format, const std::vector<FleetAnswer> &answers);

/** Prints help for a command, or for all if empty. @throws UsageError for an unknown command. */
void printHelp(std::ostream &out, const std::string &command);

} // namespace teaselreach::tool
