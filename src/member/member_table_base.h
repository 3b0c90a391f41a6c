/** @file member_table_base.h What a daemon knows of other VMs: directly, in reverse, second-hand.
 */
#pragma once

#include "core/clock_type.h"
#include "member/member_type.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <vector>

namespace teaselreach::member {

/** What is known of one VM. */
struct MemberView
{
    std::optional<MemberEntry> newest;            ///< Direct or second-hand, whichever is newer.
    std::optional<core::MonoTime> lastHeardAt;    ///< When this VM last heard it directly.
    std::optional<core::MonoTime> lastAckedAt;    ///< When it was last known that it hears this VM.
    std::optional<core::MonoTime> lastReportedAt; ///< When others last reported news of it.
};

/**
 * Holds one entry for each VM of the list, so its size is bounded by the list. No safety rule
 * depends on agreement between tables.
 */
class MemberTable
{
public:
    /**
     * @param self This VM.
     * @param incarnation Higher than that of the VM's earlier daemons, if possible.
     */
    MemberTable(core::VmId self, core::Incarnation incarnation);

    /** Forgets VMs that are not listed; only listed VMs are learnt of. */
    void setVmList(const std::vector<core::EntryVm> &vms);
    /** Sets what this VM says of itself. */
    void setOwnState(core::VmState state, core::Revision revision);
    /** Begins a round: raises the own counter. */
    void beginRound();

    /**
     * @param receiver Its own entry is included if known, so that it learns whether it is heard.
     * @return A message with at most maxEntries entries, others in rotation.
     */
    MemberMessage makeMessage(const core::VmId &receiver);
    /**
     * Takes over a message that came directly from its sender.
     * @param message Already checked for its bounds.
     * @param now Time of arrival.
     */
    void receive(const MemberMessage &message, core::MonoTime now);

    /** @return What is known of a VM. */
    MemberView viewOf(const core::VmId &vm) const;
    /** @return Whether both directions were confirmed within a time. */
    bool hasTwoWayContact(const core::VmId &vm, core::MonoTime now, core::Micros within) const;
    /** @return VMs known to have a higher revision, those heard directly last first. */
    std::vector<core::VmId> vmsWithHigherRevision(core::Revision revision) const;
    /** @return What this VM says of itself. */
    const MemberEntry &ownEntry() const { return ownEntry_; }

private:
    void mergeEntry(const MemberEntry &entry, core::MonoTime now);
    void mergeOwnEntry(const MemberEntry &entry, const core::VmId &sender, core::MonoTime now);

    /// How many rounds may lie between an own counter and a report that it was heard.
    static constexpr std::uint64_t maxCounterLag = 10;

    MemberEntry ownEntry_;
    std::map<core::VmId, MemberView> vms_;
    core::VmId lastRotatedVm_; ///< The last VM that was included in rotation.
};

/** @return The JSON form; entries are arrays, since their number decides the message's size. */
nlohmann::json toJson(const MemberMessage &message);
/** @return The message. @throws MalformedMessage also if it has too many entries. */
MemberMessage memberMessageFromJson(const nlohmann::json &json);

} // namespace teaselreach::member
