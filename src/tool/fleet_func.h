/** @file fleet_func.h Questions to the daemons of the VM list. */
#pragma once

#include "config/fetch_func.h"
#include "config/fleet_status_func.h"
#include "core/vm_type.h"
#include "rpc/rpc_type.h"
#include "tool/tool_type.h"
#include "vmlist/vm_list_type.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace teaselreach::tool {

/// Calls to daemons at the same time.
inline constexpr std::size_t maxParallelCalls = 16;

/** A daemon's answer, or why there is none. */
struct FleetAnswer
{
    core::EntryVm vm;
    std::optional<nlohmann::json> result;
    std::string failure; ///< Empty if there is a result.
};

/** Calls a function for 0 to count-1 from several threads. */
void runParallel(std::size_t count, const std::function<void(std::size_t)> &task);

/** @return The endpoint of a daemon. */
inline rpc::Endpoint endpointOf(const core::EntryVm &vm)
{
    return {vm.address, vm.controlPort};
}

/**
 * Calls one method of every daemon of a list.
 * @param transport Used by several threads at a time.
 * @return One answer for each VM, in the order of the list.
 */
template <rpc::Transport Transport>
std::vector<FleetAnswer> callFleet(Transport &transport, const std::vector<core::EntryVm> &vms,
                                   const std::string &method, const nlohmann::json &params,
                                   core::Millis timeout)
{
    std::vector<FleetAnswer> answers(vms.size());
    runParallel(vms.size(), [&](std::size_t i) {
        answers[i].vm = vms[i];
        try {
            answers[i].result = transport.call(endpointOf(vms[i]), method, params, timeout);
        } catch (const core::Error &error) {
            answers[i].failure = error.what();
        }
    });
    return answers;
}

/** A daemon's status, or why there is none. */
struct VmStatus
{
    core::EntryVm vm;
    std::optional<config::FleetStatus> status;
    std::string failure;
};

/** @return The status in each answer of `fleet.status`. */
std::vector<VmStatus> parseStatuses(const std::vector<FleetAnswer> &answers);

/** @return The highest revision among statuses, with revision 0 if there is none. */
config::HeadId highestHead(const std::vector<VmStatus> &statuses);

/** @return The live VMs that do not report at least this revision. */
std::vector<core::VmId> unconfirmedVms(const std::vector<VmStatus> &statuses,
                                       core::Revision revision);

/** @return The status of every daemon of the VM list. */
template <vmlist::VmListSource Source, rpc::Transport Transport>
std::vector<VmStatus> fetchFleetStatus(Source &source, Transport &transport, core::Millis timeout)
{
    return parseStatuses(callFleet(transport, source.read().entryVms, "fleet.status",
                                   nlohmann::json::object(), timeout));
}

/**
 * @return The highest revision in force in the fleet; revision 0 if the VM list is empty.
 * @throws FleetUnreachable if there are daemons but none answered.
 */
template <vmlist::VmListSource Source, rpc::Transport Transport>
config::HeadId fetchFleetHead(Source &source, Transport &transport, core::Millis timeout)
{
    const auto statuses = fetchFleetStatus(source, transport, timeout);
    const bool answered = std::any_of(statuses.begin(), statuses.end(),
                                      [](const VmStatus &s) { return s.status.has_value(); });
    if (!statuses.empty() && !answered)
        throw FleetUnreachable(statuses.size());
    return highestHead(statuses);
}

/**
 * Waits until a revision is in force on every live VM of the list, which is read again each time.
 * @return The VMs that have not confirmed when the time is over; empty if all have.
 */
template <vmlist::VmListSource Source, rpc::Transport Transport>
std::vector<core::VmId> waitUntilInForce(Source &source, Transport &transport,
                                         core::Revision revision, const ToolOptions &options)
{
    constexpr core::Millis pollInterval {200};
    const core::MonoTime end = options.now() + options.waitTimeout;
    while (true) {
        auto missing =
            unconfirmedVms(fetchFleetStatus(source, transport, options.callTimeout), revision);
        if (missing.empty() || options.now() >= end)
            return missing;
        options.pause(pollInterval);
    }
}

/**
 * Fetches a daemon's whole configuration in bounded parts.
 * @return The head's text and all its groups.
 * @throws rpc::RpcNoResponse, rpc::RpcErrorResponse, config::UnreadableConfig
 */
template <rpc::Transport Transport>
config::FetchAnswer fetchConfig(Transport &transport, const rpc::Endpoint &endpoint,
                                core::Millis timeout)
{
    const auto fetch = [&](const config::FetchRequest &request) {
        return config::fetchAnswerFromJson(
            transport.call(endpoint, "config.fetch", config::toJson(request), timeout));
    };
    config::FetchAnswer all = fetch({});
    config::GroupDigests needed = config::headFromText(all.headText).groups;
    while (!needed.empty()) {
        config::FetchAnswer part = fetch({.wantHead = false, .wanted = needed});
        if (part.values.empty())
            throw config::UnreadableConfig("the daemon moved to another revision meanwhile");
        for (auto &[name, value] : part.values) {
            needed.erase(name);
            all.values[name] = std::move(value);
        }
    }
    return all;
}

} // namespace teaselreach::tool
