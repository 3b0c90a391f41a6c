/** @file update_func.h How a daemon brings its configuration up to date. */
#pragma once

#include "config/accept_func.h"
#include "config/fetch_func.h"
#include "rpc/rpc_type.h"

#include <nlohmann/json.hpp>

namespace teaselreach::config {

/**
 * Reads the head from the store and, if it is newer, the groups that are missing.
 * @param access Calls a function with the ConfigState, under the daemon's lock; never held during
 *     a call to the store.
 * @param store The key-value service.
 * @param pace Called before each read of a group; waits SpreadPolicy::storeReadInterval().
 * @return What became of the head.
 * @throws store::StoreUnavailable
 */
template <typename Access, store::KeyValueStore Store, typename Throttle>
ApplyOutcome updateFromStore(const Access &access, Store &store, const Throttle &throttle)
{
    const auto stored = store.get(headKey);
    // A fleet with a configuration in front of an empty store must notice that the store is behind.
    const std::string text = stored ? stored->value : headToText({});
    GroupDigests needed;
    const auto offer = [&](ConfigState &state) {
        const HeadComparison comparison = state.observeHead(text, UpdateSource::Store);
        if (comparison == HeadComparison::Newer)
            needed = state.missingGroups(headFromText(text));
        return comparison;
    };
    const HeadComparison comparison = access(offer);
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
 * Fetches the head of a peer and, if it is newer, the groups that are missing, in bounded parts.
 * @param access See updateFromStore().
 * @param transport Calls daemons.
 * @param peer The peer that reported a higher revision.
 * @param timeout For each call.
 * @return What became of the head.
 * @throws rpc::RpcUnanswered, rpc::RpcRefused, UnreadableConfig
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
        // The peer has moved on; the next exchange starts with its newer head.
        if (values.empty())
            return result.outcome;
    }
}

} // namespace teaselreach::config
