/** @file upstream_service_base.h Choice and ejection of upstreams as request threads use them. */
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

/** Identity of the VM for its evidence. */
struct UpstreamServiceOptions
{
    core::VmId self;
    core::Location location;
    core::Incarnation incarnation;
};

/** A service's slots over the upstreams that are in use. */
struct ServiceSlots
{
    core::ServiceId service;
    int slots = 0;
};

/**
 * One ServiceState for each service, each under its own lock, with a thread that calls tick().
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
    /** Records the end of an attempt. */
    void report(const AttemptReport &attempt);
    /** Decides on a further attempt and takes it from the retry budget. */
    bool tryTakeRetry(const RetryQuery &query, core::MonoTime now);

    /** Takes over the services of a configuration. */
    void onConfig(const config::ConfigSnapshot &snapshot);
    /** Takes over a VM list. */
    void onVmList(const core::VmList &list);

    /** @return Digests for one message to a peer. @param limit Most digests. */
    std::vector<upstream::EvidenceDigest> takeDigests(std::size_t limit);
    /** @return Whether digests should be pushed to peers now. */
    bool hasUrgentDigests() const;
    /** Takes in a peer's digest; one of an unknown service is ignored. */
    void receiveDigest(const upstream::EvidenceDigest &digest);

    /** @return The state of all upstreams of all services, or of one upstream. */
    std::vector<std::pair<core::ServiceId, upstream::Explanation>>
    explain(const std::optional<core::UpstreamId> &only) const;
    /** @return Slots of the upstreams that each service has in use. */
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
    void tickAll();
    static void logEvents(const core::ServiceId &id, Service &service);

    UpstreamServiceOptions options_;
    mutable std::shared_mutex mutex_;
    Services services_;
    core::VmList lastVmList_;
    core::Ticker ticker_; // Destroyed first: it uses all of the above.
};

static_assert(UpstreamChooser<UpstreamService>);

} // namespace teaselreach::daemon
