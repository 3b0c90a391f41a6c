/** @file field_reader_internal.h Reads typed fields of a JSON object and collects all problems. */
#pragma once

#include "record/record_error_type.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselreach::record::detail {

/**
 * Reads the fields of one record. Problems are collected, so that all are reported at once; an
 * invalid number, boolean or string is read as zero, false or empty.
 */
class FieldReader
{
public:
    /**
     * @param json The record; must outlive the reader.
     * @param ref The record named in problems.
     */
    FieldReader(const nlohmann::json &json, RecordRef ref);

    /** @return A string; without a fallback the field is required. */
    std::string readString(const std::string &field, std::optional<std::string> fallback = {});
    /** @return An integer, in the range of int. */
    int readInteger(const std::string &field, std::optional<int> fallback = {});
    /** @return A number. */
    double readNumber(const std::string &field, std::optional<double> fallback = {});
    /** @return A boolean. */
    bool readBool(const std::string &field, std::optional<bool> fallback = {});
    /** @return A list of strings, empty if the field is absent. */
    std::vector<std::string> readStringList(const std::string &field);
    /** Adds a problem with a field, whose value is looked up in the JSON object. */
    void addProblem(const std::string &field, const std::string &expected);
    /** Adds a problem for each field that was not read. @throws InvalidRecords if there is any. */
    void finish();

private:
    const nlohmann::json *find(const std::string &field);

    const nlohmann::json &json_;
    RecordRef ref_;
    std::set<std::string> knownFields_ {"kind", "id", "schema_version"};
    std::vector<RecordProblem> problems_;
};

} // namespace teaselreach::record::detail
