/** @file plain_collaborators_base.h Collaborators without limits, queue or outlier ejection. */
#pragma once

#include "core/vm_type.h"
#include "daemon/collaborator_type.h"

#include <array>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace teaselreach::daemon {

/** Admits every request. */
class AdmitAll
{
public:
    /** @return Admitted. */
    AdmissionVerdict admit(const record::ClientAccount &, const record::Limit *, core::MonoTime)
    {
        return AdmissionVerdict::Admitted;
    }
};

/** Grants every request a slot at once. */
class OpenGate
{
public:
    /** @return Granted. */
    GateVerdict enter(const GateRequest &) { return GateVerdict::Granted; }
    /** Does nothing. */
    void leave(const core::ServiceId &) { }
};

/** Takes the listed live upstreams of a service in turn; upstreams that report draining are left
 * out until they are no longer listed. */
class RoundRobinChooser
{
public:
    /** @param vms The list of VMs as last read. */
    void applyVmList(const core::VmList &vms);

    /** @return The next upstream that is live, not draining and not tried yet. */
    std::optional<ChosenUpstream> choose(const UpstreamQuery &query, core::MonoTime now);
    /** Notes that an upstream drains. */
    void report(const AttemptReport &attempt);
    /** @return Whether a retry is within 10% of requests plus one a second. */
    bool mayRetry(const core::ServiceId &service, core::MonoTime now);

private:
    struct Entry
    {
        ChosenUpstream upstream;
        bool draining = false;
    };

    struct Service
    {
        std::vector<Entry> entries;
        std::size_t next = 0;
        double retryTokens = 0;
        core::MonoTime refilledAt;
    };

    /** Services whose ids hash to this shard. */
    struct Shard
    {
        std::mutex mutex;
        std::unordered_map<core::ServiceId, Service, core::StrongHash> services;
    };

    static constexpr std::size_t shardCount = 16;

    Shard &shardOf(const core::ServiceId &service);
    static void refillRetries(Service &service, core::MonoTime now);

    std::array<Shard, shardCount> shards_;
};

static_assert(Admission<AdmitAll>);
static_assert(DispatchGate<OpenGate>);
static_assert(UpstreamChooser<RoundRobinChooser>);

} // namespace teaselreach::daemon
