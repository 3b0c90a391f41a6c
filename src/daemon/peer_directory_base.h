/** @file peer_directory_base.h Where the other daemons take calls, from the VM list. */
#pragma once

#include "core/vm_type.h"
#include "rpc/rpc_type.h"

#include <map>
#include <optional>
#include <shared_mutex>

namespace teaselreach::daemon {

/** Endpoints by VM id. May be used by several threads. */
class PeerDirectory
{
public:
    /** Takes over a list. */
    void onVmList(const core::VmList &list);
    /** @return The endpoint of a listed VM, or nothing. */
    std::optional<rpc::Endpoint> endpointOf(const core::VmId &vm) const;

private:
    mutable std::shared_mutex mutex_;
    std::map<core::VmId, rpc::Endpoint> endpoints_;
};

} // namespace teaselreach::daemon
