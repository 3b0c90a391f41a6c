/** @file record_upgrade.cpp Converts stored records from older schema versions to the newest. */
#include "record/record_error_type.h"
#include "record/record_json_func.h"
#include "record/record_validate_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace teaselreach::record {

namespace {

using nlohmann::json;

/** Converts records of one kind from one schema version to the next. */
struct UpgradeStep
{
    RecordKind kind;
    int from;
    void (*convert)(json &record, const RecordRef &ref);
};

/** @throws InvalidRecords always, for a field of the record. */
[[noreturn]] void throwProblem(const json &record, const RecordRef &ref, const char *field,
                               const char *expected)
{
    const auto found = record.find(field);
    throw InvalidRecords({{ref, field, found == record.end() ? "" : found->dump(), expected}});
}

/** Replaces `retry` by `idempotent`. Version 1 had no class; all its routes were normal. */
void upgradeRouteFromRetry(json &record, const RecordRef &ref)
{
    for (const char *field : {"idempotent", "class"}) {
        if (record.contains(field))
            throwProblem(record, ref, field, "no field with this name in schema_version 1");
    }
    const json retry = record.value("retry", json(false));
    if (!retry.is_boolean())
        throwProblem(record, ref, "retry", "true or false");
    record.erase("retry");
    record["idempotent"] = retry;
    record["class"] = "normal";
}

/** Replaces `per_minute` by `rate_per_second` and derives `homes` from the burst. */
void upgradeLimitFromPerMinute(json &record, const RecordRef &ref)
{
    constexpr double secondsPerMinute = 60;
    const auto perMinute = record.find("per_minute");
    if (perMinute == record.end() || !perMinute->is_number())
        throw InvalidRecords(
            {{ref, "per_minute", perMinute == record.end() ? "" : perMinute->dump(), "a number"}});
    record["rate_per_second"] = perMinute->get<double>() / secondsPerMinute;
    record.erase("per_minute");
    const auto burst = record.find("burst");
    if (burst != record.end() && burst->is_number())
        record["homes"] = homeCountForBurst(burst->get<double>());
}

constexpr std::array<UpgradeStep, 2> upgradeSteps {{
    {RecordKind::Route, table::routeVersionRetry, upgradeRouteFromRetry},
    {RecordKind::Limit, table::limitVersionPerMinute, upgradeLimitFromPerMinute},
}};

/** @return Kind and id. @throws InvalidRecords if the record lacks either. */
RecordRef requireRef(const json &record)
{
    if (!record.is_object())
        throw InvalidRecords({{{}, "record", record.dump(), "an object"}});
    const auto ref = refFromJson(record);
    if (!ref)
        throw InvalidRecords({{{},
                               "kind",
                               record.value("kind", json()).dump(),
                               "client_account, key, route, limit, service or objective"}});
    if (ref->id.empty())
        throw InvalidRecords({{*ref, "id", record.value("id", json()).dump(), "a string"}});
    return *ref;
}

} // namespace

std::optional<RecordRef> refFromJson(const json &record)
{
    if (!record.is_object() || !record.contains("kind") || !record["kind"].is_string())
        return std::nullopt;
    const auto kind = kindFromName(record["kind"].get<std::string>());
    if (!kind)
        return std::nullopt;
    RecordRef ref {*kind, ""};
    if (record.contains("id") && record["id"].is_string())
        ref.id = record["id"].get<std::string>();
    return ref;
}

json upgradeRecord(json record)
{
    const RecordRef ref = requireRef(record);
    const auto found = record.find("schema_version");
    if (found == record.end() || !found->is_number_integer())
        throw InvalidRecords(
            {{ref, "schema_version", found == record.end() ? "" : found->dump(), "an integer"}});
    const auto version = found->get<std::int64_t>();
    const int newest = table::recordKindRow(ref.kind).newestVersion;
    if (version < table::firstVersion || version > newest)
        throw UnknownSchemaVersion(ref, version, newest);
    for (int current = static_cast<int>(version); current < newest; ++current) {
        const auto step =
            std::find_if(upgradeSteps.begin(), upgradeSteps.end(), [&](const UpgradeStep &s) {
                return s.kind == ref.kind && s.from == current;
            });
        if (step == upgradeSteps.end())
            throw UnknownSchemaVersion(ref, current, newest);
        step->convert(record, ref);
    }
    record["schema_version"] = newest;
    return record;
}

} // namespace teaselreach::record
