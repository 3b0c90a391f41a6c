/** @file field_reader_internal.h Reads the fields of a JSON object and collects what is wrong. */
#pragma once

#include "record/record_error_type.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselreach::record::detail {

/** Reads one record's fields; problems are collected so that all are reported at once. */
class FieldReader
{
public:
    /**
     * @param json The record; must outlive the reader.
     * @param ref Named in problems.
     */
    FieldReader(const nlohmann::json &json, RecordRef ref);

    /** @return A text field; without a fallback the field is required. */
    std::string readString(const std::string &field, std::optional<std::string> fallback = {});
    /** @return A whole number, in the range of int. */
    int readInteger(const std::string &field, std::optional<int> fallback = {});
    /** @return A number. */
    double readNumber(const std::string &field, std::optional<double> fallback = {});
    /** @return A truth value. */
    bool readBool(const std::string &field, std::optional<bool> fallback = {});
    /** @return A list of texts, empty if the field is absent. */
    std::vector<std::string> readStringList(const std::string &field);
    /** Adds a problem with a field. */
    void addProblem(const std::string &field, const std::string &expected);
    /** Refuses fields that were never asked for. @throws InvalidRecords if anything is wrong. */
    void finish();

private:
    const nlohmann::json *find(const std::string &field);

    const nlohmann::json &json_;
    RecordRef ref_;
    std::set<std::string> knownFields_ {"kind", "id", "schema_version"};
    std::vector<RecordProblem> problems_;
};

} // namespace teaselreach::record::detail
