/** @file head_func.h Encodes and decodes heads, and packs records into groups. */
#pragma once

#include "config/head_type.h"
#include "record/any_record_type.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselreach::config {

/** A record or a whole group that this version of the program cannot parse. */
struct RejectedRecord
{
    std::string group;
    std::optional<record::RecordRef> ref; ///< Not set if it cannot be parsed.
    std::string reason;                   ///< Error message of the parser.
    bool withdrawnKey = false;            ///< The record is a key whose `withdrawn` field is true.

    bool operator==(const RejectedRecord &) const = default;
};

/** Result of parsing one group. */
struct GroupContent
{
    record::RecordSet records;
    std::vector<RejectedRecord> rejected;
};

/** @return The head as JSON text; equal heads give equal text. */
std::string headToText(const Head &head);
/** Parses the text of a head. @throws UnreadableConfig */
Head headFromText(const std::string &text);
/** @return The revision in a head's text and the digest of the text. @throws UnreadableConfig */
HeadId headIdOf(const std::string &text);
/** @return The store key of a group value. */
std::string groupKey(const std::string &name, const std::string &digest);

/**
 * @param ref The record.
 * @param account The account that a key belongs to; ignored for other kinds of records.
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
 * Serializes records into group values, ordered so that equal sets give equal values.
 * @param records The records to pack.
 * @param names Groups to pack; all groups if empty.
 * @return The value of each of these groups that has records.
 */
GroupValues packGroups(const record::RecordSet &records, const std::set<std::string> &names = {});

/**
 * Parses a group value. Records that cannot be parsed are listed as rejected.
 * @param name The group's name, for error messages.
 * @param text The group's value.
 * @return The parsed and the rejected records.
 */
GroupContent unpackGroup(const std::string &name, const std::string &text);

/** Moves all records of one set to the end of another. */
void appendRecords(record::RecordSet &to, record::RecordSet from);

/** @return The change with this id if the head still lists it. */
std::optional<AppliedChange> findChange(const Head &head, const core::ChangeId &id);

/**
 * Makes the head that follows another one. The oldest change is dropped beyond maxHeadChanges.
 * @param head The current head.
 * @param groups Digests of all groups in the new head.
 * @param id The change that creates the new head.
 * @return The head with the next revision.
 */
Head nextHead(const Head &head, GroupDigests groups, const core::ChangeId &id);

} // namespace teaselreach::config
