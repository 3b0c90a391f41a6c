/** @file head_type.h The head: a revision and the digests of its groups of records. */
#pragma once

#include "core/error_type.h"
#include "core/id_type.h"

#include <map>
#include <string>
#include <vector>

namespace teaselreach::config {

/// Digest of each group's value, by group name.
using GroupDigests = std::map<std::string, std::string>;
/// Value of each group, by group name.
using GroupValues = std::map<std::string, std::string>;

/// Store key of the head.
inline constexpr const char *headKey = "head";
/// Schema version of the head and of group values.
inline constexpr int headSchemaVersion = 1;
/// Number of recent changes listed in the head, so that a writer can find its own change.
inline constexpr std::size_t maxHeadChanges = 64;
/// Number of groups over which accounts are hashed, each with its keys and limit.
inline constexpr std::size_t accountGroupCount = 256;
/// Number of groups over which routes are hashed.
inline constexpr std::size_t routeGroupCount = 16;
/// Limit on the number of groups in a head; a text with more is rejected as malformed.
inline constexpr std::size_t maxHeadGroups = 1024;

/** An accepted change. */
struct AppliedChange
{
    core::ChangeId id;
    core::Revision revision; ///< The revision that the change created.

    bool operator==(const AppliedChange &) const = default;
};

/** The accepted configuration: its revision and the digest of every group that has records. */
struct Head
{
    core::Revision revision; ///< 0 if no change was ever accepted.
    GroupDigests groups;
    std::vector<AppliedChange> changes; ///< The last changes, oldest first.

    bool operator==(const Head &) const = default;
};

/** A revision and the digest of its head, which distinguishes diverged heads of one revision. */
struct HeadId
{
    core::Revision revision;
    std::string digest; ///< SHA-256 of the head's text; empty if unknown.

    bool operator==(const HeadId &) const = default;
};

/** A head, a group or a message about them is malformed or has an unsupported version. */
class UnreadableConfig : public core::Error
{
public:
    /** @param what Which text is wrong and why. */
    explicit UnreadableConfig(const std::string &what)
        : Error("unreadable_configuration", what)
    { }
};

} // namespace teaselreach::config
