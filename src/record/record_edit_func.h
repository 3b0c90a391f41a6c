/** @file record_edit_func.h Changes to a set of records: checked first, then applied. */
#pragma once

#include "record/record_error_type.h"

#include <optional>
#include <string_view>
#include <vector>

namespace teaselreach::record {

/** What an edit does to a record. */
enum class EditOperation : std::uint8_t {
    Create,   ///< The record must not exist.
    Change,   ///< The record must exist.
    Put,      ///< Create or change.
    Withdraw, ///< Marks a key as withdrawn; removes a record of another kind.
};

/** One edit of a change. */
struct RecordEdit
{
    EditOperation operation = EditOperation::Put;
    RecordRef ref;
    std::optional<AnyRecord> record; ///< The new form; not set for Withdraw.
};

/** Whether a command only checks or also has its effect. */
enum class CommandMode : std::uint8_t { Check, Execute };

/** @return An edit that puts a record. */
RecordEdit makeEdit(EditOperation operation, AnyRecord record);

/** @return The record, or nothing if the set has none with this reference. */
std::optional<AnyRecord> findRecord(const RecordSet &records, const RecordRef &ref);

/**
 * Validates edits together with the whole set that results and, in mode Execute, applies them.
 * @param records The set; unchanged in mode Check and when the function throws.
 * @param edits Applied in order, all or none.
 * @param mode Check or Execute.
 * @throws InvalidRecords with all problems found.
 */
void editRecords(RecordSet &records, const std::vector<RecordEdit> &edits, CommandMode mode);

} // namespace teaselreach::record
