/** @file fleet_func.h Calls to the daemons of the VM list. */
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

/// Upper bound on concurrent calls to daemons.
inline constexpr std::size_t maxParallelCalls = 16;

/** A daemon's answer to a call, or why the call failed. */
struct FleetAnswer
{
    core::EntryVm vm;
    std::optional<nlohmann::json> result;
    std::string failure; ///< Empty if there is a result.
};

/**
 * Calls `task` once for each index below `count`, from at most maxParallelCalls threads, and waits
 * until all calls have returned.
 */
void runParallel(std::size_t count, const std::function<void(std::size_t)> &task);

/** @return The control endpoint of the daemon on a VM. */
inline rpc::Endpoint endpointOf(const core::EntryVm &vm)
{
    return {vm.address, vm.controlPort};
}

/**
 * Calls one method on the daemon of every listed VM. Failed calls are reported in the answers.
 * @param transport Must be thread-safe.
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

/** A daemon's status, or why it is not known. */
struct VmStatus
{
    core::EntryVm vm;
    std::optional<config::FleetStatus> status;
    std::string failure; ///< Empty if there is a status.
};

/** @return The status from each answer to `fleet.status`. */
std::vector<VmStatus> parseStatuses(const std::vector<FleetAnswer> &answers);

/** @return The head with the highest revision in force; revision 0 if no status is known. */
config::HeadId highestHead(const std::vector<VmStatus> &statuses);

/** @return The live VMs that do not report this revision or a later one, or do not answer. */
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
 * @return The head with the highest revision in force in the fleet; revision 0 if the VM list is
 *     empty.
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
 * Polls until a revision is in force on every live VM. Each poll reads the VM list again.
 * @return The VMs that have not confirmed the revision at the timeout; empty if all have.
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
 * Fetches a daemon's whole configuration, in several calls because the daemon bounds the size of
 * each answer.
 * @return The text of the head and the values of all its groups.
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
            throw config::UnreadableConfig("the daemon changed its revision during the fetch");
        for (auto &[name, value] : part.values) {
            needed.erase(name);
            all.values[name] = std::move(value);
        }
    }
    return all;
}

} // namespace teaselreach::tool
