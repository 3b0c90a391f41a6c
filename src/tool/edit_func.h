/** @file edit_func.h Translates command-line arguments and JSON files to record edits. */
#pragma once

#include "record/record_edit_func.h"

#include <nlohmann/json_fwd.hpp>

#include <span>
#include <string>
#include <vector>

namespace teaselreach::tool {

/** The edits of one change, and the new key if they create one. */
struct PlannedEdits
{
    std::vector<record::RecordEdit> edits;
    std::string newKey; ///< To be printed once; empty unless a key is created.
};

/**
 * Plans the edit that one record command asks for.
 * @param kind The kind of record.
 * @param verb create, change or withdraw.
 * @param arguments The record's id, then FIELD=VALUE arguments.
 * @param current The accepted records; 'change' starts from the accepted fields.
 * @throws UsageError, record::InvalidRecords
 */
PlannedEdits planEdit(record::RecordKind kind, const std::string &verb,
                      std::span<const std::string> arguments, const record::RecordSet &current);

/**
 * Plans the edits that a file describes.
 * @param text Content of the file: {"records":[...],"withdraw":[{"kind","id"}]}.
 * @param current The accepted records.
 * @throws UsageError, record::InvalidRecords, record::UnknownSchemaVersion
 */
PlannedEdits planFile(const std::string &text, const record::RecordSet &current);

} // namespace teaselreach::tool
