/** @file config_state_cmd.cpp How a daemon's configuration changes. */
#include "config/config_state_base.h"
#include "core/digest_func.h"

#include <set>

namespace teaselreach::config {

namespace {

/** Copies the records of one set to another, except those of some groups. */
void copyOthers(const record::RecordSet &from, const std::set<std::string> &except,
                record::RecordSet &to)
{
    record::forEachRecord(from, [&](const auto &r) {
        using T = std::decay_t<decltype(r)>;
        if (!except.contains(groupNameOf(r)))
            record::recordsOf<T>(to).push_back(r);
    });
}

} // namespace

HeadVerdict ConfigState::offerHead(const std::string &headText, UpdateSource source)
{
    HeadId id;
    try {
        id = headIdOf(headText);
    } catch (const UnreadableConfig &) {
        return HeadVerdict::Unreadable;
    }
    const bool behind = id.revision < inForce_.revision
        || (id.revision == inForce_.revision && id.digest != inForce_.digest);
    if (source == UpdateSource::Store)
        storeBehind_ = behind;
    if (id.revision > inForce_.revision)
        return HeadVerdict::Newer;
    if (id.revision < inForce_.revision)
        return HeadVerdict::Older;
    return behind ? HeadVerdict::OtherForm : HeadVerdict::InForce;
}

void ConfigState::keepMatching(const Head &head, const GroupValues &values)
{
    std::set<std::string> named;
    for (const auto &[name, digest] : head.groups) {
        named.insert(digest);
        const auto found = values.find(name);
        if (found != values.end() && core::sha256Hex(found->second) == digest)
            staged_[digest] = found->second;
    }
    std::erase_if(staged_, [&named](const auto &entry) { return !named.contains(entry.first); });
}

ApplyResult ConfigState::apply(const std::string &headText, const GroupValues &values)
{
    Head head;
    try {
        head = headFromText(headText);
    } catch (const UnreadableConfig &) {
        return {.verdict = ApplyVerdict::Unreadable};
    }
    if (head.revision <= inForce_.revision)
        return {.verdict = ApplyVerdict::NotNewer};
    keepMatching(head, values);
    if (GroupDigests needed = neededFor(head); !needed.empty())
        return {.verdict = ApplyVerdict::GroupsNeeded, .needed = std::move(needed)};
    putInForce(headText, head);
    return {.verdict = ApplyVerdict::Applied, .rejected = rejected()};
}

void ConfigState::putInForce(const std::string &headText, const Head &head)
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
            retainOld(rejected, content.records);
        appendRecords(records, std::move(content.records));
        groups[name] = {digest, value, std::move(content.rejected)};
    }
    for (const auto &[name, group] : groups_) {
        if (!head.groups.contains(name))
            changed.insert(name);
    }
    if (snapshot_)
        copyOthers(snapshot_->records(), changed, records);
    snapshot_ = std::make_shared<const ConfigSnapshot>(head.revision, std::move(records));
    groups_ = std::move(groups);
    headText_ = headText;
    inForce_ = {head.revision, core::sha256Hex(headText)};
    staged_.clear();
}

/** Keeps the last form of a record whose new form cannot be read. */
void ConfigState::retainOld(const RejectedRecord &rejected, record::RecordSet &records) const
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
        T kept = old;
        if constexpr (std::is_same_v<T, record::Key>)
            kept.withdrawn = kept.withdrawn || rejected.withdrawnKey;
        record::recordsOf<T>(records).push_back(std::move(kept));
    });
}

} // namespace teaselreach::config
