/** @file record_field_table.h Record fields that can be set on the command line. */
#pragma once

#include "table/record_kind_table.h"

#include <array>
#include <string_view>

namespace teaselreach::table {

/** How the text of a field is parsed; a List is separated by commas. */
enum class FieldType { Text, Number, Boolean, List };

/** One row of recordFieldTable. */
struct RecordFieldRow
{
    RecordKind kind;
    std::string_view name;
    FieldType type;
    std::string_view help;
};

inline constexpr std::array<RecordFieldRow, 22> recordFieldTable {{
    {RecordKind::ClientAccount, "display_name", FieldType::Text, "human-readable name"},
    {RecordKind::ClientAccount, "routes", FieldType::List, "routes that its keys may call"},
    {RecordKind::ClientAccount, "weight", FieldType::Number, "weight in the fair queue, 1 to 100"},
    {RecordKind::Key, "account", FieldType::Text, "client account of the key"},
    {RecordKind::Route, "path_prefix", FieldType::Text, "begins with '/'"},
    {RecordKind::Route, "methods", FieldType::List, "HTTP methods; all if empty"},
    {RecordKind::Route, "service", FieldType::Text, "service that requests go to"},
    {RecordKind::Route, "open_to_all", FieldType::Boolean, "whether requests need no key"},
    {RecordKind::Route, "idempotent", FieldType::Boolean, "whether a request may be sent twice"},
    {RecordKind::Route, "class", FieldType::Text, "urgent, normal or deferrable"},
    {RecordKind::Route, "timeout_ms", FieldType::Number, "time limit of a request, 1 to 60000"},
    {RecordKind::Limit, "rate_per_second", FieldType::Number, "requests/s over all VMs"},
    {RecordKind::Limit, "burst", FieldType::Number, "requests"},
    {RecordKind::Limit, "homes", FieldType::Number, "home VMs, 1 to 3; by default from the burst"},
    {RecordKind::Service, "slots_per_upstream", FieldType::Number, "concurrent requests"},
    {RecordKind::Service, "max_connections_per_upstream", FieldType::Number, "over all VMs"},
    {RecordKind::Service, "floor", FieldType::Number, "fraction kept in use, 0 to 1"},
    {RecordKind::Objective, "service", FieldType::Text, "service that is measured"},
    {RecordKind::Objective, "account", FieldType::Text, "client account; all if not given"},
    {RecordKind::Objective, "target", FieldType::Number,
     "fraction of requests that must be good, below 1"},
    {RecordKind::Objective, "latency_ms", FieldType::Number, "slower answers do not count as good"},
    {RecordKind::Key, "withdrawn", FieldType::Boolean, "true withdraws the key permanently"},
}};

} // namespace teaselreach::table
