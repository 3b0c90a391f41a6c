/** @file member_table_base.h Gossip membership table of a daemon. */
#pragma once

#include "core/clock_type.h"
#include "member/member_type.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <vector>

namespace teaselreach::member {

/** What this daemon knows about one other VM. */
struct MemberView
{
    std::optional<MemberEntry> newest;            ///< Newest entry from any VM.
    std::optional<core::MonoTime> lastHeardAt;    ///< Last message from the VM itself.
    std::optional<core::MonoTime> lastAckedAt;    ///< Last proof that it receives our messages.
    std::optional<core::MonoTime> lastReportedAt; ///< Last newer entry from another VM.
};

/**
 * Holds one view for each other VM of the VM list, so its size is limited by the list. Tables of
 * different VMs may disagree; no safety property depends on their agreement.
 */
class MemberTable
{
public:
    /**
     * @param self This VM.
     * @param incarnation Should be higher than in earlier daemon processes of this VM; if it is
     *     not, receive() raises it.
     */
    MemberTable(core::VmId self, core::Incarnation incarnation);

    /** Sets the listed VMs. Others are removed, and entries about unlisted VMs are ignored. */
    void setVmList(const std::vector<core::EntryVm> &vms);
    /** Sets the state and the active revision that this VM announces. */
    void setOwnState(core::VmState state, core::Revision revision);
    /** Begins an exchange round: increments this VM's counter. */
    void beginRound();

    /**
     * Makes a message with at most maxEntries entries. Successive messages rotate through the VMs.
     * @param receiver Its own entry comes first, if known, so that it can tell whether its messages
     *     arrive at this VM.
     */
    MemberMessage makeMessage(const core::VmId &receiver);
    /**
     * Merges a message received directly from its sender; ignored if the sender is not listed.
     * @param message A message whose limits have been checked.
     * @param now Time of arrival.
     */
    void receive(const MemberMessage &message, core::MonoTime now);

    /** @return The view of a VM, empty if the VM is not listed. */
    MemberView viewOf(const core::VmId &vm) const;
    /**
     * @return Whether, within the given time, a message from the VM and proof that it receives our
     *     messages arrived.
     */
    bool hasTwoWayContact(const core::VmId &vm, core::MonoTime now, core::Micros within) const;
    /**
     * @return VMs known to have a higher revision, ordered by the time of their last direct
     *     message, latest first.
     */
    std::vector<core::VmId> vmsWithHigherRevision(core::Revision revision) const;
    /** @return The entry that this VM announces about itself. */
    const MemberEntry &ownEntry() const { return ownEntry_; }

private:
    /** Merges an entry about another VM if it is newer than the known one. */
    void mergeEntry(const MemberEntry &entry, core::MonoTime now);
    /** Evaluates a sender's entry about this VM: a higher incarnation, or an acknowledgement. */
    void mergeOwnEntry(const MemberEntry &entry, const core::VmId &sender, core::MonoTime now);

    /// An entry about this VM counts as an acknowledgement if its counter is at most this many
    /// rounds behind.
    static constexpr std::uint64_t maxCounterLag = 10;

    MemberEntry ownEntry_;
    std::map<core::VmId, MemberView> vms_;
    core::VmId lastRotatedVm_; ///< The last VM visited in rotation by makeMessage().
};

/** Encodes a message. Entries are arrays without names to keep the message small. */
nlohmann::json toJson(const MemberMessage &message);
/** Decodes a message. @throws MalformedMessage if malformed or with too many entries. */
MemberMessage memberMessageFromJson(const nlohmann::json &json);

} // namespace teaselreach::member
