/** @file update_func.h Updates a daemon's configuration from the store or from a peer. */
#pragma once

#include "config/accept_func.h"
#include "config/fetch_func.h"
#include "rpc/rpc_type.h"

#include <nlohmann/json.hpp>

namespace teaselreach::config {

/**
 * Reads the head from the store and, if it is newer than the active one, the missing groups.
 * @param access Calls a function with the ConfigState while holding the daemon's lock. The lock is
 *     not held during calls to the store.
 * @param store The key-value service.
 * @param throttle Called before each read of a group; waits SpreadPolicy::storeReadInterval().
 * @return The result of applying the head.
 * @throws store::StoreUnavailable
 */
template <typename Access, store::KeyValueStore Store, typename Throttle>
ApplyOutcome updateFromStore(const Access &access, Store &store, const Throttle &throttle)
{
    const auto stored = store.get(headKey);
    // An empty store counts as revision 0, so that a daemon with a configuration detects that the
    // store is behind.
    const std::string text = stored ? stored->value : headToText({});
    GroupDigests needed;
    const auto compareHead = [&](ConfigState &state) {
        const HeadComparison comparison = state.observeHead(text, UpdateSource::Store);
        if (comparison == HeadComparison::Newer)
            needed = state.missingGroups(headFromText(text));
        return comparison;
    };
    const HeadComparison comparison = access(compareHead);
    if (comparison != HeadComparison::Newer)
        return comparison == HeadComparison::Unreadable ? ApplyOutcome::Unreadable
                                                        : ApplyOutcome::NotNewer;
    GroupValues values;
    for (const auto &[name, digest] : needed) {
        throttle();
        if (auto value = store.get(groupKey(name, digest)))
            values[name] = std::move(value->value);
    }
    return access([&](ConfigState &state) { return state.apply(text, values).outcome; });
}

/**
 * Fetches a peer's head and, if it is newer than the active one, the missing groups, in answers of
 * limited size (maxFetchBytes).
 * @param access See updateFromStore().
 * @param transport RPC transport to daemons.
 * @param peer The peer that reported a higher revision.
 * @param timeout Timeout of each call.
 * @return The result of applying the head; GroupsNeeded if the peer no longer has its groups.
 * @throws rpc::RpcNoResponse, rpc::RpcErrorResponse, UnreadableConfig
 */
template <typename Access, rpc::Transport Transport>
ApplyOutcome updateFromPeer(const Access &access, Transport &transport, const rpc::Endpoint &peer,
                            core::Millis timeout)
{
    const auto fetch = [&](const FetchRequest &request) {
        return fetchAnswerFromJson(transport.call(peer, "config.fetch", toJson(request), timeout));
    };
    const std::string text = fetch({}).headText;
    GroupValues values;
    while (true) {
        const ApplyResult result =
            access([&](ConfigState &state) { return state.apply(text, values); });
        if (result.outcome != ApplyOutcome::GroupsNeeded)
            return result.outcome;
        values = fetch({.wantHead = false, .wanted = result.needed}).values;
        // The peer has activated a newer revision; the next exchange fetches that head.
        if (values.empty())
            return result.outcome;
    }
}

} // namespace teaselreach::config
