/** @file peer_directory.cpp Control endpoints of the daemons in the VM list. */
#include "daemon/peer_directory_base.h"

#include <mutex>

namespace teaselreach::daemon {

void PeerDirectory::onVmList(const core::VmList &list)
{
    std::map<core::VmId, rpc::Endpoint> endpoints;
    for (const core::EntryVm &vm : list.entryVms)
        endpoints.emplace(vm.id, rpc::Endpoint {vm.address, vm.controlPort});
    const std::unique_lock lock(mutex_);
    endpoints_ = std::move(endpoints);
}

std::optional<rpc::Endpoint> PeerDirectory::endpointOf(const core::VmId &vm) const
{
    const std::shared_lock lock(mutex_);
    const auto found = endpoints_.find(vm);
    if (found == endpoints_.end())
        return std::nullopt;
    return found->second;
}

} // namespace teaselreach::daemon
