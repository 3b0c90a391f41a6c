/** @file fleet.cpp Calls to the daemons of the VM list. */
#include "tool/fleet_func.h"

namespace teaselreach::tool {

void runParallel(std::size_t count, const std::function<void(std::size_t)> &task)
{
    std::atomic<std::size_t> next {0};
    const auto work = [&] {
        for (std::size_t i = next++; i < count; i = next++)
            task(i);
    };
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < std::min(count, maxParallelCalls); ++i)
        threads.emplace_back(work);
}

std::vector<VmStatus> parseStatuses(const std::vector<FleetAnswer> &answers)
{
    std::vector<VmStatus> statuses;
    for (const FleetAnswer &answer : answers) {
        VmStatus status {answer.vm, std::nullopt, answer.failure};
        try {
            if (answer.result)
                status.status = config::fleetStatusFromJson(*answer.result);
        } catch (const config::UnreadableConfig &error) {
            status.failure = error.what();
        }
        statuses.push_back(std::move(status));
    }
    return statuses;
}

config::HeadId highestHead(const std::vector<VmStatus> &statuses)
{
    config::HeadId highest;
    for (const VmStatus &vmStatus : statuses) {
        if (vmStatus.status && vmStatus.status->activeHead.revision > highest.revision)
            highest = vmStatus.status->activeHead;
    }
    return highest;
}

std::vector<core::VmId> unconfirmedVms(const std::vector<VmStatus> &statuses,
                                       core::Revision revision)
{
    std::vector<core::VmId> missing;
    for (const VmStatus &vmStatus : statuses) {
        const bool confirmed = vmStatus.status && vmStatus.status->activeHead.revision >= revision;
        if (!confirmed && vmStatus.vm.state == core::VmState::Live)
            missing.push_back(vmStatus.vm.id);
    }
    return missing;
}

} // namespace teaselreach::tool
