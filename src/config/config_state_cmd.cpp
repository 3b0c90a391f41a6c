/** @file config_state_cmd.cpp Applies new revisions of the configuration. */
#include "config/config_state_base.h"
#include "core/digest_func.h"

#include <set>

namespace teaselreach::config {

namespace {

/** Copies the records of one set to another, except those of the given groups. */
void copyRecordsExcept(const record::RecordSet &from, const std::set<std::string> &except,
                       record::RecordSet &to)
{
    record::forEachRecord(from, [&](const auto &r) {
        using T = std::decay_t<decltype(r)>;
        if (!except.contains(groupNameOf(r)))
            record::recordsOf<T>(to).push_back(r);
    });
}

} // namespace

HeadComparison ConfigState::observeHead(const std::string &headText, UpdateSource source)
{
    HeadId id;
    try {
        id = headIdOf(headText);
    } catch (const UnreadableConfig &) {
        return HeadComparison::Unreadable;
    }
    const bool diverged = activeHead_.revision.count() > 0 && id.revision == activeHead_.revision
        && id.digest != activeHead_.digest;
    const bool behind = id.revision < activeHead_.revision || diverged;
    if (source == UpdateSource::Store)
        storeBehind_ = behind;
    if (id.revision > activeHead_.revision)
        return HeadComparison::Newer;
    if (id.revision < activeHead_.revision)
        return HeadComparison::Older;
    return diverged ? HeadComparison::Diverged : HeadComparison::Active;
}

void ConfigState::stageMatchingGroups(const Head &head, const GroupValues &values)
{
    std::set<std::string> referenced;
    for (const auto &[name, digest] : head.groups) {
        referenced.insert(digest);
        const auto found = values.find(name);
        if (found != values.end() && core::sha256Hex(found->second) == digest)
            staged_[digest] = found->second;
    }
    std::erase_if(staged_,
                  [&referenced](const auto &entry) { return !referenced.contains(entry.first); });
}

ApplyResult ConfigState::apply(const std::string &headText, const GroupValues &values)
{
    Head head;
    try {
        head = headFromText(headText);
    } catch (const UnreadableConfig &) {
        return {.outcome = ApplyOutcome::Unreadable};
    }
    if (head.revision <= activeHead_.revision)
        return {.outcome = ApplyOutcome::NotNewer};
    stageMatchingGroups(head, values);
    if (GroupDigests needed = missingGroups(head); !needed.empty())
        return {.outcome = ApplyOutcome::GroupsNeeded, .needed = std::move(needed)};
    activate(headText, head);
    return {.outcome = ApplyOutcome::Applied, .rejected = rejectedRecords()};
}

void ConfigState::activate(const std::string &headText, const Head &head)
{
    std::map<std::string, Group> groups;
    std::set<std::string> changed;
    record::RecordSet records;
    for (const auto &[name, digest] : head.groups) {
        const auto old = groups_.find(name);
        if (old != groups_.end() && old->second.digest == digest) {
            groups[name] = old->second;
            continue;
        }
        changed.insert(name);
        const std::string &value = staged_.at(digest);
        GroupContent content = unpackGroup(name, value);
        for (const RejectedRecord &rejected : content.rejected)
            keepPreviousRecord(rejected, content.records);
        appendRecords(records, std::move(content.records));
        groups[name] = {digest, value, std::move(content.rejected)};
    }
    for (const auto &[name, group] : groups_) {
        if (!head.groups.contains(name))
            changed.insert(name);
    }
    if (snapshot_)
        copyRecordsExcept(snapshot_->records(), changed, records);
    snapshot_ = std::make_shared<const ConfigSnapshot>(head.revision, std::move(records));
    groups_ = std::move(groups);
    headText_ = headText;
    activeHead_ = {head.revision, core::sha256Hex(headText)};
    staged_.clear();
}

void ConfigState::keepPreviousRecord(const RejectedRecord &rejected,
                                     record::RecordSet &records) const
{
    if (!snapshot_)
        return;
    record::forEachRecord(snapshot_->records(), [&](const auto &old) {
        using T = std::decay_t<decltype(old)>;
        if (groupNameOf(old) != rejected.group)
            return;
        const record::RecordRef ref = record::refOf(record::AnyRecord(old));
        if (rejected.ref && *rejected.ref != ref)
            return;
        // A withdrawal takes effect even if the rest of the key's record cannot be parsed.
        T kept = old;
        if constexpr (std::is_same_v<T, record::Key>)
            kept.withdrawn = kept.withdrawn || rejected.withdrawnKey;
        record::recordsOf<T>(records).push_back(std::move(kept));
    });
}

} // namespace teaselreach::config
