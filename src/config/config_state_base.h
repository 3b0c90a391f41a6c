/** @file config_state_base.h The configuration that a daemon uses and serves to its peers. */
#pragma once

#include "config/config_snapshot_base.h"
#include "config/head_func.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace teaselreach::config {

/** Where a head was read from. */
enum class UpdateSource : std::uint8_t { Store, Peer };

/** Result of comparing a head with the active one. */
enum class HeadComparison : std::uint8_t {
    Active,     ///< It is the active head.
    Newer,      ///< Higher revision; its groups should be fetched.
    Older,      ///< Lower revision; ignored.
    Diverged,   ///< Same revision with different content; ignored.
    Unreadable, ///< Malformed; ignored.
};

/** Result of an attempt to apply a head. */
enum class ApplyOutcome : std::uint8_t {
    Applied,
    NotNewer,     ///< The active revision is at least as high.
    GroupsNeeded, ///< Groups are missing or do not match their digests; matching ones are staged.
    Unreadable,   ///< The head is malformed.
};

/** Result of ConfigState::apply(). */
struct ApplyResult
{
    ApplyOutcome outcome = ApplyOutcome::NotNewer;
    GroupDigests needed;                  ///< Groups still to be fetched.
    std::vector<RejectedRecord> rejected; ///< As rejectedRecords(); only set if applied.
};

/**
 * Holds the active revision and replaces it by higher ones only. Not thread-safe: the daemon calls
 * it under a lock and shares snapshot(), which is immutable, between threads.
 */
class ConfigState
{
public:
    /**
     * Compares a head with the active one. If it was read from the store and is well-formed,
     * updates storeBehind().
     * @param headText The head as received.
     * @param source Where it was read from.
     */
    HeadComparison observeHead(const std::string &headText, UpdateSource source);

    /**
     * Activates a revision if it is higher than the active one and the values of all its groups are
     * available. If some are missing, the matching ones are staged for the next call.
     * @param headText The head of the revision.
     * @param values Fetched group values; values that the head does not name or whose digest does
     *     not match are ignored.
     */
    ApplyResult apply(const std::string &headText, const GroupValues &values);

    /** @return The groups of a head that are neither active nor staged by an earlier apply(). */
    GroupDigests missingGroups(const Head &head) const;

    /** @return The active configuration, or nullptr if there is none yet. */
    std::shared_ptr<const ConfigSnapshot> snapshot() const { return snapshot_; }
    /** @return Revision and digest of the active head; revision 0 if there is none yet. */
    HeadId activeHead() const { return activeHead_; }
    /** @return The text of the active head, empty if there is none yet. */
    const std::string &headText() const { return headText_; }
    /**
     * @return Whether the head last read from the store was older than the active one or diverged
     *     from it.
     */
    bool storeBehind() const { return storeBehind_; }
    /**
     * @return Records of the active revision that cannot be parsed. Their previous versions, if
     * any, stay active.
     */
    std::vector<RejectedRecord> rejectedRecords() const;

    /**
     * Collects group values for a peer.
     * @param wanted Names and digests of the requested groups.
     * @param maxBytes Limit on the sum of the value sizes. The first matching value is returned
     *     even if it is larger.
     * @return The active values whose digests match.
     */
    GroupValues valuesFor(const GroupDigests &wanted, std::size_t maxBytes) const;

private:
    /** A group of the active revision. */
    struct Group
    {
        std::string digest;
        std::string value;
        std::vector<RejectedRecord> rejected;
    };

    /** Stages the values that match a head and drops staged values that it does not name. */
    void stageMatchingGroups(const Head &head, const GroupValues &values);
    /** Replaces the active revision; all groups of the head must be active or staged. */
    void activate(const std::string &headText, const Head &head);
    /** Copies the active version of a record that cannot be parsed in its new version. */
    void keepPreviousRecord(const RejectedRecord &rejected, record::RecordSet &records) const;

    std::shared_ptr<const ConfigSnapshot> snapshot_;
    HeadId activeHead_;
    std::string headText_;
    std::map<std::string, Group> groups_;
    std::map<std::string, std::string> staged_; ///< Values of a newer head, by digest.
    bool storeBehind_ = false;
};

} // namespace teaselreach::config
