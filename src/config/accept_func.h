/** @file accept_func.h Reading the accepted configuration and accepting a change. */
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

/** The head as the store holds it. */
struct StoredHead
{
    Head head;
    std::string text;            ///< Empty if the store has no head.
    store::StoreVersion version; ///< 0 if the store has no head.

    /** @return Revision and digest. */
    HeadId id() const { return {head.revision, text.empty() ? "" : core::sha256Hex(text)}; }
};

/** @return The head, with revision 0 if there is none. @throws StoreUnavailable, UnreadableConfig
 */
template <store::KeyValueStore Store>
StoredHead readHead(Store &store)
{
    const auto stored = store.get(headKey);
    if (!stored)
        return {};
    return {headFromText(stored->value), stored->value, stored->version};
}

/** @return The values of all groups of a head. @throws StoreUnavailable, StoreDamaged */
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
 * @return All records of some groups.
 * @throws UnreadableConfig if a record cannot be read: a writer must not drop what it cannot read.
 */
record::RecordSet unpackAll(const GroupValues &values);

/** @return The conflict of edits with a record that changed, or nothing. */
std::optional<ChangeConflict> findConflict(const std::vector<record::RecordEdit> &edits,
                                           const record::RecordSet &base,
                                           const record::RecordSet &current,
                                           core::Revision revision);

/** @return The names of the groups that edits touch. */
std::set<std::string> touchedGroups(const std::vector<record::RecordEdit> &edits,
                                    const record::RecordSet &records);

/** Writes group values; a value that is already there is the same one. */
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
        // The head has not moved, so nothing is accepted whether or not the value arrived.
        if (!store.get(key))
            throw store::StoreUnavailable(error.what());
    }
}

namespace detail {

/** One change on its way into the store. */
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
    /** Once a write may have been applied, an outage must not end the search for it. */
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
        // The head has dropped the changes of that time, so it cannot prove that ours is absent.
        if (firstUnconfirmed_ && id.revision.count() >= firstUnconfirmed_->count() + maxHeadChanges)
            throw ChangeOutcomeUnknown(options_.id);
    }

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

    /** @return Whether the head surely moved. */
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
    std::optional<record::RecordSet> base_; ///< What the edits were derived from.
    core::Revision highestSeen_;
    std::optional<core::Revision> firstUnconfirmed_; ///< Of the first write without an answer.
};

} // namespace detail

/**
 * Accepts a change: writes the new group values, then moves the head by compare-and-swap. That
 * move is the only point of acceptance. A lost answer is resolved by looking for the change id.
 * @param store The key-value service.
 * @param edits At least one edit; all or none are accepted.
 * @param options Id of the change, the fleet's revision, bounds.
 * @return The revision in which the change is in force; in mode Check, the present revision.
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
 * Writes the fleet's configuration back to a store that was restored to an older state.
 * @param store The key-value service.
 * @param headText The head of the highest revision in force.
 * @param values All group values that the head names.
 * @return Whether anything was written; false if the store is not behind.
 * @throws StoreDamaged if a value does not match its digest, store::StoreConflict if someone wrote
 *     the head at the same time, store::StoreUnavailable, store::StoreOutcomeUnknown
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
