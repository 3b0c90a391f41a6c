/** @file record_error_type.h Errors of records and of edits to them. */
#pragma once

#include "core/error_type.h"
#include "record/any_record_type.h"

#include <string>
#include <vector>

namespace teaselreach::record {

/** A field of a record that is missing, unknown or has an invalid value. */
struct RecordProblem
{
    RecordRef ref;
    std::string field;
    std::string value;    ///< The value found, as text; empty if the field is missing.
    std::string expected; ///< Describes a valid value.

    bool operator==(const RecordProblem &) const = default;
};

/** @return A problem as one line of text. */
std::string describe(const RecordProblem &problem);

/** Records or edits that are invalid; nothing was changed. */
class InvalidRecords : public core::Error
{
public:
    /** @param problems All problems found, at least one. */
    explicit InvalidRecords(std::vector<RecordProblem> problems);

    /** @return All problems found. */
    const std::vector<RecordProblem> &problems() const { return problems_; }

private:
    std::vector<RecordProblem> problems_;
};

/** A record whose schema version this program does not support. */
class UnknownSchemaVersion : public core::Error
{
public:
    /**
     * @param ref The record.
     * @param version The version found.
     * @param newest The newest version that this program supports.
     */
    UnknownSchemaVersion(const RecordRef &ref, std::int64_t version, int newest);

    /** @return The version found. */
    std::int64_t version() const { return version_; }

private:
    std::int64_t version_;
};

} // namespace teaselreach::record
