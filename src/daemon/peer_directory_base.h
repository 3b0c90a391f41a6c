/** @file peer_directory_base.h Control endpoints of the daemons in the VM list. */
#pragma once

#include "core/vm_type.h"
#include "rpc/rpc_type.h"

#include <map>
#include <optional>
#include <shared_mutex>

namespace teaselreach::daemon {

/** Maps VM ids to control endpoints. May be used by several threads. */
class PeerDirectory
{
public:
    /** Replaces all endpoints by those of a VM list. */
    void onVmList(const core::VmList &list);
    /** @return The endpoint of a VM, or nothing if it is not listed. */
    std::optional<rpc::Endpoint> endpointOf(const core::VmId &vm) const;

private:
    mutable std::shared_mutex mutex_;
    std::map<core::VmId, rpc::Endpoint> endpoints_;
};

} // namespace teaselreach::daemon
