/** @file vm_type.h The platform's list of VMs. */
#pragma once

#include "core/id_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselreach::core {

/** Whether the platform keeps a VM or is about to remove it. */
enum class VmState : std::uint8_t { Live, Leaving };

/** One of the fleet's entry VMs. */
struct EntryVm
{
    VmId id;
    std::string address; ///< IP address.
    Location location;
    VmState state = VmState::Live;
    std::uint16_t callerPort = 0;
    std::uint16_t controlPort = 0;

    bool operator==(const EntryVm &) const = default;
};

/** One instance of a service. */
struct UpstreamVm
{
    UpstreamId id;
    ServiceId service;
    std::string address; ///< IP address.
    Location location;
    VmState state = VmState::Live;
    std::uint16_t port = 0;

    bool operator==(const UpstreamVm &) const = default;
};

/** The platform's list as last read; it lags behind the actual state. */
struct VmList
{
    std::vector<EntryVm> entryVms;
    std::vector<UpstreamVm> upstreams;

    bool operator==(const VmList &) const = default;
};

} // namespace teaselreach::core
