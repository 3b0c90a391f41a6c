/** @file edit.cpp Translates command-line arguments and JSON files to record edits. */
#include "core/digest_func.h"
#include "record/record_json_func.h"
#include "record/record_validate_func.h"
#include "table/record_field_table.h"
#include "tool/edit_func.h"
#include "tool/tool_type.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace teaselreach::tool {

namespace {

using nlohmann::json;
using record::EditOperation;
using record::RecordKind;

/// 256 random bits cannot be guessed, so the stored digest of a key needs no salt.
constexpr std::size_t keyBytes = 32;
constexpr std::string_view keyPrefix = "tr_";

/** @return The table row of a field. @throws UsageError if the kind has no such field. */
const table::RecordFieldRow &fieldRow(RecordKind kind, const std::string &name)
{
    std::string known;
    for (const table::RecordFieldRow &row : table::recordFieldTable) {
        if (row.kind != kind)
            continue;
        if (row.name == name)
            return row;
        known += known.empty() ? "" : ", ";
        known += row.name;
    }
    throw UsageError("field '" + name + "' does not exist for "
                     + std::string(table::recordKindRow(kind).command) + "; fields: " + known);
}

/** Splits text at commas. */
json splitList(const std::string &text)
{
    json list = json::array();
    std::istringstream items(text);
    for (std::string item; std::getline(items, item, ',');)
        list.push_back(item);
    return list;
}

/** Converts the text of a field to JSON. @throws UsageError if it does not fit the type. */
json parseFieldValue(const table::RecordFieldRow &row, const std::string &text)
{
    if (row.type == table::FieldType::Text)
        return text;
    if (row.type == table::FieldType::List)
        return splitList(text);
    json value = json::parse(text, nullptr, false);
    const bool fits =
        row.type == table::FieldType::Boolean ? value.is_boolean() : value.is_number();
    if (!fits)
        throw UsageError("field '" + std::string(row.name) + "' is '" + text + "', expected "
                         + (row.type == table::FieldType::Boolean ? "true or false" : "a number"));
    return value;
}

/** Applies FIELD=VALUE arguments to the JSON form of a record. */
void setFields(json &stored, RecordKind kind, std::span<const std::string> arguments)
{
    for (const std::string &argument : arguments) {
        const std::size_t equals = argument.find('=');
        if (equals == std::string::npos)
            throw UsageError("argument '" + argument + "', expected FIELD=VALUE");
        const std::string name = argument.substr(0, equals);
        stored[name] = parseFieldValue(fieldRow(kind, name), argument.substr(equals + 1));
    }
}

/**
 * Fills in `homes` if a limit of the newest schema version lacks it: with the accepted limit's
 * number, or for a new limit with the number derived from its burst.
 */
void fillDefaultHomes(json &stored, const record::RecordSet &current)
{
    const auto ref = record::refFromJson(stored);
    const bool isNewestLimit = ref && ref->kind == RecordKind::Limit
        && stored.value("schema_version", json()) == table::limitVersionRatePerSecond;
    if (!isNewestLimit || stored.contains("homes"))
        return;
    if (const auto existing = record::findRecord(current, *ref))
        stored["homes"] = std::get<record::Limit>(*existing).homes;
    else if (stored.contains("burst") && stored["burst"].is_number())
        stored["homes"] = record::homeCountForBurst(stored["burst"].get<double>());
}

json newRecordJson(RecordKind kind, const std::string &id)
{
    const table::RecordKindRow &row = table::recordKindRow(kind);
    return {{"kind", row.name}, {"id", id}, {"schema_version", row.newestVersion}};
}

/** @return The JSON form of an accepted record. @throws record::InvalidRecords if it is absent. */
json existingRecordJson(const record::RecordRef &ref, const record::RecordSet &current)
{
    const auto existing = record::findRecord(current, ref);
    if (!existing)
        throw record::InvalidRecords(
            {{ref, "id", "'" + ref.id + "'", "the id of a record that exists"}});
    return record::toJson(*existing);
}

record::RecordEdit withdrawEdit(const record::RecordRef &ref)
{
    return {EditOperation::Withdraw, ref, std::nullopt};
}

record::RecordEdit withdrawFromJson(const json &item)
{
    const auto ref = record::refFromJson(item);
    if (!ref || ref->id.empty())
        throw UsageError("'withdraw' has " + item.dump() + ", expected {\"kind\",\"id\"}");
    return withdrawEdit(*ref);
}

json parseFile(const std::string &text)
{
    json document = json::parse(text, nullptr, false);
    if (!document.is_object())
        throw UsageError("the file is not a JSON object {\"records\":[...],\"withdraw\":[...]}");
    for (const auto &[name, value] : document.items()) {
        if ((name != "records" && name != "withdraw") || !value.is_array())
            throw UsageError("the file has '" + name
                             + "', expected lists 'records' and 'withdraw'");
    }
    return document;
}

} // namespace

PlannedEdits planEdit(RecordKind kind, const std::string &verb,
                      std::span<const std::string> arguments, const record::RecordSet &current)
{
    if (arguments.empty())
        throw UsageError("the record id is missing");
    const record::RecordRef ref {kind, arguments.front()};
    if (verb == "withdraw") {
        if (arguments.size() > 1)
            throw UsageError("'withdraw' takes only an id, and no fields");
        return {{withdrawEdit(ref)}, ""};
    }
    const bool isNew = verb == "create";
    json stored = isNew ? newRecordJson(kind, ref.id) : existingRecordJson(ref, current);
    setFields(stored, kind, arguments.subspan(1));
    PlannedEdits planned;
    if (isNew && kind == RecordKind::Key) {
        planned.newKey = std::string(keyPrefix) + core::randomHex(keyBytes);
        stored["digest"] = core::sha256Hex(planned.newKey);
    }
    fillDefaultHomes(stored, current);
    const EditOperation operation = isNew ? EditOperation::Create : EditOperation::Change;
    planned.edits.push_back(record::makeEdit(operation, record::fromJson(stored)));
    return planned;
}

PlannedEdits planFile(const std::string &text, const record::RecordSet &current)
{
    const json document = parseFile(text);
    PlannedEdits planned;
    for (json stored : document.value("records", json::array())) {
        fillDefaultHomes(stored, current);
        planned.edits.push_back(record::makeEdit(EditOperation::Put, record::fromJson(stored)));
    }
    // References are validated on the resulting record set, so the order of edits does not matter.
    for (const json &item : document.value("withdraw", json::array()))
        planned.edits.push_back(withdrawFromJson(item));
    if (planned.edits.empty())
        throw UsageError("the file has neither records nor withdrawals");
    return planned;
}

} // namespace teaselreach::tool
