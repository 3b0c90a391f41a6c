/** @file record_edit_func.h Edits to a record set, validated before they are applied. */
#pragma once

#include "record/record_error_type.h"

#include <optional>
#include <string_view>
#include <vector>

namespace teaselreach::record {

/** The operation of an edit on a record. */
enum class EditOperation : std::uint8_t {
    Create,   ///< Adds a record that must not exist yet.
    Change,   ///< Replaces a record that must exist.
    Put,      ///< Adds or replaces a record.
    Withdraw, ///< Marks a key as withdrawn; removes a record of another kind.
};

/** An operation on one record. */
struct RecordEdit
{
    EditOperation operation = EditOperation::Put;
    RecordRef ref;
    std::optional<AnyRecord> record; ///< The new contents; not set for Withdraw.
};

/** Whether a command only validates (dry run) or also takes effect. */
enum class CommandMode : std::uint8_t { Check, Execute };

/** @return An edit that applies an operation with the record's contents. */
RecordEdit makeEdit(EditOperation operation, AnyRecord record);

/** @return The record, or std::nullopt if the set does not contain it. */
std::optional<AnyRecord> findRecord(const RecordSet &records, const RecordRef &ref);

/**
 * Validates edits and the record set that results and, in mode Execute, applies them.
 * @param records The set; unchanged in mode Check and when the function throws.
 * @param edits Edits, applied in order, either all or none.
 * @param mode Check for a dry run, Execute to apply the edits.
 * @throws InvalidRecords with all problems found.
 */
void editRecords(RecordSet &records, const std::vector<RecordEdit> &edits, CommandMode mode);

} // namespace teaselreach::record
