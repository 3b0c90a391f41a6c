/** @file head_func.h Text form of heads, and packing of records into groups. */
#pragma once

#include "config/head_type.h"
#include "record/any_record_type.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselreach::config {

/** A record in a group that this program cannot read. */
struct RejectedRecord
{
    std::string group;
    std::optional<record::RecordRef> ref; ///< Not set if the whole group cannot be read.
    std::string reason;
    bool withdrawnKey = false; ///< The record is a key and says that it is withdrawn.

    bool operator==(const RejectedRecord &) const = default;
};

/** The records of one group. */
struct GroupContent
{
    record::RecordSet records;
    std::vector<RejectedRecord> rejected;
};

/** @return The text of a head, the same for equal heads. */
std::string headToText(const Head &head);
/** @return The head. @throws UnreadableConfig */
Head headFromText(const std::string &text);
/** @return Revision and digest of a head's text. @throws UnreadableConfig */
HeadId headIdOf(const std::string &text);
/** @return The key under which the store holds a group value. */
std::string groupKey(const std::string &name, const std::string &digest);

/**
 * @param ref The record.
 * @param account The account of a key; ignored for other kinds.
 * @return The name of the group that holds the record.
 */
std::string groupNameOf(const record::RecordRef &ref, const std::string &account);
/** @return The name of the group that holds the record. */
template <typename T>
std::string groupNameOf(const T &r)
{
    const auto kind = static_cast<record::RecordKind>(record::AnyRecord(r).index());
    if constexpr (std::is_same_v<T, record::Key>)
        return groupNameOf({kind, r.id.str()}, r.account.str());
    else
        return groupNameOf({kind, record::idOf(r)}, "");
}

/**
 * @param records The set to pack.
 * @param names Only these groups, all if empty.
 * @return The value of each group that has records.
 */
GroupValues packGroups(const record::RecordSet &records, const std::set<std::string> &names = {});

/**
 * @param name The group's name, for messages.
 * @param text The group's value.
 * @return Its records; those that cannot be read are listed.
 */
GroupContent unpackGroup(const std::string &name, const std::string &text);

/** Appends the records of one set to another. */
void appendRecords(record::RecordSet &to, record::RecordSet from);

/** @return The change with this id among the last ones, or nothing. */
std::optional<AppliedChange> findChange(const Head &head, const core::ChangeId &id);

/**
 * @param head The head that is replaced.
 * @param groups The digests of the groups in the new head.
 * @param id The change.
 * @return The next head.
 */
Head nextHead(const Head &head, GroupDigests groups, const core::ChangeId &id);

} // namespace teaselreach::config
