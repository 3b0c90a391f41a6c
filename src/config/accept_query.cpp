/** @file accept_query.cpp Finds the groups that a change affects and its conflicts. */
#include "config/accept_func.h"
#include "record/record_json_func.h"

#include <nlohmann/json.hpp>

namespace teaselreach::config {

namespace {

std::string jsonOrWithdrawn(const std::optional<record::AnyRecord> &record)
{
    return record ? record::toJson(*record).dump() : "withdrawn";
}

} // namespace

record::RecordSet unpackAll(const GroupValues &values)
{
    record::RecordSet records;
    for (const auto &[name, value] : values) {
        GroupContent content = unpackGroup(name, value);
        if (!content.rejected.empty())
            throw UnreadableConfig("group '" + name
                                   + "' has a record that this version of the tool cannot read: "
                                   + content.rejected.front().reason);
        appendRecords(records, std::move(content.records));
    }
    return records;
}

std::optional<ChangeConflict> findConflict(const std::vector<record::RecordEdit> &edits,
                                           const record::RecordSet &base,
                                           const record::RecordSet &current,
                                           core::Revision revision)
{
    for (const record::RecordEdit &edit : edits) {
        const auto before = record::findRecord(base, edit.ref);
        const auto now = record::findRecord(current, edit.ref);
        if (before == now)
            continue;
        return ChangeConflict(edit.ref, jsonOrWithdrawn(edit.record), jsonOrWithdrawn(now),
                              revision);
    }
    return std::nullopt;
}

std::set<std::string> touchedGroups(const std::vector<record::RecordEdit> &edits,
                                    const record::RecordSet &records)
{
    std::set<std::string> names;
    for (const record::RecordEdit &edit : edits) {
        std::string account;
        if (edit.ref.kind == record::RecordKind::Key) {
            const auto found = record::findRecord(records, edit.ref);
            if (!found)
                continue;
            account = std::get<record::Key>(*found).account.str();
        }
        names.insert(groupNameOf(edit.ref, account));
    }
    return names;
}

} // namespace teaselreach::config
