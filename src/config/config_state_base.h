/** @file config_state_base.h The configuration that a daemon holds and serves to its peers. */
#pragma once

#include "config/config_snapshot_base.h"
#include "config/head_func.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace teaselreach::config {

/** Where a head came from. */
enum class UpdateSource : std::uint8_t { Store, Peer };

/** What a head means to a daemon. */
enum class HeadComparison : std::uint8_t {
    Active,     ///< It is the one in force.
    Newer,      ///< Its groups should be fetched.
    Older,      ///< It is ignored.
    Diverged,   ///< The same revision with another content; it is ignored.
    Unreadable, ///< It is ignored.
};

/** What became of an update. */
enum class ApplyOutcome : std::uint8_t {
    Applied,
    NotNewer,     ///< The revision in force is at least as high.
    GroupsNeeded, ///< Groups are missing or did not match their digests; what matched is kept.
    Unreadable,   ///< The head cannot be read.
};

/** Result of ConfigState::apply(). */
struct ApplyResult
{
    ApplyOutcome outcome = ApplyOutcome::NotNewer;
    GroupDigests needed;                  ///< Still to be fetched, with the digests wanted.
    std::vector<RejectedRecord> rejected; ///< Records of changed groups kept in their last form.
};

/**
 * Holds one revision and moves only to higher ones. Not thread-safe: the daemon calls it under a
 * lock and hands out snapshot(), which is immutable.
 */
class ConfigState
{
public:
    /**
     * Judges a head and, if it came from the store, notes whether the store is behind.
     * @param headText The head as received.
     * @param source Where it came from.
     * @return What it means.
     */
    HeadComparison observeHead(const std::string &headText, UpdateSource source);

    /**
     * Puts a revision in force if it is higher than the present one and all groups match their
     * digests. Groups that match are kept for the next call if others are missing.
     * @param headText The head.
     * @param values Group values that were fetched; those not needed are ignored.
     */
    ApplyResult apply(const std::string &headText, const GroupValues &values);

    /** @return The groups of a head that are neither in force nor kept from an earlier apply(). */
    GroupDigests missingGroups(const Head &head) const;

    /** @return The configuration in force, or nullptr before the first. */
    std::shared_ptr<const ConfigSnapshot> snapshot() const { return snapshot_; }
    /** @return Revision and digest in force; revision 0 before the first. */
    HeadId activeHead() const { return activeHead_; }
    /** @return The text of the head in force, empty before the first. */
    const std::string &headText() const { return headText_; }
    /** @return Whether the store last showed an older revision, or another form of this one. */
    bool storeBehind() const { return storeBehind_; }
    /** @return Records in force in an older form, since their newest cannot be read. */
    std::vector<RejectedRecord> rejectedRecords() const;

    /**
     * Serves a peer.
     * @param wanted Names and digests of groups.
     * @param maxBytes Bound on the sum of the values; at least one value is returned.
     * @return Those values in force that match the digests wanted.
     */
    GroupValues valuesFor(const GroupDigests &wanted, std::size_t maxBytes) const;

private:
    /** A group in force. */
    struct Group
    {
        std::string digest;
        std::string value;
        std::vector<RejectedRecord> rejected;
    };

    void stageMatchingGroups(const Head &head, const GroupValues &values);
    void activate(const std::string &headText, const Head &head);
    void keepPreviousRecord(const RejectedRecord &rejected, record::RecordSet &records) const;

    std::shared_ptr<const ConfigSnapshot> snapshot_;
    HeadId activeHead_;
    std::string headText_;
    std::map<std::string, Group> groups_;
    std::map<std::string, std::string> staged_; ///< By digest; groups of a newer head.
    bool storeBehind_ = false;
};

} // namespace teaselreach::config
