/** @file head_type.h The record in the store that states which configuration is accepted. */
#pragma once

#include "core/error_type.h"
#include "core/id_type.h"

#include <map>
#include <string>
#include <vector>

namespace teaselreach::config {

/// Name of a group with the digest of its value.
using GroupDigests = std::map<std::string, std::string>;
/// Name of a group with its value.
using GroupValues = std::map<std::string, std::string>;

/// Key of the head in the store.
inline constexpr const char *headKey = "head";
/// Schema version of the head and of group values.
inline constexpr int headSchemaVersion = 1;
/// Number of the last changes that the head names, so that a writer can find its own.
inline constexpr std::size_t maxHeadChanges = 64;
/// Groups that accounts are divided into, with their keys and limits.
inline constexpr std::size_t accountGroupCount = 256;
/// Groups that routes are divided into.
inline constexpr std::size_t routeGroupCount = 16;
/// Largest number of groups that a head may name; more means that the text is not a head.
inline constexpr std::size_t maxHeadGroups = 1024;

/** An accepted change. */
struct AppliedChange
{
    core::ChangeId id;
    core::Revision revision; ///< The revision that it made.

    bool operator==(const AppliedChange &) const = default;
};

/** What is accepted: the digest of every group that has records. */
struct Head
{
    core::Revision revision; ///< 0 if nothing was ever accepted.
    GroupDigests groups;
    std::vector<AppliedChange> changes; ///< The last ones, oldest first.

    bool operator==(const Head &) const = default;
};

/** A revision with the digest of its head, to tell apart two heads with the same revision. */
struct HeadId
{
    core::Revision revision;
    std::string digest; ///< SHA-256 of the head's text; empty if not known.

    bool operator==(const HeadId &) const = default;
};

/** A head or group in the store or from a peer cannot be used. */
class UnreadableConfig : public core::Error
{
public:
    /** @param what Which text it is and what is wrong. */
    explicit UnreadableConfig(const std::string &what)
        : Error("unreadable_configuration", what)
    { }
};

} // namespace teaselreach::config
