/** @file request_observer_base.h What becomes known of finished requests: log, metrics, burn. */
#pragma once

#include "burn/burn_tracker_base.h"
#include "core/id_type.h"
#include "metrics/registry_base.h"

#include <array>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselreach::daemon {

/** Outcome of a request that got an upstream's whole answer. */
inline constexpr std::string_view answeredOutcome = "answered";
/** Outcome of a request whose caller left before it could be answered. */
inline constexpr std::string_view callerLeftOutcome = "caller_left";

/** A finished request. */
struct RequestSummary
{
    core::RequestId id;
    core::ClientAccountId account; ///< Empty on routes open to all or without a known key.
    core::RouteId route;           ///< Empty if none matched.
    core::ServiceId service;
    core::UpstreamId upstream; ///< The last one tried.
    int attempts = 0;
    int status = 0;
    std::string outcome; ///< One of the two above, or the code of a refusal.
    std::string reason;  ///< Detail of a refusal.
    core::Micros duration {0};
};

/** Logs and counts requests and remembers the last ones. May be used by several threads. */
class RequestObserver
{
public:
    /** Takes in a finished request. */
    void recordRequest(const RequestSummary &request);

    /** @return A request that was finished recently, or nothing. */
    std::optional<RequestSummary> find(const core::RequestId &id) const;
    /** @return Refusals among the remembered requests of an account, newest first. */
    std::vector<RequestSummary> unansweredRequestsOf(const core::ClientAccountId &account) const;

    /** @return The metrics. */
    metrics::Registry &registry() { return registry_; }
    const metrics::Registry &registry() const { return registry_; }
    /** @return The counts against objectives. */
    burn::BurnTracker &burn() { return burn_; }
    const burn::BurnTracker &burn() const { return burn_; }

private:
    static constexpr std::size_t shardCount = 8;
    static constexpr std::size_t recentPerShard = 256;

    /** The last requests, newest first. */
    struct Shard
    {
        mutable std::mutex mutex;
        std::deque<RequestSummary> recent;
    };

    Shard &shardOf(const core::RequestId &id);
    const Shard &shardOf(const core::RequestId &id) const;
    void countForObjectives(const RequestSummary &request, core::MonoTime now);

    metrics::Registry registry_;
    burn::BurnTracker burn_;
    std::array<Shard, shardCount> shards_;
};

} // namespace teaselreach::daemon
