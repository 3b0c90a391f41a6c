/** @file record_error_type.h How records and changes to them can be wrong. */
#pragma once

#include "core/error_type.h"
#include "record/any_record_type.h"

#include <string>
#include <vector>

namespace teaselreach::record {

/** One wrong field of one record. */
struct RecordProblem
{
    RecordRef ref;
    std::string field;
    std::string value;    ///< The value found, as text; empty if the field is missing.
    std::string expected; ///< What would be right.

    bool operator==(const RecordProblem &) const = default;
};

/** @return A problem as one line of text. */
std::string describe(const RecordProblem &problem);

/** Records that break a rule; nothing was changed. */
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

/** A record with a schema version that this program does not know. */
class UnknownSchemaVersion : public core::Error
{
public:
    /**
     * @param ref The record.
     * @param version The version found.
     * @param newest The newest version that this program knows.
     */
    UnknownSchemaVersion(const RecordRef &ref, std::int64_t version, int newest);

    /** @return The version found. */
    std::int64_t version() const { return version_; }

private:
    std::int64_t version_;
};

} // namespace teaselreach::record
