/** @file head.cpp Encodes and decodes heads. */
#include "config/head_func.h"
#include "core/digest_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselreach::config {

namespace {

using nlohmann::json;

Head headFromJson(const json &document)
{
    if (document.at("schema_version").get<int>() != headSchemaVersion)
        throw UnreadableConfig("the head has schema_version " + document.at("schema_version").dump()
                               + ", expected " + std::to_string(headSchemaVersion));
    Head head {.revision = core::Revision(document.at("revision").get<std::uint64_t>())};
    head.groups = document.at("groups").get<GroupDigests>();
    for (const json &change : document.at("changes"))
        head.changes.push_back({core::ChangeId(change.at("id").get<std::string>()),
                                core::Revision(change.at("revision").get<std::uint64_t>())});
    if (head.groups.size() > maxHeadGroups || head.changes.size() > maxHeadChanges)
        throw UnreadableConfig("the head names " + std::to_string(head.groups.size())
                               + " groups and " + std::to_string(head.changes.size())
                               + " changes, expected at most " + std::to_string(maxHeadGroups)
                               + " groups and " + std::to_string(maxHeadChanges) + " changes");
    return head;
}

} // namespace

std::string headToText(const Head &head)
{
    json changes = json::array();
    for (const AppliedChange &change : head.changes)
        changes.push_back({{"id", change.id.str()}, {"revision", change.revision.count()}});
    return json {{"schema_version", headSchemaVersion},
                 {"revision", head.revision.count()},
                 {"groups", head.groups},
                 {"changes", changes}}
        .dump();
}

Head headFromText(const std::string &text)
{
    try {
        return headFromJson(json::parse(text));
    } catch (const json::exception &error) {
        throw UnreadableConfig(std::string("the head is malformed: ") + error.what());
    }
}

HeadId headIdOf(const std::string &text)
{
    return {headFromText(text).revision, core::sha256Hex(text)};
}

std::string groupKey(const std::string &name, const std::string &digest)
{
    return "group/" + name + "/" + digest;
}

std::optional<AppliedChange> findChange(const Head &head, const core::ChangeId &id)
{
    const auto found = std::find_if(head.changes.begin(), head.changes.end(),
                                    [&id](const AppliedChange &c) { return c.id == id; });
    return found == head.changes.end() ? std::nullopt : std::optional(*found);
}

Head nextHead(const Head &head, GroupDigests groups, const core::ChangeId &id)
{
    Head next {.revision = core::Revision(head.revision.count() + 1),
               .groups = std::move(groups),
               .changes = head.changes};
    next.changes.push_back({id, next.revision});
    if (next.changes.size() > maxHeadChanges)
        next.changes.erase(next.changes.begin());
    return next;
}

} // namespace teaselreach::config
