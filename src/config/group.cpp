/** @file group.cpp Packs records into groups and parses groups. */
#include "config/head_func.h"
#include "core/digest_func.h"
#include "core/error_type.h"
#include "record/record_json_func.h"

#include <nlohmann/json.hpp>

#include <cstdio>

namespace teaselreach::config {

namespace {

using nlohmann::json;

/** @return The name of the group that an id is hashed to. */
std::string numberedGroup(const char *format, const std::string &id, std::size_t groups)
{
    char name[32];
    std::snprintf(name, sizeof name, format, static_cast<unsigned>(core::stableHash(id) % groups));
    return name;
}

/** Parses one record; if that fails, adds it to the rejected records. */
void readRecord(const std::string &group, const json &stored, GroupContent &content)
{
    try {
        std::visit(
            [&content](auto r) {
                using T = std::decay_t<decltype(r)>;
                record::recordsOf<T>(content.records).push_back(std::move(r));
            },
            record::fromJson(stored));
    } catch (const core::Error &error) {
        const auto ref = record::refFromJson(stored);
        const auto withdrawn = stored.is_object() ? stored.find("withdrawn") : stored.end();
        const bool withdrawnKey = ref && ref->kind == record::RecordKind::Key
            && withdrawn != stored.end() && *withdrawn == true;
        content.rejected.push_back({group, ref, error.what(), withdrawnKey});
    }
}

void readGroup(const std::string &name, const json &document, GroupContent &content)
{
    if (document.at("schema_version").get<int>() != headSchemaVersion)
        throw UnreadableConfig("group '" + name + "' has schema_version "
                               + document.at("schema_version").dump() + ", expected "
                               + std::to_string(headSchemaVersion));
    for (const json &stored : document.at("records"))
        readRecord(name, stored, content);
}

} // namespace

std::string groupNameOf(const record::RecordRef &ref, const std::string &account)
{
    switch (ref.kind) {
    case record::RecordKind::ClientAccount:
    case record::RecordKind::Limit:
        return numberedGroup("accounts-%03u", ref.id, accountGroupCount);
    case record::RecordKind::Key:
        return numberedGroup("accounts-%03u", account, accountGroupCount);
    case record::RecordKind::Route:
        return numberedGroup("routes-%02u", ref.id, routeGroupCount);
    case record::RecordKind::Service:
        return "services";
    case record::RecordKind::Objective:
        return "objectives";
    }
    throw UnreadableConfig("record '" + ref.id + "' is of a kind that has no group");
}

GroupValues packGroups(const record::RecordSet &records, const std::set<std::string> &names)
{
    // Records are sorted by kind and id, so that equal sets of records have equal digests.
    std::map<std::string, std::map<record::RecordRef, json>> groups;
    record::forEachRecord(records, [&](const auto &r) {
        std::string name = groupNameOf(r);
        if (!names.empty() && !names.contains(name))
            return;
        const record::AnyRecord any = r;
        groups[std::move(name)].emplace(record::refOf(any), record::toJson(any));
    });
    GroupValues values;
    for (const auto &[name, members] : groups) {
        json list = json::array();
        for (const auto &[ref, stored] : members)
            list.push_back(stored);
        values[name] =
            json {{"schema_version", headSchemaVersion}, {"records", std::move(list)}}.dump();
    }
    return values;
}

GroupContent unpackGroup(const std::string &name, const std::string &text)
{
    GroupContent content;
    try {
        readGroup(name, json::parse(text), content);
    } catch (const json::exception &error) {
        content.rejected.push_back({name, std::nullopt, error.what()});
    } catch (const UnreadableConfig &error) {
        content.rejected.push_back({name, std::nullopt, error.what()});
    }
    return content;
}

void appendRecords(record::RecordSet &to, record::RecordSet from)
{
    record::forEachRecord(from, [&to](auto &r) {
        using T = std::decay_t<decltype(r)>;
        record::recordsOf<T>(to).push_back(std::move(r));
    });
}

} // namespace teaselreach::config
