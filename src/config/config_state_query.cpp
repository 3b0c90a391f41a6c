/** @file config_state_query.cpp Reads the active configuration and its groups. */
#include "config/config_state_base.h"

namespace teaselreach::config {

GroupDigests ConfigState::missingGroups(const Head &head) const
{
    GroupDigests needed;
    for (const auto &[name, digest] : head.groups) {
        const auto old = groups_.find(name);
        const bool held = old != groups_.end() && old->second.digest == digest;
        if (!held && !staged_.contains(digest))
            needed[name] = digest;
    }
    return needed;
}

GroupValues ConfigState::valuesFor(const GroupDigests &wanted, std::size_t maxBytes) const
{
    GroupValues values;
    std::size_t bytes = 0;
    for (const auto &[name, digest] : wanted) {
        const auto found = groups_.find(name);
        if (found == groups_.end() || found->second.digest != digest)
            continue;
        bytes += found->second.value.size();
        if (bytes > maxBytes && !values.empty())
            break;
        values[name] = found->second.value;
    }
    return values;
}

std::vector<RejectedRecord> ConfigState::rejectedRecords() const
{
    std::vector<RejectedRecord> all;
    for (const auto &[name, group] : groups_)
        all.insert(all.end(), group.rejected.begin(), group.rejected.end());
    return all;
}

} // namespace teaselreach::config
