/** @file record_json_func.h Conversion of records to and from JSON, for all schema versions. */
#pragma once

#include "record/any_record_type.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string_view>

namespace teaselreach::record {

/**
 * @param name The value of `kind` in JSON or the name on the command line.
 * @return The kind, or std::nullopt if no kind has this name.
 */
std::optional<RecordKind> kindFromName(std::string_view name);

/** @return The record as JSON in its newest schema version. */
nlohmann::json toJson(const AnyRecord &record);

/**
 * Converts a record of any known schema version to the newest one.
 * @param json The stored form; has `kind`, `id` and `schema_version`.
 * @return The same record in the newest schema version.
 * @throws UnknownSchemaVersion, InvalidRecords
 */
nlohmann::json upgradeRecord(nlohmann::json json);

/**
 * Reads a record of any known schema version. Unknown fields are rejected.
 * @throws UnknownSchemaVersion, InvalidRecords if a field is missing, unknown or of another type.
 */
AnyRecord fromJson(const nlohmann::json &json);

/**
 * @return Kind and id of a stored record, the id empty if it is missing or not a string;
 *         std::nullopt if the kind is missing or unknown.
 */
std::optional<RecordRef> refFromJson(const nlohmann::json &json);

} // namespace teaselreach::record
