/** @file record_error.cpp Error messages for records and edits to them. */
#include "record/record_error_type.h"

namespace teaselreach::record {

namespace {

std::string describeAll(const std::vector<RecordProblem> &problems)
{
    std::string text;
    for (const RecordProblem &problem : problems) {
        if (!text.empty())
            text += "; ";
        text += describe(problem);
    }
    return text;
}

std::string describeRef(const RecordRef &ref)
{
    return std::string(table::recordKindRow(ref.kind).command) + " '" + ref.id + "'";
}

} // namespace

std::string describe(const RecordProblem &problem)
{
    const std::string found = problem.value.empty() ? "is missing" : "is " + problem.value;
    return describeRef(problem.ref) + ": '" + problem.field + "' " + found + ", expected "
        + problem.expected;
}

InvalidRecords::InvalidRecords(std::vector<RecordProblem> problems)
    : Error("invalid_records", describeAll(problems))
    , problems_(std::move(problems))
{ }

UnknownSchemaVersion::UnknownSchemaVersion(const RecordRef &ref, std::int64_t version, int newest)
    : Error("unknown_schema_version",
            describeRef(ref) + ": schema_version " + std::to_string(version)
                + " is not supported, expected 1 to " + std::to_string(newest))
    , version_(version)
{ }

} // namespace teaselreach::record
