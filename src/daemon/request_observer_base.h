/** @file request_observer_base.h Logs and counts finished requests and keeps recent ones. */
#pragma once

#include "burn/burn_tracker_base.h"
#include "core/id_type.h"
#include "metrics/registry_base.h"
#include "proxy/execution_evidence_base.h"

#include <array>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselreach::daemon {

/** Outcome of a request that got the complete response of an upstream. */
inline constexpr std::string_view answeredOutcome = "answered";
/** Outcome of a request whose caller disconnected before the response. */
inline constexpr std::string_view callerLeftOutcome = "caller_left";

/** A finished request. */
struct RequestSummary
{
    core::RequestId id;
    core::ClientAccountId account; ///< Empty on routes that need no key and for unknown keys.
    core::RouteId route;           ///< Empty if none matched.
    core::ServiceId service;
    core::UpstreamId upstream; ///< Of the last attempt; empty if there was none.
    int attempts = 0;
    int status = 0;
    std::string outcome; ///< answeredOutcome, callerLeftOutcome or a refusal code.
    std::string reason;  ///< Detail of a refusal.
    std::string hedge;   ///< Outcome of the hedge; empty without one.
    core::Micros duration {0};
    proxy::ExecutionProof proof = proxy::ExecutionProof::NothingSent;
};

/** Logs and counts finished requests and keeps the most recent ones. Thread-safe. */
class RequestObserver
{
public:
    /** Logs, counts and stores a finished request. */
    void recordRequest(const RequestSummary &request);

    /** @return A recent request, or nothing. */
    std::optional<RequestSummary> find(const core::RequestId &id) const;
    /** @return Recent requests of an account that no upstream answered; newest first per shard. */
    std::vector<RequestSummary> unansweredRequestsOf(const core::ClientAccountId &account) const;

    /** @return The metrics. */
    metrics::Registry &registry() { return registry_; }
    const metrics::Registry &registry() const { return registry_; }
    /** @return The request counts of the objectives. */
    burn::BurnTracker &burn() { return burn_; }
    const burn::BurnTracker &burn() const { return burn_; }

private:
    static constexpr std::size_t shardCount = 8;
    static constexpr std::size_t recentPerShard = 256;

    /** The most recent requests, newest first. */
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
