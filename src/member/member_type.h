/** @file member_type.h Membership information that daemons exchange about VMs. */
#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"
#include "core/id_type.h"
#include "core/vm_type.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace teaselreach::member {

/// Limit on the number of entries about other VMs in one message.
inline constexpr std::size_t maxEntries = 32;

/** Heartbeat counter: the number of exchange rounds that a daemon process has begun. */
using RoundCounter = core::StrongInt<struct RoundCounterTag, std::uint64_t>;

/** State of one VM as its daemon last announced it. */
struct MemberEntry
{
    core::VmId vm;
    core::Incarnation incarnation; ///< Increases with each start of the daemon.
    RoundCounter counter;          ///< Increases with each exchange round.
    core::VmState state = core::VmState::Live;
    core::Revision revision;    ///< Of the active configuration.
    bool heardDirectly = false; ///< The sender has received a message from the VM itself.

    bool operator==(const MemberEntry &) const = default;
};

/** The membership and configuration part of a `peer.exchange` message. */
struct MemberMessage
{
    MemberEntry sender;
    std::vector<MemberEntry> entries;     ///< Other VMs, at most maxEntries.
    std::optional<core::Millis> storeAge; ///< See SpreadPolicy::storeAge().
};

/** A message from a peer that cannot be parsed or exceeds a limit. */
class MalformedMessage : public core::Error
{
public:
    /** @param what Which part of the message is wrong and why. */
    explicit MalformedMessage(const std::string &what)
        : Error("malformed_message", what)
    { }
};

} // namespace teaselreach::member
