/** @file edit_func.h From the command line and from files to edits of records. */
#pragma once

#include "record/record_edit_func.h"

#include <nlohmann/json_fwd.hpp>

#include <span>
#include <string>
#include <vector>

namespace teaselreach::tool {

/** An edit, with the key to show once if it creates one. */
struct PlannedEdits
{
    std::vector<record::RecordEdit> edits;
    std::string newKey; ///< Empty unless a key is created.
};

/**
 * @param kind The kind of record.
 * @param verb create, change or withdraw.
 * @param arguments Id, then FIELD=VALUE.
 * @param current The accepted records; a change starts from the accepted form.
 * @throws UsageError, record::InvalidRecords
 */
PlannedEdits planEdit(record::RecordKind kind, const std::string &verb,
                      std::span<const std::string> arguments, const record::RecordSet &current);

/**
 * @param text The file: {"records":[...],"withdraw":[{"kind","id"}]}.
 * @param current The accepted records.
 * @throws UsageError, record::InvalidRecords, record::UnknownSchemaVersion
 */
PlannedEdits planFile(const std::string &text, const record::RecordSet &current);

} // namespace teaselreach::tool
