/** @file accept_func.h Reads the accepted configuration and commits changes to the store. */
#pragma once

#include "config/accept_type.h"
#include "config/head_func.h"
#include "core/digest_func.h"
#include "store/store_type.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace teaselreach::config {

/** The head together with its stored text and store version. */
struct StoredHead
{
    Head head;
    std::string text;            ///< Empty if the store has no head.
    store::StoreVersion version; ///< 0 if the store has no head.

    /** @return The head's revision and digest; the digest is empty if the store has no head. */
    HeadId id() const { return {head.revision, text.empty() ? "" : core::sha256Hex(text)}; }
};

/**
 * Reads the head from the store.
 * @return The head; revision 0 if the store has none.
 * @throws store::StoreUnavailable, UnreadableConfig
 */
template <store::KeyValueStore Store>
StoredHead readHead(Store &store)
{
    const auto stored = store.get(headKey);
    if (!stored)
        return {};
    return {headFromText(stored->value), stored->value, stored->version};
}

/**
 * Reads all groups of a head from the store and checks their digests.
 * @throws store::StoreUnavailable, StoreDamaged if a value is missing or has another digest
 */
template <store::KeyValueStore Store>
GroupValues readGroups(Store &store, const Head &head)
{
    GroupValues values;
    for (const auto &[name, digest] : head.groups) {
        const std::string key = groupKey(name, digest);
        const auto stored = store.get(key);
        if (!stored || core::sha256Hex(stored->value) != digest)
            throw StoreDamaged(key);
        values[name] = stored->value;
    }
    return values;
}

/**
 * @return The records of all given groups.
 * @throws UnreadableConfig if any record cannot be parsed. If a writer skipped such a record, it
 *     would delete it from the store when it writes the group.
 */
record::RecordSet unpackAll(const GroupValues &values);

/**
 * Compares the edited records in the base with the current ones.
 * @param revision Revision of the current records, for the message.
 * @return The first conflict, or nothing if no edited record has changed since the base.
 */
std::optional<ChangeConflict> findConflict(const std::vector<record::RecordEdit> &edits,
                                           const record::RecordSet &base,
                                           const record::RecordSet &current,
                                           core::Revision revision);

/**
 * @param edits The edits of a change.
 * @param records Used to look up the account of an edited key; keys not in this set are skipped.
 * @return The names of the groups that hold the edited records.
 */
std::set<std::string> touchedGroups(const std::vector<record::RecordEdit> &edits,
                                    const record::RecordSet &records);

/**
 * Writes a group value. The key contains the value's digest, so an existing value under that key is
 * the same and is not written again.
 * @throws record::InvalidRecords if the value is too large, store::StoreUnavailable
 */
template <store::KeyValueStore Store>
void writeGroup(Store &store, const std::string &name, const std::string &value)
{
    const std::string key = groupKey(name, core::sha256Hex(value));
    if (value.size() > store::maxValueBytes)
        throw record::InvalidRecords(
            {{{},
              "group " + name,
              std::to_string(value.size()) + " bytes",
              "at most " + std::to_string(store::maxValueBytes) + " bytes"}});
    if (store.get(key))
        return;
    try {
        store.put(key, value, store::StoreVersion(0));
    } catch (const store::StoreConflict &) {
        return;
    } catch (const store::StoreOutcomeUnknown &error) {
        // The head does not refer to this value yet, so the change is not accepted in either case.
        if (!store.get(key))
            throw store::StoreUnavailable(error.what());
    }
}

namespace detail {

/** Commits one change to the store, with retries. */
template <store::KeyValueStore Store>
class ChangeWriter
{
public:
    ChangeWriter(Store &store, const std::vector<record::RecordEdit> &edits,
                 const AcceptOptions &options)
        : store_(store)
        , edits_(edits)
        , options_(options)
    { }

    AcceptResult run()
    {
        for (int attempt = 1; attempt <= options_.maxAttempts; ++attempt) {
            if (attempt > 1 && options_.wait)
                options_.wait(options_.retryDelay * (attempt - 1));
            const auto head = readHeadForAttempt();
            if (!head)
                continue;
            if (const auto found = findChange(head->head, options_.id))
                return {found->revision, attempt, attempt == 1, firstUnconfirmed_.has_value()};
            rejectStaleHead(*head);
            if (const auto revision = attemptWrite(*head))
                return {*revision, attempt, false, false};
        }
        if (firstUnconfirmed_)
            throw ChangeOutcomeUnknown(options_.id);
        throw ChangeContended(options_.maxAttempts);
    }

private:
    /**
     * Reads the head. After a write without an answer, an outage is not an error here: the next
     * attempt reads again to find out whether that write was applied.
     */
    std::optional<StoredHead> readHeadForAttempt()
    {
        try {
            return readHead(store_);
        } catch (const store::StoreUnavailable &) {
            if (!firstUnconfirmed_)
                throw;
            return std::nullopt;
        }
    }

