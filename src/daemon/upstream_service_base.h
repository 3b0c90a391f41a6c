/** @file upstream_service_base.h Load balancing and outlier ejection for all services. */
#pragma once

#include "config/config_snapshot_base.h"
#include "core/ticker_base.h"
#include "core/vm_type.h"
#include "daemon/collaborator_type.h"
#include "upstream/service_state_base.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>
#include <vector>

namespace teaselreach::daemon {

/** Identity of the VM, sent with its evidence. */
struct UpstreamServiceOptions
{
    core::VmId self;
    core::Location location;
    core::Incarnation incarnation;
};

/** Total slots of a service's upstreams in use. */
struct ServiceSlots
{
    core::ServiceId service;
    int slots = 0;
};

/**
 * Holds one ServiceState for each service, each with its own lock, and a thread that calls tick().
 * Models UpstreamChooser.
 */
class UpstreamService
{
public:
    /** @param options Identity of the VM. */
    explicit UpstreamService(UpstreamServiceOptions options);
    ~UpstreamService();
    UpstreamService(const UpstreamService &) = delete;
    UpstreamService &operator=(const UpstreamService &) = delete;

    /** Chooses an upstream and records the start of an attempt. */
    std::optional<ChosenUpstream> choose(const UpstreamQuery &query, core::MonoTime now);
    /** Records the result of an attempt. */
    void report(const AttemptReport &attempt);
    /** @return Whether to retry; if so, the retry has been taken from the retry budget. */
    bool tryTakeRetry(const RetryQuery &query, core::MonoTime now);

    /** Chooses an upstream for a hedge, takes a retry for it from the retry budget and records the
     * start of an attempt, or returns why there is no hedge. */
    HedgeDecision chooseHedge(const HedgeQuery &query, core::MonoTime now);

    /** Adds, updates and removes services as the configuration says. */
    void onConfig(const config::ConfigSnapshot &snapshot);
    /** Applies a VM list. */
    void onVmList(const core::VmList &list);

    /** Takes the digests for one message to a peer. @param limit Maximum number of digests. */
    std::vector<upstream::EvidenceDigest> takeDigests(std::size_t limit);
    /** @return Whether digests should be pushed to peers now. */
    bool hasUrgentDigests() const;
    /** Applies a peer's digest; ignores it if the service is unknown. */
    void receiveDigest(const upstream::EvidenceDigest &digest);

    /** @param only Restricts the result to one upstream. @return The state of the upstreams. */
    std::vector<std::pair<core::ServiceId, upstream::Explanation>>
    explain(const std::optional<core::UpstreamId> &only) const;
    /** @return The total slots of each service's upstreams in use. */
    std::vector<ServiceSlots> slotsInUse() const;

private:
    struct Service
    {
        mutable std::mutex mutex;
        record::Service record;
        upstream::ServiceState state;
        upstream::Random random;

        Service(const record::Service &service, upstream::ServiceOptions options,
                std::uint64_t seed)
            : record(service)
            , state(std::move(options))
            , random(seed)
        { }
    };
    using Services = std::map<core::ServiceId, std::shared_ptr<Service>>;

    std::shared_ptr<Service> findService(const core::ServiceId &id) const;
    Services currentServices() const;
    std::shared_ptr<Service> makeService(const record::Service &record) const;
    static ChosenUpstream start(Service &service, const upstream::Choice &choice,
                                core::MonoTime now);
    void tickAll();
    static void logEvents(const core::ServiceId &id, Service &service);

    UpstreamServiceOptions options_;
    mutable std::shared_mutex mutex_;
    Services services_;
    core::VmList lastVmList_;
    core::Ticker ticker_; // Destroyed first: it uses the members above.
};

static_assert(UpstreamChooser<UpstreamService>);

} // namespace teaselreach::daemon
