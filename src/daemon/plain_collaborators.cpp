/** @file plain_collaborators.cpp Collaborators without limits, queue or outlier ejection. */
#include "core/digest_func.h"
#include "daemon/plain_collaborators_base.h"

#include <algorithm>

namespace teaselreach::daemon {

namespace {

constexpr double retriesPerRequest = 0.1;
constexpr double retriesPerSecond = 1;
constexpr double maxRetryTokens = 10;

} // namespace

void RoundRobinChooser::applyVmList(const core::VmList &vms)
{
    std::unordered_map<core::ServiceId, std::vector<Entry>, core::StrongHash> listed;
    for (const core::UpstreamVm &vm : vms.upstreams) {
        if (vm.state != core::VmState::Live)
            continue;
        listed[vm.service].push_back({.upstream = {.id = vm.id, .target = {vm.address, vm.port}}});
    }
    for (Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex);
        for (auto &[id, service] : shard.services) {
            if (!listed.contains(id))
                service.entries.clear();
        }
    }
    for (auto &[id, entries] : listed) {
        Shard &shard = shardOf(id);
        const std::lock_guard lock(shard.mutex);
        Service &service = shard.services[id];
        for (Entry &entry : entries) {
            entry.draining = std::any_of(
                service.entries.begin(), service.entries.end(), [&entry](const Entry &before) {
                    return before.draining && before.upstream.id == entry.upstream.id;
                });
        }
        service.entries = std::move(entries);
    }
}

std::optional<ChosenUpstream> RoundRobinChooser::choose(const UpstreamQuery &query, core::MonoTime)
{
    Shard &shard = shardOf(query.service);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.services.find(query.service);
    if (found == shard.services.end())
        return std::nullopt;
    Service &service = found->second;
    for (std::size_t i = 0; i < service.entries.size(); ++i) {
        const Entry &entry = service.entries[service.next++ % service.entries.size()];
        const bool tried = std::find(query.tried.begin(), query.tried.end(), entry.upstream.id)
            != query.tried.end();
        if (entry.draining || tried)
            continue;
        service.retryTokens = std::min(maxRetryTokens, service.retryTokens + retriesPerRequest);
        return entry.upstream;
    }
    return std::nullopt;
}

void RoundRobinChooser::report(const AttemptReport &attempt)
{
    if (!attempt.draining)
        return;
    Shard &shard = shardOf(attempt.service);
    const std::lock_guard lock(shard.mutex);
    for (Entry &entry : shard.services[attempt.service].entries) {
        if (entry.upstream.id == attempt.upstream)
            entry.draining = true;
    }
}

bool RoundRobinChooser::mayRetry(const core::ServiceId &service, core::MonoTime now)
{
    Shard &shard = shardOf(service);
    const std::lock_guard lock(shard.mutex);
    Service &state = shard.services[service];
    refillRetries(state, now);
    if (state.retryTokens < 1)
        return false;
    state.retryTokens -= 1;
    return true;
}

RoundRobinChooser::Shard &RoundRobinChooser::shardOf(const core::ServiceId &service)
{
    return shards_[core::stableHash(service.str()) % shardCount];
}

void RoundRobinChooser::refillRetries(Service &service, core::MonoTime now)
{
    const std::chrono::duration<double> passed = now - service.refilledAt;
    service.refilledAt = now;
    service.retryTokens =
        std::min(maxRetryTokens, service.retryTokens + passed.count() * retriesPerSecond);
}

} // namespace teaselreach::daemon
