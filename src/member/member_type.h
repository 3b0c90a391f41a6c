/** @file member_type.h What daemons tell each other about VMs. */
#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"
#include "core/id_type.h"
#include "core/vm_type.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace teaselreach::member {

/// Entries about other VMs in one message.
inline constexpr std::size_t maxEntries = 32;

/** Number of exchange rounds that a daemon process has begun. */
using RoundCounter = core::StrongInt<struct RoundCounterTag, std::uint64_t>;

/** What is said of one VM. */
struct MemberEntry
{
    core::VmId vm;
    core::Incarnation incarnation; ///< Higher after each start of the daemon.
    RoundCounter counter;          ///< Higher after each round.
    core::VmState state = core::VmState::Live;
    core::Revision revision;    ///< Of the configuration in force.
    bool heardDirectly = false; ///< The sender has this from the VM itself.

    bool operator==(const MemberEntry &) const = default;
};

/** The part of `peer.exchange` that concerns membership and configuration. */
struct MemberMessage
{
    MemberEntry sender;
    std::vector<MemberEntry> entries;
    std::optional<core::Millis> storeAge; ///< See SpreadPolicy::storeAge().
};

/** A message that a daemon cannot accept. */
class MalformedMessage : public core::Error
{
public:
    /** @param what The member that is missing or wrong. */
    explicit MalformedMessage(const std::string &what)
        : Error("malformed_message", what)
    { }
};

} // namespace teaselreach::member