    /** Throws if the store's head is older than, or diverged from, a head already known. */
    void rejectStaleHead(const StoredHead &stored)
    {
        const HeadId id = stored.id();
        const bool diverged = id.revision == options_.fleetHead.revision
            && !options_.fleetHead.digest.empty() && id.digest != options_.fleetHead.digest;
        if (id.revision < options_.fleetHead.revision || diverged)
            throw StoreBehindFleet(id.revision, options_.fleetHead.revision);
        if (id.revision < highestSeen_)
            throw StoreBehindFleet(id.revision, highestSeen_);
        highestSeen_ = id.revision;
        // The head lists only the last maxHeadChanges changes, so it no longer shows whether the
        // unconfirmed write was applied.
        if (firstUnconfirmed_ && id.revision.count() >= firstUnconfirmed_->count() + maxHeadChanges)
            throw ChangeOutcomeUnknown(options_.id);
    }

    /**
     * Writes the change on top of a head.
     * @return The new revision, or nothing if the caller should read the head and try again.
     */
    std::optional<core::Revision> attemptWrite(const StoredHead &stored)
    {
        try {
            return writeChange(stored);
        } catch (const store::StoreUnavailable &) {
            if (!firstUnconfirmed_)
                throw;
            return std::nullopt;
        }
    }

    std::optional<core::Revision> writeChange(const StoredHead &stored)
    {
        record::RecordSet records = unpackAll(readGroups(store_, stored.head));
        if (!base_)
            base_ = options_.base != nullptr ? *options_.base : records;
        if (const auto conflict = findConflict(edits_, *base_, records, stored.head.revision))
            throw *conflict;
        std::set<std::string> touched = touchedGroups(edits_, records);
        record::editRecords(records, edits_, options_.mode);
        if (options_.mode == record::CommandMode::Check)
            return stored.head.revision;
        touched.merge(touchedGroups(edits_, records));
        const Head next =
            nextHead(stored.head, writeGroups(stored.head, records, touched), options_.id);
        return swapHead(next, stored.version) ? std::optional(next.revision) : std::nullopt;
    }

    /** Writes the touched groups. @return The digests of all groups after the change. */
    GroupDigests writeGroups(const Head &head, const record::RecordSet &records,
                             const std::set<std::string> &touched)
    {
        GroupDigests digests = head.groups;
        for (const std::string &name : touched)
            digests.erase(name);
        for (const auto &[name, value] : packGroups(records, touched)) {
            writeGroup(store_, name, value);
            digests[name] = core::sha256Hex(value);
        }
        return digests;
    }

    /**
     * Replaces the head by compare-and-swap.
     * @return Whether the store confirmed the write; false on a conflict or a lost answer.
     */
    bool swapHead(const Head &next, store::StoreVersion expected)
    {
        try {
            store_.put(headKey, headToText(next), expected);
            return true;
        } catch (const store::StoreConflict &) {
            return false;
        } catch (const store::StoreOutcomeUnknown &) {
            if (!firstUnconfirmed_)
                firstUnconfirmed_ = next.revision;
            return false;
        }
    }

    Store &store_;
    const std::vector<record::RecordEdit> &edits_;
    const AcceptOptions &options_;
    std::optional<record::RecordSet> base_; ///< Records that the edits were derived from.
    core::Revision highestSeen_;            ///< Highest revision read from the store so far.
    std::optional<core::Revision> firstUnconfirmed_; ///< Of the first write without an answer.
};

} // namespace detail

/**
 * Commits a change: writes the new group values, then replaces the head by compare-and-swap. The
 * change is accepted at the moment the head is replaced. If the answer to that write is lost, the
 * head is read again and searched for the change id.
 * @param store The key-value service.
 * @param edits At least one edit; either all of them are accepted or none.
 * @param options Id of the change, the fleet's head, retry bounds.
 * @return The revision that contains the change; in mode Check, the store's current revision.
 * @throws record::InvalidRecords, ChangeConflict, StoreBehindFleet, ChangeContended,
 *     ChangeOutcomeUnknown, StoreDamaged, UnreadableConfig, store::StoreUnavailable
 */
template <store::KeyValueStore Store>
AcceptResult acceptChange(Store &store, const std::vector<record::RecordEdit> &edits,
                          const AcceptOptions &options)
{
    return detail::ChangeWriter<Store>(store, edits, options).run();
}

/**
 * Writes the fleet's configuration to a store that lost changes, for example after it was restored
 * from a backup.
 * @param store The key-value service.
 * @param headText The head with the highest revision that a daemon uses.
 * @param values All group values that the head names.
 * @return Whether the head was written; false if the store has this head or a higher revision.
 * @throws StoreDamaged if a value is missing or does not match its digest, store::StoreConflict if
 *     the head was written by another client meanwhile, store::StoreUnavailable,
 *     store::StoreOutcomeUnknown, UnreadableConfig
 */
template <store::KeyValueStore Store>
bool restoreStore(Store &store, const std::string &headText, const GroupValues &values)
{
    const Head head = headFromText(headText);
    const StoredHead stored = readHead(store);
    if (stored.head.revision > head.revision || stored.text == headText)
        return false;
    for (const auto &[name, digest] : head.groups) {
        const auto found = values.find(name);
        if (found == values.end() || core::sha256Hex(found->second) != digest)
            throw StoreDamaged(groupKey(name, digest));
        writeGroup(store, name, found->second);
    }
    store.put(headKey, headText, stored.version);
    return true;
}

} // namespace teaselreach::config
